package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/poison"
)

// reporter is one gateway that sends reports and replies to them.
type reporter struct {
	plan  Plan
	own   load.Work
	table load.Table
}

func (re *reporter) report(collector bool) Report {
	if collector {
		return Report{Box: re.plan.Box, Collector: true, Work: re.table.GroupSum(re.own)}
	}
	return Report{Box: re.plan.Box, Work: re.own}
}

func (re *reporter) reply(rp Report) Report {
	if rp.Collector {
		re.table.PutGroup(rp.Box, rp.Work, now)
		return Report{Box: re.plan.Box, Work: re.table.GroupSum(re.own)}
	}
	re.table.PutMember(rp.Box, rp.Work, now)
	return Report{Box: re.plan.Box, Work: re.table.SumExcept(rp.Box, re.own)}
}

// With any members, each gateway knows the work of all others after three rounds of reports, and
// counts none of that work twice.
func TestEachGatewayKnowsTheWorkOfAllOthersOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := members(rapid.IntRange(1, 40).Draw(rt, "members"))
		for i := range all {
			all[i].LinkMbps = rapid.IntRange(1, 3).Draw(rt, "link")
		}
		gateways := map[string]*reporter{}
		for i, me := range all {
			gateways[me.Box] = &reporter{
				plan: Plan{Box: me.Box, DataCentre: me.DataCentre},
				own:  load.Work{load.KeyOf("s"): uint32(1 + i)},
			}
		}
		total := uint32(len(all) * (len(all) + 1) / 2)
		for range 3 {
			for _, me := range all {
				re := gateways[me.Box]
				peers, collector := re.plan.Peers(all, now)
				for _, peer := range peers {
					reply := gateways[peer.Box].reply(re.report(collector))
					re.table.PutGroup(reply.Box, reply.Work, now)
				}
			}
		}
		for box, re := range gateways {
			if got, want := re.table.OnServer("s"), total-re.own[load.KeyOf("s")]; got != want {
				rt.Fatalf("%s counts work of %d by others, want %d", box, got, want)
			}
		}
	})
}

func TestReportsPerGatewayAreBounded(t *testing.T) {
	for _, n := range []int{4, 30, 410} {
		all, maxPeers := members(n), 0
		for _, me := range all {
			pl := Plan{Box: me.Box, DataCentre: me.DataCentre}
			peers, collector := pl.Peers(all, now)
			if !collector {
				require.Len(t, peers, 1)
			}
			maxPeers = max(maxPeers, len(peers))
		}
		require.LessOrEqual(t, maxPeers, 5, "collectors of three data centres")
	}
}

func TestGatewayWhoseWatchersFailReportsToAnotherDataCentre(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0"}
	peer := func(at time.Time) Member {
		peers, collector := pl.Peers(all, at)
		require.Len(t, peers, 1)
		require.False(t, collector)
		return peers[0]
	}
	for range watchersPerCentre {
		require.Equal(t, "dc0", peer(now).DataCentre)
		pl.Failed(peer(now).Box, now)
	}
	for range 2 * watchersPerCentre {
		require.NotEqual(t, "dc0", peer(now).DataCentre)
		pl.Failed(peer(now).Box, now)
	}
	require.Equal(t, "dc0", peer(now).DataCentre, "all have failed")
	require.Equal(t, "dc0", peer(now.Add(avoidDuration)).DataCentre)
}

func TestGatewayReportsToNoneUntilACollectorOfItsDataCentreIsKnown(t *testing.T) {
	pl := Plan{Box: "b09", DataCentre: "dc7"}
	peers, _ := pl.Peers(members(12), now)
	require.Empty(t, peers)
}

// echo replies to each report with the same work under the box name "echo".
type echo struct{}

func (echo) Reported(re Report) Report { return Report{Box: "echo", Collector: true, Work: re.Work} }

func TestClientExchangesReportsOverOneConnection(t *testing.T) {
	hs := httptest.NewServer(&LoadServer{Handler: echo{}})
	t.Cleanup(hs.Close)
	cl := &Client{Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: 5 * time.Second, HTTP: http.DefaultClient}
	t.Cleanup(cl.Close)
	for i := range 3 {
		wo := load.Work{load.KeyOf(fmt.Sprint(i)): 70_000}
		reply, err := cl.Exchange(t.Context(), Report{Box: "a", Work: wo})
		require.NoError(t, err)
		require.Equal(t, Report{Box: "echo", Collector: true, Work: wo}, reply)
	}
}

// Guards against a report that can't be read because of one text that a caller chose.
func TestReportWithOddBytesOfACallerIsRead(t *testing.T) {
	hs := httptest.NewServer(&LoadServer{Handler: echo{}})
	t.Cleanup(hs.Close)
	cl := &Client{Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: 5 * time.Second, HTTP: http.DefaultClient}
	t.Cleanup(cl.Close)
	odd := poison.Part{Service: "s", ID: "\xff\xfe"}
	_, err := cl.Exchange(t.Context(), Report{
		Box: "a", Suspicions: []poison.Suspicion{{Parts: []string{odd.ID}}},
		Suspects: []poison.Suspect{{Part: odd}}, Clears: []poison.Clear{{Part: odd}},
	})
	require.NoError(t, err)
}
