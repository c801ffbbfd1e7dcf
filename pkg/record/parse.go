package record

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Record is a parsed record in the newest schema version: a *Tier, *Team,
// *Model, *Upstream or *Withdrawal.
type Record any

// upstreamV1 is the spec of an Upstream in SchemaV1: an engine that serves one
// model version.
type upstreamV1 struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Model is the model version served, as model@version.
	Model string `json:"model"`
	// Limit is the number of requests in flight.
	Limit           int    `json:"limit"`
	Batch           string `json:"batch,omitempty"`
	ChecksFencing   bool   `json:"checksFencing,omitempty"`
	EchoesRequestID bool   `json:"echoesRequestID,omitempty"`
}

// convert is the only place at which a spec of SchemaV1 becomes a newer one.
func (u upstreamV1) convert() Upstream {
	return Upstream{
		Type:            TypeEngine,
		Address:         u.Address,
		Domain:          u.Domain,
		Models:          []string{u.Model},
		MaxRequests:     u.Limit,
		Batch:           u.Batch,
		ChecksFencing:   u.ChecksFencing,
		EchoesRequestID: u.EchoesRequestID,
	}
}

// Kinds lists the kinds of records, in the order in which they can be applied.
func Kinds() []Kind {
	return []Kind{KindTier, KindTeam, KindModel, KindUpstream, KindWithdrawal}
}

// ParseEnvelopes reads one or more JSON envelopes. An error has the kind InvalidRecord.
func ParseEnvelopes(data []byte) ([]Envelope, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var envelopes []Envelope
	for {
		var envelope Envelope
		err := decoder.Decode(&envelope)
		if errors.Is(err, io.EOF) {
			return envelopes, nil
		}
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidRecord, err, "envelope %d", len(envelopes)+1)
		}
		envelopes = append(envelopes, envelope)
	}
}

// Parse parses and validates the body of one object. An error has the kind
// InvalidRecord and names the field.
func Parse(body []byte) (Envelope, Record, error) {
	envelopes, err := ParseEnvelopes(body)
	if err != nil {
		return Envelope{}, nil, err
	}
	if len(envelopes) != 1 {
		return Envelope{}, nil, errkind.New(errkind.InvalidRecord, "%d envelopes in one object", len(envelopes))
	}
	parsed, err := envelopes[0].Record()
	return envelopes[0], parsed, err
}

// Record parses and validates the spec of the envelope.
func (e Envelope) Record() (Record, error) {
	if e.Schema != SchemaV1 && e.Schema != SchemaV2 {
		return nil, e.invalid("schema", "version %q is not known", e.Schema)
	}
	if !validName.MatchString(e.Name) {
		return nil, e.invalid("name", "%q does not match %s", e.Name, validName)
	}
	switch e.Kind {
	case KindTier:
		return decode(e, &Tier{Name: e.Name}, Tier.problem)
	case KindTeam:
		return decode(e, &Team{Name: e.Name}, Team.problem)
	case KindModel:
		return decode(e, &Model{Name: e.Name}, Model.problem)
	case KindUpstream:
		return e.upstream()
	case KindWithdrawal:
		return decode(e, &Withdrawal{Name: e.Name}, Withdrawal.problem)
	default:
		return nil, e.invalid("kind", "%q is not known", e.Kind)
	}
}

func (e Envelope) upstream() (Record, error) {
	if e.Schema != SchemaV1 {
		return decode(e, &Upstream{Name: e.Name}, Upstream.problem)
	}
	var old upstreamV1
	if _, err := decode(e, &old, func(upstreamV1) *problem { return nil }); err != nil {
		return nil, err
	}
	upstream := old.convert()
	upstream.Name = e.Name
	if p := upstream.problem(); p != nil {
		return nil, e.invalid(fieldNamesV1(p.field), "%s", p.text)
	}
	return &upstream, nil
}

// fieldNamesV1 gives the name that a field has in SchemaV1.
func fieldNamesV1(field string) string {
	switch {
	case strings.HasPrefix(field, "models"):
		return "spec.model"
	case field == "maxRequests":
		return "spec.limit"
	default:
		return "spec." + field
	}
}

func decode[T any](e Envelope, into *T, check func(T) *problem) (Record, error) {
	decoder := json.NewDecoder(bytes.NewReader(e.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return nil, errkind.Wrap(errkind.InvalidRecord, err, "%s %s: spec", e.Kind, e.Name)
	}
	if p := check(*into); p != nil {
		return nil, e.invalid("spec."+p.field, "%s", p.text)
	}
	return into, nil
}

func (e Envelope) invalid(field, format string, args ...any) error {
	return errkind.New(errkind.InvalidRecord, "%s %s: field %s: "+format,
		append([]any{e.Kind, e.Name, field}, args...)...)
}

// validName is the form of names of records: they are part of URLs and of the
// names of pools.
var validName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// sha256Length is the length of a SHA-256 sum in bytes.
const sha256Length = 32

// problem names a field of a spec and what is wrong with it.
type problem struct{ field, text string }

func (t Tier) problem() *problem {
	if t.DeadlineMs <= 0 {
		return &problem{"deadlineMs", "must be above 0"}
	}
	return nil
}

func (t Team) problem() *problem {
	for i, sum := range t.KeySHA256 {
		if raw, err := hex.DecodeString(sum); err != nil || len(raw) != sha256Length || strings.ToLower(sum) != sum {
			return &problem{indexed("keySHA256", i), "is not a lower-case hex SHA-256 sum"}
		}
	}
	switch {
	case t.Weight <= 0:
		return &problem{"weight", "must be above 0"}
	case t.DefaultTier == "":
		return &problem{"defaultTier", "is required"}
	case t.HighestTier == "":
		return &problem{"highestTier", "is required"}
	}
	return nil
}

func (m Model) problem() *problem {
	if len(m.Versions) == 0 {
		return &problem{"versions", "is required"}
	}
	for i, version := range m.Versions {
		if version == "" || strings.Contains(version, "@") {
			return &problem{indexed("versions", i), "must be a version without @"}
		}
	}
	return nil
}

func (u Upstream) problem() *problem {
	if _, port, err := net.SplitHostPort(u.Address); err != nil || port == "" {
		return &problem{"address", "must be host and port"}
	}
	switch {
	case !validName.MatchString(u.Domain):
		return &problem{"domain", "must be the name of a failure domain"}
	case u.MaxRequests <= 0:
		return &problem{"maxRequests", "must be above 0"}
	case u.MaxTokens < 0:
		return &problem{"maxTokens", "must not be negative"}
	case u.PrefillTokensPerSecond < 0:
		return &problem{"prefillTokensPerSecond", "must not be negative"}
	case u.DecodeTokensPerSecond < 0:
		return &problem{"decodeTokensPerSecond", "must not be negative"}
	}
	switch u.Role {
	case "", "prefill", "decode", "both":
	default:
		return &problem{"role", "must be empty, prefill, decode or both"}
	}
	switch u.Type {
	case TypeEngine:
		return u.engineProblem()
	case TypeService:
		if !validName.MatchString(u.Service) {
			return &problem{"service", "must be the name of a service"}
		}
		if len(u.Models) != 0 {
			return &problem{"models", "must be empty for a service"}
		}
		return nil
	default:
		return &problem{"type", "must be engine or service"}
	}
}

func (u Upstream) engineProblem() *problem {
	if u.Service != "" {
		return &problem{"service", "must be empty for an engine"}
	}
	if len(u.Models) == 0 {
		return &problem{"models", "is required"}
	}
	for i, model := range u.Models {
		if !validModelVersion(model) {
			return &problem{indexed("models", i), "must be model@version"}
		}
	}
	return nil
}

func (w Withdrawal) problem() *problem {
	if w.Batch == "" && len(w.Upstreams) == 0 && w.ModelVersion == "" {
		return &problem{"batch", "or upstreams or modelVersion is required"}
	}
	if w.ModelVersion != "" && !validModelVersion(w.ModelVersion) {
		return &problem{"modelVersion", "must be model@version"}
	}
	return nil
}

// SplitModelVersion splits model@version.
func SplitModelVersion(text string) (model, version string) {
	model, version, _ = strings.Cut(text, "@")
	return model, version
}

func validModelVersion(text string) bool {
	model, version := SplitModelVersion(text)
	return model != "" && version != "" && !strings.Contains(version, "@")
}

func indexed(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }
