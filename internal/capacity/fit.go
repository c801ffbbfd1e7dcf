// Package capacity measures what an instance costs: processor time, memory,
// messages and calls of the platform, as slopes over the size of a deployment.
package capacity

import (
	"math"
	"slices"
)

// Line is a least-squares fit of y = Base + Slope * x.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Residual is the largest distance of a point from the line, in units of y.
	Residual float64 `json:"residual"`
}

// Fit returns the least-squares line through the points. Points that share one
// x give a slope of zero, because they do not determine one.
func Fit(x, y []float64) Line {
	if len(x) == 0 || len(x) != len(y) {
		return Line{}
	}
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	line := Line{Base: meanY}
	if variance > 0 {
		line.Slope = covariance / variance
		line.Base = meanY - line.Slope*meanX
	}
	for i := range x {
		line.Residual = max(line.Residual, math.Abs(y[i]-line.Base-line.Slope*x[i]))
	}
	return line
}

func mean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// Quantile returns the q-quantile of the values by nearest rank, or zero of none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}
