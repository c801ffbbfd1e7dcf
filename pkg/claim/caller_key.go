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

// ObjectKind is the kind of the platform objects that hold claims of
// caller-supplied keys.
const ObjectKind = "Claim"

// maxWrites limits the writes of one claim: one to create the object, one to
// take it over, and two more for a race or a write whose answer was lost.
const maxWrites = 4

// claimObject is the content of a claim object in the platform.
type claimObject struct {
	Domain      string `json:"domain"`
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Attempt and RequestID distinguish the attempts of one holder.
	Attempt     uint64 `json:"attempt"`
	RequestID   string `json:"requestID"`
	ClaimedAtMs int64  `json:"claimedAtMs"`
}

// objectName returns the name of the claim object of a team's key. Callers
// choose the keys, so the hash must resist deliberate collisions.
func objectName(team, key string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + key))
	return hex.EncodeToString(sum[:])
}

// claimKey claims a caller-supplied key with an object in the platform.
func (n *Node) claimKey(ctx context.Context, team, key string) (Reply, error) {
	name := objectName(team, key)
	requestID := n.NewID(team)
	a, reply := n.beginAttempt(requestID, requestID, name)
	if a == nil {
		return reply, nil
	}
	id, _ := ParseID(requestID)
	n.mu.Lock()
	n.claims.claim(n.options.Clock.Now(), id.Sequence, attemptID{n.options.Self, a.number})
	if e := n.claims.entries[id.Sequence]; e != nil {
		e.keyed = true
	}
	n.mu.Unlock()
	abandon := func() { n.abandon(a, id, "") }
	reply, err := n.writeClaim(ctx, name, a)
	if err != nil {
		abandon()
		return Reply{}, err
	}
	if reply.Result != Granted {
		abandon()
		return reply, nil
	}
	return n.applyReply(ctx, a, reply, abandon)
}

// writeClaim creates the claim object, or takes it over from an attempt that
// was abandoned. After a failed write it reads the object back, because the
// write may have taken effect.
func (n *Node) writeClaim(ctx context.Context, name string, a *attempt) (Reply, error) {
	desired := claimObject{
		Domain:      n.options.Domain,
		Holder:      n.options.Self.ID,
		Incarnation: n.options.Self.Incarnation,
		Attempt:     a.number,
		RequestID:   a.requestID,
		ClaimedAtMs: n.options.Clock.Now().UnixMilli(),
	}
	content, err := json.Marshal(desired)
	if err != nil {
		return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, err, "cannot encode the claim object")
	}
	pre := platform.Precondition{Absent: true}
	for range maxWrites {
		_, err = n.options.Store.Put(ctx, platform.Object{Kind: ObjectKind, Name: name, Body: content}, pre)
		if err == nil {
			return Reply{Result: Granted}, nil
		}
		found, readErr := n.options.Store.Get(ctx, ObjectKind, name)
		if errkind.KindOf(readErr) == errkind.NotFound {
			pre = platform.Precondition{Absent: true}
			continue
		}
		if readErr != nil {
			return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, readErr, "cannot read the claim object of the key")
		}
		var existing claimObject
		if json.Unmarshal(found.Body, &existing) != nil {
			return Reply{Result: Lost}, nil
		}
		if existing == desired {
			return Reply{Result: Granted}, nil
		}
		reply, takeOver := n.checkHolder(ctx, name, existing)
		if !takeOver {
			return reply, nil
		}
		pre = platform.Precondition{Version: found.Version}
	}
	return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, err, "claim object of the key not written after %d attempts", maxWrites)
}

// checkHolder queries the holder of an existing claim. The claim may be taken
// over only if its holder reports the attempt as abandoned.
func (n *Node) checkHolder(ctx context.Context, name string, existing claimObject) (reply Reply, takeOver bool) {
	status := n.queryHolder(ctx, existing.Domain, InstanceRef{existing.Holder, existing.Incarnation}, name, existing.Attempt)
	if !status.isMember {
		return Reply{Result: Lost, RequestID: existing.RequestID}, false
	}
	if !status.answered {
		return Reply{Result: InProgress, RequestID: existing.RequestID}, false
	}
	if status.phase == Abandoned {
		return Reply{}, true
	}
	return replyForPhase(status.phase, status.upstream, existing.RequestID), false
}
