package cascade

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idle is a request for which nothing is in the way, with three models.
func idle() (State, []Option) {
	return State{Remaining: 3 * time.Second, Target: 3 * time.Second}, []Option{
		{Price: 0.01, TimeToHead: 50 * time.Millisecond, RelativeWork: 0.1},
		{Price: 0.075, TimeToHead: 100 * time.Millisecond, RelativeWork: 0.3, ConfidenceGain: 15},
		{Price: 0.15, TimeToHead: 300 * time.Millisecond, RelativeWork: 1, ConfidenceGain: 70},
	}
}

func TestADoubtfulAnswerGoesToTheLargestModel(t *testing.T) {
	st, ops := idle()
	next, ok := st.Next(0, 20, ops)
	require.True(t, ok)
	require.Equal(t, 2, next)
	next, ok = st.Next(1, 40, ops)
	require.True(t, ok, "the middle one may be in doubt as well")
	require.Equal(t, 2, next)
}

func TestANearlyGoodAnswerGoesToTheNextModel(t *testing.T) {
	st, ops := idle()
	next, ok := st.Next(0, 55, ops)
	require.True(t, ok)
	require.Equal(t, 1, next)
	next, ok = st.Next(0, 20, ops[:2])
	require.True(t, ok, "of two models it is the largest")
	require.Equal(t, 1, next)
}

func TestAnAnswerIsKept(t *testing.T) {
	st, ops := idle()
	for name, tc := range map[string]struct{ models, place, confidence int }{
		"confident":        {3, 0, 75},
		"largest model":    {3, 2, 0},
		"one model":        {1, 0, 0},
		"no rating at all": {3, 0, -1},
	} {
		_, ok := st.Next(tc.place, tc.confidence, ops[:tc.models])
		require.False(t, ok, name)
	}
}

// keepFrom returns the lowest confidence with which an answer is kept.
func keepFrom(st State, ops []Option) int {
	for confidence := range 101 {
		if _, ok := st.Next(0, confidence, ops); !ok {
			return confidence
		}
	}
	return 101
}

func TestLessIsAskedAgainAsThePoolFills(t *testing.T) {
	st, ops := idle()
	last := 101
	for _, backlog := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second} {
		st.Backlog, st.SmoothedBacklog = backlog, backlog
		loaded := append([]Option(nil), ops...)
		for i := range loaded {
			loaded[i].TimeToHead += backlog
		}
		st.Priority = 0
		keep := keepFrom(st, loaded)
		require.LessOrEqual(t, keep, last)
		last = keep
		st.Priority = 2
		require.LessOrEqual(t, keepFrom(st, loaded), keep, "the less urgent ones first")
	}
	require.Zero(t, last, "a pool that is full gets nothing twice")
}

func TestWhatWouldBeLateIsNotAskedAgain(t *testing.T) {
	st, ops := idle()
	ops[1].TimeToHead = time.Hour
	inTime := keepFrom(st, ops)
	ops[2].TimeToHead = 10 * time.Second
	require.Less(t, keepFrom(st, ops), inTime)
	_, ok := st.Next(0, 45, ops)
	require.False(t, ok)
	st.Remaining = -time.Second
	_, ok = st.Next(0, 55, ops)
	require.False(t, ok, "an answer that is late already is worth less, and waiting more")
}

func TestTheGainOfAModelIsLearnt(t *testing.T) {
	var ga ConfidenceGains
	require.InDelta(t, usualGain, ga.Estimate("m"), 1e-9)
	for range 200 {
		ga.Observe("m", 40, 70)
		ga.Observe("m", 0, 100)
	}
	require.InDelta(t, 30, ga.Estimate("m"), 1)
	require.InDelta(t, usualGain, ga.Estimate("other"), 1e-9)
}

// The choice of the next model; the figure of one core of the build machine is in
// docs/performance.md.
func BenchmarkNext(b *testing.B) {
	st, ops := idle()
	b.ReportAllocs()
	for b.Loop() {
		st.Next(0, 50, ops)
	}
}
