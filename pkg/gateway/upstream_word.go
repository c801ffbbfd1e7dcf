package gateway

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

const (
	// leavingTTL is how long the word of an upstream that it leaves is kept. Upstreams end
	// within a minute after it.
	leavingTTL = 10 * time.Minute
	// maxReportedLeaving bounds the leaving upstreams in a report, and maxLeavingWords those
	// that are kept.
	maxReportedLeaving = 64
	maxLeavingWords    = 4096
)

// processKey identifies a process of an upstream in reports, also before its record is
// known.
type processKey struct {
	// upstream is the short hash of the upstream's ID.
	upstream    uint32
	incarnation int64
}

func keyOf(process admission.Process) processKey {
	return processKey{upstream: loadshare.ShortHash(process.ID), incarnation: process.Incarnation}
}

// leavingWord is what is known of an upstream that has itself said that it leaves.
type leavingWord struct {
	saidAt time.Duration
	// source is the instance that reported it, empty for this one.
	source string
	// change orders the words by the time at which they became known here.
	change uint64
	// applied is true once the word was applied to the upstream.
	applied bool
}

// leavingUpstreams holds the processes of upstreams that have said that they leave. Their
// records in the store may say so later, or not at all, so that neither a record, nor a
// new list, nor a report of another instance takes the word back.
type leavingUpstreams struct {
	words   map[processKey]leavingWord
	changes uint64
}

func newLeavingUpstreams() *leavingUpstreams {
	return &leavingUpstreams{words: map[processKey]leavingWord{}}
}

// add records a word and reports whether it is new.
func (l *leavingUpstreams) add(now, saidAt time.Duration, process processKey, source string) bool {
	for known, word := range l.words {
		if now-word.saidAt > leavingTTL {
			delete(l.words, known)
		}
	}
	if _, known := l.words[process]; known || now-saidAt > leavingTTL || len(l.words) >= maxLeavingWords {
		return false
	}
	l.changes++
	l.words[process] = leavingWord{saidAt: saidAt, source: source, change: l.changes}
	return true
}

// export returns the words to report: all, or those since the last export with cursor.
func (l *leavingUpstreams) export(now time.Duration, cursor *uint64, full bool) []loadshare.LeavingUpstream {
	since := *cursor
	*cursor = l.changes
	var exported []loadshare.LeavingUpstream
	for process, word := range l.words {
		if (full || word.change > since) && now-word.saidAt <= leavingTTL && len(exported) < maxReportedLeaving {
			exported = append(exported, loadshare.LeavingUpstream{
				Upstream: process.upstream, Incarnation: process.incarnation, AgeMs: toMs(now - word.saidAt),
			})
		}
	}
	return exported
}

// upstreamLeavingMsg records that the answer of an upstream said that it leaves.
type upstreamLeavingMsg struct{ process admission.Process }

func (m upstreamLeavingMsg) apply(c *controlLoop) {
	now := c.g.now()
	c.recordLeaving(now, now, keyOf(m.process), "")
}

// recordLeaving stops requests to a process of an upstream, or keeps the word until the
// record of the process is read. source is the instance that reported it, empty for this
// one.
func (c *controlLoop) recordLeaving(now, saidAt time.Duration, process processKey, source string) {
	if !c.leaving.add(now, saidAt, process, source) {
		return
	}
	c.g.metrics.upstreamsLeaving.Inc(1)
	if id, known := c.upstreamNames[process.upstream]; known {
		c.applyLeaving(admission.Process{ID: id, Incarnation: process.incarnation})
	}
	c.markReportsChanged()
}

// applyLeaving applies the word of a process, if there is one, to the upstream.
func (c *controlLoop) applyLeaving(process admission.Process) {
	key := keyOf(process)
	word, left := c.leaving.words[key]
	if !left {
		return
	}
	if service, known := c.services[process.ID]; known {
		c.pool(service).SetLeaving(process)
	}
	if !word.applied {
		word.applied = true
		c.leaving.words[key] = word
		c.g.log.Info("upstream leaves by its own word", "upstream", process.ID, "incarnation", process.Incarnation, "source", word.source, "age_ms", (c.g.now() - word.saidAt).Milliseconds())
	}
}

// mergeLeaving applies the words of leaving upstreams that another instance has reported.
func (c *controlLoop) mergeLeaving(now time.Duration, source string, reported []loadshare.LeavingUpstream) {
	for _, word := range reported {
		c.recordLeaving(now, now-fromMs(word.AgeMs), processKey{upstream: word.Upstream, incarnation: word.Incarnation}, source)
	}
}

// heedUpstream acts on what the head of an upstream's answer says about the upstream.
func (x *exchange) heedUpstream(upstream admission.UpstreamInfo, reply Reply) {
	if reply.Leaving {
		x.g.enqueue(upstreamLeavingMsg{process: upstream.Process()})
	}
	if reply.QuietTime > 0 {
		x.g.metrics.quietTimes.Inc(1)
		x.g.requestLog.write(x.g.requestLog.failed, "upstream asked for no requests", []any{"upstream", upstream.ID, "incarnation", upstream.Incarnation,
			"request", x.requestInfo.RequestID, "for_ms", reply.QuietTime.Milliseconds()})
	}
}
