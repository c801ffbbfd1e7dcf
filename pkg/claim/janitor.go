package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// otherDomainAgeFactor multiplies the age limit of claims made in another
// failure domain, whose own janitor deletes them first unless the whole domain
// is gone.
const otherDomainAgeFactor = 2

// JanitorOptions configure the deletion of old claim objects.
type JanitorOptions struct {
	// Interval is the time between two listings.
	Interval time.Duration
	// MaxAge is the age at which a claim is deleted. It must exceed the time for
	// which a caller may retry with the same key.
	MaxAge time.Duration
	// DeleteInterval is the time between two deletions; it limits the write
	// rate.
	DeleteInterval time.Duration
	// IsOwner reports whether this instance is responsible for the deletion in
	// its failure domain.
	IsOwner func() bool
}

// RunJanitor deletes claim objects that exceed their age limit until ctx ends.
// Only the instance whose IsOwner is true lists the objects, once per interval.
func (n *Node) RunJanitor(ctx context.Context, options JanitorOptions) {
	for n.wait(ctx, options.Interval) {
		if !options.IsOwner() {
			continue
		}
		list, err := n.options.Store.List(ctx, ObjectKind)
		if err != nil {
			n.options.Log.V(1).Info("old claims were not listed", "error", err.Error())
			continue
		}
		for _, object := range list.Objects {
			if !n.isDeletable(ctx, object, options.MaxAge) {
				continue
			}
			pre := platform.Precondition{Version: object.Version}
			if _, err := n.options.Store.Delete(ctx, ObjectKind, object.Name, pre); err != nil {
				n.options.Log.V(1).Info("old claim was not deleted", "name", object.Name, "error", err.Error())
			}
			if !n.wait(ctx, options.DeleteInterval) || !options.IsOwner() {
				break
			}
		}
	}
}

// isDeletable reports whether the claim exceeds its age limit and its holder
// can no longer dispatch under it. A holder that was frozen for longer than the
// age limit still holds its claim.
func (n *Node) isDeletable(ctx context.Context, object platform.Object, maxAge time.Duration) bool {
	var claim claimObject
	if json.Unmarshal(object.Body, &claim) != nil {
		return false
	}
	if claim.Domain != n.options.Domain {
		maxAge *= otherDomainAgeFactor
	}
	age := n.options.Clock.Now().Sub(time.UnixMilli(claim.ClaimedAtMs))
	if age < maxAge {
		return false
	}
	holder := InstanceRef{claim.Holder, claim.Incarnation}
	status := n.queryHolder(ctx, claim.Domain, holder, object.Name, claim.Attempt)
	if !status.isMember {
		return true
	}
	return status.answered && status.phase != Held && status.phase != Dispatched
}

// wait waits for d and returns false if ctx ended first.
func (n *Node) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.options.Clock.After(d):
		return true
	}
}
