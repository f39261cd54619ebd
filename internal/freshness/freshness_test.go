package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func atMS(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestWatchAnswerReadAfterStall(t *testing.T) {
	sent, wake := atMS(0), atMS(4000)
	require.Equal(t, sent, earliestAnswer(sent, 5*time.Second, false, wake))
	require.Equal(t, atMS(1000), earliestAnswer(sent, time.Second, true, wake), "an empty answer is given at the end of the wait")
	require.Equal(t, sent, earliestAnswer(sent, time.Second, true, atMS(900)), "empty, but given early")
}

// A packet that is lost and sent again delays an answer without a stall of this process.
func TestDelayedWatchAnswerConfirmsOnlyTheTimeOfTheCall(t *testing.T) {
	var tr Tracker
	tr.HandleWatch(atMS(0), 1500*time.Millisecond, false, atMS(1900))
	require.Equal(t, atMS(0), tr.ConfirmedAt())
}

func TestAnswerTimeoutIsLongerUntilTheServiceAnswersPromptly(t *testing.T) {
	var tr Tracker
	require.Equal(t, answerTimeout, tr.AnswerTimeout())
	tr.HandleFailure()
	require.Equal(t, longAnswerTimeout, tr.AnswerTimeout())
	tr.HandleWatch(atMS(0), time.Second, true, atMS(1600))
	require.Equal(t, longAnswerTimeout, tr.AnswerTimeout(), "a slow answer")
	tr.HandleWatch(atMS(2000), time.Second, true, atMS(3010))
	require.Equal(t, answerTimeout, tr.AnswerTimeout())
}

func TestAgeCountsFromTheLatestConfirmedTime(t *testing.T) {
	var tr Tracker
	require.False(t, tr.EverConfirmed())
	tr.HandleRead(atMS(0))
	require.Equal(t, time.Second, tr.Age(atMS(1000)))
	tr.HandleRelay("b", atMS(1400), 300*time.Millisecond)
	require.Equal(t, atMS(1100), tr.ConfirmedAt())
	require.Equal(t, "b", tr.Source())
	tr.HandleWatch(atMS(2500), time.Second, true, atMS(3500))
	require.Equal(t, 100*time.Millisecond, tr.Age(atMS(3600)))
	require.Equal(t, Service, tr.Source())
	tr.HandleRead(atMS(1000))
	require.Equal(t, 100*time.Millisecond, tr.Age(atMS(3600)), "the confirmed time never decreases")
}
