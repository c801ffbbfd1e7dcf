package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// idPrefix begins every issued request ID and names its format.
const idPrefix = "rw1."

const (
	// idFields is the number of fields of a request ID, the prefix included.
	idFields = 7
	// teamBytes is the length of a team's hash. A team can be mistaken for
	// another one only if the operator gives both names with the same hash.
	teamBytes = 8
	// tagBytes is the length of an issuer's tag, which cannot be guessed.
	tagBytes = 16
	// secretBytes is the length of the key of the tags.
	secretBytes = 32
)

// ID is an issued request ID:
// rw1.DOMAIN.INSTANCE.INCARNATION.SEQUENCE.TEAM.TAG.
//
// The fields up to the sequence number can be guessed. TEAM is a hash of the
// name of the team that the ID was issued to. Every instance compares it with
// the caller's team before it claims, attaches to or resumes the request, so
// that an ID that was guessed or leaked is of no use to another team. TAG is a
// MAC over all other fields with a key that the issuer draws when it starts.
// The issuer grants no claim without it; otherwise another team could put its
// own hash into a guessed ID and hold the claim of a request before its owner.
// An upstream knows a request by the whole text, so a changed ID finds nothing.
//
// A random part instead of both was considered. It is as hard to guess, but it
// does not protect an ID that leaked, and the issuer would have to keep the
// part of every ID that was issued and not claimed yet.
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
func (id ID) String() string { return id.signed() + "." + id.Tag }

// signed returns the part of the text form that the tag covers.
func (id ID) signed() string {
	return fmt.Sprintf("%s%s.%s.%d.%d.%s", idPrefix, id.Domain, id.Instance, id.Incarnation, id.Sequence, id.Team)
}

// sign returns the tag of the ID.
func (id ID) sign(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(id.signed()))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}

// TeamHash returns the hash of a team's name that its request IDs carry.
func TeamHash(team string) string {
	sum := sha256.Sum256([]byte(team))
	return hex.EncodeToString(sum[:teamBytes])
}

// Owns reports whether the text is a request ID that was issued to the team.
// It does not check the tag, which only the issuer can.
func Owns(team, text string) bool {
	id, ok := ParseID(text)
	return ok && id.Team == TeamHash(team)
}

// ParseID parses an issued request ID. Only the exact form that String returns
// is accepted, so that one request never has two spellings of its ID.
func ParseID(text string) (ID, bool) {
	fields := strings.Split(text, ".")
	if len(fields) != idFields {
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
	if !validName(id.Domain) || !validName(id.Instance) || !validHex(id.Team, teamBytes) || !validHex(id.Tag, tagBytes) {
		return ID{}, false
	}
	if id.String() != text {
		return ID{}, false
	}
	return id, true
}

// validHex accepts the one spelling of a number of bytes: lower case, in full.
func validHex(text string, bytes int) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == bytes && hex.EncodeToString(decoded) == text
}

// validName accepts names that can be part of a request ID.
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
