package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

var errConnectionReset = errors.New("connection reset by peer")

// interruption ends waiting calls to the key-value service of all gateways.
type interruption struct {
	mu      sync.Mutex
	began   chan struct{}
	endedAt time.Time
}

func newInterruption() *interruption { return &interruption{began: make(chan struct{})} }

// interrupt ends the waiting calls, and fails those that begin within a duration.
func (in *interruption) interrupt(duration time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	close(in.began)
	in.began, in.endedAt = make(chan struct{}), time.Now().Add(duration)
}

func (in *interruption) state() (began <-chan struct{}, failing bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.began, time.Now().Before(in.endedAt)
}

// interruptedStore is a key-value service whose calls can be interrupted.
type interruptedStore struct {
	cutStore
	interruption *interruption
}

func (is interruptedStore) Read(ctx context.Context, era uint64, continueRead func(State) bool) (State, bool, error) {
	if _, failing := is.interruption.state(); failing {
		return State{}, false, errConnectionReset
	}
	return is.cutStore.Read(ctx, era, continueRead)
}

func (is interruptedStore) Watch(ctx context.Context, after revision.Revision, wait, timeout time.Duration) (State, error) {
	began, failing := is.interruption.state()
	if failing {
		return State{}, errConnectionReset
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-began:
			cancel(errConnectionReset)
		case <-ctx.Done():
		}
	}()
	st, err := is.cutStore.Watch(ctx, after, wait, timeout)
	if errors.Is(context.Cause(ctx), errConnectionReset) {
		return State{}, errConnectionReset
	}
	return st, err
}

// Guards against gateways that stay away from a service that answers them for as long as from one that is
// away: one call fails while the gateways that they usually ask are turned away, and the state of the others
// is older than the bound.
func TestChangeIsInForceAfterOneFailedCallWhileWatchersAreTurnedAway(t *testing.T) {
	for _, bo := range []struct {
		gateways int
		bound    time.Duration
	}{{9, 2 * time.Second}, {27, 3 * time.Second}} {
		for _, lasts := range []time.Duration{0, 50 * time.Millisecond} {
			for _, turnedAwayFor := range []time.Duration{1500 * time.Millisecond, 2200 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond} {
				t.Run(fmt.Sprint(bo.gateways, " gateways, ", lasts, ", ", turnedAwayFor), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						in := newInterruption()
						sc, cu := newCutCluster(t, bo.gateways, bo.bound, func(ga *Gateway, cs cutStore) { ga.Store = interruptedStore{cs, in} })
						_, watchers := watcherBoxes(sc)
						turnedAway := watchers[:min(len(watchers), bo.gateways/3)]
						cu.set(&cu.rejected, turnedAway...)
						time.Sleep(turnedAwayFor)
						in.interrupt(lasts)
						time.Sleep(50 * time.Millisecond)
						lag := requireInForce(t, sc, bo.bound, turnedAway)
						t.Logf("in force after %s", lag)
						cu.set(&cu.rejected)
					})
				})
			}
		}
	}
}
