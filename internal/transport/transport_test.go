package transport

import (
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Without the option, a connection to a peer that lost power hangs for minutes.
func TestConnectionsHaveAUserTimeout(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = li.Close() }()
	conn, err := NewDialer().DialContext(t.Context(), "tcp", li.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var ms int
	require.NoError(t, raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.EqualValues(t, ackTimeout.Milliseconds(), ms)
}

func TestBodiesAreNotDecompressed(t *testing.T) {
	sv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		require.Empty(t, r.Header.Get("Accept-Encoding"))
	}))
	defer sv.Close()
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, sv.URL, http.NoBody)
	require.NoError(t, err)
	resp, err := NewClient().Do(rq)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}
