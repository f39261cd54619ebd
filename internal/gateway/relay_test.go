package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/lease"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// fakeStore is an in-memory key-value service that several gateways share.
type fakeStore struct {
	mu      sync.Mutex
	changes []Change
	changed chan struct{}
	// era is the number of restores. hidesEra is set if the era stays the same after a restore.
	era      uint64
	hidesEra bool
	// watches is the number of watch calls by box. disconnected names the boxes whose calls fail.
	watches      map[string]int
	disconnected map[string]bool
	// reads is the number of Read calls, including those that read only the first part.
	reads int
	// compacted is the number of changes that watches cannot return any more.
	compacted int
	// rejectsBlocks is set if blocks cannot be stored.
	rejectsBlocks bool
}

// storeView is the fakeStore as used by the gateway of one box.
type storeView struct {
	store *fakeStore
	box   string
	// pageSize is the number of changes in the first part of a read, zero for no limit. completeReads
	// counts the reads that continued after it.
	pageSize      int
	completeReads *atomic.Int64
}

func (ke *fakeStore) add(ch Change) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.changes = append(ke.changes, ch)
	close(ke.changed)
	ke.changed = make(chan struct{})
}

// restore discards all but the first changes, as if an older copy of the service was restored.
func (ke *fakeStore) restore(changes int) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.changes = slices.Clone(ke.changes[:changes])
	if !ke.hidesEra {
		ke.era++
	}
	close(ke.changed)
	ke.changed = make(chan struct{})
}

func (ke *fakeStore) setDisconnected(box string, disconnected bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.disconnected[box] = disconnected
}

// watchesOfC returns the number of watch calls of gateway c, which requests its changes from a and b.
func (ke *fakeStore) watchesOfC() int {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.watches["c"]
}

func (vi storeView) since(after revision.Revision) (State, chan struct{}, error) {
	ke := vi.store
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.disconnected[vi.box] {
		return State{}, nil, result.New(result.StoreDown, "disconnected")
	}
	to := revision.Revision{Era: ke.era, Number: uint64(len(ke.changes))}
	if !after.IsZero() && after.Number < uint64(ke.compacted) {
		return State{}, nil, ErrHistoryUnavailable
	}
	if after.Number > to.Number {
		return State{}, nil, ErrHistoryUnavailable
	}
	return State{Revision: to, Changes: ke.changes[after.Number:]}, ke.changed, nil
}

func (vi storeView) Read(_ context.Context, _ uint64, continueRead func(State) bool) (State, bool, error) {
	vi.store.mu.Lock()
	vi.store.reads++
	vi.store.mu.Unlock()
	st, _, err := vi.since(revision.Revision{})
	if err != nil || vi.pageSize == 0 || len(st.Changes) <= vi.pageSize {
		return st, true, err
	}
	first := State{Revision: st.Revision, Changes: st.Changes[:vi.pageSize]}
	if continueRead(first) {
		vi.completeReads.Add(1)
		return st, true, nil
	}
	return first, false, nil
}

func (vi storeView) Watch(ctx context.Context, after revision.Revision, wait, _ time.Duration) (State, error) {
	vi.store.mu.Lock()
	vi.store.watches[vi.box]++
	vi.store.mu.Unlock()
	st, changed, err := vi.since(after)
	if err == nil && len(st.Changes) == 0 {
		clock.Wait(ctx, wait, changed)
		st, _, err = vi.since(after)
	}
	return st, err
}

func (vi storeView) Join(_ context.Context, me relay.Member, _ time.Duration) (lease.ID, error) {
	vi.store.add(Change{Member: &me})
	return 1, nil
}

func (storeView) RenewLease(context.Context, lease.ID) error { return nil }

func (storeView) StorePhase(context.Context, Order, StoredPhase) (bool, error) { return true, nil }

func (storeView) StoreTallies(context.Context, string, []Tally) error { return nil }

func (vi storeView) StoreBlock(_ context.Context, bl poison.Block) error {
	_, _, err := vi.since(revision.Revision{})
	if err != nil {
		return err
	}
	if vi.store.rejectsBlocks {
		return result.New(result.StoreDown, "blocks are rejected")
	}
	vi.store.add(Change{Blocked: &bl})
	return nil
}

func (vi storeView) DeleteBlock(_ context.Context, fp poison.Fingerprint) error {
	vi.store.add(Change{Unblocked: &fp})
	return nil
}

// relayCluster is three gateways of one data centre, of which a and b watch the service for c.
type relayCluster struct {
	store     *fakeStore
	gateways  map[string]*Gateway
	listeners map[string]*recordingListener
}

// recordingListener records its connections, since the HTTP server does not track those that have
// become WebSockets.
type recordingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
	// disabled is set while the server rejects all requests.
	disabled atomic.Bool
}

func (rl *recordingListener) Accept() (net.Conn, error) {
	conn, err := rl.Listener.Accept()
	if err == nil {
		rl.mu.Lock()
		defer rl.mu.Unlock()
		rl.conns = append(rl.conns, conn)
	}
	return conn, err
}

func (rl *recordingListener) closeAll() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, conn := range rl.conns {
		_ = conn.Close()
	}
	rl.conns = nil
}

// disableRelay makes a gateway reject the requests of other gateways and closes their connections.
func (re *relayCluster) disableRelay(box string) {
	re.listeners[box].disabled.Store(true)
	re.listeners[box].closeAll()
}

func newRelayCluster(t *testing.T) *relayCluster {
	t.Helper()
	re := &relayCluster{
		store:     &fakeStore{changed: make(chan struct{}), watches: map[string]int{}, disconnected: map[string]bool{}},
		gateways:  map[string]*Gateway{},
		listeners: map[string]*recordingListener{},
	}
	re.storeConfig(1)
	for _, box := range []string{"a", "b", "c"} {
		ga := &Gateway{
			Log: zerolog.Nop(), Box: box, DataCentre: "dc", Store: storeView{store: re.store, box: box},
			Bounds: Bounds{MaxConfigAge: 5 * time.Second}, RelayHTTP: http.DefaultClient,
		}
		router := http.NewServeMux()
		router.Handle(relay.Path, &relay.Server{Feed: ga})
		router.Handle(relay.LoadPath, &relay.LoadServer{Handler: ga})
		li := &recordingListener{}
		hs := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if li.disabled.Load() {
				http.NotFound(w, r)
				return
			}
			router.ServeHTTP(w, r)
		}))
		li.Listener, hs.Listener = hs.Listener, li
		hs.Start()
		t.Cleanup(hs.Close)
		re.listeners[box] = li
		ga.RelayAddress = strings.TrimPrefix(hs.URL, "http://")
		re.gateways[box] = ga
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = ga.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
		if box != "c" {
			re.eventually(t, box+" joins", func() bool { return re.hasMember("a", box) })
		}
	}
	re.eventually(t, "all gateways are counted", func() bool {
		return re.size("a") == 3 && re.size("b") == 3 && re.size("c") == 3
	})
	require.False(t, re.hasMember("a", "c"), "two watchers are enough")
	re.eventually(t, "c requests changes from a watcher", func() bool {
		before := re.store.watchesOfC()
		time.Sleep(2 * maxWatchWait)
		return re.store.watchesOfC() == before
	})
	require.LessOrEqual(t, re.store.watchesOfC(), 3, "a watcher that starts to serve updates with the first request of c is not treated as failed")
	return re
}

func (re *relayCluster) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond, what)
}

func (re *relayCluster) hasMember(at, box string) bool {
	ga := re.gateways[at]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	_, ok := ga.members[box]
	return ok
}

// size returns the number of gateways that one of them counts.
func (re *relayCluster) size(box string) int {
	ga := re.gateways[box]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.gatewayCount
}

func (re *relayCluster) storeConfig(version uint64) {
	re.store.add(Change{Document: &routing.Document{Version: version, Teams: []routing.Team{{Name: "t", Keys: []string{"k"}}}}})
}

func (re *relayCluster) awaitConfig(t *testing.T, box string, version uint64) {
	t.Helper()
	re.eventually(t, box, func() bool { return re.gateways[box].Table().Version() == version })
}

func TestChangesAreReceivedFromWatcher(t *testing.T) {
	re := newRelayCluster(t)
	before := re.store.watchesOfC()
	for version := uint64(2); version < 5; version++ {
		re.storeConfig(version)
		re.awaitConfig(t, "c", version)
	}
	require.True(t, re.gateways["c"].acceptsKeys(time.Now()))
	require.Equal(t, before, re.store.watchesOfC(), "c does not call the service")
	require.Equal(t, "t", re.gateways["c"].Table().TeamByKey("k").Name, "the configuration is complete")
	up := re.gateways["c"].Updates(t.Context(), relay.Request{After: rev(1)})
	require.True(t, up.Unknown, "a gateway without requests for changes keeps no history")
}

// A gateway whose watchers no longer answer receives the next change from the service, and its
// configuration stays recent enough to accept keys.
func TestGatewayStaysCurrentWhenItsWatchersFail(t *testing.T) {
	re := newRelayCluster(t)
	for _, box := range []string{"a", "b"} {
		re.disableRelay(box)
	}
	re.storeConfig(2)
	began := time.Now()
	re.awaitConfig(t, "c", 2)
	require.Less(t, time.Since(began), 2*time.Second)
	require.True(t, re.gateways["c"].acceptsKeys(time.Now()))
}

// A gateway whose watchers are disconnected from the service watches it itself, and its
// configuration stays recent enough to accept keys.
func TestGatewayLeavesADisconnectedWatcher(t *testing.T) {
	re := newRelayCluster(t)
	re.store.setDisconnected("a", true)
	re.store.setDisconnected("b", true)
	for range 60 {
		time.Sleep(100 * time.Millisecond)
		require.True(t, re.gateways["c"].acceptsKeys(time.Now()))
	}
	require.False(t, re.gateways["a"].acceptsKeys(time.Now()))
	re.storeConfig(2)
	re.awaitConfig(t, "c", 2)
	re.store.setDisconnected("a", false)
	re.awaitConfig(t, "a", 2)
}

// Guards against gateways that cannot accept keys although the service answers. With a bound of 2 s
// on the age of the configuration, the state received through a watcher was too old to accept keys
// for a third of the time in the soak test.
func TestGatewayWatchesTheServiceUnderATightKeyAgeBound(t *testing.T) {
	for maxAge, relayed := range map[time.Duration]bool{2 * time.Second: false, 3 * time.Second: false, 5 * time.Second: true, 0: true} {
		ga := &Gateway{Log: zerolog.Nop(), Box: "c", DataCentre: "dc", Bounds: Bounds{MaxConfigAge: maxAge}}
		ga.prepare()
		for _, box := range []string{"a", "b"} {
			ga.memberJoined(relay.Member{Box: box, DataCentre: "dc", Address: "127.0.0.1:1"})
		}
		_, ok := ga.watcher(time.Now())
		require.Equal(t, relayed, ok, maxAge)
	}
}

func TestAgeOfRelayedStateLeavesTimeToRecoverWithinTheBound(t *testing.T) {
	for _, tc := range []struct {
		bound, age time.Duration
		relay      bool
	}{
		{0, longestRelayAge, true},
		{time.Second, 100 * time.Millisecond, false},
		{2 * time.Second, 1100 * time.Millisecond, true},
		{3 * time.Second, 2100 * time.Millisecond, true},
		{5 * time.Second, longestRelayAge, true},
	} {
		for _, bo := range []Bounds{
			{MaxPropagation: tc.bound, MaxConfigAge: 5 * time.Second},
			{MaxPropagation: 5 * time.Second, MaxDrain: tc.bound, MaxConfigAge: 5 * time.Second},
		} {
			require.Equal(t, tc.age, bo.maxRelayAge(), tc.bound)
			require.Equal(t, tc.relay, bo.allowsRelay(), tc.bound)
		}
	}
}

// Guards against followers that wait for a watcher whose state has become too old meanwhile.
func TestWatcherRespondsWhenItsStateBecomesOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc", Bounds: Bounds{MaxPropagation: 2 * time.Second}}
		ga.prepare()
		began := time.Now()
		require.NoError(t, ga.applyReadState(State{Revision: rev(5)}, began))
		time.Sleep(time.Second)
		up := ga.Updates(t.Context(), relay.Request{After: rev(5), Wait: relayWait})
		require.Greater(t, up.Age, ga.Bounds.maxRelayAge())
		require.Less(t, time.Since(began), ga.Bounds.maxRelayAge()+10*time.Millisecond)
		require.Equal(t, up.Age-up.Waited, time.Second)
	})
}

func TestUnknownRouteIsDeniedOnlyWithinTheBound(t *testing.T) {
	ga, _ := newServingGateway()
	for bound, want := range map[time.Duration]time.Duration{0: longestDenyAge, 2 * time.Second: 2 * time.Second, 3 * time.Second: longestDenyAge} {
		ga.SetBounds(Bounds{MaxPropagation: bound})
		for age, co := range map[time.Duration]result.Code{want: result.UnknownPath, want + 1: result.StaleConfiguration} {
			ex := &exchange{ga: ga, configAge: age}
			require.Equal(t, co, ex.notFound(result.UnknownPath), "%s, %s", bound, age)
		}
	}
}

// A gateway that starts to serve updates with a batch that it did not encode has no history of that
// batch, and must report so to a gateway that requests it.
func TestHistoryHasNoGapWhenAGatewayStartsServingUpdates(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc"}
	ga.prepare()
	member := func(box string) Change {
		return Change{Member: &relay.Member{Box: box, DataCentre: "dc", Address: "127.0.0.1:1"}}
	}
	now := time.Now()
	require.NoError(t, ga.applyReadState(State{Revision: rev(5), Changes: []Change{member("a"), member("b")}}, now))
	ga.applyWatch(State{Revision: rev(7), Changes: []Change{member("c")}}, now, time.Second, now)
	up := ga.Updates(t.Context(), relay.Request{After: rev(5)})
	require.True(t, up.Unknown || len(up.Batches) > 0, "revision 7 contains a member")
	ga.applyWatch(State{Revision: rev(8), Changes: []Change{member("d")}}, now, time.Second, now)
	up = ga.Updates(t.Context(), relay.Request{After: rev(7)})
	require.False(t, up.Unknown)
	require.Len(t, up.Batches, 1)
}

// A watcher whose process has ended is replaced by one of the gateways that requested changes from
// it once its membership has expired.
func TestExpiredWatcherIsReplaced(t *testing.T) {
	re := newRelayCluster(t)
	re.disableRelay("b")
	re.store.add(Change{MemberGone: "b"})
	re.eventually(t, "c joins", func() bool { return re.hasMember("a", "c") })
	re.storeConfig(2)
	re.awaitConfig(t, "c", 2)
}

// A gateway whose revision is not covered by the watcher's history receives the complete state from
// the watcher and continues from there without a call to the service.
func TestWatcherSendsSnapshotToGatewayWithOldRevision(t *testing.T) {
	wa := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc"}
	wa.prepare()
	now := time.Now()
	phase := StoredPhase{Service: "s", Order: rev(4), Phase: rollout.Trying, Revision: rev(5), Version: "v2"}
	require.NoError(t, wa.applyReadState(State{Revision: rev(9), Changes: []Change{
		{Document: &routing.Document{Version: 3, Teams: []routing.Team{{Name: "t", Keys: []string{"k"}}}}},
		{Server: &directory.Server{ID: "x", Service: "s", Version: "v2"}},
		{Order: &Order{Revision: rev(4), Plan: rollout.Plan{Service: "s", Version: "v2", Within: time.Minute}}},
		{Phase: &phase},
		{Member: &relay.Member{Box: "a", DataCentre: "dc", Address: "127.0.0.1:1"}},
	}}, now))
	up := wa.Updates(t.Context(), relay.Request{After: rev(2)})
	require.NotEmpty(t, up.Snapshot)

	ga := &Gateway{Log: zerolog.Nop(), Box: "b", DataCentre: "dc"}
	ga.prepare()
	require.NoError(t, ga.applyReadState(State{Revision: rev(2), Changes: []Change{{Server: &directory.Server{ID: "gone", Service: "s"}}}}, now))
	at, err := ga.applySnapshot("a", up, now)
	require.NoError(t, err)
	require.Equal(t, rev(9), at)
	require.Equal(t, uint64(3), ga.Table().Version())
	require.NotNil(t, ga.servers.Get("x"))
	require.Nil(t, ga.servers.Get("gone"))
	require.Equal(t, rollout.Trying, ga.rollouts["s"].canary.Phase())
	require.Contains(t, ga.members, "a")

	_, err = ga.applySnapshot("a", relay.Update{Snapshot: []byte{1, 2}}, now)
	require.Error(t, err)
	require.Equal(t, uint64(3), ga.Table().Version(), "a state that cannot be decoded changes nothing")
}

// newStartingGateway returns a gateway of the same data centre that is not a member and reads the
// state in pages, and its number of complete reads.
func (re *relayCluster) newStartingGateway(box string) (*Gateway, *atomic.Int64) {
	var completeReads atomic.Int64
	ga := &Gateway{
		Log: zerolog.Nop(), Box: box, DataCentre: "dc", Bounds: Bounds{MaxConfigAge: 5 * time.Second},
		Store:     storeView{store: re.store, box: box, pageSize: 8, completeReads: &completeReads},
		RelayHTTP: http.DefaultClient,
	}
	ga.prepare()
	return ga, &completeReads
}

// If the state is too large for one call, a gateway that starts reads only the first part, with the
// members, from the service, and the complete state from a watcher.
func TestRestOfALargeStateIsReadFromWatcher(t *testing.T) {
	re := newRelayCluster(t)
	for i := range 40 {
		re.store.add(serverChange(fmt.Sprint("x", i), "dc"))
	}
	for _, box := range []string{"a", "b"} {
		re.eventually(t, box+" has the complete state", func() bool {
			ga := re.gateways[box]
			ga.mu.Lock()
			defer ga.mu.Unlock()
			return ga.servers.Len() == 40
		})
	}
	ga, completeReads := re.newStartingGateway("d")
	revision, err := ga.readState(t.Context())
	require.NoError(t, err)
	require.Zero(t, completeReads.Load())
	require.Equal(t, 40, ga.servers.Len())
	require.Equal(t, uint64(1), ga.Table().Version())
	require.True(t, ga.acceptsKeys(time.Now()))
	require.NotZero(t, revision)

	for _, box := range []string{"a", "b"} {
		re.disableRelay(box)
	}
	withoutWatcher, completeReads := re.newStartingGateway("e")
	began := time.Now()
	_, err = withoutWatcher.readState(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(1), completeReads.Load(), "no watcher answered")
	require.Equal(t, 40, withoutWatcher.servers.Len())
	require.Less(t, time.Since(began), snapshotWait+time.Second)
}
