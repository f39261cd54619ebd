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

func TestLoadOrdersIgnoreResumedAgent(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	doc := sy.baseConfig()
	for i := range doc.Servers {
		doc.Servers[i].Orders = true
	}
	sy.applyConfig(doc)
	backendState := func() engine.Status {
		var st engine.Status
		require.NoError(t, sy.getJSON("http://"+sy.agents[0].Backend+"/orders", &st))
		return st
	}
	require.NoError(t, fleet.WaitUntil(waitTimeout, "both versions to be loaded", func() bool { return len(backendState().Versions) == 2 }))
	sy.waitAnswers(2)

	// The agent is suspended and a second one is started for the same backend server. The new agent
	// unloads a version; the old one resumes and must not load it again.
	old := sy.agents[0]
	require.NoError(t, old.Process.Signal(syscall.SIGSTOP))
	replacement, err := sy.fleet.Add(fleet.Member{
		Box: old.Box + "-new", Role: "agent", DataCentre: old.DataCentre, Server: old.Server, Backend: old.Backend,
	})
	require.NoError(t, err)
	doc.Servers[0].Versions = []string{"m@v1"}
	sy.applyConfig(doc)
	sy.waitRevision(3, replacement)
	require.NoError(t, fleet.WaitUntil(waitTimeout, "one version to be unloaded", func() bool {
		return slices.Equal(backendState().Versions, []string{"m@v1"})
	}))
	require.NoError(t, old.Process.Signal(syscall.SIGCONT))
	sy.waitRevision(3, old)
	sy.waitAnswers(5)
	require.Equal(t, []string{"m@v1"}, backendState().Versions)
	require.True(t, slices.IsSorted(backendState().FencingNumbers), "fencing numbers must not decrease: %v", backendState().FencingNumbers)
}
