package conf

import (
	"context"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// watchPlatform lists and watches while this instance is a watcher.
func (s *Syncer) watchPlatform(ctx context.Context) {
	backoff := s.opts.BackoffMin
	for ctx.Err() == nil {
		pause := s.opts.RoleInterval
		if s.opts.IsWatcher() {
			started := s.opts.Clock.Now()
			err := s.follow(ctx)
			// A watch that breaks soon after each listing must not reset the
			// backoff: a listing is the whole configuration.
			if s.opts.Clock.Since(started) > s.opts.BackoffMax {
				backoff = s.opts.BackoffMin
			}
			// Half of the pause is random, so that the watchers of all domains do
			// not return at the same time after an outage.
			pause = backoff/2 + s.random(backoff/2)
			backoff = min(2*backoff, s.opts.BackoffMax)
			if err == nil {
				backoff = s.opts.BackoffMin
				continue
			}
			s.opts.Log.Info("watch of the platform ended", "error", err.Error(), "pause", pause.String())
		}
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(pause):
		}
	}
}

func (s *Syncer) random(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.opts.Random.Int64N(int64(limit) + 1))
}

// List merges a complete listing of the platform.
func (s *Syncer) List(ctx context.Context) (uint64, error) {
	version, _, err := s.list(ctx)
	return version, err
}

// list is List; it also returns the size of the configuration in bytes.
func (s *Syncer) list(ctx context.Context) (version uint64, size int, err error) {
	list, err := s.store.List(ctx, platformKinds()...)
	if err != nil {
		return 0, 0, err
	}
	objects := make([]Object, 0, len(list.Objects))
	for _, object := range list.Objects {
		size += len(object.Body) + objectOverhead
		objects = append(objects, fromPlatform(object))
	}
	if s.cache.MergeComplete(objects, list.Version, true) {
		s.notify(ctx)
	}
	return list.Version, size, nil
}

// relistAfter returns the time until the next listing of a configuration of
// the given size.
func (s *Syncer) relistAfter(size int) time.Duration {
	if s.opts.RelistRate == 0 {
		return s.opts.RelistInterval
	}
	bySize := time.Duration(float64(size) / float64(s.opts.RelistRate) * float64(time.Second))
	return max(s.opts.RelistInterval, bySize)
}

// follow lists the platform and applies a watch until it breaks, a listing is
// due, or this instance is no longer a watcher; the last two give no error.
func (s *Syncer) follow(ctx context.Context) error {
	began := s.opts.Clock.Now()
	version, size, err := s.list(ctx)
	if s.opts.OnPlatform != nil {
		s.opts.OnPlatform(ctx, err == nil, began)
	}
	if err != nil {
		return err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch, err := s.store.Watch(watchCtx, version, platformKinds()...)
	if err != nil {
		return err
	}
	defer watch.Close()
	events, failed := receive(watchCtx, watch)
	relist := s.opts.Clock.NewTimer(s.relistAfter(size))
	defer relist.Stop()
	role := s.opts.Clock.NewTicker(s.opts.RoleInterval)
	defer role.Stop()
	var pending []Object
	var due <-chan time.Time
	defer func() { s.apply(ctx, pending) }()
	for {
		select {
		case event := <-events:
			pending = append(pending, fromEvent(event))
			if due == nil {
				// The first change is applied at once; those that follow within the
				// interval are applied together.
				s.apply(ctx, pending)
				pending = nil
				due = s.opts.Clock.After(s.opts.ApplyInterval)
			}
		case <-due:
			due = nil
			if len(pending) > 0 {
				s.apply(ctx, pending)
				pending = nil
				due = s.opts.Clock.After(s.opts.ApplyInterval)
			}
		case err := <-failed:
			return err
		case <-relist.Chan():
			return nil
		case <-role.Chan():
			if !s.opts.IsWatcher() {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Syncer) apply(ctx context.Context, objects []Object) {
	if s.cache.Merge(objects, false) {
		s.notify(ctx)
	}
}

// receive reads a watch in its own goroutine, which ends when ctx ends or the watch is closed.
func receive(ctx context.Context, watch platform.Watch) (<-chan platform.Event, <-chan error) {
	events, failed := make(chan platform.Event), make(chan error, 1)
	go func() {
		for {
			event, err := watch.Next()
			if err != nil {
				failed <- err
				return
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, failed
}

func platformKinds() []string {
	var kinds []string
	for _, kind := range record.Kinds() {
		kinds = append(kinds, string(kind))
	}
	return kinds
}

func fromPlatform(object platform.Object) Object {
	return Object{
		Key:     Key{Kind: record.Kind(object.Kind), Name: object.Name},
		Version: object.Version,
		Body:    object.Body,
	}
}

func fromEvent(event platform.Event) Object {
	object := fromPlatform(event.Object)
	object.Deleted = event.Type == platform.EventDelete
	return object
}
