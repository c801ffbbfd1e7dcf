package worklimit

import "math"

// Parameters of the control chart, as in the example of Lucas and Saccucci, "Exponentially
// Weighted Moving Average Control Schemes: Properties and Enhancements" (Technometrics 32,
// 1990), section 2: for independent normal values the average run length without a change
// is 500 values at 3 standard deviations; it is longer with the wider limit used here.
const (
	chartWeight = 0.25
	chartLimit  = 4.0
	// outlier is the number of standard deviations beyond which a value counts as this
	// many, so that one value alone gives no signal, but a second one like it does.
	outlier = 4.0
)

// chart detects a shift of the mean of deviations, of which each has its own standard
// error.
type chart struct {
	value float64
	// previous is the last deviation.
	previous float64
}

// add adds a deviation. If the mean has shifted, it returns the shift and true, and
// starts anew.
func (c *chart) add(deviation, standardError float64) (shift float64, changed bool) {
	normalized := math.Max(-outlier, math.Min(outlier, deviation/standardError))
	c.value += chartWeight * (normalized - c.value)
	previous := c.previous
	c.previous = deviation
	if math.Abs(c.value) <= chartLimit*math.Sqrt(chartWeight/(2-chartWeight)) {
		return 0, false
	}
	*c = chart{}
	// The smaller of the last two, if they agree, is not an outlier.
	if previous*deviation <= 0 {
		return 0, false
	}
	return math.Copysign(math.Min(math.Abs(previous), math.Abs(deviation)), deviation), true
}
