// Package capacity measures the CPU time, memory, messages and platform calls of an
// instance, and fits them as linear functions of the size and load of a deployment.
package capacity

import (
	"math"
	"slices"
)

// LinearFit is a least-squares fit of y = Intercept + Slope * x.
type LinearFit struct {
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
	// Residual is the largest absolute error of a point, in the unit of y.
	Residual float64 `json:"residual"`
}

// Fit returns the least-squares line through the points. If all points have the same
// x, they determine no slope and the slope is zero.
func Fit(x, y []float64) LinearFit {
	if len(x) == 0 || len(x) != len(y) {
		return LinearFit{}
	}
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	line := LinearFit{Intercept: meanY}
	if variance > 0 {
		line.Slope = covariance / variance
		line.Intercept = meanY - line.Slope*meanX
	}
	for i := range x {
		line.Residual = max(line.Residual, math.Abs(y[i]-line.Intercept-line.Slope*x[i]))
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

// Quantile returns the q-quantile of the values by nearest rank, or zero if there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}
