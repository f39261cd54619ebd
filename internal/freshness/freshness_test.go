package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func atMS(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestWatchAnswerReadAfterStall(t *testing.T) {
	var re Tracker
	sent := atMS(0)
	re.Tick(atMS(100))
	wake := atMS(4000)
	require.Equal(t, sent, re.earliestAnswer(sent, 5*time.Second, false, wake), "before the first tick after the stop")
	re.Tick(wake)
	require.Equal(t, sent, re.earliestAnswer(sent, 5*time.Second, false, wake), "after it")
	require.Equal(t, atMS(1000), re.earliestAnswer(sent, time.Second, true, wake), "an empty answer was given when the wait was over")
	require.Equal(t, atMS(4060), re.earliestAnswer(atMS(4050), time.Second, false, atMS(4060)))
}

func TestConnectionLostAndRegained(t *testing.T) {
	var re Tracker
	require.True(t, re.HandleRead(atMS(0)))
	require.Equal(t, time.Second, re.Age(atMS(1000)))
	require.True(t, re.HandleFailure())
	require.False(t, re.HandleFailure(), "it was lost already")
	require.True(t, re.HandleWatch(atMS(1500), time.Second, true, atMS(2500)))
	require.False(t, re.HandleWatch(atMS(2500), time.Second, true, atMS(3500)))
	require.Equal(t, 100*time.Millisecond, re.Age(atMS(3600)))
	re.HandleRead(atMS(1000))
	require.Equal(t, 100*time.Millisecond, re.Age(atMS(3600)), "what is confirmed never goes back")
}
