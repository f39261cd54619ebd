package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWaitRunningEndsAtItsLimitOrTheEvent(t *testing.T) {
	began := time.Now()
	require.False(t, WaitRunning(60*time.Millisecond, make(chan struct{})))
	require.GreaterOrEqual(t, time.Since(began), 60*time.Millisecond)
	done := make(chan struct{})
	close(done)
	require.True(t, WaitRunning(0, done))
	require.True(t, WaitRunning(time.Hour, done))
}

func TestRunClockOmitsStalls(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var rc RunClock
	rc.observe(at(0), at(6))
	rc.observe(at(6), at(50)) // shorter than minStall
	rc.observe(at(100), at(1105))
	require.Equal(t, 200*time.Millisecond, rc.Between(at(0), at(1200)))
	require.Equal(t, 100*time.Millisecond, rc.Between(at(1105), at(1205)))
	require.Equal(t, 5*time.Millisecond, rc.Between(at(100), at(500)))
}
