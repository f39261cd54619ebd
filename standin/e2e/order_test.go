package e2e

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/standin/engine"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

func TestVersionsAreLoadedByOrderAndAFrozenAgentGivesNone(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	doc := si.document()
	for i := range doc.Servers {
		doc.Servers[i].Orders = true
	}
	si.apply(doc)
	held := func() engine.Status {
		var he engine.Status
		require.NoError(t, si.getJSON("http://"+si.agents[0].Backend+"/orders", &he))
		return he
	}
	require.NoError(t, fleet.WaitUntil(bound, "both versions loaded", func() bool { return len(held().Versions) == 2 }))
	si.served(2)

	// The agent is frozen and replaced on the same backend server. The new one
	// drops a version; the old one wakes up and must not bring it back.
	old := si.agents[0]
	require.NoError(t, old.Process.Signal(syscall.SIGSTOP))
	young, err := si.fleet.Add(fleet.Member{
		Box: old.Box + "-new", Role: "agent", DataCentre: old.DataCentre, Server: old.Server, Backend: old.Backend,
	})
	require.NoError(t, err)
	doc.Servers[0].Versions = []string{"m@v1"}
	si.apply(doc)
	si.waitRevision(3, young)
	require.NoError(t, fleet.WaitUntil(bound, "one version dropped", func() bool {
		return slices.Equal(held().Versions, []string{"m@v1"})
	}))
	require.NoError(t, old.Process.Signal(syscall.SIGCONT))
	si.waitRevision(3, old)
	si.served(5)
	require.Equal(t, []string{"m@v1"}, held().Versions)
	require.True(t, slices.IsSorted(held().FencingNumbers), "fencing numbers only grow: %v", held().FencingNumbers)
}
