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

// Record is a parsed record of the newest schema version: a *Tier, *Team,
// *Model, *Upstream or *Withdrawal.
type Record any

// upstreamV1 is the spec of an Upstream in SchemaV1: an engine that serves one
// model version.
type upstreamV1 struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Model is the model version served, as model@version.
	Model string `json:"model"`
	// Limit is the maximum number of requests in flight.
	Limit           int    `json:"limit"`
	Batch           string `json:"batch,omitempty"`
	ChecksFencing   bool   `json:"checksFencing,omitempty"`
	EchoesRequestID bool   `json:"echoesRequestID,omitempty"`
}

// toV2 converts the spec to SchemaV2. No other code converts between schema
// versions.
func (u upstreamV1) toV2() Upstream {
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

// Kinds returns the kinds of records in the order in which they can be applied.
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

// Parse parses and validates the body of an object, which holds one envelope. An
// error has the kind InvalidRecord and names the field.
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

// Record parses the spec of the envelope, converts it to the newest schema
// version and validates it.
func (e Envelope) Record() (Record, error) {
	if e.Schema != SchemaV1 && e.Schema != SchemaV2 {
		return nil, e.invalid("schema", "version %q is not known", e.Schema)
	}
	if !validName.MatchString(e.Name) {
		return nil, e.invalid("name", "%q does not match %s", e.Name, validName)
	}
	switch e.Kind {
	case KindTier:
		return decodeSpec(e, &Tier{Name: e.Name}, Tier.validate)
	case KindTeam:
		return decodeSpec(e, &Team{Name: e.Name}, Team.validate)
	case KindModel:
		return decodeSpec(e, &Model{Name: e.Name}, Model.validate)
	case KindUpstream:
		return e.decodeUpstream()
	case KindWithdrawal:
		return decodeSpec(e, &Withdrawal{Name: e.Name}, Withdrawal.validate)
	default:
		return nil, e.invalid("kind", "%q is not known", e.Kind)
	}
}

// decodeUpstream parses the spec of an Upstream of either schema version.
func (e Envelope) decodeUpstream() (Record, error) {
	if e.Schema != SchemaV1 {
		return decodeSpec(e, &Upstream{Name: e.Name}, Upstream.validate)
	}
	var old upstreamV1
	if _, err := decodeSpec(e, &old, func(upstreamV1) *fieldError { return nil }); err != nil {
		return nil, err
	}
	upstream := old.toV2()
	upstream.Name = e.Name
	if fieldErr := upstream.validate(); fieldErr != nil {
		return nil, e.invalid(fieldPathV1(fieldErr.field), "%s", fieldErr.message)
	}
	return &upstream, nil
}

// fieldPathV1 returns the path in SchemaV1 of a field of the newest schema version.
func fieldPathV1(field string) string {
	switch {
	case strings.HasPrefix(field, "models"):
		return "spec.model"
	case field == "maxRequests":
		return "spec.limit"
	default:
		return "spec." + field
	}
}

// decodeSpec decodes the spec of the envelope and validates it.
func decodeSpec[T any](e Envelope, spec *T, validate func(T) *fieldError) (Record, error) {
	decoder := json.NewDecoder(bytes.NewReader(e.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return nil, errkind.Wrap(errkind.InvalidRecord, err, "%s %s: spec", e.Kind, e.Name)
	}
	if fieldErr := validate(*spec); fieldErr != nil {
		return nil, e.invalid("spec."+fieldErr.field, "%s", fieldErr.message)
	}
	return spec, nil
}

// invalid returns an InvalidRecord error for a field of the envelope.
func (e Envelope) invalid(field, format string, args ...any) error {
	return errkind.New(errkind.InvalidRecord, "%s %s: field %s: "+format,
		append([]any{e.Kind, e.Name, field}, args...)...)
}

// validName restricts the names of records, failure domains and services, which
// are part of URLs and of pool names.
var validName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

const sha256SizeBytes = 32

// fieldError is a field of a spec and the reason why it is invalid.
type fieldError struct{ field, message string }

func (t Tier) validate() *fieldError {
	if t.DeadlineMs <= 0 {
		return &fieldError{"deadlineMs", "must be above 0"}
	}
	return nil
}

func (t Team) validate() *fieldError {
	for i, sum := range t.KeySHA256 {
		if raw, err := hex.DecodeString(sum); err != nil || len(raw) != sha256SizeBytes || strings.ToLower(sum) != sum {
			return &fieldError{indexed("keySHA256", i), "must be a lower-case hex SHA-256 sum"}
		}
	}
	switch {
	case t.Weight <= 0:
		return &fieldError{"weight", "must be above 0"}
	case t.DefaultTier == "":
		return &fieldError{"defaultTier", "is required"}
	case t.HighestTier == "":
		return &fieldError{"highestTier", "is required"}
	}
	return nil
}

func (m Model) validate() *fieldError {
	if len(m.Versions) == 0 {
		return &fieldError{"versions", "is required"}
	}
	for i, version := range m.Versions {
		if version == "" || strings.Contains(version, "@") {
			return &fieldError{indexed("versions", i), "must be a version without @"}
		}
	}
	return nil
}

func (u Upstream) validate() *fieldError {
	if _, port, err := net.SplitHostPort(u.Address); err != nil || port == "" {
		return &fieldError{"address", "must be host and port"}
	}
	switch {
	case !validName.MatchString(u.Domain):
		return &fieldError{"domain", "must be the name of a failure domain"}
	case u.MaxRequests <= 0:
		return &fieldError{"maxRequests", "must be above 0"}
	case u.MaxTokens < 0:
		return &fieldError{"maxTokens", "must not be negative"}
	case u.PrefillTokensPerSecond < 0:
		return &fieldError{"prefillTokensPerSecond", "must not be negative"}
	case u.DecodeTokensPerSecond < 0:
		return &fieldError{"decodeTokensPerSecond", "must not be negative"}
	}
	switch u.Role {
	case "", "prefill", "decode", "both":
	default:
		return &fieldError{"role", "must be empty, prefill, decode or both"}
	}
	switch u.Type {
	case TypeEngine:
		return u.validateEngine()
	case TypeService:
		if !validName.MatchString(u.Service) {
			return &fieldError{"service", "must be the name of a service"}
		}
		if len(u.Models) != 0 {
			return &fieldError{"models", "must be empty for a service"}
		}
		return nil
	default:
		return &fieldError{"type", "must be engine or service"}
	}
}

func (u Upstream) validateEngine() *fieldError {
	if u.Service != "" {
		return &fieldError{"service", "must be empty for an engine"}
	}
	if len(u.Models) == 0 {
		return &fieldError{"models", "is required"}
	}
	for i, model := range u.Models {
		if !validModelVersion(model) {
			return &fieldError{indexed("models", i), "must be model@version"}
		}
	}
	return nil
}

func (w Withdrawal) validate() *fieldError {
	if w.Batch == "" && len(w.Upstreams) == 0 && w.ModelVersion == "" {
		return &fieldError{"batch", "is required unless upstreams or modelVersion is set"}
	}
	if w.ModelVersion != "" && !validModelVersion(w.ModelVersion) {
		return &fieldError{"modelVersion", "must be model@version"}
	}
	return nil
}

// SplitModelVersion splits a model version, written as model@version.
func SplitModelVersion(modelVersion string) (model, version string) {
	model, version, _ = strings.Cut(modelVersion, "@")
	return model, version
}

func validModelVersion(modelVersion string) bool {
	model, version := SplitModelVersion(modelVersion)
	return model != "" && version != "" && !strings.Contains(version, "@")
}

func indexed(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }
