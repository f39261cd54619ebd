package cascade

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idleState returns a state without backlog and three models.
func idleState() (State, []Option) {
	return State{Remaining: 3 * time.Second, Target: 3 * time.Second}, []Option{
		{Price: 0.01, TimeToHead: 50 * time.Millisecond, RelativeWork: 0.1},
		{Price: 0.075, TimeToHead: 100 * time.Millisecond, RelativeWork: 0.3, ConfidenceGain: 15},
		{Price: 0.15, TimeToHead: 300 * time.Millisecond, RelativeWork: 1, ConfidenceGain: 70},
	}
}

func TestLowConfidenceEscalatesToTheLargestModel(t *testing.T) {
	st, ops := idleState()
	next, ok := st.Next(0, 20, ops)
	require.True(t, ok)
	require.Equal(t, 2, next)
	next, ok = st.Next(1, 40, ops)
	require.True(t, ok, "the answer of the middle model may be escalated as well")
	require.Equal(t, 2, next)
}

func TestMediumConfidenceEscalatesToTheNextModel(t *testing.T) {
	st, ops := idleState()
	next, ok := st.Next(0, 55, ops)
	require.True(t, ok)
	require.Equal(t, 1, next)
	next, ok = st.Next(0, 20, ops[:2])
	require.True(t, ok, "the next model is the largest of two")
	require.Equal(t, 1, next)
}

func TestAnswerIsAccepted(t *testing.T) {
	st, ops := idleState()
	for name, tc := range map[string]struct{ models, index, confidence int }{
		"confident":     {3, 0, 75},
		"largest model": {3, 2, 0},
		"one model":     {1, 0, 0},
		"no confidence": {3, 0, -1},
	} {
		_, ok := st.Next(tc.index, tc.confidence, ops[:tc.models])
		require.False(t, ok, name)
	}
}

// acceptanceThreshold returns the lowest confidence with which an answer is accepted.
func acceptanceThreshold(st State, ops []Option) int {
	for confidence := range 101 {
		if _, ok := st.Next(0, confidence, ops); !ok {
			return confidence
		}
	}
	return 101
}

func TestFewerEscalationsWithGrowingBacklog(t *testing.T) {
	st, ops := idleState()
	last := 101
	for _, backlog := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second} {
		st.Backlog, st.SmoothedBacklog = backlog, backlog
		loadedOptions := append([]Option(nil), ops...)
		for i := range loadedOptions {
			loadedOptions[i].TimeToHead += backlog
		}
		st.Priority = 0
		threshold := acceptanceThreshold(st, loadedOptions)
		require.LessOrEqual(t, threshold, last)
		last = threshold
		st.Priority = 2
		require.LessOrEqual(t, acceptanceThreshold(st, loadedOptions), threshold, "less urgent requests stop escalating first")
	}
	require.Zero(t, last, "an overloaded pool gets no escalations")
}

func TestNoEscalationThatWouldBeLate(t *testing.T) {
	st, ops := idleState()
	ops[1].TimeToHead = time.Hour
	inTime := acceptanceThreshold(st, ops)
	ops[2].TimeToHead = 10 * time.Second
	require.Less(t, acceptanceThreshold(st, ops), inTime)
	_, ok := st.Next(0, 45, ops)
	require.False(t, ok)
	st.Remaining = -time.Second
	_, ok = st.Next(0, 55, ops)
	require.False(t, ok, "a late answer has less value, so escalating it does not pay off")
}

func TestConfidenceGainIsEstimated(t *testing.T) {
	var ga ConfidenceGains
	require.InDelta(t, priorGain, ga.Estimate("m"), 1e-9)
	for range 200 {
		ga.Observe("m", 40, 70)
		ga.Observe("m", 0, 100)
	}
	require.InDelta(t, 30, ga.Estimate("m"), 1)
	require.InDelta(t, priorGain, ga.Estimate("other"), 1e-9)
}

// Selects the next model. The figure for one core of the build machine is in docs/performance.md.
func BenchmarkNext(b *testing.B) {
	st, ops := idleState()
	b.ReportAllocs()
	for b.Loop() {
		st.Next(0, 50, ops)
	}
}
