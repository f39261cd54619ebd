package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// startRollout configures a roll-out from m@v1 to m@v2 in three steps of one second each.
func (sy *system) startRollout() {
	doc := sy.baseConfig()
	doc.Versions[1].State = config.RollingIn
	doc.Rollouts = []config.Rollout{{
		Model: "m", To: "v2", Steps: []float64{0.2, 0.6, 1}, HoldSeconds: 1, MaxFailureRate: 0.2,
	}}
	sy.applyConfig(doc)
}

// versionState returns a version's state in the configuration in force at the first entry, "" if it
// is not known.
func (sy *system) versionState(version string) config.State {
	var ev config.Envelope
	if sy.callAdmin(sy.entries[0], http.MethodGet, "/v1/config", nil, &ev) != nil {
		return ""
	}
	for i := range ev.Document.Versions {
		if ev.Document.Versions[i].ID() == version {
			return ev.Document.Versions[i].State
		}
	}
	return ""
}

func (sy *system) waitVersionState(version string, state config.State) {
	require.NoError(sy.t, fleet.WaitUntil(waitTimeout, version+" "+string(state), func() bool {
		return sy.versionState(version) == state
	}))
}

// setBad makes the engines fail requests of a version if bad is "true".
func (sy *system) setBad(version string, bad string) {
	for _, ag := range sy.agents {
		req, err := http.NewRequest(http.MethodPut, "http://"+ag.Backend+"/bad?version="+version+"&bad="+bad, http.NoBody)
		require.NoError(sy.t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(sy.t, err)
		require.NoError(sy.t, resp.Body.Close())
	}
}

func TestRolloutPromotesHealthyVersion(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	stop := sy.startLoad(6, func(int) call { return call{kind: "long-deadline"} })
	sy.startRollout()
	sy.waitVersionState("m@v2", config.Serving)
	sy.waitVersionState("m@v1", config.RollingOut)
	sy.checkCalls(stop())
}

func TestRolloutWithdrawsFailingVersion(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	sy.setBad("m@v2", "true")
	stop := sy.startLoad(6, func(int) call { return call{kind: "long-deadline"} })
	sy.startRollout()
	sy.waitVersionState("m@v2", config.Withdrawn)
	require.Equal(t, config.Serving, sy.versionState("m@v1"))
	// The leader is restarted; its decision must persist.
	require.NoError(t, sy.entries[0].Process.Signal(syscall.SIGKILL))
	require.True(t, sy.entries[0].Process.Wait(waitTimeout))
	require.NoError(t, sy.fleet.Restart(sy.entries[0]))
	sy.waitRevision(1, sy.entries[0])
	sy.waitVersionState("m@v2", config.Withdrawn)
	sy.checkCalls(stop())
}
