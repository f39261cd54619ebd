package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// A process that is suspended between the gate's decision and the call must not make the call, since
// the version may have been withdrawn in the meantime.
func TestDecisionFromBeforeSuspensionIsNotExecuted(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer server.Close()
	ag := &Agent{
		HTTP: server.Client(),
		Node: &node.Node{Settings: settings.Settings{Server: settings.Server{Address: strings.TrimPrefix(server.URL, "http://")}}},
	}
	beforeSuspension := time.Now().Add(-time.Minute)
	require.True(t, gate.Stalled(beforeSuspension, time.Now()))
	ru := &run{ag: ag, at: &wire.Attempt{Method: http.MethodGet, Path: "/"}, decided: beforeSuspension}
	co, _ := ru.call(context.Background())
	require.Equal(t, result.NotDispatched, co)
	require.Zero(t, calls)
}

// Guards against the response to another request being taken for that to an attempt: a 429 would say that
// the attempt did not run.
func TestResponseToAnotherRequestIsAFailure(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusOK} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "another")
			w.WriteHeader(status)
		}))
		defer server.Close()
		ag := &Agent{
			HTTP: server.Client(),
			Node: &node.Node{Settings: settings.Settings{Server: settings.Server{Address: strings.TrimPrefix(server.URL, "http://")}}},
		}
		ru := &run{ag: ag, at: &wire.Attempt{Request: "call", Method: http.MethodGet, Path: "/", Version: "v"}, decided: clock.Now()}
		co, _ := ru.call(t.Context())
		require.Equal(t, result.ServerFailed, co)
	}
}

// A server that breaks a response off and stays up has not crashed at that time: the requests sent
// afterwards are suspects if it crashes later.
func TestServerThatStaysUpAfterBrokenResponseHasNotCrashed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	ag := &Agent{
		HTTP: server.Client(),
		Node: &node.Node{Settings: settings.Settings{Server: settings.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")}}},
	}
	ru := &run{ag: ag, at: &wire.Attempt{Method: http.MethodGet, Path: "/"}, decided: clock.Now()}
	co, _ := ru.call(t.Context())
	require.Equal(t, result.ServerFailed, co)
	ru.recordEnd(t.Context(), co)
	require.False(t, ag.dispatched.IsDisconnected("s", clock.Now()))
}
