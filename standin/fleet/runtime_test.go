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
