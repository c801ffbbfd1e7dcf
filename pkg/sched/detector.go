package sched

// slowness is the state of the slow-upstream detector of one upstream.
type slowness struct {
	slow      bool
	nextProbe int64
}
