package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// baselineQuantile is the quantile of the latencies that the baseline estimates.
	baselineQuantile = 0.01
	// baselineStep is the relative step size of the estimate: it rises by 0.1 % with each slower
	// response, so that a few seconds of load do not shift it.
	baselineStep = 0.1
)

// baseline estimates a low quantile of the latencies by name: the latency of an unloaded server.
// The zero value is empty. It is not safe for concurrent use.
type baseline struct{ estimates map[string]float64 }

// Observe records a latency.
func (ba *baseline) Observe(name string, took time.Duration) {
	if ba.estimates == nil {
		ba.estimates = map[string]float64{}
	}
	estimate, ok := ba.estimates[name]
	switch {
	case !ok:
		estimate = float64(took)
	case float64(took) < estimate:
		estimate *= 1 - baselineStep*(1-baselineQuantile)
		estimate = max(estimate, float64(took))
	default:
		estimate *= 1 + baselineStep*baselineQuantile
	}
	ba.estimates[name] = estimate
}

// Latency returns the baseline, zero if there are no samples.
func (ba *baseline) Latency(name string) time.Duration { return time.Duration(ba.estimates[name]) }

func TestBaselineIsNearTheLowestLatencies(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	var ba baseline
	require.Zero(t, ba.Latency("m"))
	for range 500 {
		took := 10 * math.Exp(1.2*math.Abs(ra.NormFloat64()))
		ba.Observe("m", time.Duration(took*float64(time.Millisecond)))
	}
	require.InDelta(t, 11, ba.Latency("m").Seconds()*1000, 3)
}

func TestBurstDoesNotShiftTheBaseline(t *testing.T) {
	var ba baseline
	for range 200 {
		ba.Observe("m", 20*time.Millisecond)
	}
	before := ba.Latency("m")
	for range 120 {
		ba.Observe("m", 100*time.Millisecond)
	}
	require.Less(t, ba.Latency("m"), before*5/4)
}
