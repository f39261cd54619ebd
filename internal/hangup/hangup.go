// Package hangup serves HTTP and cancels the requests of a connection once its client has closed it, also if the
// client sent further bytes after its request. net/http stops looking for the close once it has read one of them.
package hangup

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/linnetrudder/linnetrudder/internal/tcpstate"
)

const (
	// maxAheadBytes bounds the bytes of a connection that are read ahead of the server. The close behind more of
	// them is noticed once the server has read some.
	maxAheadBytes = 16 << 10
	// chunkBytes is the size of a single read.
	chunkBytes = 2 << 10
)

// tcpConn is a TCP connection, possibly with another layer on it.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// Underlying returns the connection that the listener had accepted for one that the server got.
func Underlying(conn net.Conn) net.Conn {
	if cc, ok := conn.(*clientConn); ok {
		return cc.tcpConn
	}
	return conn
}

// ConnOf returns the connection of a request as the listener had accepted it, nil if it is not served by Serve.
func ConnOf(ctx context.Context) net.Conn {
	if cc, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return cc.tcpConn
	}
	return nil
}

// Serve serves the connections of a listener. It sets the server's ConnContext.
func Serve(hs *http.Server, li net.Listener) error {
	hs.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		cc, ok := conn.(*clientConn)
		if !ok {
			return ctx
		}
		ctx, cc.cancel = context.WithCancel(context.WithValue(ctx, connKey{}, cc))
		return ctx
	}
	return eris.Wrap(hs.Serve(listener{li}), "serve")
}

type connKey struct{}

// Departed reports whether the client of a request has closed or reset its connection. If so, it cancels the requests
// of the connection. Bytes that arrived before the close are read after it, so that a request whose client left long
// ago may look like a new one.
func Departed(ctx context.Context) bool {
	cc, ok := ctx.Value(connKey{}).(*clientConn)
	if !ok {
		return false
	}
	switch tcpstate.Of(cc) {
	case 0, unix.BPF_TCP_ESTABLISHED: // zero: not known
		return false
	}
	cc.cancel()
	return true
}

// listener is a listener whose TCP connections are clientConns.
type listener struct{ net.Listener }

// Accept returns the next connection.
func (li listener) Accept() (net.Conn, error) {
	conn, err := li.Listener.Accept()
	if tc, ok := conn.(tcpConn); ok && err == nil {
		cc := &clientConn{tcpConn: tc}
		cc.changed.L = &cc.mu
		return cc, nil
	}
	return conn, err //nolint:wrapcheck // as returned by the listener
}

// clientConn is a connection that is read ahead while the server looks for its close.
type clientConn struct {
	tcpConn
	// cancel cancels the requests of the connection. It is nil until the server has taken the connection.
	cancel context.CancelFunc

	mu      sync.Mutex
	changed sync.Cond
	// reading is set while readAhead runs. Only it reads from the connection then.
	reading bool
	// ahead holds the bytes that were read and not yet returned, err the error behind them.
	ahead []byte
	err   error
}

// Read returns bytes that were read ahead, or reads from the connection.
func (cc *clientConn) Read(buf []byte) (int, error) {
	n, err, done := cc.takeAhead(buf)
	if done {
		return n, err
	}
	n, err = cc.tcpConn.Read(buf)
	// net/http looks for the close of a connection with reads of one byte.
	if n == 1 && len(buf) == 1 && err == nil {
		cc.mu.Lock()
		cc.reading = true
		cc.mu.Unlock()
		go cc.readAhead()
	}
	return n, err //nolint:wrapcheck // as returned by the connection
}

// takeAhead waits for readAhead if it runs, and returns what it has read. done is false if the connection is to be
// read instead.
func (cc *clientConn) takeAhead(buf []byte) (n int, err error, done bool) { //nolint:revive // the result of a read, then whether it is one
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for cc.reading && len(cc.ahead) == 0 {
		cc.changed.Wait()
	}
	if len(cc.ahead) > 0 {
		n = copy(buf, cc.ahead)
		cc.ahead = cc.ahead[n:]
		return n, nil, true
	}
	return 0, cc.err, cc.err != nil
}

// readAhead reads until the client closes the connection, a read times out or maxAheadBytes are held.
func (cc *clientConn) readAhead() {
	chunk := make([]byte, chunkBytes)
	for more := true; more; {
		n, err := cc.tcpConn.Read(chunk)
		more = cc.put(chunk[:n], err)
	}
}

// put holds what was read ahead, and reports whether to read on.
func (cc *clientConn) put(chunk []byte, err error) (more bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.ahead = append(cc.ahead, chunk...)
	// Reads time out when the server stops looking for the close, and it reads again later.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		cc.err = err
		cc.cancel()
	}
	cc.reading = err == nil && len(cc.ahead) < maxAheadBytes
	cc.changed.Broadcast()
	return cc.reading
}

// Close closes the connection and cancels its requests.
func (cc *clientConn) Close() error {
	if cc.cancel != nil {
		cc.cancel()
	}
	return cc.tcpConn.Close() //nolint:wrapcheck // as returned by the connection
}
