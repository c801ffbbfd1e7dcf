package quota

import "time"

// View is the quota usage of all instances as the relay of a large failure domain knows
// it. In such a domain only the relay and its standbys receive the reports of all.
type View struct {
	// Totals is the usage of all instances by team, and OwnReported the part of it that
	// this instance had reported when the relay added it up.
	Totals      map[string]float64
	OwnReported map[string]float64
	// Reachable counts the instances that the relay has recent reports of, itself and
	// this one included, and Unreachable those that may still be serving.
	Reachable   int
	Unreachable int
	// UsageSource tells how the relay knows the usage from before its start. With
	// SourceUnknown, Totals holds only what was used since.
	UsageSource UsageSource
}

// fleetView is the last view and the time of its arrival.
type fleetView struct {
	View
	receivedAt time.Duration
	received   bool
}

// ApplyView applies a view of the relay.
func (t *TeamQuotas) ApplyView(now time.Duration, view View) {
	t.view = fleetView{View: view, receivedAt: now, received: true}
	if view.UsageSource == SourceUnknown {
		return
	}
	if t.viewTotals == nil {
		t.viewTotals = &peerUsage{current: teamWindows{}, previous: teamWindows{}, reportedTotals: teamWindows{}}
	}
	// If this instance has to replace the relay, the usage that nobody reports any more
	// still counts until it has left the window.
	t.viewTotals.reported = now
	t.viewTotals.applyTotals(now, t.rules.Window, UsageReport{Total: view.Totals, UsageSource: view.UsageSource}, t.observedUsageByTeam(now))
}

// EndView stops using the relay's views, since this instance is the relay itself now or
// its failure domain is no longer large. What the last view said about usage still
// counts for a window if this instance lacks the usage history.
func (t *TeamQuotas) EndView() { t.view = fleetView{} }

// viewIsFresh reports whether the relay's view is used instead of the peers' reports.
func (t *TeamQuotas) viewIsFresh(now time.Duration) bool {
	return t.view.received && now-t.view.receivedAt <= t.rules.ReportTimeout
}

// instancesOfView returns the number of instances that the last view counted, for as
// long as unreachable instances keep their share.
func (t *TeamQuotas) instancesOfView(now time.Duration) int {
	if !t.view.received || now-t.view.receivedAt > t.rules.PeerExpiry {
		return 0
	}
	return t.view.Reachable + t.view.Unreachable
}

// usageByView returns the usage of all instances: that of the view, with this instance's
// share replaced by its present usage.
func (t *TeamQuotas) usageByView(now time.Duration, team string, windowLimit float64) float64 {
	used := t.own.sum(now, team) + max(0, t.view.Totals[team]-t.view.OwnReported[team])
	if t.view.UsageSource == SourceUnknown && t.Restarted(now) {
		used += t.assumedUsage(now, team, windowLimit)
	}
	return used
}

// SetObserving states whether this instance receives the reports of all others of its
// failure domain.
func (t *TeamQuotas) SetObserving(now time.Duration, observing bool) {
	if observing && !t.observing && now-t.startedAt > t.rules.ReportTimeout {
		t.observingFrom = now
	}
	t.observing = observing
}

// usageByStaleView returns the usage of the other instances that a follower counts after
// it has lost its relay: as for unreachable peers, the part above the share of the limit
// that they keep.
func (t *TeamQuotas) usageByStaleView(now time.Duration, team string, windowLimit, total float64) float64 {
	others := t.instancesOfView(now) - 1
	if others < 1 || t.observing || t.viewTotals == nil {
		return 0
	}
	used := t.viewTotals.reportedTotals.sum(now, team) - t.own.sum(now, team)
	return max(0, used-windowLimit*float64(others)/total)
}

// FleetView returns the usage of all instances for the followers of this one, which must
// be an observer.
func (t *TeamQuotas) FleetView(now time.Duration) View {
	view := View{}
	view.Reachable, view.Unreachable = t.countInstances(now)
	if view.Totals, view.UsageSource = t.ReportableTotal(now); view.UsageSource == SourceUnknown {
		view.Totals = t.TotalUsage(now)
	}
	return view
}

// InstanceCounts returns the number of instances with a recent report, this one included, and
// the number of those without that may still be serving.
func (t *TeamQuotas) InstanceCounts(now time.Duration) (reachable, unreachable int) {
	return t.countInstances(now)
}
