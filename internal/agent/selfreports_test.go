package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/order"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/selector"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// newGate returns the confirmed gate of a server with four slots and one version.
func newGate(t *testing.T) gate.Gate {
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
	ga := gate.Gate{Server: "s", MaxQueued: 4}
	ga.Reconfigure(config.Compile(1, doc), clock.Now())
	ga.Confirm(1, clock.Now())
	return ga
}

// The rate limit that a server reports must be enforced. An agent that took the server's capacity
// only from the configuration and ignored the headers of its responses, as gateways did as well,
// started 200 attempts in 20 s on a server that reported a limit of 2 requests per second, instead
// of 40. The agent can enforce the limit alone because all requests to its server go through it.
func TestReportedRateLimitIsEnforced(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Rate-Limit", "2")
	}))
	defer server.Close()
	ag := &Agent{
		HTTP: server.Client(), gate: newGate(t),
		Node: &node.Node{Ring: &timeline.Ring{Box: "b"}, Settings: settings.Settings{Server: settings.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")}}},
	}
	resp, err := server.Client().Get(server.URL)
	require.NoError(t, err)
	ag.applySelfReport(resp)
	require.NoError(t, resp.Body.Close())

	started, refused := 0, 0
	began := clock.Now()
	for i := range 200 {
		now := began.Add(time.Duration(i) * 100 * time.Millisecond)
		acs := ag.gate.Tick(now)
		acs = append(acs, ag.gate.Submit(gate.Key{Link: "l", Stream: uint64(i)}, &wire.Attempt{Team: "one", Version: "m@v1", WaitMS: 1000}, now)...)
		for len(acs) > 0 {
			ac := acs[0]
			acs = acs[1:]
			if ac.Kind() == gate.Refuse {
				refused++
				require.Equal(t, result.DidNotRun, result.Lookup(ac.Code()).Run())
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
	require.Error(t, selfReports.Decode(http.StatusOK, http.Header{"X-Rate-Limit": {"two"}}, now).Err)
	_, acs := ag.gate.SetLimit(nil, now)
	for _, ac := range acs {
		require.Equal(t, gate.Start, ac.Kind(), "queued attempt")
		require.Empty(t, ag.gate.Ended(ac.Key(), now))
	}
	for i := range 4 {
		acs := ag.gate.Submit(gate.Key{Link: "m", Stream: uint64(i)}, &wire.Attempt{Team: "one", Version: "m@v1", WaitMS: 1000}, now)
		require.Equal(t, gate.Start, acs[0].Kind(), "the server no longer reports a limit")
	}
}

// newReportingAgent returns an agent whose server responds with the given handler, and the number of
// requests that the server got, HEAD requests excluded.
func newReportingAgent(t *testing.T, respond func(w http.ResponseWriter)) (*Agent, *atomic.Int64) {
	t.Helper()
	requests := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodHead {
			requests.Add(1)
		}
		respond(w)
	}))
	t.Cleanup(server.Close)
	return &Agent{
		HTTP: server.Client(), gate: newGate(t), streams: map[gate.Key]*stream{},
		Node: &node.Node{Ring: &timeline.Ring{Box: "b"}, Settings: settings.Settings{
			Server:   settings.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")},
			Platform: settings.Platform{TimeoutMS: 1000},
		}},
	}, requests
}

// tryAttempt submits an attempt to the gate and runs it on the server if it is admitted.
func (ag *Agent) tryAttempt(t *testing.T, stream uint64, now time.Time) gate.Action {
	t.Helper()
	key := gate.Key{Link: "l", Stream: stream}
	acs := ag.gate.Submit(key, &wire.Attempt{Team: "one", Version: "m@v1", WaitMS: 10}, now)
	require.Len(t, acs, 1)
	if acs[0].Kind() == gate.Start {
		ru := &run{ag: ag, at: &wire.Attempt{Method: http.MethodPost, Path: "/", Version: "m@v1"}, decided: clock.Now()}
		_, _ = ru.call(t.Context())
		ag.gate.Ended(key, now)
	}
	return acs[0]
}

// From the first response in which its server announces a shutdown, the agent must refuse new
// attempts and report it to entries, until the restarted server responds. An agent that took the
// shutdown only from the configuration, as gateways did as well, sent the server attempts until it
// exited.
func TestAttemptsAreRefusedWhileServerIsLeaving(t *testing.T) {
	var leaving atomic.Bool
	leaving.Store(true)
	ag, requests := newReportingAgent(t, func(w http.ResponseWriter) {
		if leaving.Load() {
			w.Header().Set("X-Draining", "1")
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	now := clock.Now()
	require.Equal(t, gate.Start, ag.tryAttempt(t, 1, now).Kind())
	for i := range uint64(20) {
		ac := ag.tryAttempt(t, 2+i, now)
		require.Equal(t, gate.Refuse, ac.Kind())
		require.Equal(t, result.Leaving, ac.Code())
		require.Equal(t, result.DidNotRun, result.Lookup(ac.Code()).Run())
	}
	require.EqualValues(t, 1, requests.Load())
	require.True(t, ag.load().Leaving, "entries must not send it attempts")
	ag.probeRestart(t.Context())
	require.True(t, ag.gate.ServerLeaving())

	leaving.Store(false)
	ag.probeRestart(t.Context())
	require.False(t, ag.load().Leaving)
	require.Equal(t, gate.Start, ag.tryAttempt(t, 30, now).Kind())
	require.EqualValues(t, 2, requests.Load())
}

// The pause that a server requests in a rejection must be enforced for all attempts. An agent that
// did not remember the pause, as gateways did not either, sent the server whatever entries sent.
func TestAttemptsAreRefusedDuringRequestedPause(t *testing.T) {
	var rejecting atomic.Bool
	rejecting.Store(true)
	ag, requests := newReportingAgent(t, func(w http.ResponseWriter) {
		if rejecting.Load() {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	now := clock.Now()
	require.Equal(t, gate.Start, ag.tryAttempt(t, 1, now).Kind())
	for i := range uint64(28) {
		ac := ag.tryAttempt(t, 2+i, now.Add(time.Duration(i)*100*time.Millisecond))
		require.Equal(t, gate.Refuse, ac.Kind())
		require.Equal(t, result.Overloaded, ac.Code())
		require.Positive(t, ac.RetryAfter())
		require.LessOrEqual(t, ac.RetryAfter(), 3*time.Second)
	}
	require.EqualValues(t, 1, requests.Load())
	require.Equal(t, 4, ag.load().Running, "entries must consider it full")

	rejecting.Store(false)
	require.Equal(t, gate.Start, ag.tryAttempt(t, 40, now.Add(4*time.Second)).Kind())
	require.EqualValues(t, 2, requests.Load())
}

// An agent does not send orders to a server that announced its shutdown.
func TestLeavingServerGetsNoOrders(t *testing.T) {
	ag, _ := newReportingAgent(t, func(w http.ResponseWriter) { w.Header().Set("X-Draining", "1") })
	se := &config.Server{Versions: []string{"m@v1"}}
	ac, ok := ag.nextAction(se)
	require.True(t, ok)
	require.Equal(t, order.ListVersions, ac.Kind())
	require.NoError(t, ag.callOrders(t.Context(), http.MethodPost, nil, nil))
	require.True(t, ag.gate.ServerLeaving(), "responses to orders announce it as well")
	ag.reconciler.HandleList(nil, nil, clock.Now())
	_, ok = ag.nextAction(se)
	require.False(t, ok)
}
