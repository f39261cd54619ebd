package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startServer(t *testing.T, limits func() Limits, handler http.HandlerFunc) (*Server, net.Listener) {
	t.Helper()
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	se := &Server{Handler: handler, Limits: limits}
	go func() { _ = se.Serve(li) }()
	t.Cleanup(func() { _ = li.Close() })
	return se, li
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// sendRequest sends a request with a header of the given value and returns the status of the
// response.
func sendRequest(t *testing.T, co net.Conn, value string) int {
	t.Helper()
	_, err := io.WriteString(co, "GET / HTTP/1.1\r\nHost: h\r\nX: "+value+"\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(co), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func dial(t *testing.T, li net.Listener) net.Conn {
	t.Helper()
	var di net.Dialer
	co, err := di.DialContext(t.Context(), "tcp", li.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = co.Close() })
	return co
}

// exhaustedListener is a listener that has no file descriptors left for its first connections.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (el *exhaustedListener) Accept() (net.Conn, error) {
	if el.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return el.Listener.Accept()
}

// Guards against a process that ends, with all its requests, because it has used up its file descriptors.
func TestServerSurvivesALackOfFileDescriptors(t *testing.T) {
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	el := &exhaustedListener{Listener: li}
	el.failures.Store(3)
	se := &Server{Handler: http.HandlerFunc(respondOK), Limits: func() Limits { return Limits{HeaderBytes: 1 << 10} }}
	ended := make(chan error, 1)
	go func() { ended <- se.Serve(el) }()
	require.Equal(t, http.StatusOK, sendRequest(t, dial(t, li), "x"))
	require.NoError(t, se.Shutdown(t.Context()))
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
}

func TestChangedLimitsApplyOnlyToNewConnections(t *testing.T) {
	var headerBytes atomic.Int64
	headerBytes.Store(1 << 16)
	_, li := startServer(t, func() Limits { return Limits{HeaderBytes: int(headerBytes.Load())} }, respondOK)
	long := strings.Repeat("x", 30_000)
	open := dial(t, li)
	require.Equal(t, http.StatusOK, sendRequest(t, open, long))
	headerBytes.Store(8 << 10)
	require.Equal(t, http.StatusOK, sendRequest(t, open, long))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, sendRequest(t, dial(t, li), long))
	require.Equal(t, http.StatusOK, sendRequest(t, dial(t, li), "short"))
}

// Guards against proper requests on open connections being refused after the limit was raised.
func TestRaisedHeaderLimitAppliesToOpenConnections(t *testing.T) {
	var limit atomic.Int64
	limit.Store(4 << 10)
	_, li := startServer(t, func() Limits { return Limits{HeaderBytes: int(limit.Load())} }, respondOK)
	long := strings.Repeat("x", 15_000)
	open := dial(t, li)
	require.Equal(t, http.StatusOK, sendRequest(t, open, "short"))
	limit.Store(16 << 10)
	require.Equal(t, http.StatusOK, sendRequest(t, open, long))
	limit.Store(4 << 10)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, sendRequest(t, dial(t, li), long))
}

func TestShutdownWaitsForRequestsInProgress(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	se, li := startServer(t, func() Limits { return Limits{HeaderBytes: 4096} }, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		respondOK(w, r)
	})
	co := dial(t, li)
	status := make(chan int, 1)
	go func() { status <- sendRequest(t, co, "") }()
	<-started
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- se.Shutdown(context.Background()) }()
	select {
	case err := <-shutdownErr:
		t.Fatal("Shutdown returned before the request had finished", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	require.Equal(t, http.StatusOK, <-status)
	require.NoError(t, <-shutdownErr)
}
