package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func start(t *testing.T, limits func() Limits, handler http.HandlerFunc) (*Server, net.Listener) {
	t.Helper()
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	se := &Server{Handler: handler, Limits: limits}
	go func() { _ = se.Serve(li) }()
	t.Cleanup(func() { _ = li.Close() })
	return se, li
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func ask(t *testing.T, co net.Conn, extra string) int {
	t.Helper()
	_, err := io.WriteString(co, "GET / HTTP/1.1\r\nHost: h\r\nX: "+extra+"\r\n\r\n")
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

func TestNewConnectionsGetTheNewLimitsAndOpenOnesKeepTheirs(t *testing.T) {
	var bytes atomic.Int64
	bytes.Store(1 << 16)
	_, li := start(t, func() Limits { return Limits{HeaderBytes: int(bytes.Load())} }, ok)
	long := strings.Repeat("x", 30_000)
	open := dial(t, li)
	require.Equal(t, http.StatusOK, ask(t, open, long))
	bytes.Store(8 << 10)
	require.Equal(t, http.StatusOK, ask(t, open, long))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, ask(t, dial(t, li), long))
	require.Equal(t, http.StatusOK, ask(t, dial(t, li), "short"))
}

func TestShutdownWaitsForWhatIsInProgress(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	se, li := start(t, func() Limits { return Limits{HeaderBytes: 4096} }, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		ok(w, r)
	})
	co := dial(t, li)
	status := make(chan int, 1)
	go func() { status <- ask(t, co, "") }()
	<-began
	down := make(chan error, 1)
	go func() { down <- se.Shutdown(context.Background()) }()
	select {
	case err := <-down:
		t.Fatal("did not wait", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	require.Equal(t, http.StatusOK, <-status)
	require.NoError(t, <-down)
}
