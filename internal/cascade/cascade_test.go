package cascade

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestADoubtfulAnswerGoesToTheLargestModel(t *testing.T) {
	next, ok := State{Models: 3}.Next(0, keepCalm-nearBand-1)
	require.True(t, ok)
	require.Equal(t, 2, next)
	next, ok = State{Models: 3}.Next(1, keepCalm-1)
	require.True(t, ok, "the middle one may be in doubt as well")
	require.Equal(t, 2, next)
}

func TestANearlyGoodAnswerGoesToTheNextModel(t *testing.T) {
	next, ok := State{Models: 3}.Next(0, keepCalm-1)
	require.True(t, ok)
	require.Equal(t, 1, next)
	next, ok = State{Models: 2}.Next(0, keepCalm-1)
	require.True(t, ok)
	require.Equal(t, 1, next)
}

func TestAnAnswerIsKept(t *testing.T) {
	for name, tc := range map[string]struct{ models, place, confidence int }{
		"confident":        {3, 0, keepCalm},
		"largest model":    {3, 2, 0},
		"one model":        {1, 0, 0},
		"no rating at all": {3, 0, -1},
	} {
		_, ok := State{Models: tc.models}.Next(tc.place, tc.confidence)
		require.False(t, ok, name)
	}
}

func TestLessIsAskedAgainAsThePoolFills(t *testing.T) {
	last := float64(keepCalm)
	for _, pressure := range []float64{0, 0.3, 0.5, 0.7, 0.9, 5} {
		keep := State{Models: 3, Pressure: pressure}.keep()
		require.LessOrEqual(t, keep, last)
		require.LessOrEqual(t, State{Models: 3, Pressure: pressure, Priority: 2}.keep(), keep)
		last = keep
	}
	require.InDelta(t, keepFull, last, 0.01, "a pool that is full gets almost nothing twice")
}
