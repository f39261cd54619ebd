package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// closeNotice is the time within which a server must learn that a request was abandoned.
const closeNotice = 400 * time.Millisecond

// awaitHangUp reports whether a connection is found to be closed within a time, without reading from it.
func awaitHangUp(t *testing.T, conn *net.TCPConn, within time.Duration) bool {
	t.Helper()
	return awaitEvent(t, conn, within, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
}

// awaitEvent reports whether one of the events occurs on a connection within a time.
func awaitEvent(t *testing.T, conn *net.TCPConn, within time.Duration, events int16) bool {
	t.Helper()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	occurred := false
	require.NoError(t, raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for end := time.Now().Add(within); !occurred && time.Now().Before(end); time.Sleep(time.Millisecond) {
			_, _ = unix.Poll(fds, 0)
			occurred = fds[0].Revents&events != 0
		}
	}))
	return occurred
}

// Guards against a server that continues an abandoned request because the close of its connection waits
// behind a body that the server does not read.
func TestServerLearnsOfAbandonedRequestWithUnreadBody(t *testing.T) {
	for name, size := range map[string]int{"no body": 0, "short body": 100 << 10, "body larger than all buffers": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			li, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = li.Close() }()
			accepted := make(chan *net.TCPConn, 1)
			go func() {
				conn, err := li.Accept()
				if err != nil {
					return
				}
				_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"))
				accepted <- conn.(*net.TCPConn)
			}()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+li.Addr().String(), bytes.NewReader(make([]byte, size)))
			require.NoError(t, err)
			resp, err := New(NewDialer()).RoundTrip(req)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			conn := <-accepted
			defer func() { _ = conn.Close() }()
			require.False(t, awaitHangUp(t, conn, 50*time.Millisecond))
			cancel()
			require.True(t, awaitHangUp(t, conn, closeNotice))
		})
	}
}

// connectTo returns both sides of a connection, with some bytes sent to the peer.
func connectTo(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = li.Close() }()
	conn, err = dialWith(NewDialer())(t.Context(), "tcp", li.Addr().String())
	require.NoError(t, err)
	accepted, err := li.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	return conn, accepted.(*net.TCPConn)
}

// Guards against a server that takes the end of a stream for a connection that is still open in its direction, and
// works on an abandoned request.
func TestPeerThatKeepsItsSideOpenIsReset(t *testing.T) {
	conn, peer := connectTo(t)
	require.NoError(t, conn.Close())
	require.True(t, awaitHangUp(t, peer, 25*time.Millisecond), "the end of the stream is not sent at once")
	require.True(t, awaitEvent(t, peer, closeNotice, unix.POLLERR|unix.POLLHUP), "the connection is not reset")
}

// Guards against callers that wait for a connection which was closed meanwhile.
func TestReadsInProgressEndWhenTheConnectionIsClosed(t *testing.T) {
	conn, _ := connectTo(t)
	ended := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, conn.Close())
	require.NoError(t, conn.Close(), "a second time")
	require.Error(t, <-ended)
	_, err := conn.Write([]byte("x"))
	require.Error(t, err)
}

// Guards against an abandoned response that looks complete, because its server ended it when it saw the close.
func TestWhatThePeerSendsAfterTheCloseIsNotRead(t *testing.T) {
	for i := range 400 {
		conn, peer := connectTo(t)
		go func() {
			_, _ = io.ReadAll(peer)
			_, _ = peer.Write([]byte("the end of the response"))
		}()
		read := make(chan int)
		go func() {
			n, _ := conn.Read(make([]byte, 100))
			read <- n
		}()
		if i%2 == 0 {
			time.Sleep(time.Millisecond) // the read waits for data
		}
		require.NoError(t, conn.Close())
		require.Zero(t, <-read)
	}
}

// Guards against the close of a connection that depends on a single packet: a reset is never sent again.
func TestConnectionWhosePeerReadsIsNotReset(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = li.Close() }()
	conn, err := dialWith(NewDialer())(t.Context(), "tcp", li.Addr().String())
	require.NoError(t, err)
	peer, err := li.Accept()
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	raw, err := peer.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	// Acknowledgements are delayed, so that data is still unacknowledged when the connection is closed.
	require.NoError(t, raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_QUICKACK, 0) }))
	require.NoError(t, err)
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	received, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, "request", string(received))
}
