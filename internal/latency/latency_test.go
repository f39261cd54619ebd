package latency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMeterFollowsSamples(t *testing.T) {
	var me Meter
	require.Zero(t, me.Usual("m"))
	me.Observe("m", time.Second)
	require.Equal(t, time.Second, me.Usual("m"))
	for range 100 {
		me.Observe("m", 2*time.Second)
	}
	require.InDelta(t, 2, me.Usual("m").Seconds(), 0.01)
	require.Zero(t, me.Usual("other"))
}

func TestPromptTimeIsThatOfAnIdleServer(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	var pt PromptTime
	_, ok := pt.PerToken("m")
	require.False(t, ok)
	pt.Observe("m", minPromptTokens-1, time.Second)
	_, ok = pt.PerToken("m")
	require.False(t, ok, "overhead dominates short prompts")
	for range 500 {
		tokens := 1000 + ra.IntN(9000)
		slowdown := 1 + ra.ExpFloat64()
		pt.Observe("m", tokens, time.Duration(slowdown*float64(tokens)*float64(50*time.Microsecond)))
	}
	perToken, _ := pt.PerToken("m")
	lowestTenth := 50_000 * (1 - math.Log(1-idleQuantile))
	require.InDelta(t, lowestTenth, perToken, 10_000)
}

func TestSmootherDependsOnElapsedTime(t *testing.T) {
	var sm Smoother
	now := time.Unix(1000, 0)
	require.Equal(t, time.Second, sm.Update(time.Second, now))
	require.Equal(t, time.Second, sm.Update(5*time.Second, now), "no time has passed")
	require.InDelta(t, 5, sm.Update(5*time.Second, now.Add(5*smootherTimeConstant)).Seconds(), 0.05)
}

// With few samples the estimate must be their minimum. When the first sample after a start came
// from a busy server, the largest model received too few requests for about ten seconds.
func TestPromptTimeOfFewSamplesIsTheirMinimum(t *testing.T) {
	var pt PromptTime
	for _, took := range []time.Duration{900, 400, 600, 150, 500} {
		pt.Observe("m", 1000, took*time.Millisecond)
	}
	perToken, ok := pt.PerToken("m")
	require.True(t, ok)
	require.InDelta(t, 150e3, perToken, 1)
}
