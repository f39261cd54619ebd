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

// withRollout plans that m@v2 takes over from m@v1 in a few quick steps.
func (si *site) withRollout() {
	doc := si.document()
	doc.Versions[1].State = config.RollingIn
	doc.Rollouts = []config.Rollout{{
		Model: "m", To: "v2", Steps: []float64{0.2, 0.6, 1}, HoldSeconds: 1, MaxFailureRate: 0.2,
	}}
	si.apply(doc)
}

// state returns a version's state as it is in force at an entry.
func (si *site) state(version string) config.State {
	var ev config.Envelope
	if si.admin(si.entries[0], http.MethodGet, "/v1/config", nil, &ev) != nil {
		return ""
	}
	for i := range ev.Document.Versions {
		if ev.Document.Versions[i].ID() == version {
			return ev.Document.Versions[i].State
		}
	}
	return ""
}

func (si *site) waitState(version string, state config.State) {
	require.NoError(si.t, fleet.WaitUntil(bound, version+" "+string(state), func() bool {
		return si.state(version) == state
	}))
}

func (si *site) setBad(version string, bad string) {
	for _, ag := range si.agents {
		req, err := http.NewRequest(http.MethodPut, "http://"+ag.Backend+"/bad?version="+version+"&bad="+bad, http.NoBody)
		require.NoError(si.t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(si.t, err)
		require.NoError(si.t, resp.Body.Close())
	}
}

func TestAGoodVersionTakesOverByItself(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	stop := si.load(6, func(int) call { return call{kind: "patient"} })
	si.withRollout()
	si.waitState("m@v2", config.Serving)
	si.waitState("m@v1", config.RollingOut)
	si.checkCalls(stop())
}

func TestABadVersionIsWithdrawnByItself(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	si.setBad("m@v2", "true")
	stop := si.load(6, func(int) call { return call{kind: "patient"} })
	si.withRollout()
	si.waitState("m@v2", config.Withdrawn)
	require.Equal(t, config.Serving, si.state("m@v1"))
	// The leader is replaced; what was decided stays.
	require.NoError(t, si.entries[0].Process.Signal(syscall.SIGKILL))
	require.True(t, si.entries[0].Process.Wait(bound))
	require.NoError(t, si.fleet.Restart(si.entries[0]))
	si.waitRevision(1, si.entries[0])
	si.waitState("m@v2", config.Withdrawn)
	si.checkCalls(stop())
}
