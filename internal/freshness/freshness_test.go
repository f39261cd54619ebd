package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func atMS(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestWatchAnswerReadAfterStall(t *testing.T) {
	var tr Tracker
	sent := atMS(0)
	tr.Tick(atMS(100))
	wake := atMS(4000)
	require.Equal(t, sent, tr.earliestAnswer(sent, 5*time.Second, false, wake), "before the first tick after the stall")
	tr.Tick(wake)
	require.Equal(t, sent, tr.earliestAnswer(sent, 5*time.Second, false, wake), "after the first tick")
	require.Equal(t, atMS(1000), tr.earliestAnswer(sent, time.Second, true, wake), "an empty answer is given at the end of the wait")
	require.Equal(t, atMS(4060), tr.earliestAnswer(atMS(4050), time.Second, false, atMS(4060)))
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

func TestConnectionLostAndRegained(t *testing.T) {
	var tr Tracker
	require.True(t, tr.HandleRead(atMS(0)))
	require.Equal(t, time.Second, tr.Age(atMS(1000)))
	require.True(t, tr.HandleFailure())
	require.False(t, tr.HandleFailure(), "the connection was lost before")
	require.True(t, tr.HandleWatch(atMS(1500), time.Second, true, atMS(2500)))
	require.False(t, tr.HandleWatch(atMS(2500), time.Second, true, atMS(3500)))
	require.Equal(t, 100*time.Millisecond, tr.Age(atMS(3600)))
	tr.HandleRead(atMS(1000))
	require.Equal(t, 100*time.Millisecond, tr.Age(atMS(3600)), "the confirmed time never decreases")
}
