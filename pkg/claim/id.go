package claim

import (
	"fmt"
	"strconv"
	"strings"
)

// idPrefix begins every issued request ID and names its format.
const idPrefix = "rw1."

// idFields is the number of fields of a request ID, the prefix included.
const idFields = 5

// ID is an issued request ID: rw1.DOMAIN.INSTANCE.INCARNATION.SEQUENCE.
type ID struct {
	Domain      string
	Instance    string
	Incarnation uint64
	Sequence    uint64
}

// String returns the text form.
func (id ID) String() string {
	return fmt.Sprintf("%s%s.%s.%d.%d", idPrefix, id.Domain, id.Instance, id.Incarnation, id.Sequence)
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
	id := ID{fields[1], fields[2], incarnation, sequence}
	if !validName(id.Domain) || !validName(id.Instance) || id.String() != text {
		return ID{}, false
	}
	return id, true
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
