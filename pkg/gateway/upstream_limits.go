package gateway

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/worklimit"
)

// Intervals and bounds of the reports on limits of upstreams.
const (
	// limitReportInterval is the shortest time between two reports on limits to the same
	// peers, and limitRepeatInterval the longest on one limit, by which the peers know
	// that it is still in force.
	limitReportInterval = 500 * time.Millisecond
	limitRepeatInterval = time.Second
	// maxReportedLimits and maxLimitCells bound the upstreams and the cells in a report.
	// What is left out follows in the next ones.
	maxReportedLimits = 48
	maxLimitCells     = 24
	// limitLogsPerSecond and limitLogBurst bound the log lines on limits.
	limitLogsPerSecond = 2
	limitLogBurst      = 20
	// limitGaugeInterval is the time between two updates of the limits in the metrics.
	limitGaugeInterval = time.Second
)

// limitCursor marks what a group of peers was sent of the limits.
type limitCursor struct {
	sentAt time.Duration
	sent   map[string]sentLimit
	// after is the upstream of the last report, after which the next one begins.
	after string
}

type sentLimit struct {
	at          time.Duration
	incarnation int64
	limit       int
	answers     [worklimit.MaxCells]uint32
}

// limitLog bounds the log lines on limits, and holds when the metrics were updated.
type limitLog struct {
	limiter  *rate.Limiter
	omitted  int
	gaugesAt time.Duration
}

// tuning returns the parameters of the placement with the settings of the instance.
func (c *controlLoop) tuning() admission.Tuning {
	tuning := admission.DefaultTuning()
	placement := c.g.settings.Placement
	tuning.LearnLimits, tuning.EjectFailing = placement.LearnLimits, placement.EjectFailing
	tuning.ShareTeams, tuning.RefuseEarly = placement.ShareTeams, placement.RefuseEarly
	return tuning
}

// limitEvidence is the evidence for the limit of one upstream.
type limitEvidence struct {
	info     admission.UpstreamInfo
	evidence admission.LimitEvidence
}

// collectLimits returns the evidence for all upstreams, with that after the given one
// first.
func (c *controlLoop) collectLimits(wholeDomain bool, after string) []limitEvidence {
	var first, then []limitEvidence
	for _, pool := range c.pools {
		pool.CollectLimitEvidence(wholeDomain, func(info admission.UpstreamInfo, evidence admission.LimitEvidence) {
			if info.ID > after {
				first = append(first, limitEvidence{info, evidence})
			} else {
				then = append(then, limitEvidence{info, evidence})
			}
		})
	}
	return append(first, then...)
}

// exportLimits returns what has changed of the limits and their evidence since the last
// reports to the same peers. In a large failure domain, only the summary has any: the
// observers see all results of requests there, and the followers' limits are in the views.
func (c *controlLoop) exportLimits(now time.Duration, state *reportState, wholeDomain bool) []loadshare.UpstreamLimit {
	cursor := &state.limits
	if !c.g.settings.Placement.LearnLimits || now-cursor.sentAt < limitReportInterval || (c.peers.Large() && !wholeDomain) {
		return nil
	}
	cursor.sentAt = now
	if cursor.sent == nil {
		cursor.sent = map[string]sentLimit{}
	}
	var exported []loadshare.UpstreamLimit
	cells := 0
	for _, e := range c.collectLimits(wholeDomain, cursor.after) {
		sent := cursor.sent[e.info.ID]
		if sent.incarnation != e.info.Incarnation {
			sent = sentLimit{incarnation: e.info.Incarnation}
		}
		encoded := loadshare.UpstreamLimit{Upstream: loadshare.ShortHash(e.info.ID), Limit: clampTo[uint16](e.evidence.Limit)}
		for _, cell := range e.evidence.Cells {
			if sent.answers[cell.Cell] == cell.Counts.Answers {
				continue
			}
			sent.answers[cell.Cell] = cell.Counts.Answers
			encoded.Cells = append(encoded.Cells, loadshare.LoadCell{
				Cell: uint8(cell.Cell), Answers: cell.Counts.Answers, Load: cell.Counts.Load, LogStep: cell.Counts.LogStep,
			})
		}
		if len(encoded.Cells) == 0 && sent.limit == e.evidence.Limit && now-sent.at < limitRepeatInterval {
			continue
		}
		if cells+len(encoded.Cells) > maxLimitCells || len(exported) >= maxReportedLimits {
			break
		}
		cells += len(encoded.Cells)
		sent.at, sent.limit = now, e.evidence.Limit
		cursor.sent[e.info.ID], cursor.after = sent, e.info.ID
		exported = append(exported, encoded)
	}
	for id := range cursor.sent {
		if _, known := c.upstreams[id]; !known {
			delete(cursor.sent, id)
		}
	}
	return exported
}

// applyLimits applies the evidence in a report. The relay of an upstream's failure domain
// decides on its limit for all instances, so that they try other loads at the same time,
// and seldom.
func (c *controlLoop) applyLimits(now time.Duration, remoteDomain bool, report loadshare.Report) {
	sender := report.Instance
	if remoteDomain {
		// The relay of a domain may change, and its counts with it.
		sender = loadshare.DomainKey(report.Domain) + " by " + report.Instance
	}
	isRelay := remoteDomain || report.Instance == c.peers.Relay()
	for _, encoded := range report.Limits {
		id := c.upstreamNames[encoded.Upstream]
		pool := c.pools[c.services[id]]
		if pool == nil {
			continue
		}
		evidence := admission.LimitEvidence{Limit: int(encoded.Limit)}
		for _, cell := range encoded.Cells {
			evidence.Cells = append(evidence.Cells, worklimit.Reported{
				Cell: int(cell.Cell), Counts: worklimit.Counts{Answers: cell.Answers, Load: cell.Load, LogStep: cell.LogStep},
			})
		}
		decides := isRelay && c.upstreams[id].Domain == report.Domain
		pool.ApplyLimitEvidence(now, sender, !remoteDomain, decides, id, evidence)
	}
}

// limitsForView returns the limits in force, for the followers.
func (c *controlLoop) limitsForView() []loadshare.UpstreamLimit {
	var limits []loadshare.UpstreamLimit
	for _, e := range c.collectLimits(false, "") {
		limits = append(limits, loadshare.UpstreamLimit{Upstream: loadshare.ShortHash(e.info.ID), Limit: clampTo[uint16](e.evidence.Limit)})
	}
	return limits
}

// applyLimitView takes the limits of the relay.
func (c *controlLoop) applyLimitView(now time.Duration, relay string, view *loadshare.View) {
	for _, limit := range view.Limits {
		id := c.upstreamNames[limit.Upstream]
		if pool := c.pools[c.services[id]]; pool != nil {
			pool.ApplyLimitEvidence(now, relay, true, true, id, admission.LimitEvidence{Limit: int(limit.Limit)})
		}
	}
}

// logLimits logs and counts the moves of limits.
func (c *controlLoop) logLimits(now time.Duration) {
	if !c.g.settings.Placement.LearnLimits {
		return
	}
	if c.limits.limiter == nil {
		c.limits.limiter = rate.NewLimiter(limitLogsPerSecond, limitLogBurst)
	}
	for _, pool := range c.pools {
		for _, move := range pool.TakeLimitMoves() {
			c.g.metrics.limitMoves.Inc(1)
			if !c.limits.limiter.AllowN(c.g.clock.Now(), 1) {
				c.limits.omitted++
				continue
			}
			c.g.log.Info("upstream limit moved", "upstream", move.Upstream, "from", move.From, "to", move.To, "reason", string(move.Reason),
				"load", move.Load, "step_us", move.Step.Microseconds(), "prefill_tokens_per_ms", pool.PrefillTokensPerMs(), "omitted_before", c.limits.omitted)
			c.limits.omitted = 0
		}
	}
	if now-c.limits.gaugesAt < limitGaugeInterval {
		return
	}
	c.limits.gaugesAt = now
	limits := map[string]int{}
	for _, e := range c.collectLimits(false, "") {
		limits[e.info.ID] = e.evidence.Limit
	}
	c.g.upstreamLimits.Store(&limits)
}
