package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

var now = time.Unix(1000, 0)

func members(n int) []Member {
	list := make([]Member, 0, n)
	for i := range n {
		list = append(list, Member{Box: fmt.Sprintf("b%02d", i), DataCentre: fmt.Sprint("dc", i%3), Address: "a"})
	}
	return list
}

func TestTwoOfADataCentreWatchAndTheOthersAskThem(t *testing.T) {
	all := members(30)
	watching, asked := map[string]int{}, map[string]int{}
	for _, me := range all {
		pl := Plan{Box: me.Box, DataCentre: me.DataCentre}
		wa, ok := pl.Watcher(all, now)
		if pl.IsWatcher(all) {
			watching[me.DataCentre]++
			require.Equal(t, !ok, pl.IsRoot(all), "the roots call the service, the other watchers ask one")
			continue
		}
		require.True(t, ok)
		require.Equal(t, me.DataCentre, wa.DataCentre)
		asked[wa.Box]++
	}
	require.Equal(t, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2}, watching)
	require.Len(t, asked, 6, "each watcher serves some")
}

func TestOnlyWatchersThatOthersAskKeepChanges(t *testing.T) {
	for n, want := range map[int]int{1: 0, 6: 0, 7: 2, 9: 6, 30: 6} {
		all, serving := members(n), 0
		for _, me := range all {
			if (&Plan{Box: me.Box, DataCentre: me.DataCentre}).Serves(all) {
				serving++
			}
		}
		require.Equal(t, want, serving, "%d members in three data centres", n)
	}
}

func TestTheLargestLinksWatch(t *testing.T) {
	all := members(12)
	all[9].LinkMbps, all[6].LinkMbps = 200, 200
	for _, me := range all {
		pl := Plan{Box: me.Box, DataCentre: me.DataCentre}
		if wa, ok := pl.Watcher(all, now); ok && me.DataCentre == "dc0" {
			require.Contains(t, []string{"b06", "b09"}, wa.Box)
		}
	}
}

func TestAGatewayWhoseWatchersFailWatchesItself(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0"}
	first, ok := pl.Watcher(all, now)
	require.True(t, ok)
	pl.Failed(first.Box, now)
	second, ok := pl.Watcher(all, now)
	require.True(t, ok)
	require.NotEqual(t, first.Box, second.Box)
	pl.Failed(second.Box, now)
	_, ok = pl.Watcher(all, now)
	require.False(t, ok)
	again, ok := pl.Watcher(all, now.Add(avoidFor))
	require.True(t, ok)
	require.Equal(t, first.Box, again.Box)
}

// While the service is down for all, the gateways that do not watch leave most calls
// to those that do, and still try themselves now and then.
func TestAServiceThatIsDownIsCalledByItsWatchers(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0"}
	calls, at := 0, now
	for ; at.Before(now.Add(10 * time.Second)); at = at.Add(200 * time.Millisecond) {
		wa, ok := pl.Watcher(all, at)
		if ok {
			pl.Failed(wa.Box, at)
			continue
		}
		calls++
		pl.ServiceFailed(at)
	}
	require.LessOrEqual(t, calls, 10)
	require.GreaterOrEqual(t, calls, 5)
	for _, me := range all[:roots] {
		pl := Plan{Box: me.Box, DataCentre: me.DataCentre}
		pl.ServiceFailed(now)
		_, ok := pl.Watcher(all, now)
		require.False(t, ok, "a root goes on")
	}
}

// Where the service turns a part of the gateways away, the watchers of another data centre
// may have it; where it answers nobody, the gateways that do not watch hardly call it.
func TestWatchersOfOtherDataCentresAreAskedBeforeTheServiceAgain(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0"}
	asked, calls := map[string]bool{}, 0
	for at := now; at.Before(now.Add(11 * time.Second)); at = at.Add(100 * time.Millisecond) {
		wa, ok := pl.Watcher(all, at)
		if !ok {
			calls++
			pl.ServiceFailed(at)
			continue
		}
		asked[wa.Box] = true
		pl.Stale(wa.Box, at)
	}
	require.Len(t, asked, 6, "all watchers")
	require.LessOrEqual(t, calls, 3)
	require.GreaterOrEqual(t, calls, 2, "the service may answer only this one")
}

// Calls to the service grew with the data centres: ten watchers of five made two thirds of
// all calls of a fleet of 103 gateways in its calm time.
func TestInManyDataCentresFewWatchersCallTheService(t *testing.T) {
	for centres := 4; centres <= 9; centres++ {
		var all []Member
		for i := range 5 * centres {
			all = append(all, Member{Box: fmt.Sprintf("b%02d", i), DataCentre: fmt.Sprint("dc", i%centres), Address: "a"})
		}
		calling := map[string]bool{}
		for _, me := range all {
			pl := Plan{Box: me.Box, DataCentre: me.DataCentre}
			wa, ok := pl.Watcher(all, now)
			if !ok {
				calling[me.DataCentre] = true
				continue
			}
			second := Plan{Box: wa.Box, DataCentre: wa.DataCentre}
			if root, ok := second.Watcher(all, now); ok {
				third := Plan{Box: root.Box, DataCentre: root.DataCentre}
				_, ok = third.Watcher(all, now)
				require.False(t, ok, "whom watchers ask calls the service")
			}
		}
		require.Len(t, calling, roots, "of unlike data centres")
	}
}

func TestAWatcherWhoseRootsFailCallsTheService(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Box: fmt.Sprintf("b%02d", i), DataCentre: fmt.Sprint("dc", i%5), Address: "a"})
	}
	pl := Plan{Box: "b04", DataCentre: "dc4"}
	for range roots {
		wa, ok := pl.Watcher(all, now)
		require.True(t, ok)
		pl.Failed(wa.Box, now)
	}
	_, ok := pl.Watcher(all, now)
	require.False(t, ok)
}

func TestOnlyWhoIsNeededJoins(t *testing.T) {
	all := members(6) // two in each of three data centres
	pl := Plan{Box: "b09", DataCentre: "dc0"}
	require.False(t, pl.ShouldJoin(all, 0), "two are there")
	require.True(t, pl.ShouldJoin(all, 1), "a larger link")
	require.True(t, pl.ShouldJoin(all[1:], 0), "one is missing")
	require.True(t, pl.ShouldJoin(nil, 0))
	again := Plan{Box: "b00", DataCentre: "dc0"}
	require.True(t, again.ShouldJoin(append(all, Member{Box: "b06", DataCentre: "dc0", Address: "a"}), 0), "a watcher that was restarted")
}

func TestCatchingUpTakesOneCall(t *testing.T) {
	var pl Plan
	require.True(t, pl.AllowCatchUp(now))
	require.False(t, pl.AllowCatchUp(now.Add(catchUpEvery-1)), "the watcher has failed")
	require.True(t, pl.AllowCatchUp(now.Add(catchUpEvery)))
}

func TestAGatewayThatKnowsNoMemberWatchesItself(t *testing.T) {
	pl := Plan{Box: "b00", DataCentre: "dc0"}
	_, ok := pl.Watcher(nil, now)
	require.False(t, ok)
	_, ok = pl.Watcher([]Member{{Box: "b01", DataCentre: "dc0"}}, now)
	require.False(t, ok, "one that answers no requests")
}

// rev returns a revision of a service that names no era.
func rev(number uint64) revision.Revision { return revision.Revision{Number: number} }

// Whatever revisions the batches lead to, and wherever a gateway stands: it gets
// every change above its revision, or is told that it can't.
func TestNoChangeIsLeftOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var hi History
		begin := uint64(rapid.IntRange(1, 50).Draw(rt, "begin"))
		hi.Reset(rev(begin))
		at, all := begin, map[uint64]bool{}
		for range rapid.IntRange(0, 2*historyBatches).Draw(rt, "batches") {
			at += uint64(rapid.IntRange(1, 5).Draw(rt, "step"))
			if rapid.Bool().Draw(rt, "empty") {
				hi.Add(Batch{To: rev(at)})
				continue
			}
			hi.Add(Batch{To: rev(at), Data: []byte{1}})
			all[at] = true
		}
		after := uint64(rapid.IntRange(0, int(at)+3).Draw(rt, "after"))
		batches, to, ok := hi.Since(rev(after))
		if !ok {
			if after >= begin && len(hi.batches) < historyBatches {
				rt.Fatalf("revision %d is not known, history from %d", after, begin)
			}
			return
		}
		if to.Number < after || to.Number < at {
			rt.Fatalf("goes on from %s after %d of %d", to, after, at)
		}
		got := map[uint64]bool{}
		for _, ba := range batches {
			got[ba.To.Number] = true
		}
		for change := range all {
			if change > after && !got[change] {
				rt.Fatalf("change %d after %d is left out", change, after)
			}
		}
	})
}

func TestChangesOfAnotherEraAreUnknown(t *testing.T) {
	var hi History
	hi.Reset(revision.Revision{Era: 2, Number: 75})
	hi.Add(Batch{To: revision.Revision{Era: 2, Number: 78}, Data: []byte{1}})
	for _, after := range []revision.Revision{{Era: 1, Number: 77}, {Era: 1, Number: 90}, {Number: 77}, {Era: 3, Number: 76}} {
		_, _, ok := hi.Since(after)
		require.False(t, ok, after)
	}
	batches, _, ok := hi.Since(revision.Revision{Era: 2, Number: 77})
	require.True(t, ok)
	require.Len(t, batches, 1)
	hi.Add(Batch{To: revision.Revision{Era: 3, Number: 70}, Data: []byte{1}})
	_, _, ok = hi.Since(revision.Revision{Era: 3, Number: 69})
	require.False(t, ok, "what came between is not known")
}

// feed answers with what it is told, after a pause.
type feed struct {
	update Update
	pause  time.Duration
}

func (fe *feed) Updates(ctx context.Context, rq Request) Update {
	select {
	case <-ctx.Done():
	case <-time.After(fe.pause):
	}
	up := fe.update
	up.Revision.Number += rq.After.Number
	up.Revision.Era += rq.After.Era
	return up
}

func dial(t *testing.T, fe Feed) *Client {
	t.Helper()
	hs := httptest.NewServer(&Server{Feed: fe})
	t.Cleanup(hs.Close)
	cl := &Client{Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: 300 * time.Millisecond, HTTP: http.DefaultClient}
	t.Cleanup(cl.Close)
	return cl
}

func TestUpdatesComeOverOneConnection(t *testing.T) {
	cl := dial(t, &feed{update: Update{Revision: rev(1), Age: time.Second, Batches: []Batch{{To: rev(2), Data: []byte{1}}}}})
	for after := range uint64(3) {
		asked := revision.Revision{Era: 4, Number: after}
		up, err := cl.Fetch(t.Context(), Request{After: asked, Wait: time.Second})
		require.NoError(t, err)
		want := revision.Revision{Era: 4, Number: after + 1}
		require.Equal(t, Update{Revision: want, Age: time.Second, Batches: []Batch{{To: rev(2), Data: []byte{1}}}}, up)
	}
}

func TestASilentWatcherIsGivenUp(t *testing.T) {
	cl := dial(t, &feed{pause: time.Minute})
	began := time.Now()
	_, err := cl.Fetch(t.Context(), Request{Wait: 100 * time.Millisecond})
	require.Error(t, err)
	require.Less(t, time.Since(began), 5*time.Second)
}

func TestWhatIsNoRequestEndsTheConnection(t *testing.T) {
	cl := dial(t, &feed{})
	_, err := cl.Fetch(t.Context(), Request{})
	require.NoError(t, err)
	require.NoError(t, write(t.Context(), cl.conn, "no request"))
	require.Error(t, read(t.Context(), cl.conn, &Update{}))
}
