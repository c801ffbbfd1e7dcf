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
	// unattributedLeavingTime is how long the next process of an upstream gets no requests
	// if the word of leaving may have been its own. Its record says so within a few of its
	// reports.
	unattributedLeavingTime = 10 * time.Second
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

// lastWord is the last word of an upstream in an answer. An answer names the upstream and not
// its process, which may have been replaced before its record was.
type lastWord struct {
	address string
	// incarnation is that of the process to which the word was attributed.
	incarnation int64
	// saidUnixMs is the wall clock time at which the answer arrived, and until the end of
	// the time in which the upstream wants no requests.
	saidUnixMs int64
	until      time.Duration
}

// upstreamWordMsg records what an answer said about its upstream, besides the quiet time of
// the process that the request was sent to.
type upstreamWordMsg struct {
	upstream   admission.UpstreamInfo
	reply      Reply
	saidUnixMs int64
}

func (m upstreamWordMsg) apply(c *controlLoop) {
	now := c.g.now()
	quiet := m.reply.QuietTime
	if m.reply.Leaving {
		c.recordLeaving(now, now, keyOf(m.upstream.Process()), "")
		quiet = max(quiet, unattributedLeavingTime)
	}
	for id, word := range c.lastWords {
		if now >= word.until {
			delete(c.lastWords, id)
		}
	}
	until := max(c.lastWords[m.upstream.ID].until, now+quiet)
	c.lastWords[m.upstream.ID] = lastWord{address: m.upstream.Address, incarnation: m.upstream.Incarnation, saidUnixMs: m.saidUnixMs, until: until}
}

// attributeLastWord applies the last word of an upstream to its next process, if that had
// started before the word was said. Clocks may differ, so that the process gets a quiet time
// and is asked again after it.
func (c *controlLoop) attributeLastWord(info admission.UpstreamInfo) {
	now := c.g.now()
	word, known := c.lastWords[info.ID]
	if !known || now >= word.until || word.incarnation == info.Incarnation || word.address != info.Address || word.saidUnixMs < info.Incarnation {
		return
	}
	word.incarnation = info.Incarnation
	c.lastWords[info.ID] = word
	c.pool(info.Service).SetQuiet(now, info.Process(), word.until-now)
	c.g.log.Info("earlier answer applied to the next process of the upstream", "upstream", info.ID, "incarnation", info.Incarnation, "for_ms", (word.until - now).Milliseconds())
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
	if reply.Leaving || reply.QuietTime > 0 {
		x.g.enqueue(upstreamWordMsg{upstream: upstream, reply: reply, saidUnixMs: x.g.clock.Now().UnixMilli()})
	}
	if reply.QuietTime > 0 {
		x.g.metrics.quietTimes.Inc(1)
		x.g.requestLog.write(x.g.requestLog.failed, "upstream asked for no requests", []any{"upstream", upstream.ID, "incarnation", upstream.Incarnation,
			"request", x.requestInfo.RequestID, "for_ms", reply.QuietTime.Milliseconds()})
	}
}
