package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/selector"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// openGate returns the gate of a server with four slots and one version.
func openGate(t *testing.T) gate.Gate {
	t.Helper()
	doc := &config.Document{
		Models:   []config.Model{{Name: "m"}},
		Versions: []config.Version{{Model: "m", Name: "v1", State: config.Serving}},
		Servers:  []config.Server{{Name: "s", DataCentre: "dc", Versions: []string{"m@v1"}, Slots: 4}},
		Teams:    []config.Team{{Name: "one"}},
		Grants: []config.Grant{{
			Teams: selector.Selector{Equal: map[string]string{"team": "one"}}, Versions: &selector.Selector{},
		}},
	}
	require.NoError(t, doc.Check())
	ga := gate.Gate{Server: "s", Queue: 4}
	ga.Reconfigure(config.Compile(1, doc), clock.Now())
	ga.Confirm(1, clock.Now())
	return ga
}

// What happened: a server asked in its answers for 2 requests a second and got whatever entries
// sent. Cause: the agent, which alone decides what starts there, took its slots from the
// configuration and read nothing of itself in what the server answered; the same as at gateways
// on the users' platform. Seen by the count of starts, 200 in 20 s in place of 40. It holds since the
// agent is the only way to its server and starts attempts at the named rate alone.
func TestAServerBehindAnAgentGetsWhatItNames(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Rate-Limit", "2")
	}))
	defer server.Close()
	ag := &Agent{
		HTTP: server.Client(), gate: openGate(t),
		Node: &node.Node{Ring: &timeline.Ring{Box: "b"}, Settings: settings.Settings{Server: settings.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")}}},
	}
	resp, err := server.Client().Get(server.URL)
	require.NoError(t, err)
	ag.heard(resp.Header)
	require.NoError(t, resp.Body.Close())

	started, refused := 0, 0
	began := clock.Now()
	for i := range 200 {
		now := began.Add(time.Duration(i) * 100 * time.Millisecond)
		acs := ag.gate.Tick(now)
		acs = append(acs, ag.gate.Open(gate.Key{Link: "l", Stream: uint64(i)}, &wire.Attempt{Team: "one", Version: "m@v1", WaitMS: 1000}, now)...)
		for len(acs) > 0 {
			ac := acs[0]
			acs = acs[1:]
			if ac.Do() == gate.Refuse {
				refused++
				require.Equal(t, result.DidNotRun, result.Of(ac.Code()).Run())
				require.Positive(t, ac.RetryAfter())
				continue
			}
			started++
			acs = append(acs, ag.gate.Ended(ac.Key(), now.Add(10*time.Millisecond))...)
		}
	}
	require.InDelta(t, 40, started, 2)
	require.Greater(t, refused, 150)

	now := began.Add(20 * time.Second)
	_, err = parseLimit("two")
	require.Error(t, err)
	_, acs := ag.gate.Limit(nil, now)
	for _, ac := range acs {
		require.Equal(t, gate.Start, ac.Do(), "what waited")
		require.Empty(t, ag.gate.Ended(ac.Key(), now))
	}
	for i := range 4 {
		acs := ag.gate.Open(gate.Key{Link: "m", Stream: uint64(i)}, &wire.Attempt{Team: "one", Version: "m@v1", WaitMS: 1000}, now)
		require.Equal(t, gate.Start, acs[0].Do(), "it names none any more")
	}
}
