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

// A process that is frozen between the gate's decision and the call must not
// make the call: the version may have been withdrawn meanwhile.
func TestADecisionFromBeforeAFreezeIsNotCarriedOut(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer server.Close()
	ag := &Agent{
		HTTP: server.Client(),
		Node: &node.Node{Settings: settings.Settings{Server: settings.Server{Address: strings.TrimPrefix(server.URL, "http://")}}},
	}
	frozen := time.Now().Add(-time.Minute)
	require.True(t, gate.Stalled(frozen, time.Now()))
	ru := &run{ag: ag, at: &wire.Attempt{Method: http.MethodGet, Path: "/"}, decided: frozen}
	co, _ := ru.call(context.Background())
	require.Equal(t, result.NotDispatched, co)
	require.Zero(t, calls)
}

// A server that breaks an answer off and lives on has not ended then: what is sent later is
// suspected if it ends.
func TestAServerThatLivesAfterABreakHasNotEnded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	ag := &Agent{
		HTTP: server.Client(),
		Node: &node.Node{Settings: settings.Settings{Server: settings.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")}}},
	}
	ru := &run{ag: ag, at: &wire.Attempt{Method: http.MethodGet, Path: "/"}, decided: clock.Now()}
	co, _ := ru.call(t.Context())
	require.Equal(t, result.ServerFailed, co)
	ru.settle(t.Context(), co)
	require.False(t, ag.dispatched.IsDisconnected("s", clock.Now()))
}
