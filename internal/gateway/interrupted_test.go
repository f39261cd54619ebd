package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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

// storeFault is what befalls the calls of gateways to the key-value service.
type storeFault string

const (
	cutWatches    storeFault = "cut"     // waiting calls end
	resetAll      storeFault = "reset"   // all calls fail for a moment
	rejectSome    storeFault = "reject"  // calls of a third of the gateways are rejected from then on
	silenceOne    storeFault = "silence" // calls of one gateway are not answered from then on
	longestPause             = 1500 * time.Millisecond
	resetDuration            = 50 * time.Millisecond
)

// faultSequence is a sequence of faults, each after a pause.
type faultSequence struct {
	faults []storeFault
	pauses []time.Duration
}

func newFaultSequence(seed uint64) faultSequence {
	ra := rand.New(rand.NewPCG(seed, 0))
	var fs faultSequence
	for range 1 + ra.IntN(4) {
		fs.faults = append(fs.faults, []storeFault{cutWatches, cutWatches, resetAll, rejectSome, silenceOne}[ra.IntN(5)])
		fs.pauses = append(fs.pauses, time.Duration(ra.Int64N(int64(longestPause))))
	}
	// The check concerns gateways that count as connected: the last fault of the service itself is a cut.
	fs.faults = append(fs.faults, cutWatches)
	fs.pauses = append(fs.pauses, 3*time.Second)
	return fs
}

// play plays the faults and returns the gateways that the service does not answer at the end.
func (fs faultSequence) play(sc *testCluster, cu *cuts, in *interruption) (unanswered []string) {
	_, watchers := watcherBoxes(sc)
	for i, fault := range fs.faults {
		time.Sleep(fs.pauses[i])
		switch fault {
		case cutWatches:
			in.interrupt(0)
		case resetAll:
			in.interrupt(resetDuration)
		case rejectSome:
			rejected := watchers[:max(1, min(len(watchers), len(sc.gateways)/3))]
			cu.set(&cu.rejected, rejected...)
			unanswered = append(unanswered, rejected...)
		case silenceOne:
			silent := watchers[len(watchers)-1]
			cu.set(&cu.fromService, silent)
			unanswered = append(unanswered, silent)
		}
	}
	return unanswered
}

// Guards against one cut connection or failed call being taken for an outage of the service, which excuses
// the use of servers whose entries are gone, and delays changes.
func TestSequencesOfStoreFaultsDelayNeitherChangesNorDepartures(t *testing.T) {
	for _, bo := range []struct {
		gateways, plays int
		bound           time.Duration
	}{{4, 40, 2 * time.Second}, {27, 10, 3 * time.Second}} {
		for seed := range bo.plays {
			t.Run(fmt.Sprint(bo.gateways, " gateways, seed ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					in := newInterruption()
					sc, cu := newCutCluster(t, bo.gateways, bo.bound, func(ga *Gateway, cs cutStore) { ga.Store = interruptedStore{cs, in} })
					fs := newFaultSequence(uint64(seed))
					unanswered := fs.play(sc, cu, in)
					time.Sleep(50 * time.Millisecond)
					sc.servers.store.add(Change{Gone: "s1"})
					removed := time.Now()
					inForce := requireInForce(t, sc, bo.bound, unanswered)
					sc.awaitUnused("s1", 2*bo.bound, unanswered...)
					require.LessOrEqual(t, time.Since(removed), bo.bound, "%v", fs.faults)
					t.Logf("%v: in force after %s, unused after %s", fs.faults, inForce, time.Since(removed))
					cu.set(&cu.rejected)
					cu.set(&cu.fromService)
				})
			})
		}
	}
}

// Guards against servers being dropped whose entries lapsed while the service was away, before they had time
// to write them again.
func TestEntriesThatLapsedInAnOutageKeepTheirGrace(t *testing.T) {
	for _, bo := range []struct {
		gateways int
		bound    time.Duration
	}{{4, 2 * time.Second}, {27, 3 * time.Second}} {
		for _, outage := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint(bo.gateways, " gateways, ", outage), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					in := newInterruption()
					sc, _ := newCutCluster(t, bo.gateways, bo.bound, func(ga *Gateway, cs cutStore) { ga.Store = interruptedStore{cs, in} })
					in.interrupt(outage)
					time.Sleep(outage - 100*time.Millisecond)
					for _, id := range []string{"s1", "s2", "s3"} {
						sc.servers.store.add(Change{Gone: id})
					}
					time.Sleep(100 * time.Millisecond)
					returned := time.Now()
					for time.Since(returned) < 1900*time.Millisecond {
						for _, ga := range sc.gateways {
							require.True(t, ga.uses("s1"), "%s dropped a server %s after the return", ga.Box, time.Since(returned))
						}
						time.Sleep(20 * time.Millisecond)
					}
					sc.servers.store.add(Change{Server: &sc.servers.servers["s1"].listed})
					time.Sleep(3 * time.Second)
					for _, ga := range sc.gateways {
						require.True(t, ga.uses("s1"), "%s: its entry is back", ga.Box)
						require.False(t, ga.uses("s2"), "%s: its entry is still missing", ga.Box)
					}
				})
			})
		}
	}
}
