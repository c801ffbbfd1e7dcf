package conf

import (
	"context"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// watchPlatform lists and watches the platform while this instance is a watcher.
func (s *Syncer) watchPlatform(ctx context.Context) {
	backoff := s.opts.BackoffMin
	for ctx.Err() == nil {
		delay := s.opts.RoleCheckInterval
		if s.opts.IsWatcher() {
			started := s.opts.Clock.Now()
			err := s.listAndWatch(ctx)
			// A watch that breaks soon after each listing must not reset the
			// backoff, since each listing transfers the whole configuration.
			if s.opts.Clock.Since(started) > s.opts.BackoffMax {
				backoff = s.opts.BackoffMin
			}
			// Half of the delay is random, so that the watchers of all domains do
			// not reconnect at the same time after an outage.
			delay = backoff/2 + s.randomDuration(backoff/2)
			backoff = min(2*backoff, s.opts.BackoffMax)
			if err == nil {
				backoff = s.opts.BackoffMin
				continue
			}
			s.opts.Log.Info("watch of the platform ended", "error", err.Error(), "pause", delay.String())
		}
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(delay):
		}
	}
}

// randomDuration returns a uniformly distributed duration from 0 to limit.
func (s *Syncer) randomDuration(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.opts.Random.Int64N(int64(limit) + 1))
}

// List merges a complete listing of the platform and returns its version.
func (s *Syncer) List(ctx context.Context) (uint64, error) {
	version, _, err := s.list(ctx)
	return version, err
}

// list does the work of List; it also returns the size of the configuration.
func (s *Syncer) list(ctx context.Context) (version uint64, sizeBytes int, err error) {
	list, err := s.store.List(ctx, recordKinds()...)
	if err != nil {
		return 0, 0, err
	}
	objects := make([]Object, 0, len(list.Objects))
	for _, object := range list.Objects {
		sizeBytes += len(object.Body) + objectOverheadBytes
		objects = append(objects, objectFromPlatform(object))
	}
	if s.cache.MergeListing(objects, list.Version, true) {
		s.notify(ctx)
	}
	return list.Version, sizeBytes, nil
}

// relistInterval returns the time until the next listing of a configuration of
// the given size.
func (s *Syncer) relistInterval(sizeBytes int) time.Duration {
	if s.opts.RelistBytesPerSecond == 0 {
		return s.opts.RelistInterval
	}
	bySize := time.Duration(float64(sizeBytes) / float64(s.opts.RelistBytesPerSecond) * float64(time.Second))
	return max(s.opts.RelistInterval, bySize)
}

// listAndWatch lists the platform and then merges watch events. It returns an
// error when the listing fails or the watch breaks, and nil when the next
// listing is due or this instance is no longer a watcher.
func (s *Syncer) listAndWatch(ctx context.Context) error {
	started := s.opts.Clock.Now()
	version, sizeBytes, err := s.list(ctx)
	if s.opts.OnPlatformList != nil {
		s.opts.OnPlatformList(ctx, err == nil, started)
	}
	if err != nil {
		return err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch, err := s.store.Watch(watchCtx, version, recordKinds()...)
	if err != nil {
		return err
	}
	defer watch.Close()
	events, errs := receiveEvents(watchCtx, watch)
	relistTimer := s.opts.Clock.NewTimer(s.relistInterval(sizeBytes))
	defer relistTimer.Stop()
	roleCheck := s.opts.Clock.NewTicker(s.opts.RoleCheckInterval)
	defer roleCheck.Stop()
	var pending []Object
	var applyDue <-chan time.Time
	defer func() { s.apply(ctx, pending) }()
	for {
		select {
		case event := <-events:
			pending = append(pending, objectFromEvent(event))
			if applyDue == nil {
				// The first event is merged at once; events that follow within
				// ApplyInterval are merged together.
				s.apply(ctx, pending)
				pending = nil
				applyDue = s.opts.Clock.After(s.opts.ApplyInterval)
			}
		case <-applyDue:
			applyDue = nil
			if len(pending) > 0 {
				s.apply(ctx, pending)
				pending = nil
				applyDue = s.opts.Clock.After(s.opts.ApplyInterval)
			}
		case err := <-errs:
			return err
		case <-relistTimer.Chan():
			return nil
		case <-roleCheck.Chan():
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

// receiveEvents reads a watch in a goroutine that ends when ctx ends or the
// watch is closed.
func receiveEvents(ctx context.Context, watch platform.Watch) (<-chan platform.Event, <-chan error) {
	events, errs := make(chan platform.Event), make(chan error, 1)
	go func() {
		for {
			event, err := watch.Next()
			if err != nil {
				errs <- err
				return
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, errs
}

// recordKinds returns the kinds of the objects to list and watch.
func recordKinds() []string {
	var kinds []string
	for _, kind := range record.Kinds() {
		kinds = append(kinds, string(kind))
	}
	return kinds
}

func objectFromPlatform(object platform.Object) Object {
	return Object{
		Key:     Key{Kind: record.Kind(object.Kind), Name: object.Name},
		Version: object.Version,
		Body:    object.Body,
	}
}

func objectFromEvent(event platform.Event) Object {
	object := objectFromPlatform(event.Object)
	object.Deleted = event.Type == platform.EventDelete
	return object
}
