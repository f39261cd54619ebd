package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestAnAnswerThatLayThereIsNotTakenForNew(t *testing.T) {
	var re Tracker
	sent := after(0)
	re.Tick(after(100))
	wake := after(4000)
	require.Equal(t, sent, re.answeredAt(sent, 5*time.Second, false, wake), "before the first tick after the stop")
	re.Tick(wake)
	require.Equal(t, sent, re.answeredAt(sent, 5*time.Second, false, wake), "after it")
	require.Equal(t, after(1000), re.answeredAt(sent, time.Second, true, wake), "an empty answer was given when the wait was over")
	require.Equal(t, after(4060), re.answeredAt(after(4050), time.Second, false, after(4060)))
}

func TestLostAndRegained(t *testing.T) {
	var re Tracker
	require.True(t, re.HandleRead(after(0)))
	require.Equal(t, time.Second, re.Age(after(1000)))
	require.True(t, re.HandleFailure())
	require.False(t, re.HandleFailure(), "it was lost already")
	require.True(t, re.HandleWatch(after(1500), time.Second, true, after(2500)))
	require.False(t, re.HandleWatch(after(2500), time.Second, true, after(3500)))
	require.Equal(t, 100*time.Millisecond, re.Age(after(3600)))
	re.HandleRead(after(1000))
	require.Equal(t, 100*time.Millisecond, re.Age(after(3600)), "what is confirmed never goes back")
}
