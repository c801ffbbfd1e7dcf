package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// clamp converts a number to the range of the protocol.
func clamp[N int | int64](n N) uint32 {
	return uint32(min(max(int64(n), 0), math.MaxUint32))
}

func workToWire(w sched.Work) *peer.Work {
	lengths := make([]uint32, 0, len(w.PrefixTokens))
	for _, n := range w.PrefixTokens {
		lengths = append(lengths, clamp(n))
	}
	return &peer.Work{
		Tier: clamp(w.Tier), Team: w.Team, Model: w.Model,
		PromptTokens: clamp(w.PromptTokens), OutputTokens: clamp(w.OutputTokens),
		PrefixHashes: w.PrefixHashes, PrefixTokens: lengths,
		Fingerprint: w.Fingerprint, PromptBytes: clamp(w.PromptBytes),
	}
}

func workFromWire(w *peer.Work) sched.Work {
	lengths := make([]int, 0, len(w.GetPrefixTokens()))
	for _, n := range w.GetPrefixTokens() {
		lengths = append(lengths, int(n))
	}
	return sched.Work{
		Tier: int(w.GetTier()), Team: w.GetTeam(), Model: w.GetModel(),
		PromptTokens: int(w.GetPromptTokens()), OutputTokens: int(w.GetOutputTokens()),
		PrefixHashes: w.GetPrefixHashes(), PrefixTokens: lengths,
		Fingerprint: w.GetFingerprint(), PromptBytes: int(w.GetPromptBytes()),
	}
}

func resultToWire(r sched.Result) *peer.Release {
	return &peer.Release{
		RequestId: r.RequestID, Outcome: peer.Outcome(r.Outcome),
		CachedTokens: clamp(r.CachedTokens), OutputTokens: clamp(r.OutputTokens),
		FirstTokenUs: clamp(r.FirstToken.Microseconds()), TotalUs: clamp(r.Total.Microseconds()),
	}
}

func resultFromWire(holder string, r *peer.Release) sched.Result {
	return sched.Result{
		RequestID: r.RequestId, Holder: holder, Outcome: sched.Outcome(r.Outcome),
		CachedTokens: int(r.CachedTokens), OutputTokens: int(r.OutputTokens),
		FirstToken: time.Duration(r.FirstTokenUs) * time.Microsecond,
		Total:      time.Duration(r.TotalUs) * time.Microsecond,
	}
}

func strikesToWire(strikes map[uint64]int) []*peer.Strike {
	list := make([]*peer.Strike, 0, len(strikes))
	for fingerprint, count := range strikes {
		list = append(list, &peer.Strike{Fingerprint: fingerprint, Count: clamp(count)})
	}
	return list
}

func strikesFromWire(list []*peer.Strike) map[uint64]int {
	strikes := make(map[uint64]int, len(list))
	for _, s := range list {
		strikes[s.GetFingerprint()] = max(strikes[s.GetFingerprint()], int(s.GetCount()))
	}
	return strikes
}

// refusal returns the error for a refusal. A kind that does not say not_run is
// replaced, because nothing was dispatched without a grant.
func refusal(kind errkind.Kind, message string) error {
	if errkind.AnswerFor(kind).RunState != errkind.NotRun {
		kind = errkind.SchedulerUnreachable
	}
	return errkind.New(kind, "%s", message)
}

func holderName(ref *peer.InstanceRef) string {
	return ref.GetId() + "/" + strconv.FormatUint(ref.GetIncarnation(), 10)
}

func millisecondsLeft(now, until time.Time) uint32 {
	return clamp(until.Sub(now).Milliseconds())
}

func entryAcquire(m *peer.Acquire) *peer.EntryMessage {
	return &peer.EntryMessage{Body: &peer.EntryMessage_Acquire{Acquire: m}}
}

func entryCancel(id string) *peer.EntryMessage {
	return &peer.EntryMessage{Body: &peer.EntryMessage_Cancel{Cancel: &peer.Cancel{RequestId: id}}}
}

func entryRelease(m *peer.Release) *peer.EntryMessage {
	return &peer.EntryMessage{Body: &peer.EntryMessage_Release{Release: m}}
}

func entryHeartbeat() *peer.EntryMessage {
	return &peer.EntryMessage{Body: &peer.EntryMessage_Heartbeat{Heartbeat: &peer.Heartbeat{}}}
}

func schedulerHeartbeat() *peer.SchedulerMessage {
	return &peer.SchedulerMessage{Body: &peer.SchedulerMessage_Heartbeat{Heartbeat: &peer.Heartbeat{}}}
}

func schedulerAck(ack *peer.ReleaseAck) *peer.SchedulerMessage {
	return &peer.SchedulerMessage{Body: &peer.SchedulerMessage_ReleaseAck{ReleaseAck: ack}}
}

func schedulerGrant(now time.Time, g sched.Grant) *peer.SchedulerMessage {
	return &peer.SchedulerMessage{Body: &peer.SchedulerMessage_Grant{Grant: &peer.Grant{
		RequestId: g.RequestID, Upstream: g.Upstream, ExpiryMs: millisecondsLeft(now, g.Expiry),
		UncachedTokens: clamp(g.UncachedTokens), Reason: g.Reason, PreferredTo: g.PreferredTo,
	}}}
}

func schedulerRefuse(r sched.Refusal) *peer.SchedulerMessage {
	return &peer.SchedulerMessage{Body: &peer.SchedulerMessage_Refuse{Refuse: &peer.Refuse{
		RequestId: r.RequestID, Kind: string(r.Kind), Message: r.Message,
	}}}
}
