package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against attempts that run on after their caller has closed its connection.
func TestCloseBehindFurtherBytesCancelsTheRequest(t *testing.T) {
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	started, cancelled := make(chan struct{}), make(chan struct{})
	go func() {
		_ = ServeHTTP(ctx, li, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		}), time.Second)
	}()
	conn, err := net.Dial("tcp", li.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-started
	_, err = io.WriteString(conn, "\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, conn.Close())
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("request was not cancelled")
	}
}
