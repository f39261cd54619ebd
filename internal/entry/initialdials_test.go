package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
)

// Guards against requests that are refused after a start because no server is linked yet.
func TestRequestsWaitForTheFirstDialOfEachAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		en := &Entry{dials: newInitialDials(clock.Now())}
		began := clock.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			en.mu.Lock()
			defer en.mu.Unlock()
			en.dials.list([]string{"a1", "a2"}, clock.Now())
			en.dials.list([]string{"a3"}, clock.Now())
			en.dials.end("a1")
		})
		time.AfterFunc(550*time.Millisecond, func() {
			en.mu.Lock()
			defer en.mu.Unlock()
			en.dials.end("a2")
		})
		en.awaitInitialDials(t.Context())
		require.Equal(t, 550*time.Millisecond, clock.Since(began))
		en.awaitInitialDials(t.Context())
		require.Equal(t, 550*time.Millisecond, clock.Since(began), "later requests do not wait")
	})
}

func TestRequestsDoNotWaitForAgentsThatDoNotRespond(t *testing.T) {
	for name, listed := range map[string]bool{"agent": true, "list of boxes": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				en := &Entry{dials: newInitialDials(clock.Now())}
				if listed {
					en.dials.list([]string{"a1"}, clock.Now())
				}
				began := clock.Now()
				en.awaitInitialDials(t.Context())
				require.Equal(t, initialDialTime, clock.Since(began))
				en.awaitInitialDials(t.Context())
				require.Equal(t, initialDialTime, clock.Since(began))
			})
		})
	}
}

func TestRequestsDoNotWaitWithoutAgents(t *testing.T) {
	en := &Entry{dials: newInitialDials(clock.Now())}
	en.dials.list(nil, clock.Now())
	en.awaitInitialDials(t.Context())
	select {
	case <-en.dials.done:
	default:
		t.Fatal("still waiting")
	}
}

func TestWaitForDialsEndsWithTheRequest(t *testing.T) {
	en := &Entry{dials: newInitialDials(clock.Now().Add(time.Hour))}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	en.awaitInitialDials(ctx)
}
