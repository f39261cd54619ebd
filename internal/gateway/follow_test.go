package gateway

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/story"
)

// scriptedStore is a source whose watches last as long as they may, until it is cut.
type scriptedStore struct {
	mu           sync.Mutex
	disconnected bool
	// joins counts the memberships; over is set when the lease has run out.
	joins        int
	leaseExpired bool
}

func (sc *scriptedStore) setDisconnected(cut bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.disconnected = cut
}

func (sc *scriptedStore) err() error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.disconnected {
		return result.New(result.StoreDown, "cut")
	}
	return nil
}

func (sc *scriptedStore) Read(context.Context, uint64, func(State) bool) (State, bool, error) {
	doc := &routing.Document{Version: 1, Teams: []routing.Team{{Name: "t", Keys: []string{"k"}}}}
	return State{Revision: rev(1), Changes: []Change{{Document: doc}}}, true, sc.err()
}

func (sc *scriptedStore) Watch(ctx context.Context, after revision.Revision, wait time.Duration) (State, error) {
	sleep(ctx, wait)
	return State{Revision: after}, sc.err()
}

func (sc *scriptedStore) StorePhase(context.Context, Order, StoredPhase) (bool, error) {
	err := sc.err()
	return err == nil, err
}

func (sc *scriptedStore) Join(context.Context, relay.Member, time.Duration) (Lease, error) {
	err := sc.err()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if err == nil {
		sc.joins++
		sc.leaseExpired = false
	}
	return 1, err
}

func (sc *scriptedStore) RenewLease(context.Context, Lease) error {
	if err := sc.err(); err != nil {
		return err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.leaseExpired {
		return ErrLeaseExpired
	}
	return nil
}

func (*scriptedStore) StoreTallies(context.Context, string, []Tally) error { return nil }

func (sc *scriptedStore) StoreBlock(context.Context, poison.Block) error { return sc.err() }

func (sc *scriptedStore) DeleteBlock(context.Context, poison.Fingerprint) error { return sc.err() }

// Keys are accepted all the time while the service answers, and for as long as
// the bound allows after it was cut off, but never longer.
func TestKeysAreAcceptedUpToTheBoundOnTheirAge(t *testing.T) {
	for _, cutAfter := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			sc := &scriptedStore{}
			ga := &Gateway{Log: zerolog.Nop(), Store: sc, Bounds: Bounds{MaxConfigAge: 5 * time.Second, RetryWindow: time.Second}}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = ga.Run(ctx) }()
			for range cutAfter / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				require.True(t, ga.acceptsKeys(time.Now()))
			}
			sc.setDisconnected(true)
			cut := time.Now()
			for ga.acceptsKeys(time.Now()) {
				time.Sleep(10 * time.Millisecond)
			}
			held := time.Since(cut)
			require.GreaterOrEqual(t, held, 2*time.Second, "most of the time in which requests are owed")
			require.Less(t, held, 5*time.Second-time.Second, "a watch may have heard nothing for a second before")
			sc.setDisconnected(false)
			time.Sleep(2 * time.Second)
			require.True(t, ga.acceptsKeys(time.Now()))
			cancel()
			synctest.Wait()
		})
	}
}

// A membership whose lease ran out while the service was away is taken up again.
func TestAMembershipThatRanOutIsTakenUpAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedStore{disconnected: true}
		ga := &Gateway{Log: zerolog.Nop(), Store: sc, Box: "b"}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = ga.Run(ctx) }()
		time.Sleep(3 * time.Second)
		sc.setDisconnected(false)
		time.Sleep(maxRetryPause + joinCheckInterval + maxJoinDelay)
		joined := func() int {
			sc.mu.Lock()
			defer sc.mu.Unlock()
			return sc.joins
		}
		require.Equal(t, 1, joined())
		sc.mu.Lock()
		sc.leaseExpired = true
		sc.mu.Unlock()
		time.Sleep(renewInterval + time.Second)
		require.Equal(t, 2, joined())
		time.Sleep(3 * renewInterval)
		require.Equal(t, 2, joined(), "renewed since")
		cancel()
		synctest.Wait()
	})
}

// Gateways call a silent service less and less often; the first that hears from it says so
// with its report, and the others call at once.
func TestWhoHearsFromTheServiceAgainTellsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := &Gateway{Log: zerolog.Nop()}
		ga.prepare()
		began := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			ga.Reported(relay.Report{Box: "b"})
			time.Sleep(100 * time.Millisecond)
			ga.Reported(relay.Report{Box: "b", Ready: true})
		}()
		ga.awaitStore(t.Context(), maxOutagePause)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		ga.Reported(relay.Report{Box: "b", Ready: true})
		began = time.Now()
		ga.awaitStore(t.Context(), maxOutagePause)
		require.Equal(t, maxOutagePause, time.Since(began), "once")
	})
}

func TestLogOfChangesIsReadByExplain(t *testing.T) {
	ga, log := newServingGateway(Change{Evacuated: "dc9"}, orderAt(inEra(1, 3), "v2"), phaseAt(inEra(1, 4), inEra(1, 3), rollout.Trying))
	doc := coldDocument()
	doc.Version += 7
	ga.applyChange(Change{Document: doc})
	ga.applyChange(Change{Gone: "x1"})
	require.NoError(t, ga.applyReadState(State{Revision: inEra(2, 1), Changes: []Change{serverChange("x1", "dc1")}}, time.Now()))
	st := story.Story{Request: "none"}
	require.NoError(t, st.Read(strings.NewReader(log.String())))
	require.Zero(t, st.Torn(), log.String())
}
