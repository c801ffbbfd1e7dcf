package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// idPrefix starts every issued request ID and identifies the version of its
// format.
const idPrefix = "rw1."

const (
	// idFieldCount includes the prefix.
	idFieldCount = 7
	// teamHashBytes is the length of a team's hash. Two teams can be confused
	// only if the operator chooses two names with the same hash.
	teamHashBytes = 8
	// tagBytes is the length of the issuer's MAC, which is too long to be
	// guessed.
	tagBytes = 16
	// secretBytes is the length of the MAC key.
	secretBytes = 32
)

// ID is an issued request ID:
// rw1.DOMAIN.INSTANCE.INCARNATION.SEQUENCE.TEAM.TAG.
//
// The fields up to the sequence number can be guessed. TEAM is a hash of the
// name of the team that the ID was issued to. Every instance compares it with
// the caller's team before it claims, attaches to or resumes the request, so
// that an ID that was guessed or leaked is of no use to another team. TAG is a
// MAC over all other fields; the issuer generates its key at start and grants
// no claim without a valid tag. Otherwise another team could put its own hash
// into a guessed ID and claim the request before its owner. Upstreams identify
// a request by the whole text, so a modified ID matches nothing.
//
// A random field instead of TEAM and TAG would be as hard to guess, but would
// not protect an ID that leaked, and the issuer would have to store it for
// every ID that was issued and not claimed yet.
type ID struct {
	Domain      string
	Instance    string
	Incarnation uint64
	Sequence    uint64
	// Team is the TeamHash of the team.
	Team string
	// Tag is the issuer's MAC in hexadecimal digits.
	Tag string
}

// String returns the text form.
func (id ID) String() string { return id.signedPart() + "." + id.Tag }

// signedPart returns the part of the text form that the tag covers.
func (id ID) signedPart() string {
	return fmt.Sprintf("%s%s.%s.%d.%d.%s", idPrefix, id.Domain, id.Instance, id.Incarnation, id.Sequence, id.Team)
}

// sign computes the tag of the ID.
func (id ID) sign(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(id.signedPart()))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}

// TeamHash returns the hash of a team name as request IDs contain it.
func TeamHash(team string) string {
	sum := sha256.Sum256([]byte(team))
	return hex.EncodeToString(sum[:teamHashBytes])
}

// IsIssuedTo reports whether the text is a request ID that was issued to the
// team. It does not check the tag, which only the issuer can do.
func IsIssuedTo(team, text string) bool {
	id, ok := ParseID(text)
	return ok && id.Team == TeamHash(team)
}

// ParseID parses an issued request ID. It accepts only the canonical form that
// String returns, so that one request has only one identity.
func ParseID(text string) (ID, bool) {
	fields := strings.Split(text, ".")
	if len(fields) != idFieldCount {
		return ID{}, false
	}
	incarnation, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil {
		return ID{}, false
	}
	sequence, err := strconv.ParseUint(fields[4], 10, 64)
	if err != nil {
		return ID{}, false
	}
	id := ID{fields[1], fields[2], incarnation, sequence, fields[5], fields[6]}
	if !validName(id.Domain) || !validName(id.Instance) || !validHex(id.Team, teamHashBytes) || !validHex(id.Tag, tagBytes) {
		return ID{}, false
	}
	if id.String() != text {
		return ID{}, false
	}
	return id, true
}

// validHex reports whether the text is the canonical encoding of the number of
// bytes: complete and in lower case.
func validHex(text string, bytes int) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == bytes && hex.EncodeToString(decoded) == text
}

// validName reports whether a name can be a field of a request ID.
func validName(name string) bool {
	if name == "" {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
