package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/outage"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/stall"
)

var now = time.Unix(1000, 0)

func members(n int) []Member {
	list := make([]Member, 0, n)
	for i := range n {
		list = append(list, Member{Box: fmt.Sprintf("b%02d", i), DataCentre: fmt.Sprint("dc", i%3), Address: "a"})
	}
	return list
}

func TestTwoGatewaysPerDataCentreWatchForTheOthers(t *testing.T) {
	all := members(30)
	watching, asked := map[string]int{}, map[string]int{}
	for _, me := range all {
		pl := Plan{Box: me.Box, DataCentre: me.DataCentre, Service: &outage.Tracker{}}
		wa, ok := pl.Watcher(all, now)
		if pl.IsWatcher(all) {
			watching[me.DataCentre]++
			require.Equal(t, !ok, pl.IsRoot(all), "the roots call the service, the other watchers ask a root")
			continue
		}
		require.True(t, ok)
		require.Equal(t, me.DataCentre, wa.DataCentre)
		asked[wa.Box]++
	}
	require.Equal(t, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2}, watching)
	require.Len(t, asked, 6, "each watcher serves some gateways")
}

func TestWatchersServeOnlyIfTheirDataCentreHasOtherMembers(t *testing.T) {
	for n, want := range map[int]int{1: 0, 6: 0, 7: 2, 9: 6, 30: 6} {
		all, serving := members(n), 0
		for _, me := range all {
			if (&Plan{Box: me.Box, DataCentre: me.DataCentre, Service: &outage.Tracker{}}).Serves(all) {
				serving++
			}
		}
		require.Equal(t, want, serving, "%d members in three data centres", n)
	}
}

func TestGatewaysWithTheLargestLinksWatch(t *testing.T) {
	all := members(12)
	all[9].LinkMbps, all[6].LinkMbps = 200, 200
	for _, me := range all {
		pl := Plan{Box: me.Box, DataCentre: me.DataCentre, Service: &outage.Tracker{}}
		if wa, ok := pl.Watcher(all, now); ok && me.DataCentre == "dc0" {
			require.Contains(t, []string{"b06", "b09"}, wa.Box)
		}
	}
}

func TestGatewayWhoseWatchersFailCallsTheService(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0", Service: &outage.Tracker{}}
	first, ok := pl.Watcher(all, now)
	require.True(t, ok)
	pl.Failed(first.Box, now)
	second, ok := pl.Watcher(all, now)
	require.True(t, ok)
	require.NotEqual(t, first.Box, second.Box)
	pl.Failed(second.Box, now)
	_, ok = pl.Watcher(all, now)
	require.False(t, ok)
	again, ok := pl.Watcher(all, now.Add(avoidDuration))
	require.True(t, ok)
	require.Equal(t, first.Box, again.Box)
}

// While the service is down for all gateways, those that are not watchers call it only about once a
// second.
func TestUnavailableServiceIsRarelyCalledByOthersThanWatchers(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0", Service: &outage.Tracker{}}
	calls, at := 0, now
	for ; at.Before(now.Add(10 * time.Second)); at = at.Add(200 * time.Millisecond) {
		wa, ok := pl.Watcher(all, at)
		if ok {
			pl.Failed(wa.Box, at)
			continue
		}
		calls++
		pl.Service.HandleFailure(at, at)
	}
	require.LessOrEqual(t, calls, 10)
	require.GreaterOrEqual(t, calls, 5)
	for _, me := range all[:maxRoots] {
		pl := Plan{Box: me.Box, DataCentre: me.DataCentre, Service: &outage.Tracker{}}
		pl.Service.HandleFailure(now, now)
		_, ok := pl.Watcher(all, now)
		require.False(t, ok, "a root keeps calling the service")
	}
}

// If the service rejects some of the gateways, watchers in another data centre may still have a
// current state, so they are asked before the service is called again. If it answers no gateway,
// those that are not watchers rarely call it.
func TestWatchersInOtherDataCentresAreAskedBeforeTheServiceAgain(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0", Service: &outage.Tracker{}}
	asked, calls := map[string]bool{}, 0
	for at := now; at.Before(now.Add(11 * time.Second)); at = at.Add(100 * time.Millisecond) {
		wa, ok := pl.Watcher(all, at)
		if !ok {
			calls++
			pl.Service.HandleFailure(at, at)
			continue
		}
		asked[wa.Box] = true
		pl.Stale(wa.Box, at)
	}
	require.Len(t, asked, 6, "all watchers")
	require.LessOrEqual(t, calls, 3)
	require.GreaterOrEqual(t, calls, 2, "the service may answer only this gateway")
}

// Guards against a gateway that stays away from the service for longer than changes may take.
func TestServiceIsCalledAgainWithinTheBoundOnPropagation(t *testing.T) {
	all := members(12)
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		for _, answeredBefore := range []bool{false, true} {
			pl := Plan{Box: "b09", DataCentre: "dc0", Service: &outage.Tracker{}, MaxPropagation: bound}
			if answeredBefore {
				pl.Service.HandleAnswer(now, now)
			}
			pl.Service.HandleFailure(now, now)
			at := now
			for called := false; !called; at = at.Add(100 * time.Millisecond) {
				wa, asked := pl.Watcher(all, at)
				called = !asked
				pl.Stale(wa.Box, at)
			}
			require.LessOrEqual(t, at.Sub(now)+callSlack-100*time.Millisecond, bound, "answered before: %v", answeredBefore)
		}
	}
}

// Guards against all gateways of a data centre calling the service at the same moment when both of
// their watchers' states become out of date: 71 gateways read the whole state at once while the
// service had only lost its history, and their watchers had it again 0.1 s later.
func TestBrieflyOutdatedWatchersCauseNoBurstOfCalls(t *testing.T) {
	for outdatedFor, most := range map[time.Duration]int{150 * time.Millisecond: 0, 10 * time.Second: 70} {
		all := members(12)
		calls := map[int]int{}
		for i := range 70 {
			pl := Plan{Box: fmt.Sprint("x", i), DataCentre: "dc0", Service: &outage.Tracker{}}
			for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(50 * time.Millisecond) {
				wa, ok := pl.Watcher(all, at)
				if !ok {
					calls[int(at.Sub(now)/(100*time.Millisecond))]++
					break
				}
				if at.Sub(now) < outdatedFor {
					pl.Stale(wa.Box, at)
				}
			}
		}
		total := 0
		for slot, n := range calls {
			total += n
			require.GreaterOrEqual(t, slot, 2)
			require.LessOrEqual(t, slot, 5, "keys are refused if the service is called later")
			require.LessOrEqual(t, n, 50, "spread over some tenths of a second")
		}
		require.Equal(t, most, total, outdatedFor)
	}
}

// Guards against the wait for an outdated watcher that ends only after another one, which does not answer,
// was asked as well.
func TestOtherWatcherIsAskedBeforeAnOutdatedOneAgain(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0", Service: &outage.Tracker{}}
	first, _ := pl.Watcher(all, now)
	pl.Stale(first.Box, now)
	at := now.Add(100 * time.Millisecond)
	second, ok := pl.Watcher(all, at)
	require.True(t, ok)
	require.NotEqual(t, first.Box, second.Box)
	at = at.Add(50 * time.Millisecond)
	pl.Failed(second.Box, at)
	again, ok := pl.Watcher(all, at)
	require.True(t, ok)
	require.Equal(t, first.Box, again.Box, "not the one that does not answer")
	pl.Stale(again.Box, at)
	_, ok = pl.Watcher(all, now.Add(maxStaleWait))
	require.False(t, ok, "the service is called")
}

func TestWatcherThatAnswersAgainIsNotAvoided(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0", Service: &outage.Tracker{}}
	for at := now; at.Before(now.Add(minStaleWait)); at = at.Add(50 * time.Millisecond) {
		wa, _ := pl.Watcher(all, at)
		pl.Stale(wa.Box, at)
	}
	answered, ok := pl.Watcher(all, now.Add(minStaleWait-1))
	require.True(t, ok)
	wa, ok := pl.Watcher(all, now.Add(maxStaleWait+1))
	require.True(t, ok)
	require.Equal(t, answered.Box, wa.Box)
}

// A gateway does not rely on how long another one claims to have waited.
func TestAgeAtRequestIsBoundedByElapsedTime(t *testing.T) {
	for _, tc := range []struct{ age, waited, elapsed, want time.Duration }{
		{700, 500, 510, 200},
		{5, 300, 310, -295},
		{5, 900, 310, -305},
		{-50, 0, 10, 0},
		{700, -20, 10, 700},
	} {
		up := Update{Age: tc.age, Waited: tc.waited}
		require.Equal(t, tc.want, up.AgeAtRequest(tc.elapsed), tc)
	}
}

// Guards against watchers that wait while only the roots are turned away by the service: keys were
// refused for seconds where the service answered two of three gateways.
func TestWatchersCallTheServiceWhenAllRootsAreOutdated(t *testing.T) {
	all := members(12)
	roots := rootsOf(all)
	require.Len(t, roots, maxRoots)
	for _, me := range allWatchers(all) {
		pl := Plan{Box: me.Box, DataCentre: me.DataCentre, Service: &outage.Tracker{}}
		at := now
		for range maxRoots {
			if wa, ok := pl.Watcher(all, at); ok {
				pl.Stale(wa.Box, at)
			}
			at = at.Add(100 * time.Millisecond)
		}
		_, ok := pl.Watcher(all, at)
		require.False(t, ok, me.Box)
	}
}

// Guards against a number of calls that grows with the number of data centres: in a fleet of 103
// gateways, the ten watchers of five data centres made two thirds of all calls in normal operation.
func TestOnlyRootsCallTheServiceWithManyDataCentres(t *testing.T) {
	for centres := 4; centres <= 9; centres++ {
		var all []Member
		for i := range 5 * centres {
			all = append(all, Member{Box: fmt.Sprintf("b%02d", i), DataCentre: fmt.Sprint("dc", i%centres), Address: "a"})
		}
		calling := map[string]bool{}
		for _, me := range all {
			pl := Plan{Box: me.Box, DataCentre: me.DataCentre, Service: &outage.Tracker{}}
			wa, ok := pl.Watcher(all, now)
			if !ok {
				calling[me.DataCentre] = true
				continue
			}
			second := Plan{Box: wa.Box, DataCentre: wa.DataCentre, Service: &outage.Tracker{}}
			if root, ok := second.Watcher(all, now); ok {
				third := Plan{Box: root.Box, DataCentre: root.DataCentre, Service: &outage.Tracker{}}
				_, ok = third.Watcher(all, now)
				require.False(t, ok, "a watcher that others ask calls the service")
			}
		}
		require.Len(t, calling, maxRoots, "in different data centres")
	}
}

func TestWatcherWhoseRootsFailCallsTheService(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Box: fmt.Sprintf("b%02d", i), DataCentre: fmt.Sprint("dc", i%5), Address: "a"})
	}
	pl := Plan{Box: "b04", DataCentre: "dc4", Service: &outage.Tracker{}}
	asked := map[string]bool{}
	fail := func() {
		wa, ok := pl.Watcher(all, now)
		require.True(t, ok)
		require.False(t, asked[wa.Box], "each root is asked once")
		asked[wa.Box] = true
		pl.Failed(wa.Box, now)
	}
	for range maxFailedRoots {
		fail()
	}
	_, ok := pl.Watcher(all, now)
	require.False(t, ok, "the gateways that ask this one wait")
	pl.Service.HandleFailure(now, now)
	for range maxRoots - maxFailedRoots {
		fail()
	}
	_, ok = pl.Watcher(all, now.Add(serviceInterval))
	require.False(t, ok)
}

func TestOnlyNeededGatewaysJoin(t *testing.T) {
	all := members(6) // two in each of three data centres
	pl := Plan{Box: "b09", DataCentre: "dc0", Service: &outage.Tracker{}}
	require.False(t, pl.ShouldJoin(all, 0), "there are two members with such links")
	require.True(t, pl.ShouldJoin(all, 1), "its link is larger")
	require.True(t, pl.ShouldJoin(all[1:], 0), "there is only one member")
	require.True(t, pl.ShouldJoin(nil, 0))
	again := Plan{Box: "b00", DataCentre: "dc0", Service: &outage.Tracker{}}
	require.True(t, again.ShouldJoin(append(all, Member{Box: "b06", DataCentre: "dc0", Address: "a"}), 0), "a restarted watcher")
}

func TestCatchUpCallsAreRateLimited(t *testing.T) {
	var pl Plan
	require.True(t, pl.AllowCatchUp(now))
	require.False(t, pl.AllowCatchUp(now.Add(catchUpInterval-1)), "too soon after the previous call")
	require.True(t, pl.AllowCatchUp(now.Add(catchUpInterval)))
}

func TestGatewayWithoutMembersCallsTheService(t *testing.T) {
	pl := Plan{Box: "b00", DataCentre: "dc0", Service: &outage.Tracker{}}
	_, ok := pl.Watcher(nil, now)
	require.False(t, ok)
	_, ok = pl.Watcher([]Member{{Box: "b01", DataCentre: "dc0"}}, now)
	require.False(t, ok, "the only member answers no requests")
}

// rev returns a revision of a service without eras.
func rev(number uint64) revision.Revision { return revision.Revision{Number: number} }

// With any revisions of the batches and of a gateway, the gateway gets every change after its
// revision, or is informed that the history does not contain them.
func TestHistoryReturnsEveryChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var hi History
		begin := uint64(rapid.IntRange(1, 50).Draw(rt, "begin"))
		hi.Reset(rev(begin))
		at, all := begin, map[uint64]bool{}
		for range rapid.IntRange(0, 2*maxBatches).Draw(rt, "batches") {
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
			if after >= begin && len(hi.batches) < maxBatches {
				rt.Fatalf("revision %d is unknown to a history from %d", after, begin)
			}
			return
		}
		if to.Number < after || to.Number < at {
			rt.Fatalf("continues from %s after %d of %d", to, after, at)
		}
		got := map[uint64]bool{}
		for _, ba := range batches {
			got[ba.To.Number] = true
		}
		for change := range all {
			if change > after && !got[change] {
				rt.Fatalf("change %d after %d is missing", change, after)
			}
		}
	})
}

func TestHistoryHoldsNoChangesOfAnotherEra(t *testing.T) {
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
	require.False(t, ok, "the changes in between are unknown")
}

// fakeFeed answers with a fixed update after a delay. The update's revision is relative to the
// request's.
type fakeFeed struct {
	update Update
	delay  time.Duration
}

func (fe *fakeFeed) Updates(ctx context.Context, rq Request) Update {
	select {
	case <-ctx.Done():
	case <-time.After(fe.delay):
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

func TestClientFetchesUpdatesOverOneConnection(t *testing.T) {
	cl := dial(t, &fakeFeed{update: Update{Revision: rev(1), Age: time.Second, Batches: []Batch{{To: rev(2), Data: []byte{1}}}}})
	for after := range uint64(3) {
		asked := revision.Revision{Era: 4, Number: after}
		up, err := cl.Fetch(t.Context(), Request{After: asked, Wait: time.Second})
		require.NoError(t, err)
		want := revision.Revision{Era: 4, Number: after + 1}
		require.Equal(t, Update{Revision: want, Age: time.Second, Batches: []Batch{{To: rev(2), Data: []byte{1}}}}, up)
	}
}

func TestFetchTimesOutOnAnUnresponsiveWatcher(t *testing.T) {
	cl := dial(t, &fakeFeed{delay: time.Minute})
	began := time.Now()
	_, err := cl.Fetch(t.Context(), Request{Wait: 100 * time.Millisecond})
	require.Error(t, err)
	require.Less(t, time.Since(began), 5*time.Second)
}

func TestMalformedRequestClosesTheConnection(t *testing.T) {
	cl := dial(t, &fakeFeed{})
	_, err := cl.Fetch(t.Context(), Request{})
	require.NoError(t, err)
	ctx, gu := stall.WithTimeout(t.Context(), cl.Timeout)
	defer gu.Stop()
	require.NoError(t, write(ctx, cl.conn, "no request", gu, cl.Timeout))
	require.Error(t, read(ctx, cl.conn, &Update{}, gu, cl.Timeout))
}

// slowConn delivers what it receives in small parts.
type slowConn struct{ net.Conn }

func (sc slowConn) Read(buf []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return sc.Conn.Read(buf[:min(len(buf), 4<<10)])
}

func TestLargeResponseOverASlowLinkIsNotCutOffByTheTimeout(t *testing.T) {
	data := make([]byte, 256<<10)
	cl := dial(t, &fakeFeed{update: Update{Snapshot: data}})
	cl.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		var di net.Dialer
		conn, err := di.DialContext(ctx, network, address)
		return slowConn{conn}, err
	}}}
	began := time.Now()
	up, err := cl.Fetch(t.Context(), Request{})
	require.NoError(t, err)
	require.Equal(t, data, up.Snapshot)
	require.Greater(t, time.Since(began), cl.Timeout)
}
