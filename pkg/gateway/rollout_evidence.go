package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
)

// rolloutReportInterval is the time between two reports with evidence about versions to
// the same peers. A faulty version is found within some tenths of a second.
const rolloutReportInterval = 250 * time.Millisecond

// maxReportedCells bounds the cells of evidence about a service in a report, for the
// candidate and for the other versions each: routes, by load and period.
const maxReportedCells = 40

// pooledEvidence returns the sum of this instance's evidence and that of its peers: of all,
// or only of those in its own failure domain.
func (s *rolloutState) pooledEvidence(allDomains bool) rollout.Evidence {
	sum := rollout.NewEvidence()
	sum.Merge(s.own)
	for peer, evidence := range s.reported {
		if allDomains || !loadshare.IsDomainKey(peer) {
			sum.Merge(evidence)
		}
	}
	return sum
}

// exportRollouts returns the evidence for a report, or nothing if the last report with
// evidence to the same peers was sent a moment ago.
func (c *controlLoop) exportRollouts(now time.Duration, state *reportState, wholeDomain bool) []loadshare.RolloutEvidence {
	if len(c.rollouts.states) == 0 || now-state.rolloutsSentAt < rolloutReportInterval {
		return nil
	}
	state.rolloutsSentAt = now
	var exported []loadshare.RolloutEvidence
	for service, s := range c.rollouts.states {
		if s.progress.Stage.Final() {
			continue
		}
		evidence := s.own
		if wholeDomain {
			evidence = s.pooledEvidence(false)
		}
		encoded := loadshare.RolloutEvidence{Service: loadshare.ShortHash(service), Order: loadshare.ShortHash(s.order.ID)}
		encoded.Cells = appendCells(encoded.Cells, evidence.Candidate, true)
		encoded.Cells = appendCells(encoded.Cells, evidence.Incumbent, false)
		if len(encoded.Cells) > 0 {
			exported = append(exported, encoded)
		}
	}
	return exported
}

// appendCells appends the cells with the most results.
func appendCells(encoded []loadshare.RolloutCell, cells map[rollout.Cell]rollout.Counts, candidate bool) []loadshare.RolloutCell {
	first := len(encoded)
	for cell, counts := range cells {
		encoded = append(encoded, loadshare.RolloutCell{
			Route: cell.Route, Busy: cell.Busy, Candidate: candidate, Results: counts.Results, Failures: counts.Failures,
			Timed: counts.Timed, LogSum: float32(counts.LogSum), LogSquares: float32(counts.LogSquares), Period: uint8(cell.Period),
		})
	}
	if len(encoded)-first <= maxReportedCells {
		return encoded
	}
	slices.SortFunc(encoded[first:], func(a, b loadshare.RolloutCell) int {
		return cmp.Or(cmp.Compare(b.Results, a.Results), cmp.Compare(a.Route, b.Route))
	})
	return encoded[:first+maxReportedCells]
}

// applyRollouts replaces the evidence that a peer has reported before.
func (c *controlLoop) applyRollouts(peer string, reported []loadshare.RolloutEvidence) {
	for _, evidence := range reported {
		state := c.rollouts.states[c.serviceName(evidence.Service)]
		if state == nil || loadshare.ShortHash(state.order.ID) != evidence.Order {
			continue
		}
		decoded := rollout.NewEvidence()
		for _, cell := range evidence.Cells {
			decoded.Add(cell.Candidate, rollout.Cell{Route: cell.Route, Busy: cell.Busy, Period: rollout.Period(cell.Period)}, rollout.Counts{
				Results: cell.Results, Failures: cell.Failures, Timed: cell.Timed, LogSum: float64(cell.LogSum), LogSquares: float64(cell.LogSquares),
			})
		}
		state.reported[peer] = decoded
	}
}
