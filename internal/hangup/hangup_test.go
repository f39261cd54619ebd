package hangup

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noticeLimit is the time within which the close of a connection must be noticed.
const noticeLimit = 500 * time.Millisecond

func serve(t *testing.T, handler http.HandlerFunc) net.Conn {
	t.Helper()
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	hs := &http.Server{Handler: handler}
	go func() { _ = Serve(hs, li) }()
	t.Cleanup(func() { _ = hs.Close() })
	conn, err := net.Dial("tcp", li.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against requests that go on after their client has closed the connection.
func TestCloseBehindFurtherBytesCancelsTheRequest(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for name, further := range map[string]string{
		"none": "", "an empty line": "\r\n", "a request": request, "several requests": strings.Repeat(request, 20),
	} {
		for how, leave := range map[string]func(conn *net.TCPConn){
			"closed":      func(conn *net.TCPConn) { _ = conn.Close() },
			"reset":       func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
			"half-closed": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				started, cancelled := make(chan struct{}, 100), make(chan struct{}, 100)
				conn := serve(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					started <- struct{}{}
					<-r.Context().Done()
					cancelled <- struct{}{}
				})
				_, err := io.WriteString(conn, request)
				require.NoError(t, err)
				<-started
				_, err = io.WriteString(conn, further)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
				require.Empty(t, cancelled)
				leave(conn.(*net.TCPConn))
				select {
				case <-cancelled:
				case <-time.After(noticeLimit):
					t.Fatal("request was not cancelled")
				}
			})
		}
	}
}

func TestDepartedClientIsKnownOnceItsCloseHasArrived(t *testing.T) {
	for name, leave := range map[string]func(conn *net.TCPConn){
		"stays":  nil,
		"closed": func(conn *net.TCPConn) { _ = conn.Close() },
		"reset":  func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			left, departed := make(chan struct{}), make(chan bool)
			conn := serve(t, func(_ http.ResponseWriter, r *http.Request) {
				<-left // the body is not read, so that net/http does not look for the close
				departed <- Departed(r.Context()) && r.Context().Err() != nil
			})
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			require.NoError(t, err)
			if leave != nil {
				leave(conn.(*net.TCPConn))
			}
			time.Sleep(20 * time.Millisecond)
			close(left)
			require.Equal(t, leave != nil, <-departed)
		})
	}
	require.False(t, Departed(t.Context()), "a request that came on no connection")
}

func TestRequestsThatAreSentTogetherAreServedInOrder(t *testing.T) {
	const requests, bodyBytes = 60, 900
	conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Millisecond) // net/http looks for the close meanwhile
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
	})
	body := func(i int) string { return strings.Repeat(string(rune('a'+i%26)), bodyBytes) }
	path := func(i int) string { return "/" + strings.Repeat("p", i) }
	go func() {
		for i := range requests {
			_, _ = io.WriteString(conn, "POST "+path(i)+" HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"+body(i))
			if i%7 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for i := range requests {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, path(i)+" "+body(i), string(got))
	}
}

// Guards against a client that fills the memory of the server with bytes that nobody reads.
func TestBytesReadAheadAreBounded(t *testing.T) {
	cc := &clientConn{cancel: func() {}}
	cc.changed.L = &cc.mu
	reads := 1
	for cc.reading = true; cc.put(make([]byte, chunkBytes), nil); {
		reads++
	}
	require.Equal(t, maxAheadBytes/chunkBytes, reads)
	require.Len(t, cc.ahead, maxAheadBytes)
}

func TestTimeoutOfAReadAheadIsNotTheEndOfTheConnection(t *testing.T) {
	conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	reader := bufio.NewReader(conn)
	for _, part := range []string{"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HT", "TP/1.1\r\nHost: h\r\n\r\n"} {
		_, err := io.WriteString(conn, part)
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}

func TestConnectionsCanBeHijacked(t *testing.T) {
	conn := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		hj, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		line, _ := rw.ReadString('\n')
		_, _ = io.WriteString(hj, line)
		_ = hj.Close()
	})
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nline\n")
	require.NoError(t, err)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "line\n", string(got))
}

func TestClosedConnectionsReleaseTheirContexts(t *testing.T) {
	contexts := make(chan context.Context, 1)
	conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
		contexts <- r.Context()
		_, _ = io.WriteString(w, "ok")
	})
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.NoError(t, err)
	select {
	case <-(<-contexts).Done():
	case <-time.After(noticeLimit):
		t.Fatal("context was not cancelled")
	}
}
