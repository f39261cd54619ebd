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

// parting is a site of two data centres whose ways to each other, and the
// second one's way to the store, run over cables.
type parting struct {
	*site
	cables []*fleet.Proxy
	// lists holds the address of each data centre's list of boxes, which names
	// the other one's agents at the cables' ends.
	lists [2]string
}

func (pa *parting) cable(to string) string {
	ca, err := fleet.NewProxy(to)
	require.NoError(pa.t, err)
	pa.t.Cleanup(ca.Close)
	pa.cables = append(pa.cables, ca)
	return ca.Address()
}

func (pa *parting) cut(cut bool) {
	for _, ca := range pa.cables {
		ca.SetPartitioned(cut)
	}
}

func newParting(t *testing.T) *parting {
	pa := &parting{site: &site{t: t, fleet: &fleet.Fleet{Bin: bin, Dir: t.TempDir(), Unlisted: true}}}
	t.Cleanup(func() {
		pa.cut(false)
		_ = pa.fleet.Stop()
	})
	require.NoError(t, pa.fleet.StartPlatform())
	pa.lists[0] = pa.fleet.Boxes
	other, _, err := pa.fleet.StartStandIn("boxes-1", "boxes")
	require.NoError(t, err)
	pa.lists[1] = other
	farStore := pa.cable(pa.fleet.Store)
	pa.fleet.AdjustSettings = func(se map[string]any) {
		if se["data_centre"] == dataCentre(1) {
			se["platform"] = map[string]any{
				"store": farStore, "boxes": pa.lists[1], "calls_per_second": 50, "watch_ms": 2000, "boxes_ms": 200,
			}
		}
	}
	for i := range 2 {
		name := []string{"s-0", "s-1"}[i]
		address, _, err := pa.fleet.StartStandIn(name, "engine", "--tokens", "12", "--pace", "1ms")
		require.NoError(t, err)
		me := fleet.Member{Box: "agent-" + name, Role: "agent", DataCentre: dataCentre(i), Server: name, Backend: address}
		added, err := pa.fleet.Add(me)
		require.NoError(t, err)
		pa.agents = append(pa.agents, added)
	}
	pa.addEntry("entry-0", dataCentre(0))
	pa.addEntry("entry-1", dataCentre(1))
	pa.publish()
	pa.apply(pa.document())
	pa.waitRevision(1, pa.fleet.Members()...)
	return pa
}

// publish writes each data centre's list.
func (pa *parting) publish() {
	for here := range 2 {
		var list []boxes.Box
		for i, ag := range pa.agents {
			address := ag.Address
			if i != here {
				address = pa.cable(ag.Address)
			}
			list = append(list, boxes.Box{
				Name: ag.Box, Role: boxes.Agent, DataCentre: ag.DataCentre, Address: address,
				Admin: ag.Admin, Server: ag.Server, State: boxes.Live,
			})
		}
		saved := pa.fleet.Boxes
		pa.fleet.Boxes = pa.lists[here]
		require.NoError(pa.t, pa.fleet.PublishBoxes(list))
		pa.fleet.Boxes = saved
	}
}

func TestTwoDataCentresPartAndComeTogether(t *testing.T) {
	pa := newParting(t)
	stop := pa.load(6, func(n int) call { return call{kind: "patient", stream: n%2 == 0} })
	pa.served(2)
	pa.cut(true)
	require.NoError(t, fleet.WaitUntil(bound, "the parting to be noticed", func() bool {
		var st struct {
			Peers map[string]uint64 `json:"peers"`
		}
		return pa.admin(pa.entries[1], http.MethodGet, "/v1/status", nil, &st) == nil && len(st.Peers) == 1
	}))

	// One side changes the configuration; the other keeps serving what it
	// holds, makes no change of its own, and refuses keys at once.
	revision := pa.setV2(config.Withdrawn)
	pa.waitRevision(revision, pa.entries[0], pa.agents[0])
	pa.served(3)
	require.NoError(t, fleet.WaitUntil(bound, "an answer on the cut-off side", func() bool {
		return pa.ask(pa.entries[1], call{kind: "patient"}).whole
	}))
	require.Equal(t, uint64(1), pa.revision(pa.entries[1]))
	require.Equal(t, uint64(1), pa.revision(pa.agents[1]))
	var ch config.Change
	require.Error(t, pa.admin(pa.entries[1], http.MethodPost, "/v1/versions/m/v1", map[string]any{"share": 0.5}, &ch))
	keyed := pa.ask(pa.entries[1], call{idempotency: "k", kind: "once"})
	require.Equal(t, result.ClaimsUnavailable, keyed.code, "%+v", keyed)

	pa.cut(false)
	pa.waitRevision(revision, pa.fleet.Members()...)
	before := pa.began(pa.agents[1], "m@v2")
	pa.served(3)
	require.NoError(t, fleet.WaitUntil(bound, "the key runs after the parting", func() bool {
		return pa.ask(pa.entries[1], call{idempotency: "k", kind: "once"}).whole
	}))
	require.Equal(t, before, pa.began(pa.agents[1], "m@v2"), "the withdrawal holds on both sides now")
	pa.checkCalls(stop())
}
