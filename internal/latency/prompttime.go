package latency

import (
	"math"
	"time"
)

const (
	// fewestTokens is the least prompt whose time says something of a token's.
	fewestTokens = 300
	// idlePart is the part of the times that are taken for those of servers with nothing
	// else to do.
	idlePart = 0.1
	// idleStep is how fast the estimate follows, as a part of itself.
	idleStep = 0.1
	// firstTimes is how many times are needed to follow them in steps: of fewer, the least
	// is taken. A first time taken at a busy server would stand for the next twenty:
	// 0.690 to 0.695 in worth over six days of a fleet of 32 gateways.
	firstTimes = 10
)

// PromptTime knows how long a model takes for each token of a prompt at a server that has
// nothing else to do: most answers take longer. The zero value knows nothing. It is not
// safe for concurrent use.
type PromptTime struct {
	perToken map[string]float64
	// times counts what was observed, by model.
	times map[string]int
}

// Observe notes how long a model took for a prompt of which so many tokens were read.
func (re *PromptTime) Observe(model string, tokens int, took time.Duration) {
	if tokens < fewestTokens || took <= 0 {
		return
	}
	if re.perToken == nil {
		re.perToken, re.times = map[string]float64{}, map[string]int{}
	}
	sample := float64(took) / float64(tokens)
	at := re.perToken[model]
	re.times[model]++
	switch n := re.times[model]; {
	case n == 1:
		at = sample
	case n <= firstTimes:
		at = min(at, sample)
	case sample < at:
		at = max(sample, at*math.Exp(-idleStep*(1-idlePart)))
	default:
		at = min(sample, at*math.Exp(idleStep*idlePart))
	}
	re.perToken[model] = at
}

// PerToken returns the time for a token in nanoseconds, false if it is not known.
func (re *PromptTime) PerToken(model string) (float64, bool) {
	at, ok := re.perToken[model]
	return at, ok
}
