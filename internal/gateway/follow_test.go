package gateway

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/explain"
	"github.com/linnetrudder/linnetrudder/internal/lease"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/stall"
)

// scriptedStore is a key-value service without changes, so that each watch lasts for its maximum
// wait. Its calls fail while it is disconnected.
type scriptedStore struct {
	mu           sync.Mutex
	disconnected bool
	// joins is the number of Join calls. leaseExpired is set when the lease has expired.
	joins        int
	leaseExpired bool
}

func (sc *scriptedStore) setDisconnected(disconnected bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.disconnected = disconnected
}

func (sc *scriptedStore) err() error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.disconnected {
		return result.New(result.StoreDown, "disconnected")
	}
	return nil
}

func (sc *scriptedStore) Read(context.Context, uint64, func(State) bool) (State, bool, error) {
	doc := &routing.Document{Version: 1, Teams: []routing.Team{{Name: "t", Keys: []string{"k"}}}}
	return State{Revision: rev(1), Changes: []Change{{Document: doc}}}, true, sc.err()
}

func (sc *scriptedStore) Watch(ctx context.Context, after revision.Revision, wait, _ time.Duration) (State, error) {
	clock.Sleep(ctx, wait)
	return State{Revision: after}, sc.err()
}

func (sc *scriptedStore) StorePhase(context.Context, Order, StoredPhase) (bool, error) {
	err := sc.err()
	return err == nil, err
}

func (sc *scriptedStore) Join(context.Context, relay.Member, time.Duration) (lease.ID, error) {
	err := sc.err()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if err == nil {
		sc.joins++
		sc.leaseExpired = false
	}
	return 1, err
}

func (sc *scriptedStore) RenewLease(context.Context, lease.ID) error {
	if err := sc.err(); err != nil {
		return err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.leaseExpired {
		return lease.ErrExpired
	}
	return nil
}

func (*scriptedStore) StoreTallies(context.Context, string, []Tally) error { return nil }

func (sc *scriptedStore) StoreBlock(context.Context, poison.Block) error { return sc.err() }

func (sc *scriptedStore) DeleteBlock(context.Context, poison.Fingerprint) error { return sc.err() }

// Keys are accepted without interruption while the service answers, and after it is disconnected
// for as long as the maximum age of the configuration allows, but not longer.
func TestKeysAreAcceptedUpToTheMaximumConfigAge(t *testing.T) {
	for _, disconnectAfter := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			sc := &scriptedStore{}
			ga := &Gateway{Log: zerolog.Nop(), Store: sc, Bounds: Bounds{MaxConfigAge: 5 * time.Second, RetryWindow: time.Second}}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = ga.Run(ctx) }()
			for range disconnectAfter / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				require.True(t, ga.acceptsKeys(time.Now()))
			}
			sc.setDisconnected(true)
			disconnectedAt := time.Now()
			for ga.acceptsKeys(time.Now()) {
				time.Sleep(10 * time.Millisecond)
			}
			accepted := time.Since(disconnectedAt)
			require.GreaterOrEqual(t, accepted, 2*time.Second, "keys must be accepted for most of the time that the bound allows")
			require.Less(t, accepted, 5*time.Second-time.Second, "a watch may have missed changes during the last second")
			sc.setDisconnected(false)
			time.Sleep(2 * time.Second)
			require.True(t, ga.acceptsKeys(time.Now()))
			cancel()
			synctest.Wait()
		})
	}
}

// A gateway whose lease expired while the service did not answer joins again.
func TestGatewayJoinsAgainAfterItsLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedStore{disconnected: true}
		ga := &Gateway{Log: zerolog.Nop(), Store: sc, Box: "b"}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = ga.Run(ctx) }()
		time.Sleep(3 * time.Second)
		sc.setDisconnected(false)
		time.Sleep(maxRetryPause + joinCheckInterval + maxJoinDelay)
		joins := func() int {
			sc.mu.Lock()
			defer sc.mu.Unlock()
			return sc.joins
		}
		require.Equal(t, 1, joins())
		sc.mu.Lock()
		sc.leaseExpired = true
		sc.mu.Unlock()
		time.Sleep(renewInterval + time.Second)
		require.Equal(t, 2, joins())
		time.Sleep(3 * renewInterval)
		require.Equal(t, 2, joins(), "the new lease is renewed")
		cancel()
		synctest.Wait()
	})
}

// Gateways call an unavailable service less and less often. When the first gateway that reaches it
// again reports that it is ready, the others call the service immediately.
func TestReadyReportEndsThePauseOfOtherGateways(t *testing.T) {
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
		clock.Wait(t.Context(), maxOutagePause, ga.storeAvailable)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		ga.Reported(relay.Report{Box: "b", Ready: true})
		began = time.Now()
		clock.Wait(t.Context(), maxOutagePause, ga.storeAvailable)
		require.Equal(t, maxOutagePause, time.Since(began), "only the first ready report ends a pause")
	})
}

func TestSourceOfConfigurationIsLogged(t *testing.T) {
	ga, log := newServingGateway()
	document := func(version uint64) []Change { return []Change{{Document: &routing.Document{Version: version}}} }
	now := time.Now()
	ga.applyWatch(State{Revision: rev(8), Changes: document(11)}, now, time.Second, now)
	require.Contains(t, log.String(), `"version":11,"version_before":1,"routes":0,"teams":0,"source":"service","age_ms":`)
	data, err := cbor.Marshal(document(12))
	require.NoError(t, err)
	_, err = ga.applySnapshot("w", relay.Update{Revision: rev(9), Snapshot: data}, time.Now())
	require.NoError(t, err)
	require.Contains(t, log.String(), `"version":12,"version_before":11,"routes":0,"teams":0,"source":"w","age_ms":`)
}

func TestLogOfChangesIsParsedByExplain(t *testing.T) {
	ga, log := newServingGateway(Change{Evacuated: "dc9"}, orderAt(inEra(1, 3), "v2"), phaseAt(inEra(1, 4), inEra(1, 3), rollout.Trying))
	doc := coldDocument()
	doc.Version += 7
	ga.applyChange(Change{Document: doc})
	ga.applyChange(Change{Gone: "x1"})
	require.NoError(t, ga.applyReadState(State{Revision: inEra(2, 1), Changes: []Change{serverChange("x1", "dc1")}}, time.Now()))
	st := explain.Explainer{Request: "none"}
	require.NoError(t, st.Read(strings.NewReader(log.String())))
	require.Zero(t, st.MalformedLines(), log.String())
}

// silentStore is a scriptedStore whose pending calls are never answered once it becomes silent. Calls
// made since are answered.
type silentStore struct {
	*scriptedStore
	silencedAt atomic.Int64
}

func (ss *silentStore) Watch(ctx context.Context, after revision.Revision, wait, timeout time.Duration) (State, error) {
	ctx, gu := stall.WithTimeout(ctx, wait+timeout)
	defer gu.Stop()
	sent := time.Now().UnixNano()
	clock.Sleep(ctx, wait)
	if sent < ss.silencedAt.Load() {
		<-ctx.Done()
		return State{}, ctx.Err()
	}
	return State{Revision: after}, nil
}

// The time until a silent call is repeated must leave room for one lost SYN packet before the gateway
// counts as connected again, 3 s after the silence.
func TestSilentWatchIsRepeatedBeforeTheGatewayCountsAsConnected(t *testing.T) {
	const limit = 3*time.Second - 400*time.Millisecond
	for step := range 40 {
		synctest.Test(t, func(t *testing.T) {
			ss := &silentStore{scriptedStore: &scriptedStore{}}
			ga := &Gateway{Log: zerolog.Nop(), Store: ss, Bounds: Bounds{MaxConfigAge: 5 * time.Second, RetryWindow: time.Second}}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = ga.Run(ctx) }()
			time.Sleep(5*time.Second + time.Duration(step)*50*time.Millisecond)
			began := time.Now()
			ss.silencedAt.Store(began.UnixNano())
			for ga.freshnessConfirmedAt().Before(began) {
				time.Sleep(10 * time.Millisecond)
				require.True(t, ga.acceptsKeys(time.Now()), "keys are refused %s after the silence", time.Since(began))
			}
			require.LessOrEqual(t, time.Since(began), limit)
			cancel()
			synctest.Wait()
		})
	}
}

func (ga *Gateway) freshnessConfirmedAt() time.Time {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.freshness.ConfirmedAt()
}

func TestCorrectedConfigurationReplacesARefusedOne(t *testing.T) {
	ga, log := newServingGateway()
	refused := routing.Document{Version: 11, Routes: []routing.Route{{Name: "r", Prefix: "no slash"}}}
	ga.applyChange(Change{Document: &refused})
	require.Contains(t, log.String(), "config_refused")
	require.EqualValues(t, 1, ga.Table().Version())
	for _, version := range []uint64{11, 12} {
		ga.applyChange(Change{Document: &routing.Document{Version: version}})
		require.Equal(t, version, ga.Table().Version())
	}
	ga.applyChange(Change{Document: &routing.Document{Version: 11}})
	require.EqualValues(t, 12, ga.Table().Version(), "never back")
}
