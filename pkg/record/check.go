package record

import (
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
