package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPauseIsNotShortened(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	require.Zero(t, pa.Left("s", now))
	require.True(t, pa.Begin("s", 3*time.Second, now))
	require.False(t, pa.Begin("s", time.Second, now), "still paused")
	require.Equal(t, 3*time.Second, pa.Left("s", now))
	require.False(t, pa.Begin("s", 3*time.Second, now.Add(time.Second)))
	require.Equal(t, 2*time.Second, pa.Left("s", now.Add(2*time.Second)))
	require.Zero(t, pa.Left("other", now))
}

func TestEndedPauseCountsWhatWasSent(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	pa.Sent("s")
	require.Empty(t, pa.Tick(now))
	pa.Begin("s", time.Second, now)
	pa.Sent("s")
	pa.Sent("s")
	require.Empty(t, pa.Tick(now.Add(999*time.Millisecond)))
	require.Equal(t, []EndedPause{{Server: "s", Sent: 2}}, pa.Tick(now.Add(time.Second)))
	require.Empty(t, pa.Tick(now.Add(time.Second)))
	require.True(t, pa.Begin("s", time.Second, now.Add(time.Second)))
}
