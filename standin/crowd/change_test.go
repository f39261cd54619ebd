package crowd_test

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/standin/crowd"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/keyvalue"
)

// mixedCrowd is a crowd of several kinds.
var mixedCrowd = []crowdCase{
	{crowd.LargeChunksShort, 40}, {crowd.ByteChunksShort, 20}, {crowd.Announced, 300}, {crowd.Silent, 300}, {crowd.SmallShort, 200},
}

func (ps *process) gatherMixed() (leave func()) {
	ps.t.Helper()
	var leaves []func()
	for _, cc := range mixedCrowd {
		leaves = append(leaves, ps.gather(cc))
	}
	return func() {
		for _, leave := range leaves {
			leave()
		}
	}
}

// awaitDescriptors waits until no more descriptors are open than before, but for kept connections to servers.
func (ps *process) awaitDescriptors(before int) {
	ps.t.Helper()
	const kept = 64
	require.NoError(ps.t, fleet.WaitUntil(waitTimeout, "descriptors to be closed", func() bool {
		open, err := ps.usage.Descriptors()
		return err == nil && open <= before+kept
	}))
}

// Guards against crowds that keep a process from its planned stop.
func TestProcessStopsBesideCrowd(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *process{"gateway": startGateway, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			ps := start(t)
			leave := ps.gatherMixed()
			defer leave()
			require.NoError(t, ps.process.Signal(syscall.SIGTERM))
			require.True(t, ps.process.Wait(waitTimeout), "the process has not stopped")
			require.Zero(t, ps.process.ExitCode())
		})
	}
}

// Guards against crowds that keep changes of the settings, of the configuration and of the servers from a gateway.
func TestGatewayFollowsChangesBesideCrowd(t *testing.T) {
	ps := startGateway(t)
	leave := ps.gatherMixed()
	defer leave()
	data, err := os.ReadFile(ps.settingsPath)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(ps.settingsPath, []byte(strings.Replace(string(data), "grace_s = 3", "grace_s = 4", 1)), 0o600))
	require.NoError(t, ps.process.Signal(syscall.SIGHUP))
	ps.awaitService("after the reload")

	ps.store.SetFaults(keyvalue.Faults{Hang: true})
	ps.awaitUnanswered()
	ps.store.SetFaults(keyvalue.Faults{})
	ps.awaitService("after the store has returned")

	ps.store.Remove("servers/s-1")
	ps.awaitUnanswered()
	leave()
	ps.requireAlive()
}
