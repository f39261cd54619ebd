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

func TestEndedPauseCountsWhatWasSent(t *testing.T) {
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
	recovers := func(at time.Duration) []bool {
		recovers, probe := pa.Avoid("s", now.Add(at))
		return []bool{recovers, probe}
	}
	require.Equal(t, []bool{false, false}, recovers(0))
	pa.Begin("s", time.Second, now)
	require.Equal(t, []bool{false, false}, recovers(999*time.Millisecond), "still paused")
	require.Equal(t, []bool{true, true}, recovers(time.Second))
	pa.RecordSent("s", now.Add(time.Second))
	require.Equal(t, []bool{true, false}, recovers(time.Second), "one at a time")
	require.Equal(t, []bool{true, true}, recovers(time.Second+probeTimeout), "no answer came")
	require.True(t, pa.Begin("s", time.Second, now.Add(2*time.Second)), "the probe was rejected")
	require.Equal(t, []bool{true, true}, recovers(3*time.Second))
	pa.RecordAccepted("s", now.Add(3*time.Second))
	require.Equal(t, []bool{false, false}, recovers(3*time.Second))
	require.Empty(t, pa.LocalRemaining("s", now.Add(3*time.Second)))
}

func TestRecoveryEndsWithoutRequests(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	pa.Begin("s", time.Second, now)
	pa.Tick(now.Add(time.Second + recoveryTimeout - 1))
	recovers, _ := pa.Avoid("s", now.Add(time.Second+recoveryTimeout-1))
	require.True(t, recovers)
	pa.Tick(now.Add(time.Second + recoveryTimeout))
	recovers, _ = pa.Avoid("s", now.Add(time.Second+recoveryTimeout))
	require.False(t, recovers)
}

func TestServersThatPausedOtherProcessesAreAvoided(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	require.False(t, pa.RecordRemote("s", 0, now))
	require.True(t, pa.RecordRemote("s", 3*time.Second, now))
	require.False(t, pa.RecordRemote("s", 3*time.Second, now.Add(100*time.Millisecond)), "no news")
	require.Zero(t, pa.LocalRemaining("s", now), "it asked another process")
	avoid, probe := pa.Avoid("s", now.Add(3*time.Second-1))
	require.True(t, avoid)
	require.False(t, probe)
	avoid, _ = pa.Avoid("s", now.Add(3*time.Second))
	require.False(t, avoid)

	require.True(t, pa.Begin("s", time.Second, now), "now it asks this one")
	require.Equal(t, time.Second, pa.LocalRemaining("s", now))
	require.Equal(t, 3*time.Second, pa.Remaining("s", now))
	require.Equal(t, []EndedPause{{Server: "s"}}, pa.Tick(now.Add(time.Second)))
	require.Empty(t, pa.Tick(now.Add(2*time.Second)))
	require.True(t, pa.Any())
	pa.Tick(now.Add(time.Minute))
	require.False(t, pa.Any())
}

func TestServersThatRejectAreAvoidedForAWhile(t *testing.T) {
	var pa Pauses
	now := time.Unix(1000, 0)
	avoid := func(at time.Time) []bool {
		avoid, probe := pa.Avoid("s", at)
		return []bool{avoid, probe}
	}
	for _, want := range []time.Duration{firstBackoff, 2 * firstBackoff, 4 * firstBackoff} {
		require.Equal(t, want >= leastNews, pa.RecordRejected("s", now), "others are told")
		require.False(t, pa.RecordRejected("s", now.Add(time.Millisecond)), "it was under way")
		require.Equal(t, want, pa.Remaining("s", now))
		require.Equal(t, []bool{true, false}, avoid(now.Add(want-1)))
		require.Zero(t, pa.LocalRemaining("s", now), "it named no time")
		now = now.Add(want)
		require.Equal(t, []bool{true, true}, avoid(now))
		pa.RecordSent("s", now)
		require.Equal(t, []bool{true, false}, avoid(now), "one at a time")
	}
	for range 10 {
		pa.RecordRejected("s", now)
		now = now.Add(longestBackoff)
	}
	require.Equal(t, []bool{true, true}, avoid(now))
	pa.RecordAccepted("s", now)
	require.Equal(t, []bool{false, false}, avoid(now))
	pa.RecordRejected("s", now)
	require.Equal(t, []bool{true, true}, avoid(now.Add(firstBackoff)), "from the beginning")
	pa.Tick(now.Add(time.Minute))
	require.False(t, pa.Any())
}
