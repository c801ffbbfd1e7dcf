package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// clampUint32 limits a number to the range of uint32, the protocol's number type.
func clampUint32[N int | int64](n N) uint32 {
	return uint32(min(max(int64(n), 0), math.MaxUint32))
}

func workToWire(w sched.Work) *peer.Work {
	lengths := make([]uint32, 0, len(w.PrefixTokens))
	for _, n := range w.PrefixTokens {
		lengths = append(lengths, clampUint32(n))
	}
	return &peer.Work{
		Tier: clampUint32(w.Tier), Team: w.Team, Model: w.Model,
		PromptTokens: clampUint32(w.PromptTokens), OutputTokens: clampUint32(w.OutputTokens),
		PrefixHashes: w.PrefixHashes, PrefixTokens: lengths,
		Fingerprint: w.Fingerprint, PromptBytes: clampUint32(w.PromptBytes),
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
		CachedTokens: clampUint32(r.CachedTokens), OutputTokens: clampUint32(r.OutputTokens),
		FirstTokenUs: clampUint32(r.FirstToken.Microseconds()), TotalUs: clampUint32(r.Total.Microseconds()),
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
		list = append(list, &peer.Strike{Fingerprint: fingerprint, Count: clampUint32(count)})
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

// refusalError returns the error for a Refuse message. A kind whose run state is
// not not_run is replaced, because nothing is dispatched without a grant.
func refusalError(kind errkind.Kind, message string) error {
	if errkind.ResponseFor(kind).RunState != errkind.NotRun {
		kind = errkind.SchedulerUnreachable
	}
	return errkind.New(kind, "%s", message)
}

func holderName(ref *peer.InstanceRef) string {
	return ref.GetId() + "/" + strconv.FormatUint(ref.GetIncarnation(), 10)
}

func millisecondsLeft(now, until time.Time) uint32 {
	return clampUint32(until.Sub(now).Milliseconds())
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
		UncachedTokens: clampUint32(g.UncachedTokens), Reason: g.Reason, PreferredTo: g.PreferredTo,
	}}}
}

func schedulerRefuse(r sched.Refusal) *peer.SchedulerMessage {
	return &peer.SchedulerMessage{Body: &peer.SchedulerMessage_Refuse{Refuse: &peer.Refuse{
		RequestId: r.RequestID, Kind: string(r.Kind), Message: r.Message,
	}}}
}
