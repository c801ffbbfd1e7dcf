package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/quota"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// usageRecord is the store object with the teams' quota usage. It is written while
// teams use much of their quotas, so that the usage is known after a restart of all
// instances. Failure domains that are cut off from the others each write a
// record of their own.
type usageRecord struct {
	// WrittenUnixMs is the wall clock time at which the record was written.
	WrittenUnixMs int64 `json:"written_unix_ms"`
	// Used holds, for each team, the usage by age, starting with the newest.
	Used map[string][]float64 `json:"used"`
}

// Intervals and age limits of usage records.
const (
	// usageCheckInterval is the time between two checks whether a usage record must
	// be written. A team that sends at five times its limit uses an eighth of its
	// quota per window in this time.
	usageCheckInterval = 200 * time.Millisecond
	// usageMaxAge is the age above which a record is ignored. The age is computed
	// from wall clocks, which may be off by seconds.
	usageMaxAge = time.Minute
	// peerReportWait is how long a started instance waits for reports of its peers
	// before each attempt to read the usage records from the store. Peers
	// in the same region answer at once.
	peerReportWait = 60 * time.Millisecond
	// relayUsageTimeout bounds the call that reads the usage records from the relay,
	// which may itself have to read the store.
	relayUsageTimeout = 400 * time.Millisecond
	// usageListingTTL is how long the relay answers from the usage records that it has
	// read. After a restart of all instances, those of a failure domain ask within it.
	usageListingTTL = 500 * time.Millisecond
	// maxClockSkew is the largest expected difference between the wall clocks of two
	// instances. The age of a record is lowered by it.
	maxClockSkew = 3 * time.Second
)

var errNoRelay = errors.New("this instance has no relay")

// usageRecords reads the usage records from the store, for this instance and, if it is
// a relay, for its followers. Calls that arrive together share one call of the store.
type usageRecords struct {
	store storesync.Source
	kind  string
	now   func() time.Duration

	mu      sync.Mutex
	listing storesync.Listing
	readAt  time.Duration
	read    bool
}

func (u *usageRecords) list(ctx context.Context) (storesync.Listing, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.read && u.now()-u.readAt < usageListingTTL {
		return u.listing, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := u.store.List(ctx, u.kind)
	if err == nil {
		u.listing, u.readAt, u.read = listing, u.now(), true
	}
	return listing, err
}

// restoreUsageMsg applies a usage record that was written before this start.
type restoreUsageMsg struct {
	domain string
	age    time.Duration
	used   map[string][]float64
}

func (m restoreUsageMsg) apply(c *controlLoop) {
	c.quotas.Restore(c.g.now(), m.age, m.used)
	c.g.log.Info("quota use before the start recalled", "domain", m.domain, "teams", len(m.used), "age_ms", m.age.Milliseconds())
}

// restoreUsage reads the quota usage from before this start from the store, unless
// a peer has reported it.
func (g *Gateway) restoreUsage(ctx context.Context) {
	if g.settings.Instance.FirstStart {
		return
	}
	g.awaitRelay(ctx)
	for !g.totalUsageKnown(ctx) && ctx.Err() == nil {
		err := g.readUsage(ctx)
		if err == nil {
			g.enqueueContext(ctx, usageRestoredMsg{})
			return
		}
		g.log.Info("quota use before the start not read", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-g.clock.After(storeRetryInterval):
		}
	}
}

// totalUsageKnown waits for reports of the peers, and returns whether one of them
// contained the quota usage of all instances.
func (g *Gateway) totalUsageKnown(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.clock.After(peerReportWait):
	}
	reply := make(chan bool, 1)
	g.enqueueContext(ctx, totalUsageKnownMsg{reply: reply})
	select {
	case <-ctx.Done():
		return false
	case known := <-reply:
		return known
	}
}

// usageRestoredMsg states that all usage records have been read.
type usageRestoredMsg struct{}

func (usageRestoredMsg) apply(c *controlLoop) { c.quotas.FinishRestore() }

// totalUsageKnownMsg asks whether a peer has reported the quota usage of all
// instances.
type totalUsageKnownMsg struct{ reply chan bool }

func (m totalUsageKnownMsg) apply(c *controlLoop) {
	known := c.quotas.KnowsTotalUsage(c.g.now())
	for _, pending := range c.pendingReports {
		known = known || pending.report.UsageSource > uint8(quota.SourceUnknown)
	}
	m.reply <- known
}

// readUsage applies the usage records, as read by the relay or, if there is none or it
// fails, from the store.
func (g *Gateway) readUsage(ctx context.Context) error {
	var listing storesync.Listing
	err := errNoRelay
	if relay := g.currentRelay(); relay != nil {
		relayCtx, cancel := context.WithTimeout(ctx, relayUsageTimeout)
		listing, err = relay.List(relayCtx, g.objectKinds.Usage)
		cancel()
	}
	if err != nil {
		if listing, err = g.usageRecords.list(ctx); err != nil {
			return err
		}
	}
	for _, object := range listing.Objects {
		var record usageRecord
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			g.log.Info("malformed usage record ignored", "domain", object.Name, "error", err.Error())
			continue
		}
		age := g.clock.Now().Sub(time.UnixMilli(record.WrittenUnixMs))
		if age.Abs() < usageMaxAge {
			g.enqueueContext(ctx, restoreUsageMsg{domain: object.Name, age: max(0, age-maxClockSkew), used: record.Used})
		}
	}
	return nil
}

// writeUsage writes a usage record if one is due, without waiting for the store.
// An instance that reads its copies of the store from a relay leaves the writing to
// the relay.
func (c *controlLoop) writeUsage(now time.Duration) {
	if now-c.usageCheckedAt < usageCheckInterval {
		return
	}
	c.usageCheckedAt = now
	used := c.quotas.Record(now)
	if !c.quotas.RecordDue(now, used) || c.peers.SyncSourceAddress() != "" || c.usageWriting.Swap(true) {
		return
	}
	record := usageRecord{WrittenUnixMs: c.g.clock.Now().UnixMilli(), Used: used}
	condition := c.usagePosition
	go func() {
		defer c.usageWriting.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		written, err := c.g.writeObject(ctx, c.g.objectKinds.Usage, c.g.settings.Instance.Domain, record, condition)
		if err != nil {
			c.g.log.Info("writing the quota usage to the store failed", "teams", len(used), "error", err.Error())
			return
		}
		c.g.enqueueContext(ctx, usageWrittenMsg{at: now, used: used, position: written})
	}()
}

// usageWrittenMsg states that a usage record was written to the store.
type usageWrittenMsg struct {
	at       time.Duration
	used     map[string][]float64
	position storesync.Position
}

func (m usageWrittenMsg) apply(c *controlLoop) {
	if m.position.Era < c.storePosition.Era {
		// The store has lost the record since.
		return
	}
	c.usagePosition = m.position
	c.quotas.MarkRecorded(m.at, m.used)
}
