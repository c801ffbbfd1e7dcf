package record

import (
	"maps"
	"slices"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Set holds the records that references are checked against.
type Set struct {
	Tiers     map[string]*Tier
	Teams     map[string]*Team
	Models    map[string]*Model
	Upstreams map[string]*Upstream
}

// Check validates the references of a record to records of the set, and that the
// default tier of a team is not above its highest tier. An error has the kind
// InvalidRecord and names the field.
func (s Set) Check(r Record) error {
	switch r := r.(type) {
	case *Team:
		return s.checkTeam(r)
	case *Upstream:
		return s.checkUpstream(r)
	case *Withdrawal:
		return s.checkWithdrawal(r)
	default:
		return nil
	}
}

// NewlyInvalid returns an error for each Team and then each Upstream of the set
// whose references are invalid in s but were valid in previous, ordered by
// name.
func (s Set) NewlyInvalid(previous Set) []error {
	var invalid []error
	for _, name := range slices.Sorted(maps.Keys(s.Teams)) {
		invalid = appendIfNewlyInvalid(invalid, previous.Teams[name], s.Teams[name], previous, s)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		invalid = appendIfNewlyInvalid(invalid, previous.Upstreams[name], s.Upstreams[name], previous, s)
	}
	return invalid
}

// appendIfNewlyInvalid appends the error of a record whose references became
// invalid.
func appendIfNewlyInvalid[T any](invalid []error, old, current *T, previous, next Set) []error {
	err := next.Check(current)
	if err == nil || old == nil || previous.Check(old) != nil {
		return invalid
	}
	return append(invalid, err)
}

// Warning says why a valid record has no effect yet, or is empty. Such a record
// is not an error, since a Model is written before the first Upstream that
// serves it.
func (s Set) Warning(r Record) string {
	switch r := r.(type) {
	case *Model:
		return s.modelWarning(r)
	case *Withdrawal:
		if !s.selectsAnyUpstream(r) {
			return "no upstream is selected"
		}
	}
	return ""
}

// modelWarning returns a warning that names the first version of the model that no
// upstream serves, or an empty text.
func (s Set) modelWarning(model *Model) string {
	for _, version := range model.Versions {
		if !s.anyUpstream(func(u *Upstream) bool { return slices.Contains(u.Models, model.Name+"@"+version) }) {
			return "no upstream serves version " + version
		}
	}
	return ""
}

// selectsAnyUpstream reports whether the withdrawal selects an upstream of the set.
func (s Set) selectsAnyUpstream(w *Withdrawal) bool {
	return s.anyUpstream(func(u *Upstream) bool {
		return slices.Contains(w.Upstreams, u.Name) ||
			w.Batch != "" && u.Batch == w.Batch ||
			w.ModelVersion != "" && slices.Contains(u.Models, w.ModelVersion)
	})
}

func (s Set) anyUpstream(matches func(*Upstream) bool) bool {
	for _, upstream := range s.Upstreams {
		if matches(upstream) {
			return true
		}
	}
	return false
}

func (s Set) checkTeam(team *Team) error {
	defaultTier, highestTier := s.Tiers[team.DefaultTier], s.Tiers[team.HighestTier]
	switch {
	case defaultTier == nil:
		return danglingReference(KindTeam, team.Name, "spec.defaultTier", "tier", team.DefaultTier)
	case highestTier == nil:
		return danglingReference(KindTeam, team.Name, "spec.highestTier", "tier", team.HighestTier)
	case defaultTier.Priority > highestTier.Priority:
		return errkind.New(errkind.InvalidRecord,
			"Team %s: field spec.defaultTier: %s is above the highest tier %s", team.Name, defaultTier.Name, highestTier.Name)
	}
	return nil
}

func (s Set) checkUpstream(upstream *Upstream) error {
	for i, modelVersion := range upstream.Models {
		name, version := SplitModelVersion(modelVersion)
		model := s.Models[name]
		if model == nil || !slices.Contains(model.Versions, version) {
			return danglingReference(KindUpstream, upstream.Name, "spec."+indexed("models", i), "model version", modelVersion)
		}
	}
	return nil
}

func (s Set) checkWithdrawal(withdrawal *Withdrawal) error {
	for i, name := range withdrawal.Upstreams {
		if s.Upstreams[name] == nil {
			return danglingReference(KindWithdrawal, withdrawal.Name, "spec."+indexed("upstreams", i), "upstream", name)
		}
	}
	return nil
}

// danglingReference returns the error for a reference to a record that does not
// exist.
func danglingReference(kind Kind, name, field, targetKind, reference string) error {
	return errkind.New(errkind.InvalidRecord, "%s %s: field %s: %s %q does not exist", kind, name, field, targetKind, reference)
}
