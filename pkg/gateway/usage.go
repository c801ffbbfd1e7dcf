package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

// usageRecord is kept in the store while teams use much of their quotas, since
// instances that are all restarted know nothing of it. Each failure domain that
// cannot hear the others writes its own.
type usageRecord struct {
	// WrittenUnixMs is the time of day of the record.
	WrittenUnixMs int64 `json:"written_unix_ms"`
	// Used holds, for each team, what was used by age, the newest part first.
	Used map[string][]float64 `json:"used"`
}

// Limits of the usage records.
const (
	// usagePause is the time between two looks at the use of the quotas. A team that
	// sends at five times its limit uses an eighth of it meanwhile.
	usageCheckInterval = 200 * time.Millisecond
	// usageValid is the age from which a record is ignored, by the time of day,
	// which may be off by seconds.
	usageMaxAge = time.Minute
	// informWait is how long an instance that has become known waits for the
	// reports of the others, which answer at once within a region.
	peerReportWait = 60 * time.Millisecond
	// clockError is how far the times of day of two instances may differ.
	maxClockSkew = 3 * time.Second
)

// recallUsage takes in what teams had used before this start.
type restoreUsageMsg struct {
	domain string
	age    time.Duration
	used   map[string][]float64
}

func (m restoreUsageMsg) apply(c *controlLoop) {
	c.teams.Recall(c.g.now(), m.age, m.used)
	c.g.log.Info("quota use before the start recalled", "domain", m.domain, "teams", len(m.used), "age_ms", m.age.Milliseconds())
}

// recall reads what teams had used before a start from the store, unless a peer
// is heard that knows it.
func (g *Gateway) restoreUsage(ctx context.Context) {
	if g.settings.Instance.FirstStart {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-g.instancesListed:
	case <-g.clock.After(instanceListWait):
	}
	for !g.quotaStateKnown(ctx) && ctx.Err() == nil {
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

// informed waits for a peer that knows what was used, and reports whether one is
// heard.
func (g *Gateway) quotaStateKnown(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.clock.After(peerReportWait):
	}
	reply := make(chan bool, 1)
	g.enqueueContext(ctx, quotaStateKnownMsg{reply: reply})
	select {
	case <-ctx.Done():
		return false
	case informed := <-reply:
		return informed
	}
}

// recalled notes that all records have been read.
type usageRestoredMsg struct{}

func (usageRestoredMsg) apply(c *controlLoop) { c.teams.Recalled() }

// askInformed asks whether it is known what teams have used.
type quotaStateKnownMsg struct{ reply chan bool }

func (m quotaStateKnownMsg) apply(c *controlLoop) {
	informed := c.teams.Informed(c.g.now())
	for _, unread := range c.pendingReports {
		informed = informed || unread.report.Hand > uint8(quota.Unknown)
	}
	m.reply <- informed
}

func (g *Gateway) readUsage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := g.store.List(ctx, g.kinds.Usage)
	if err != nil {
		return err
	}
	for _, object := range listing.Objects {
		var record usageRecord
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			g.log.Info("usage record ignored", "domain", object.Name, "error", err.Error())
			continue
		}
		age := g.clock.Now().Sub(time.UnixMilli(record.WrittenUnixMs))
		if age.Abs() < usageMaxAge {
			g.enqueueContext(ctx, restoreUsageMsg{domain: object.Name, age: max(0, age-maxClockSkew), used: record.Used})
		}
	}
	return nil
}

// recordUsage records what busy teams have used at all instances, without waiting
// for the store. Instances that follow another leave it to that one.
func (c *controlLoop) writeUsage(now time.Duration) {
	if now-c.usageCheckedAt < usageCheckInterval {
		return
	}
	c.usageCheckedAt = now
	used := c.teams.Record(now)
	if !c.teams.RecordDue(now, used) || c.peers.Lead() != "" || c.usageWriting.Swap(true) {
		return
	}
	record := usageRecord{WrittenUnixMs: c.g.clock.Now().UnixMilli(), Used: used}
	go func() {
		defer c.usageWriting.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := c.g.store.Put(ctx, c.g.kinds.Usage, c.g.settings.Instance.Domain, record); err != nil {
			c.g.log.Info("quota use not recorded", "teams", len(used), "error", err.Error())
			return
		}
		c.g.enqueueContext(ctx, usageWrittenMsg{at: now, used: used})
	}()
}

// usageRecorded notes that a record was written.
type usageWrittenMsg struct {
	at   time.Duration
	used map[string][]float64
}

func (m usageWrittenMsg) apply(c *controlLoop) { c.teams.Recorded(m.at, m.used) }
