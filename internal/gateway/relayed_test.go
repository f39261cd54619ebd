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
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// keptState is a source of a few lines that several gateways share.
type keptState struct {
	mu      sync.Mutex
	changes []Change
	news    chan struct{}
	// era counts how often it went back, if it says so.
	era    uint64
	silent bool
	// watches counts the watches of each box, cut names those that get no answers.
	watches map[string]int
	cut     map[string]bool
	// reads counts the whole reads.
	reads int
	// noBlocks is set where it keeps none.
	noBlocks bool
}

// view is the source as one box sees it.
type view struct {
	kept *keptState
	box  string
	// pageOf is how many changes a page of a read holds; all if it is zero. wholeReads counts
	// the reads of more than the first page.
	pageOf     int
	wholeReads *atomic.Int64
}

func (ke *keptState) add(ch Change) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.changes = append(ke.changes, ch)
	close(ke.news)
	ke.news = make(chan struct{})
}

// restore goes back to the first changes that there were.
func (ke *keptState) restore(changes int) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.changes = slices.Clone(ke.changes[:changes])
	if !ke.silent {
		ke.era++
	}
	close(ke.news)
	ke.news = make(chan struct{})
}

func (ke *keptState) setCut(box string, cut bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.cut[box] = cut
}

// watchesOfC counts the watches of the gateway that others watch for.
func (ke *keptState) watchesOfC() int {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.watches["c"]
}

func (vi view) since(after revision.Revision) (State, chan struct{}, error) {
	ke := vi.kept
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.cut[vi.box] {
		return State{}, nil, result.New(result.StoreDown, "cut")
	}
	to := revision.Revision{Era: ke.era, Number: uint64(len(ke.changes))}
	if after.Number > to.Number {
		return State{}, nil, ErrHistoryGone
	}
	return State{Revision: to, Changes: ke.changes[after.Number:]}, ke.news, nil
}

func (vi view) Read(_ context.Context, _ uint64, goOn func(State) bool) (State, bool, error) {
	vi.kept.mu.Lock()
	vi.kept.reads++
	vi.kept.mu.Unlock()
	st, _, err := vi.since(revision.Revision{})
	if err != nil || vi.pageOf == 0 || len(st.Changes) <= vi.pageOf {
		return st, true, err
	}
	first := State{Revision: st.Revision, Changes: st.Changes[:vi.pageOf]}
	if goOn(first) {
		vi.wholeReads.Add(1)
		return st, true, nil
	}
	return first, false, nil
}

func (vi view) Watch(ctx context.Context, after revision.Revision, wait time.Duration) (State, error) {
	vi.kept.mu.Lock()
	vi.kept.watches[vi.box]++
	vi.kept.mu.Unlock()
	st, news, err := vi.since(after)
	if err == nil && len(st.Changes) == 0 {
		select {
		case <-news:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		st, _, err = vi.since(after)
	}
	return st, err
}

func (vi view) Join(_ context.Context, me relay.Member, _ time.Duration) (Lease, error) {
	vi.kept.add(Change{Member: &me})
	return 1, nil
}

func (view) Renew(context.Context, Lease) error { return nil }

func (view) Store(context.Context, Order, StoredPhase) (bool, error) { return true, nil }

func (view) Tell(context.Context, string, []Tally) error { return nil }

func (vi view) Block(_ context.Context, bl poison.Block) error {
	_, _, err := vi.since(revision.Revision{})
	if err != nil {
		return err
	}
	if vi.kept.noBlocks {
		return result.New(result.StoreDown, "keeps no blocks")
	}
	vi.kept.add(Change{Blocked: &bl})
	return nil
}

func (vi view) Unblock(_ context.Context, pr poison.Fingerprint) error {
	vi.kept.add(Change{Unblocked: &pr})
	return nil
}

// relaying is three gateways of one data centre, of which a and b watch for c.
type relaying struct {
	kept      *keptState
	gateways  map[string]*Gateway
	listeners map[string]*recordingListener
}

// recordingListener remembers its connections: the server forgets those that are
// WebSockets.
type recordingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
	// deaf is set when the server is to refuse everything.
	deaf atomic.Bool
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

// deafen makes a gateway refuse the others' requests and ends their connections.
func (re *relaying) deafen(box string) {
	re.listeners[box].deaf.Store(true)
	re.listeners[box].closeAll()
}

func newRelaying(t *testing.T) *relaying {
	t.Helper()
	re := &relaying{
		kept:      &keptState{news: make(chan struct{}), watches: map[string]int{}, cut: map[string]bool{}},
		gateways:  map[string]*Gateway{},
		listeners: map[string]*recordingListener{},
	}
	re.configure(1)
	for _, box := range []string{"a", "b", "c"} {
		ga := &Gateway{
			Log: zerolog.Nop(), Box: box, DataCentre: "dc", Source: view{kept: re.kept, box: box},
			Bounds: Bounds{Revoke: 5 * time.Second}, RelayHTTP: http.DefaultClient,
		}
		router := http.NewServeMux()
		router.Handle(relay.Path, &relay.Server{Feed: ga})
		router.Handle(relay.LoadPath, &relay.LoadServer{Handler: ga})
		li := &recordingListener{}
		hs := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if li.deaf.Load() {
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
	re.eventually(t, "all are counted", func() bool {
		return re.size("a") == 3 && re.size("b") == 3 && re.size("c") == 3
	})
	require.False(t, re.hasMember("a", "c"), "two that watch are enough")
	re.eventually(t, "c asks a watcher", func() bool {
		before := re.kept.watchesOfC()
		time.Sleep(2 * watchMost)
		return re.kept.watchesOfC() == before
	})
	require.LessOrEqual(t, re.kept.watchesOfC(), 3, "watchers that begin to serve with c are not left for that")
	return re
}

func (re *relaying) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, 20*time.Second, 5*time.Millisecond, what)
}

func (re *relaying) hasMember(at, box string) bool {
	ga := re.gateways[at]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	_, ok := ga.members[box]
	return ok
}

// size returns how many gateways one of them counts.
func (re *relaying) size(box string) int {
	ga := re.gateways[box]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.size
}

func (re *relaying) configure(version uint64) {
	re.kept.add(Change{Document: &routing.Document{Version: version, Teams: []routing.Team{{Name: "t", Keys: []string{"k"}}}}})
}

func (re *relaying) inForce(t *testing.T, box string, version uint64) {
	t.Helper()
	re.eventually(t, box, func() bool { return re.gateways[box].Table().Version() == version })
}

func TestChangesComeThroughAWatcher(t *testing.T) {
	re := newRelaying(t)
	before := re.kept.watchesOfC()
	for version := uint64(2); version < 5; version++ {
		re.configure(version)
		re.inForce(t, "c", version)
	}
	require.True(t, re.gateways["c"].isFresh(time.Now()))
	require.Equal(t, before, re.kept.watchesOfC(), "the service is not asked")
	require.Equal(t, "t", re.gateways["c"].Table().TeamByKey("k").Name, "all of the configuration came")
	kept := re.gateways["c"].Updates(t.Context(), relay.Request{After: rev(1)})
	require.True(t, kept.Unknown, "a gateway that nobody asks keeps no changes")
}

// A watcher that is gone, and one that is cut off from the service: who asked it
// hears of the next change all the same, and stays fresh.
func TestAGatewayGoesOnWithoutItsWatchers(t *testing.T) {
	re := newRelaying(t)
	for _, box := range []string{"a", "b"} {
		re.deafen(box)
	}
	re.configure(2)
	began := time.Now()
	re.inForce(t, "c", 2)
	require.Less(t, time.Since(began), 2*time.Second)
	require.True(t, re.gateways["c"].isFresh(time.Now()))
}

func TestAWatcherThatIsCutOffIsLeft(t *testing.T) {
	re := newRelaying(t)
	re.kept.setCut("a", true)
	re.kept.setCut("b", true)
	for range 60 {
		time.Sleep(100 * time.Millisecond)
		require.True(t, re.gateways["c"].isFresh(time.Now()))
	}
	require.False(t, re.gateways["a"].isFresh(time.Now()))
	re.configure(2)
	re.inForce(t, "c", 2)
	re.kept.setCut("a", false)
	re.inForce(t, "a", 2)
}

// Seen in the soak with a bound of 2 s on keys: what came through a watcher was too
// old to accept any in a third of the time.
func TestUnderATightBoundEachGatewayWatchesItself(t *testing.T) {
	for revoke, relayed := range map[time.Duration]bool{2 * time.Second: false, 3 * time.Second: false, 5 * time.Second: true, 0: true} {
		ga := &Gateway{Log: zerolog.Nop(), Box: "c", DataCentre: "dc", Bounds: Bounds{Revoke: revoke}}
		ga.prepare()
		for _, box := range []string{"a", "b"} {
			ga.joined(relay.Member{Box: box, DataCentre: "dc", Address: "127.0.0.1:1"})
		}
		_, ok := ga.watcher(time.Now())
		require.Equal(t, relayed, ok, revoke)
	}
}

// A gateway that begins to serve others with a batch has not kept that batch: who
// asks for it must be told so.
func TestNoChangeIsLeftOutWhereAGatewayBeginsToServe(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc"}
	ga.prepare()
	member := func(box string) Change {
		return Change{Member: &relay.Member{Box: box, DataCentre: "dc", Address: "127.0.0.1:1"}}
	}
	now := time.Now()
	require.NoError(t, ga.takeRead(State{Revision: rev(5), Changes: []Change{member("a"), member("b")}}, now))
	ga.apply(State{Revision: rev(7), Changes: []Change{member("c")}}, now, time.Second, now)
	up := ga.Updates(t.Context(), relay.Request{After: rev(5)})
	require.True(t, up.Unknown || len(up.Batches) > 0, "revision 7 brought a member")
	ga.apply(State{Revision: rev(8), Changes: []Change{member("d")}}, now, time.Second, now)
	up = ga.Updates(t.Context(), relay.Request{After: rev(7)})
	require.False(t, up.Unknown)
	require.Len(t, up.Batches, 1)
}

// A watcher that is gone for good is replaced by one of those that asked it, once its
// membership has run out.
func TestAWatcherThatIsGoneIsReplaced(t *testing.T) {
	re := newRelaying(t)
	re.deafen("b")
	re.kept.add(Change{MemberGone: "b"})
	re.eventually(t, "c joins", func() bool { return re.hasMember("a", "c") })
	re.configure(2)
	re.inForce(t, "c", 2)
}

// A gateway whose revision a watcher's history does not reach gets the whole state from it
// and goes on from there, without a call to the service.
func TestAWatcherBringsUpWhoIsBehind(t *testing.T) {
	wa := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc"}
	wa.prepare()
	now := time.Now()
	phase := StoredPhase{Service: "s", Order: rev(4), Phase: rollout.Trying, Revision: rev(5), Version: "v2"}
	require.NoError(t, wa.takeRead(State{Revision: rev(9), Changes: []Change{
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
	require.NoError(t, ga.takeRead(State{Revision: rev(2), Changes: []Change{{Server: &directory.Server{ID: "gone", Service: "s"}}}}, now))
	at, err := ga.takeWhole(up, now)
	require.NoError(t, err)
	require.Equal(t, rev(9), at)
	require.Equal(t, uint64(3), ga.Table().Version())
	require.NotNil(t, ga.servers.Get("x"))
	require.Nil(t, ga.servers.Get("gone"))
	require.Equal(t, rollout.Trying, ga.rollouts["s"].canary.Phase())
	require.Contains(t, ga.members, "a")

	_, err = ga.takeWhole(relay.Update{Snapshot: []byte{1, 2}}, now)
	require.Error(t, err)
	require.Equal(t, uint64(3), ga.Table().Version(), "what can't be read changes nothing")
}

// starting returns a gateway of the same data centre that is not a member, whose reads come
// in pages, and how many whole reads it has made.
func (re *relaying) starting(box string) (*Gateway, *atomic.Int64) {
	var wholeReads atomic.Int64
	ga := &Gateway{
		Log: zerolog.Nop(), Box: box, DataCentre: "dc", Bounds: Bounds{Revoke: 5 * time.Second},
		Source:    view{kept: re.kept, box: box, pageOf: 8, wholeReads: &wholeReads},
		RelayHTTP: http.DefaultClient,
	}
	ga.prepare()
	return ga, &wholeReads
}

// Of a state that takes several calls to read a gateway that starts reads the first part,
// which holds the members, and has the rest from a watcher.
func TestOfALargeStateAWatcherTellsTheRest(t *testing.T) {
	re := newRelaying(t)
	for i := range 40 {
		re.kept.add(serverChange(fmt.Sprint("x", i), "dc"))
	}
	for _, box := range []string{"a", "b"} {
		re.eventually(t, box+", which may be asked, knows all", func() bool {
			ga := re.gateways[box]
			ga.mu.Lock()
			defer ga.mu.Unlock()
			return ga.servers.Len() == 40
		})
	}
	ga, wholeReads := re.starting("d")
	revision, err := ga.readState(t.Context())
	require.NoError(t, err)
	require.Zero(t, wholeReads.Load())
	require.Equal(t, 40, ga.servers.Len())
	require.Equal(t, uint64(1), ga.Table().Version())
	require.True(t, ga.isFresh(time.Now()))
	require.NotZero(t, revision)

	for _, box := range []string{"a", "b"} {
		re.deafen(box)
	}
	alone, wholeReads := re.starting("e")
	began := time.Now()
	_, err = alone.readState(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(1), wholeReads.Load(), "no watcher answers")
	require.Equal(t, 40, alone.servers.Len())
	require.Less(t, time.Since(began), startWait+time.Second)
}
