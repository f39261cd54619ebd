package latency

import (
	"math"
	"time"
)

const (
	// minPromptTokens is the minimum length of a prompt to sample: fixed overhead dominates shorter
	// ones.
	minPromptTokens = 300
	// idleQuantile is the quantile of the samples that is attributed to idle servers.
	idleQuantile = 0.1
	// idleStep is the relative step size of the estimate.
	idleStep = 0.1
	// minSamples is the number of samples from which the estimate is adjusted in steps. Before that
	// it is the minimum: a first sample from a busy server would distort the next twenty (a score
	// of 0.690 instead of 0.695 over six simulated days with 32 gateways).
	minSamples = 10
)

// PromptTime estimates the time that a model takes per prompt token on an idle server; most
// responses take longer. The zero value is empty. It is not safe for concurrent use.
type PromptTime struct {
	perToken map[string]float64
	// samples counts the samples by model.
	samples map[string]int
}

// Observe records the time that a model took for a prompt of a number of tokens.
func (pt *PromptTime) Observe(model string, tokens int, took time.Duration) {
	if tokens < minPromptTokens || took <= 0 {
		return
	}
	if pt.perToken == nil {
		pt.perToken, pt.samples = map[string]float64{}, map[string]int{}
	}
	sample := float64(took) / float64(tokens)
	estimate := pt.perToken[model]
	pt.samples[model]++
	switch n := pt.samples[model]; {
	case n == 1:
		estimate = sample
	case n <= minSamples:
		estimate = min(estimate, sample)
	case sample < estimate:
		estimate = max(sample, estimate*math.Exp(-idleStep*(1-idleQuantile)))
	default:
		estimate = min(sample, estimate*math.Exp(idleStep*idleQuantile))
	}
	pt.perToken[model] = estimate
}

// PerToken returns the time per token in nanoseconds, false if there are no samples.
func (pt *PromptTime) PerToken(model string) (float64, bool) {
	estimate, ok := pt.perToken[model]
	return estimate, ok
}
