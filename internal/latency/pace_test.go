package latency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func paceOf(gaps ...time.Duration) (pa Pace) {
	at := time.Unix(1000, 0)
	pa.Event(at)
	for _, gap := range gaps {
		at = at.Add(gap * time.Millisecond)
		pa.Event(at)
	}
	return pa
}

func TestPaceIgnoresPromptsAndEventsThatArriveTogether(t *testing.T) {
	pa := paceOf(15, 16, 80, 15, 31, 0, 15, 200)
	gap, ok := pa.Take()
	require.True(t, ok)
	require.Equal(t, 15*time.Millisecond, gap)
	_, ok = pa.Take()
	require.False(t, ok, "it counts once")
}

func TestPaceOfTooFewEventsIsUnknown(t *testing.T) {
	pa := paceOf(15)
	_, ok := pa.Take()
	require.False(t, ok)
}

func TestPaceIsKnownBeforeTheEndOfALongStream(t *testing.T) {
	var pa Pace
	at, known := time.Unix(1000, 0), 0
	for range 100 {
		if pa.Event(at) {
			known++
		}
		at = at.Add(15 * time.Millisecond)
	}
	require.Equal(t, 1, known)
	require.Len(t, pa.gaps, maxGaps)
}
