package record

import (
	"maps"
	"slices"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Set is a set of records that are in force together.
type Set struct {
	Tiers     map[string]*Tier
	Teams     map[string]*Team
	Models    map[string]*Model
	Upstreams map[string]*Upstream
}

// Check validates the references of one record to others of the set. An error
// has the kind InvalidRecord and names the field.
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

// Broken returns the error of each Team and Upstream of the set whose references
// were intact in before and are not in s, in the order of their names.
func (s Set) Broken(before Set) []error {
	var broken []error
	for _, name := range slices.Sorted(maps.Keys(s.Teams)) {
		broken = appendBroken(broken, before.Teams[name], s.Teams[name], before, s)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		broken = appendBroken(broken, before.Upstreams[name], s.Upstreams[name], before, s)
	}
	return broken
}

func appendBroken[T any](broken []error, old, current *T, before, after Set) []error {
	err := after.Check(current)
	if err == nil || old == nil || before.Check(old) != nil {
		return broken
	}
	return append(broken, err)
}

// Remark says why a valid record has no effect yet; it is empty when it has.
// That is no error: a Model is written before the first Upstream that serves it.
func (s Set) Remark(r Record) string {
	switch r := r.(type) {
	case *Model:
		return s.remarkModel(r)
	case *Withdrawal:
		if !s.selectsAny(r) {
			return "no upstream is selected"
		}
	}
	return ""
}

func (s Set) remarkModel(model *Model) string {
	for _, version := range model.Versions {
		if !s.anyUpstream(func(u *Upstream) bool { return slices.Contains(u.Models, model.Name+"@"+version) }) {
			return "no upstream serves version " + version
		}
	}
	return ""
}

func (s Set) selectsAny(w *Withdrawal) bool {
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
	base, highest := s.Tiers[team.DefaultTier], s.Tiers[team.HighestTier]
	switch {
	case base == nil:
		return dangling(KindTeam, team.Name, "spec.defaultTier", "tier", team.DefaultTier)
	case highest == nil:
		return dangling(KindTeam, team.Name, "spec.highestTier", "tier", team.HighestTier)
	case base.Priority > highest.Priority:
		return errkind.New(errkind.InvalidRecord,
			"Team %s: field spec.defaultTier: %s is above the highest tier %s", team.Name, base.Name, highest.Name)
	}
	return nil
}

func (s Set) checkUpstream(upstream *Upstream) error {
	for i, text := range upstream.Models {
		name, version := SplitModelVersion(text)
		model := s.Models[name]
		if model == nil || !slices.Contains(model.Versions, version) {
			return dangling(KindUpstream, upstream.Name, "spec."+indexed("models", i), "model version", text)
		}
	}
	return nil
}

func (s Set) checkWithdrawal(withdrawal *Withdrawal) error {
	for i, name := range withdrawal.Upstreams {
		if s.Upstreams[name] == nil {
			return dangling(KindWithdrawal, withdrawal.Name, "spec."+indexed("upstreams", i), "upstream", name)
		}
	}
	return nil
}

func dangling(kind Kind, name, field, what, reference string) error {
	return errkind.New(errkind.InvalidRecord, "%s %s: field %s: %s %q does not exist", kind, name, field, what, reference)
}
