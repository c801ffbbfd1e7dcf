package worklimit

import (
	"math"
	"time"
)

// Weights of the calibration.
const (
	// calibrationHalfLife is the number of first outputs after which the weight of an
	// older one has halved.
	calibrationHalfLife = 200
	// minCalibrated is the number of first outputs before the calibration is used, and
	// minSpread the least relative standard deviation of their numbers of tokens: from
	// prompts of one length, the fixed part of the time cannot be told from the rest.
	minCalibrated = 30
	minSpread     = 0.2
	// maxOutlierFactor bounds the time of a first output relative to the prediction.
	maxOutlierFactor = 4
	// Bounds of the calibrated figures.
	minTokensPerMs = 1
	maxTokensPerMs = 5000
	maxOverheadMs  = 1000
)

// Calibration learns how the time to the first output grows with the tokens to be read,
// at an upstream of speed 1: by least squares, over all upstreams of a service.
type Calibration struct {
	weight, x, y, xx, xy float64
}

// Observe adds a first output: its time, multiplied by the speed of the upstream, and the
// number of tokens that were to be read before it, of this and of earlier requests.
func (c *Calibration) Observe(tokens int, scaled time.Duration) {
	x, y := float64(tokens), float64(scaled)/float64(time.Millisecond)
	if tokens <= 0 || y <= 0 {
		return
	}
	if perToken, overhead, ok := c.Figures(); ok {
		y = math.Min(y, maxOutlierFactor*(overhead+perToken*x))
	}
	keep := math.Exp2(-1.0 / calibrationHalfLife)
	c.weight, c.x, c.y, c.xx, c.xy = c.weight*keep+1, c.x*keep+x, c.y*keep+y, c.xx*keep+x*x, c.xy*keep+x*y
}

// Figures returns the time for each token and the fixed part of the time to a first
// output, in milliseconds, and false if there is too little evidence.
func (c *Calibration) Figures() (msPerToken, overheadMs float64, ok bool) {
	if c.weight < minCalibrated {
		return 0, 0, false
	}
	meanX, meanY := c.x/c.weight, c.y/c.weight
	variance := c.xx/c.weight - meanX*meanX
	if variance < minSpread*minSpread*meanX*meanX {
		return 0, 0, false
	}
	msPerToken = (c.xy/c.weight - meanX*meanY) / variance
	msPerToken = math.Max(1.0/maxTokensPerMs, math.Min(1.0/minTokensPerMs, msPerToken))
	return msPerToken, math.Max(0, math.Min(maxOverheadMs, meanY-msPerToken*meanX)), true
}
