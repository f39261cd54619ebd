package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPauseIsNotShortened(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	require.Zero(t, pa.LocalRemaining("s", now))
	require.True(t, pa.Begin("s", 3*time.Second, now))
	require.False(t, pa.Begin("s", time.Second, now), "still paused")
	require.Equal(t, 3*time.Second, pa.LocalRemaining("s", now))
	require.False(t, pa.Begin("s", 3*time.Second, now.Add(time.Second)))
	require.Equal(t, 2*time.Second, pa.LocalRemaining("s", now.Add(2*time.Second)))
	require.Zero(t, pa.LocalRemaining("other", now))
}

func TestEndedPauseCountsRequests(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	pa.RecordSent("s", now)
	require.Empty(t, pa.Tick(now))
	pa.Begin("s", time.Second, now)
	pa.RecordSent("s", now)
	pa.RecordSent("s", now)
	require.Empty(t, pa.Tick(now.Add(999*time.Millisecond)))
	require.Equal(t, []EndedPause{{Server: "s", Sent: 2}}, pa.Tick(now.Add(time.Second)))
	require.Empty(t, pa.Tick(now.Add(time.Second)))
	require.True(t, pa.Begin("s", time.Second, now.Add(time.Second)))
}

func TestServersAreProbedAfterAPause(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	avoid := func(at time.Duration) []bool {
		avoid, probe := pa.Avoid("s", now.Add(at))
		return []bool{avoid, probe}
	}
	require.Equal(t, []bool{false, false}, avoid(0))
	pa.Begin("s", time.Second, now)
	require.Equal(t, []bool{false, false}, avoid(999*time.Millisecond), "still paused")
	require.Equal(t, []bool{true, true}, avoid(time.Second))
	pa.RecordSent("s", now.Add(time.Second))
	require.Equal(t, []bool{true, false}, avoid(time.Second), "one at a time")
	require.Equal(t, []bool{true, true}, avoid(time.Second+probeTimeout), "the probe timed out")
	require.True(t, pa.Begin("s", time.Second, now.Add(2*time.Second)), "the probe was rejected")
	require.Equal(t, []bool{true, true}, avoid(3*time.Second))
	pa.RecordAccepted("s", now.Add(3*time.Second))
	require.Equal(t, []bool{false, false}, avoid(3*time.Second))
	require.Empty(t, pa.LocalRemaining("s", now.Add(3*time.Second)))
}

func TestRecoveryEndsWithoutRequests(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	pa.Begin("s", time.Second, now)
	pa.Tick(now.Add(time.Second + recoveryTimeout - 1))
	avoid, _ := pa.Avoid("s", now.Add(time.Second+recoveryTimeout-1))
	require.True(t, avoid)
	pa.Tick(now.Add(time.Second + recoveryTimeout))
	avoid, _ = pa.Avoid("s", now.Add(time.Second+recoveryTimeout))
	require.False(t, avoid)
}

func TestServersPausedForOtherProcessesAreAvoided(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	require.False(t, pa.RecordRemote("s", 0, now))
	require.True(t, pa.RecordRemote("s", 3*time.Second, now))
	require.False(t, pa.RecordRemote("s", 3*time.Second, now.Add(100*time.Millisecond)), "no sufficient extension")
	require.Zero(t, pa.LocalRemaining("s", now), "the pause is for another process")
	avoid, probe := pa.Avoid("s", now.Add(3*time.Second-1))
	require.True(t, avoid)
	require.False(t, probe)
	avoid, _ = pa.Avoid("s", now.Add(3*time.Second))
	require.False(t, avoid)

	require.True(t, pa.Begin("s", time.Second, now), "the pause is for this process")
	require.Equal(t, time.Second, pa.LocalRemaining("s", now))
	require.Equal(t, 3*time.Second, pa.Remaining("s", now))
	require.Equal(t, []EndedPause{{Server: "s"}}, pa.Tick(now.Add(time.Second)))
	require.Empty(t, pa.Tick(now.Add(2*time.Second)))
	require.True(t, pa.Any())
	pa.Tick(now.Add(time.Minute))
	require.False(t, pa.Any())
}

func TestRejectingServersAreAvoidedForTheBackoff(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	avoid := func(at time.Time) []bool {
		avoid, probe := pa.Avoid("s", at)
		return []bool{avoid, probe}
	}
	for _, want := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff} {
		require.Equal(t, want >= minExtension, pa.RecordRejected("s", now), "long backoffs are propagated")
		require.False(t, pa.RecordRejected("s", now.Add(time.Millisecond)), "the request was sent before the rejection")
		require.Equal(t, want, pa.Remaining("s", now))
		require.Equal(t, []bool{true, false}, avoid(now.Add(want-1)))
		require.Zero(t, pa.LocalRemaining("s", now), "no pause was requested")
		now = now.Add(want)
		require.Equal(t, []bool{true, true}, avoid(now))
		pa.RecordSent("s", now)
		require.Equal(t, []bool{true, false}, avoid(now), "one at a time")
	}
	for range 10 {
		pa.RecordRejected("s", now)
		now = now.Add(maxBackoff)
	}
	require.Equal(t, []bool{true, true}, avoid(now))
	pa.RecordAccepted("s", now)
	require.Equal(t, []bool{false, false}, avoid(now))
	pa.RecordRejected("s", now)
	require.Equal(t, []bool{true, true}, avoid(now.Add(minBackoff)), "the backoff starts at its minimum")
	pa.Tick(now.Add(time.Minute))
	require.False(t, pa.Any())
}
