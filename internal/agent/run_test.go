package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/transport"
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

// Guards against an attempt that fails, or counts as rejected, because its server sent the rejection of an earlier one again.
func TestSurplusRejectionDoesNotAnswerAnotherAttempt(t *testing.T) {
	runs := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		rejection := "HTTP/1.1 429 Too Many Requests\r\nX-Request-Id: " + r.Header.Get(headerRequestID) + "\r\nContent-Length: 0\r\n\r\n"
		_, _ = io.WriteString(conn, rejection)
		next, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return
		}
		runs++
		_, _ = io.WriteString(conn, rejection+"HTTP/1.1 503 Own\r\nConnection: close\r\nX-Request-Id: "+next.Header.Get(headerRequestID)+"\r\nContent-Length: 0\r\n\r\n")
	}))
	defer server.Close()
	ag := newTestAgent(server)
	attempt := func(id string) result.Code {
		ru := &run{ag: ag, at: &wire.Attempt{Request: id, Method: http.MethodPost, Path: "/", Body: []byte("x"), Version: "v"}, decided: clock.Now()}
		co, _ := ru.call(t.Context())
		return co
	}
	require.Equal(t, result.NotDispatched, attempt("first"))
	require.Equal(t, result.ServerFailed, attempt("second"), "its own response")
	require.Equal(t, 1, runs)
	require.Equal(t, result.NotDispatched, attempt("third"))
	require.Equal(t, result.NotDispatched, attempt("third"), "on another connection")
	require.Equal(t, 1, runs)
}

// newTestAgent returns an agent that calls a backend server.
func newTestAgent(server *httptest.Server) *Agent {
	return &Agent{
		HTTP: transport.NewClient(),
		Node: &node.Node{Settings: settings.Settings{Server: settings.Server{Address: strings.TrimPrefix(server.URL, "http://")}}},
	}
}

// breakingServer executes requests and closes each connection without a response to its second one. It
// returns the number of executions per request.
func breakingServer(t *testing.T) (server *httptest.Server, executed func(request string) int) {
	t.Helper()
	var mu sync.Mutex
	counts, seen := map[string]int{}, map[string]bool{}
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		counts[r.Header.Get(headerRequestID)]++
		reused := seen[r.RemoteAddr]
		seen[r.RemoteAddr] = true
		mu.Unlock()
		if reused {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerRequestID, "another")
		_, _ = io.WriteString(w, "fine")
	}))
	t.Cleanup(server.Close)
	return server, func(request string) int {
		mu.Lock()
		defer mu.Unlock()
		return counts[request]
	}
}

// Guards against the HTTP client repeating an attempt by itself when a reused connection breaks.
func TestAttemptIsSentOnceWhenAReusedConnectionBreaks(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		server, executed := breakingServer(t)
		ag := newTestAgent(server)
		warmUp, err := ag.HTTP.Get(server.URL)
		require.NoError(t, err)
		_, _ = io.ReadAll(warmUp.Body)
		require.NoError(t, warmUp.Body.Close())
		ru := &run{ag: ag, at: &wire.Attempt{Request: "call", Method: method, Path: "/", Body: []byte("x"), Version: "v"}, decided: clock.Now()}
		co, _ := ru.call(t.Context())
		require.Equal(t, result.ServerFailed, co, method)
		require.Equal(t, 1, executed("call"), method)
	}
}

// Guards against an attempt being executed a second time, or by another server, because the first one
// answered with a redirect.
func TestRedirectOfABackendServerIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.Header().Set(headerRequestID, "another")
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		defer server.Close()
		ru := &run{ag: newTestAgent(server), at: &wire.Attempt{Request: "call", Method: http.MethodPost, Path: "/", Body: []byte("x"), Version: "v"}, decided: clock.Now()}
		_, _ = ru.call(t.Context())
		require.EqualValues(t, 1, calls.Load(), "status %d", status)
	}
}

// Guards against a process that is suspended while it waits for a connection, and then makes the call although the
// version may have been withdrawn in the meantime.
func TestDecisionIsCheckedOnceThereIsAConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "x", strings.Repeat("x", 100_000)} {
			server, executed := breakingServer(t)
			ag := newTestAgent(server)
			ru := &run{ag: ag, at: &wire.Attempt{Request: "call", Method: method, Path: "/", Body: []byte(body), Version: "v"}, decided: clock.Now()}
			ag.HTTP.Transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ru.decided = clock.Now().Add(-time.Minute)
				var di net.Dialer
				return di.DialContext(ctx, network, address)
			}}
			co, _ := ru.call(t.Context())
			require.Equal(t, result.NotDispatched, co, "%s with %d bytes", method, len(body))
			time.Sleep(20 * time.Millisecond)
			require.Zero(t, executed("call"))
		}
	}
}
