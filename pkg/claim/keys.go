package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// Kind is the kind of the platform objects that hold claims of caller-supplied keys.
const Kind = "Claim"

// maxWrites bounds the writes of one claim: one to create the object, one to
// take it over, and two more for a race or a write whose answer was lost.
const maxWrites = 4

// body is the content of a claim object.
type body struct {
	Domain      string `json:"domain"`
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Attempt and RequestID tell apart the attempts of one holder.
	Attempt     uint64 `json:"attempt"`
	RequestID   string `json:"requestID"`
	ClaimedAtMs int64  `json:"claimedAtMs"`
}

// objectName returns the name of the claim object of a team's key. Callers
// choose the keys, so the hash must resist collisions made on purpose.
func objectName(team, key string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + key))
	return hex.EncodeToString(sum[:])
}

// claimKey claims a key of the caller's own with an object in the platform.
func (n *Node) claimKey(ctx context.Context, team, key string) (Reply, error) {
	name := objectName(team, key)
	requestID := n.NewID(team)
	a, reply := n.begin(requestID, requestID, name)
	if a == nil {
		return reply, nil
	}
	id, _ := ParseID(requestID)
	n.mu.Lock()
	n.table.claim(n.options.Clock.Now(), id.Sequence, claimant{n.options.Self, a.number})
	if e := n.table.entries[id.Sequence]; e != nil {
		e.keyed = true
	}
	n.mu.Unlock()
	end := func() { n.end(a, id, "") }
	reply, err := n.writeClaim(ctx, name, a)
	if err != nil {
		end()
		return Reply{}, err
	}
	if reply.Result != Granted {
		end()
		return reply, nil
	}
	return n.settle(ctx, a, reply, end)
}

// writeClaim creates the claim object, or takes it over from an attempt that
// was abandoned. After a write that failed it reads the object back, because
// the write may have taken effect.
func (n *Node) writeClaim(ctx context.Context, name string, a *attempt) (Reply, error) {
	mine := body{
		Domain:      n.options.Domain,
		Holder:      n.options.Self.ID,
		Incarnation: n.options.Self.Incarnation,
		Attempt:     a.number,
		RequestID:   a.requestID,
		ClaimedAtMs: n.options.Clock.Now().UnixMilli(),
	}
	content, err := json.Marshal(mine)
	if err != nil {
		return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, err, "the claim cannot be encoded")
	}
	pre := platform.Precondition{Absent: true}
	for range maxWrites {
		_, err = n.options.Store.Put(ctx, platform.Object{Kind: Kind, Name: name, Body: content}, pre)
		if err == nil {
			return Reply{Result: Granted}, nil
		}
		found, readErr := n.options.Store.Get(ctx, Kind, name)
		if errkind.KindOf(readErr) == errkind.NotFound {
			pre = platform.Precondition{Absent: true}
			continue
		}
		if readErr != nil {
			return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, readErr, "the claim of the key cannot be read")
		}
		var other body
		if json.Unmarshal(found.Body, &other) != nil {
			return Reply{Result: Lost}, nil
		}
		if other == mine {
			return Reply{Result: Granted}, nil
		}
		reply, takeOver := n.judge(ctx, name, other)
		if !takeOver {
			return reply, nil
		}
		pre = platform.Precondition{Version: found.Version}
	}
	return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, err, "the claim of the key was not written after %d tries", maxWrites)
}

// judge asks the holder of an existing claim. Only an attempt that its holder
// reports as abandoned may be taken over.
func (n *Node) judge(ctx context.Context, name string, other body) (reply Reply, takeOver bool) {
	status := n.askHolder(ctx, other.Domain, Ref{other.Holder, other.Incarnation}, name, other.Attempt)
	if !status.known {
		return Reply{Result: Lost, RequestID: other.RequestID}, false
	}
	if !status.answered {
		return Reply{Result: InProgress, RequestID: other.RequestID}, false
	}
	if status.phase == Abandoned {
		return Reply{}, true
	}
	return phaseReply(status.phase, status.upstream, other.RequestID), false
}
