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
)

// reporting is one gateway that takes and gives reports.
type reporting struct {
	plan  Plan
	own   load.Work
	table load.Table
}

func (re *reporting) report(collector bool) Report {
	if collector {
		return Report{Box: re.plan.Box, Collector: true, Work: re.table.GroupSum(re.own)}
	}
	return Report{Box: re.plan.Box, Work: re.own}
}

func (re *reporting) take(rp Report) Report {
	if rp.Collector {
		re.table.PutGroup(rp.Box, rp.Work, now)
		return Report{Box: re.plan.Box, Work: re.table.GroupSum(re.own)}
	}
	re.table.PutMember(rp.Box, rp.Work, now)
	return Report{Box: re.plan.Box, Work: re.table.SumExcept(rp.Box, re.own)}
}

// Whatever members there are, and whichever of them fail: after some rounds each
// gateway knows exactly what all others that can report do, nothing twice.
func TestEachGatewayKnowsTheWorkOfAllOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := members(rapid.IntRange(1, 40).Draw(rt, "members"))
		for i := range all {
			all[i].LinkMbps = rapid.IntRange(1, 3).Draw(rt, "link")
		}
		gateways := map[string]*reporting{}
		for i, me := range all {
			gateways[me.Box] = &reporting{
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
					answer := gateways[peer.Box].take(re.report(collector))
					re.table.PutGroup(answer.Box, answer.Work, now)
				}
			}
		}
		for box, re := range gateways {
			if got, want := re.table.OnServer("s"), total-re.own[load.KeyOf("s")]; got != want {
				rt.Fatalf("%s knows of %d, others have %d", box, got, want)
			}
		}
	})
}

func TestReportsPerGatewayStayFewAsTheyGrow(t *testing.T) {
	for _, n := range []int{4, 30, 410} {
		all, most := members(n), 0
		for _, me := range all {
			pl := Plan{Box: me.Box, DataCentre: me.DataCentre}
			peers, collector := pl.Peers(all, now)
			if !collector {
				require.Len(t, peers, 1)
			}
			most = max(most, len(peers))
		}
		require.LessOrEqual(t, most, 5, "collectors of three data centres")
	}
}

func TestAGatewayWhoseWatchersFailReportsToNobody(t *testing.T) {
	all := members(12)
	pl := Plan{Box: "b09", DataCentre: "dc0"}
	for range watchers {
		peers, _ := pl.Peers(all, now)
		require.Len(t, peers, 1)
		pl.Failed(peers[0].Box, now)
	}
	peers, _ := pl.Peers(all, now)
	require.Empty(t, peers)
	peers, _ = pl.Peers(all, now.Add(avoidFor))
	require.Len(t, peers, 1)
}

// echo answers with the report it got, under its own name.
type echo struct{}

func (echo) Reported(re Report) Report { return Report{Box: "echo", Collector: true, Work: re.Work} }

func TestReportsAreExchangedOverOneConnection(t *testing.T) {
	hs := httptest.NewServer(&LoadServer{Loads: echo{}})
	t.Cleanup(hs.Close)
	cl := &Client{Address: strings.TrimPrefix(hs.URL, "http://"), Slack: 5 * time.Second, HTTP: http.DefaultClient}
	t.Cleanup(cl.Close)
	for i := range 3 {
		wo := load.Work{load.KeyOf(fmt.Sprint(i)): 70_000}
		answer, err := cl.Exchange(t.Context(), Report{Box: "a", Work: wo})
		require.NoError(t, err)
		require.Equal(t, Report{Box: "echo", Collector: true, Work: wo}, answer)
	}
}
