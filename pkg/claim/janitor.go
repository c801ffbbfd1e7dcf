package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// foreignAgeFactor multiplies the age limit for claims that another failure
// domain made. Its own janitor deletes them first, unless the domain is gone.
const foreignAgeFactor = 2

// JanitorOptions configure the deletion of old claim objects.
type JanitorOptions struct {
	// Interval is the time between two listings.
	Interval time.Duration
	// MaxAge is the age at which a claim is deleted. It exceeds the time for
	// which a caller may retry with the same key.
	MaxAge time.Duration
	// Pause is the time between two deletions; it bounds the write rate.
	Pause time.Duration
	// Owner reports whether this instance does the work in its domain.
	Owner func() bool
}

// RunJanitor deletes claim objects past their age until ctx ends. The listing
// is one call per interval and domain.
func (n *Node) RunJanitor(ctx context.Context, options JanitorOptions) {
	for n.pause(ctx, options.Interval) {
		if !options.Owner() {
			continue
		}
		list, err := n.options.Store.List(ctx, Kind)
		if err != nil {
			n.options.Log.V(1).Info("old claims were not listed", "error", err.Error())
			continue
		}
		for _, object := range list.Objects {
			if !n.deletable(ctx, object, options.MaxAge) {
				continue
			}
			pre := platform.Precondition{Version: object.Version}
			if _, err := n.options.Store.Delete(ctx, Kind, object.Name, pre); err != nil {
				n.options.Log.V(1).Info("old claim was not deleted", "name", object.Name, "error", err.Error())
			}
			if !n.pause(ctx, options.Pause) || !options.Owner() {
				break
			}
		}
	}
}

// deletable reports whether the claim is past its age and its holder cannot
// dispatch under it any more: a holder that was frozen for longer than the age
// limit still holds its claim.
func (n *Node) deletable(ctx context.Context, object platform.Object, maxAge time.Duration) bool {
	var claim body
	if json.Unmarshal(object.Body, &claim) != nil {
		return false
	}
	if claim.Domain != n.options.Domain {
		maxAge *= foreignAgeFactor
	}
	age := n.options.Clock.Now().Sub(time.UnixMilli(claim.ClaimedAtMs))
	if age < maxAge {
		return false
	}
	holder := Ref{claim.Holder, claim.Incarnation}
	status := n.askHolder(ctx, claim.Domain, holder, object.Name, claim.Attempt)
	if !status.known {
		return true
	}
	return status.answered && status.phase != Held && status.phase != Dispatched
}

// pause waits and reports whether ctx is still valid.
func (n *Node) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.options.Clock.After(d):
		return true
	}
}
