package e2e

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// partitionedSystem has two data centres. Connections between them, and those of the second one to
// the store, run through TCP proxies that can interrupt them.
type partitionedSystem struct {
	*system
	proxies []*fleet.Proxy
	// boxLists contains the address of each data centre's list of boxes, in which the agents of the
	// other data centre have the addresses of their proxies.
	boxLists [2]string
}

// addProxy starts a proxy to an address and returns the proxy's own address.
func (ps *partitionedSystem) addProxy(to string) string {
	px, err := fleet.NewProxy(to)
	require.NoError(ps.t, err)
	ps.t.Cleanup(px.Close)
	ps.proxies = append(ps.proxies, px)
	return px.Address()
}

func (ps *partitionedSystem) setPartitioned(partitioned bool) {
	for _, px := range ps.proxies {
		px.SetPartitioned(partitioned)
	}
}

func newPartitionedSystem(t *testing.T) *partitionedSystem {
	ps := &partitionedSystem{system: &system{t: t, fleet: &fleet.Fleet{Bin: binDir, Dir: t.TempDir(), Unlisted: true}}}
	t.Cleanup(func() {
		ps.setPartitioned(false)
		_ = ps.fleet.Stop()
	})
	require.NoError(t, ps.fleet.StartPlatform())
	ps.boxLists[0] = ps.fleet.Boxes
	secondList, _, err := ps.fleet.StartStandIn("boxes-1", "boxes")
	require.NoError(t, err)
	ps.boxLists[1] = secondList
	proxiedStore := ps.addProxy(ps.fleet.Store)
	ps.fleet.Tune = func(se map[string]any) {
		if se["data_centre"] == dataCentre(1) {
			se["platform"] = map[string]any{
				"store": proxiedStore, "boxes": ps.boxLists[1], "calls_per_second": 50, "watch_ms": 2000, "boxes_ms": 200,
			}
		}
	}
	for i := range 2 {
		name := []string{"s-0", "s-1"}[i]
		address, _, err := ps.fleet.StartStandIn(name, "engine", "--tokens", "12", "--pace", "1ms")
		require.NoError(t, err)
		me := fleet.Member{Box: "agent-" + name, Role: "agent", DataCentre: dataCentre(i), Server: name, Backend: address}
		added, err := ps.fleet.Add(me)
		require.NoError(t, err)
		ps.agents = append(ps.agents, added)
	}
	ps.addEntry("entry-0", dataCentre(0))
	ps.addEntry("entry-1", dataCentre(1))
	ps.publishBoxLists()
	ps.applyConfig(ps.baseConfig())
	ps.waitRevision(1, ps.fleet.Members()...)
	return ps
}

// publishBoxLists writes each data centre's list of boxes.
func (ps *partitionedSystem) publishBoxLists() {
	for dc := range 2 {
		var list []boxes.Box
		for i, ag := range ps.agents {
			address := ag.Address
			if i != dc {
				address = ps.addProxy(ag.Address)
			}
			list = append(list, boxes.Box{
				Name: ag.Box, Role: boxes.Agent, DataCentre: ag.DataCentre, Address: address,
				Admin: ag.Admin, Server: ag.Server, State: boxes.Live,
			})
		}
		saved := ps.fleet.Boxes
		ps.fleet.Boxes = ps.boxLists[dc]
		require.NoError(ps.t, ps.fleet.PublishBoxes(list))
		ps.fleet.Boxes = saved
	}
}

func TestDataCentrePartitionAndRecovery(t *testing.T) {
	ps := newPartitionedSystem(t)
	stop := ps.startLoad(6, func(n int) call { return call{kind: "long-deadline", stream: n%2 == 0} })
	ps.waitAnswers(2)
	ps.setPartitioned(true)
	require.NoError(t, fleet.WaitUntil(waitTimeout, "the second data centre to lose its peers", func() bool {
		var st struct {
			Peers map[string]uint64 `json:"peers"`
		}
		return ps.callAdmin(ps.entries[1], http.MethodGet, "/v1/status", nil, &st) == nil && len(st.Peers) == 1
	}))

	// The configuration changes in the first data centre. The second one keeps serving with its
	// current configuration, accepts no change and refuses requests with idempotency keys.
	revision := ps.setV2State(config.Withdrawn)
	ps.waitRevision(revision, ps.entries[0], ps.agents[0])
	ps.waitAnswers(3)
	require.NoError(t, fleet.WaitUntil(waitTimeout, "an answer in the isolated data centre", func() bool {
		return ps.send(ps.entries[1], call{kind: "long-deadline"}).complete
	}))
	require.Equal(t, uint64(1), ps.currentRevision(ps.entries[1]))
	require.Equal(t, uint64(1), ps.currentRevision(ps.agents[1]))
	var ch config.Change
	require.Error(t, ps.callAdmin(ps.entries[1], http.MethodPost, "/v1/versions/m/v1", map[string]any{"share": 0.5}, &ch))
	keyed := ps.send(ps.entries[1], call{idempotencyKey: "k", kind: "once"})
	require.Equal(t, result.ClaimsUnavailable, keyed.code, "%+v", keyed)

	ps.setPartitioned(false)
	ps.waitRevision(revision, ps.fleet.Members()...)
	before := ps.startedCount(ps.agents[1], "m@v2")
	ps.waitAnswers(3)
	require.NoError(t, fleet.WaitUntil(waitTimeout, "a request with the key to run after the partition", func() bool {
		return ps.send(ps.entries[1], call{idempotencyKey: "k", kind: "once"}).complete
	}))
	require.Equal(t, before, ps.startedCount(ps.agents[1], "m@v2"), "the version must be withdrawn in both data centres")
	ps.checkCalls(stop())
}
