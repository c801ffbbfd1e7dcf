package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// trafficKind is a kind of request of the reference deployment, whose figures the users
// gave. That deployment has nine instances and twelve engines.
type trafficKind struct {
	name              string
	requestsPerSecond float64
	// outputEvents is the number of events of the answer, with tokensPerEvent tokens
	// each.
	promptTokens, outputEvents logNormal
	latencyTarget              time.Duration
	timeout                    time.Duration
	// value is the value of an answer in time, and lateValue of a late one, for a
	// request of average size.
	value, lateValue float64
}

// logNormal is a log-normal distribution with an upper bound; sigma is the
// standard deviation of the logarithm.
type logNormal struct{ mean, sigma, max float64 }

func (l logNormal) draw(random *rand.Rand) int {
	mu := math.Log(l.mean) - l.sigma*l.sigma/2
	return int(math.Ceil(min(l.max, math.Exp(mu+l.sigma*random.NormFloat64()))))
}

// trafficKinds are long reports, interactive queries, and short labels.
var trafficKinds = []trafficKind{
	{"report", 21.5, logNormal{6610, 1.4, 54600}, logNormal{63.7, 1.5, 640}, time.Second, 15 * time.Second, 6.8, 2},
	{"query", 20.5, logNormal{628, 1, 3310}, logNormal{48.6, 1.5, 490}, 500 * time.Millisecond, 12 * time.Second, 1.7, 0.5},
	{"label", 27.7, logNormal{1800, 1.3, 6870}, logNormal{3.76, 1.5, 38}, 500 * time.Millisecond, 3 * time.Second, 0.34, 0.1},
}

const (
	// tokensPerEvent is the number of tokens in an event of a streamed answer.
	tokensPerEvent = 6
	// outputTokenWeight is the weight of an output token, relative to a prompt
	// token, in the size of a request. sizeDependentShare is the share of the value
	// that is proportional to the size, and maxValueFactor limits the value to a
	// multiple of that of an average request.
	outputTokenWeight  = 10
	sizeDependentShare = 0.7
	maxValueFactor     = 4
	// timeoutJitter is the maximum share by which a caller's timeout is shorter
	// than that of its kind.
	timeoutJitter = 0.15
)

// gatewayEngineSpeeds holds the relative speeds of the engines, assigned in turn.
var gatewayEngineSpeeds = []float64{0.55, 1, 2.8}

// Step durations and prefill rate of an engine of the reference deployment with
// speed 1.
const (
	decodeStepMs           = 2.89
	decodeStepMsPerRequest = 0.101
	prefillTokensPerMs     = 55
	msPerSecond            = 1000
)

// gatewayBatching models the engines of the reference deployment. The field
// decodeRate of such an engine holds its relative speed.
var gatewayBatching = batchingModel{maxRequests: 8, maxTokens: 588_415, chunkTokens: 1024, stepSeconds: func(e *engine, decodingRequests, prefillTokens int) float64 {
	ms := decodeStepMs + decodeStepMsPerRequest*float64(decodingRequests+1) + float64(prefillTokens)/prefillTokensPerMs
	return ms / e.decodeRate / msPerSecond
}}

// valueOf returns the value of an answer that is in time or late.
func (k *trafficKind) valueOf(promptTokens, outputTokens int, inTime bool) float64 {
	meanSize := k.promptTokens.mean + outputTokenWeight*tokensPerEvent*k.outputEvents.mean
	relativeSize := float64(promptTokens+outputTokenWeight*outputTokens) / meanSize
	value := k.value
	if !inTime {
		value = k.lateValue
	}
	return value * min(maxValueFactor, 1-sizeDependentShare+sizeDependentShare*relativeSize)
}
