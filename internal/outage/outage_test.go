package outage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func atMS(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func connected() *Tracker {
	var tr Tracker
	tr.HandleAnswer(atMS(0), atMS(0))
	return &tr
}

func TestServiceThatNeverAnsweredIsAway(t *testing.T) {
	var tr Tracker
	require.Equal(t, Away, tr.State(atMS(0)))
	require.False(t, tr.HandleFailure(atMS(0), atMS(0)), "it was not connected before")
	require.Equal(t, Away, tr.State(atMS(0)))
	require.True(t, tr.HandleAnswer(atMS(10), atMS(20)))
	require.Equal(t, Connected, tr.State(atMS(20)))
	require.Zero(t, tr.Ended())
}

// Guards against one cut connection being taken for an outage.
func TestSingleFailedCallIsNoOutage(t *testing.T) {
	tr := connected()
	require.False(t, tr.HandleFailure(atMS(1400), atMS(1400)))
	require.Equal(t, Interrupted, tr.State(atMS(1500)))
	require.True(t, tr.Failing())
	require.True(t, tr.MayCall(5*time.Second, atMS(1500)), "repeated at once")
	require.False(t, tr.HandleAnswer(atMS(1500), atMS(1510)))
	require.Equal(t, Connected, tr.State(atMS(1510)))
	require.Zero(t, tr.Ended())
	require.True(t, tr.MayCall(5*time.Second, atMS(1510)), "no penalty is left")
}

func TestServiceThatDoesNotAnswerIsAway(t *testing.T) {
	tr := connected()
	require.False(t, tr.HandleFailure(atMS(500), atMS(500)))
	require.False(t, tr.HandleFailure(atMS(900), atMS(900)))
	require.True(t, tr.HandleFailure(atMS(1500), atMS(1500)))
	require.False(t, tr.HandleFailure(atMS(1600), atMS(1600)), "reported once")
	require.Equal(t, Away, tr.State(atMS(1600)))
	require.False(t, tr.MayCall(time.Second, atMS(2599)))
	require.True(t, tr.MayCall(time.Second, atMS(2600)))
	require.True(t, tr.HandleAnswer(atMS(2600), atMS(2700)))
	require.Equal(t, atMS(2700), tr.Ended(), "the service may have returned as late as it answered")
}

// A call without a response does not show since when the service is away.
func TestSilenceCountsFromTheCall(t *testing.T) {
	tr := connected()
	require.True(t, tr.HandleFailure(atMS(100), atMS(1600)))
	tr.HandleAnswer(atMS(1700), atMS(1710))
	require.NotZero(t, tr.Ended())
}

func TestAnswersToOtherProcessesCount(t *testing.T) {
	tr := connected()
	for ms := 400; ms <= 4000; ms += 400 {
		require.False(t, tr.HandleFailure(atMS(ms), atMS(ms)), "the service answers others")
		tr.HandleOther(atMS(ms-100), atMS(ms+50))
		require.Equal(t, Interrupted, tr.State(atMS(ms+100)))
	}
	require.False(t, tr.MayCall(time.Second, atMS(4100)), "it does not answer this process")
	require.False(t, tr.HandleOther(atMS(4050), atMS(4100)))
	require.Equal(t, Connected, tr.State(atMS(4100)))
	require.Zero(t, tr.Ended())
}

// A process that follows another one makes no calls that fail.
func TestSilenceOfTheServiceIsAnOutageWithoutFailedCalls(t *testing.T) {
	tr := connected()
	tr.HandleOther(atMS(1900), atMS(1950))
	require.Zero(t, tr.Ended())
	tr.HandleOther(atMS(4900), atMS(4950))
	require.Equal(t, atMS(4950), tr.Ended())
}

// Guards against removed servers being used for longer, since a process that follows one which is turned away learns
// nothing until it calls the service itself.
func TestChangeToTheServiceAfterAnOutdatedWatcherIsNoOutage(t *testing.T) {
	tr := connected()
	tr.HandleOther(atMS(1900), atMS(1950))
	tr.HandleAnswer(atMS(4320), atMS(4500))
	require.Zero(t, tr.Ended())
}

// In any sequence of calls, an outage is no shorter than minDuration, and a service that answers is not away.
func TestOutagesOfAnySequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := connected()
		now, answered := 0, 0
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			sent := now
			now += rapid.IntRange(1, 1600).Draw(rt, "takes")
			before := tr.Ended()
			switch rapid.SampledFrom([]string{"answered", "cut", "silent", "other"}).Draw(rt, "result") {
			case "answered":
				tr.HandleAnswer(atMS(sent), atMS(now))
				require.Equal(rt, Connected, tr.State(atMS(now)))
				answered = max(answered, sent)
			case "other":
				tr.HandleOther(atMS(sent), atMS(now))
				answered = max(answered, sent)
			case "cut":
				tr.HandleFailure(atMS(now), atMS(now))
			case "silent":
				tr.HandleFailure(atMS(sent), atMS(now))
			}
			if tr.State(atMS(now)) == Away {
				require.GreaterOrEqual(rt, now-answered, int(minDuration.Milliseconds()))
			}
			if ended := tr.Ended(); !ended.Equal(before) {
				require.False(rt, tr.Failing())
				require.False(rt, ended.After(atMS(now)))
			}
		}
	})
}
