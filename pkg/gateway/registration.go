package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// peerRecordMsg adds an instance that was found in the store.
type peerRecordMsg struct {
	name   string
	record InstanceRecord
}

func (m peerRecordMsg) apply(c *controlLoop) {
	now := c.g.now()
	added, err := c.peers.Add(now, m.name, loadshare.PeerInfo{Domain: m.record.Domain, Address: m.record.PeerAddress, CPUPercent: m.record.CPUPercent})
	if err != nil {
		c.g.log.Info("instance record ignored", "peer", m.name, "error", err.Error())
		return
	}
	if !added {
		return
	}
	if m.record.Domain == c.g.settings.Instance.Domain {
		c.quotas.ExpectInstances(now, m.name, 1)
	} else {
		c.quotas.ExpectInstances(now, loadshare.DomainKey(m.record.Domain), c.peers.KnownInDomain(m.record.Domain))
	}
	c.markReportsChanged()
	c.g.log.Info("peer known", "peer", m.name, "domain", m.record.Domain, "address", m.record.PeerAddress)
}

// peerListReadMsg states that the instance list has been read.
type peerListReadMsg struct{}

func (peerListReadMsg) apply(c *controlLoop) {
	c.remoteReportsFrom = min(c.remoteReportsFrom, c.g.now()+remoteReportDelay)
}

// Times of the registration in the store and of the wait for peers at the start.
const (
	// instanceListInterval is the time between two reads of the instance list.
	// Instances usually learn of each other from reports; the list covers those
	// that started while others were unreachable.
	instanceListInterval = 15 * time.Second
	storeRetryInterval   = time.Second
	storeTimeout         = 2 * time.Second
	// relayDiscoveryWait is how long an instance that has read the instance list
	// waits for a report of a peer that can relay the store; four reports are due
	// within it. instanceListWait is how long it waits for the instance list.
	relayDiscoveryWait = 250 * time.Millisecond
	instanceListWait   = time.Second
	relayDiscoveryPoll = 10 * time.Millisecond
	// returnCheckSpread is the time over which the instances look for their records after
	// the store has returned from an older copy, so that their calls do not exceed its rate.
	returnCheckSpread = 4 * time.Second
)

// maintainRegistration writes this instance's record to the store and reads those
// of the others at the start, and then reads them again at regular intervals.
func (g *Gateway) maintainRegistration(ctx context.Context) {
	syncRecords := g.listAndRegister
	if g.settings.Instance.FirstStart {
		syncRecords = g.registerAndList
	}
	for ctx.Err() == nil {
		pause := instanceListInterval
		if err := syncRecords(ctx); err != nil {
			g.log.Info("reading the instance list or writing the own record failed", "error", err.Error())
			pause = storeRetryInterval
		} else {
			syncRecords = g.refreshOrRegister
			g.enqueueContext(ctx, peerListReadMsg{})
		}
		g.instancesListedOnce.Do(func() { close(g.instancesListed) })
		select {
		case <-ctx.Done():
		case <-g.clock.After(pause):
		case <-g.storeReturned:
			select {
			case <-ctx.Done():
			case <-g.clock.After(rand.N(returnCheckSpread)):
			}
		}
	}
}

func (g *Gateway) ownRecord() InstanceRecord {
	return InstanceRecord{PeerAddress: g.socket.LocalAddress(), Domain: g.settings.Instance.Domain, CPUPercent: g.cpuPercent()}
}

// registerAndList writes this instance's record before it reads those of the others,
// so that of two instances that start at once the later one sees the earlier one.
func (g *Gateway) registerAndList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := g.writeObject(ctx, g.objectKinds.Instances, g.settings.Instance.Name, g.ownRecord(), storesync.Position{}); err != nil {
		return err
	}
	_, err := g.readInstances(ctx, g.store.List)
	return err
}

// maxWriteAttempts bounds the calls for one write. More than one is needed if others write
// the object, or if an earlier write of this instance has taken effect late.
const maxWriteAttempts = 3

// writeObject replaces an object whose last known change is at condition, with revision 0 if
// none is known, and returns the position of its new change. Each call is conditional, so
// that one that takes effect late does not replace what was written after it.
func (g *Gateway) writeObject(ctx context.Context, kind, name string, spec any, condition storesync.Position) (storesync.Position, error) {
	var err error
	for range maxWriteAttempts {
		var written storesync.Written
		written, err = g.store.Put(ctx, kind, name, spec, condition)
		switch {
		case err == nil:
			return written.Position(), nil
		case errors.Is(err, storesync.ErrConflict):
			condition = written.Position()
		case errors.Is(err, storesync.ErrEraChanged):
			// The conflict, if there is one, returns the object of the present era.
			condition = storesync.Position{}
		default:
			return storesync.Position{}, err
		}
	}
	return storesync.Position{}, err
}

// listAndRegister reads the records first, and writes this instance's record only
// if its record from an earlier start is missing or outdated.
func (g *Gateway) listAndRegister(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	recorded, err := g.readInstances(listCtx, g.store.List)
	if err != nil || recorded {
		return err
	}
	return g.registerAndList(ctx)
}

// refreshOrRegister reads the records cheaply, and writes that of this instance again if it
// is missing or outdated. The store may have lost it, or have executed an earlier write
// late, when it has returned from an older copy.
func (g *Gateway) refreshOrRegister(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	recorded, err := g.readInstances(listCtx, g.store.ListStale)
	if err != nil || recorded {
		return err
	}
	g.log.Info("own record is missing in the store or outdated, writing it again", "era", g.store.Era())
	writeCtx, cancelWrite := context.WithTimeout(ctx, storeTimeout)
	defer cancelWrite()
	_, err = g.writeObject(writeCtx, g.objectKinds.Instances, g.settings.Instance.Name, g.ownRecord(), storesync.Position{})
	return err
}

// readInstances adds the instances found in the store. It reports whether the
// store has an up-to-date record of this instance.
func (g *Gateway) readInstances(ctx context.Context, list func(context.Context, string) (storesync.Listing, error)) (recorded bool, err error) {
	listing, err := list(ctx, g.objectKinds.Instances)
	if err != nil {
		return false, err
	}
	for _, object := range listing.Objects {
		record, err := g.recordDecoder.Instance(object.Spec)
		if err != nil {
			g.log.Info("instance record ignored", "peer", object.Name, "error", err.Error())
			continue
		}
		if object.Name == g.settings.Instance.Name {
			recorded = record == g.ownRecord()
			continue
		}
		g.enqueueContext(ctx, peerRecordMsg{name: object.Name, record: record})
	}
	return recorded, nil
}

// awaitRelay waits until this instance has found a relay to follow, or knows that
// it is the highest-ranked instance, or a time limit has passed. Without the wait a restart of
// all instances would make each of them read the store.
func (g *Gateway) awaitRelay(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.instancesListed:
	case <-g.clock.After(instanceListWait):
		return
	}
	for end := g.now() + relayDiscoveryWait; g.now() < end; {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(relayDiscoveryPoll):
		}
		if g.currentRelay() != nil || g.isHighestRanked.Load() {
			return
		}
	}
}
