package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/linnetrudder/linnetrudder/internal/tcpstate"
)

const (
	// endInterval is the interval at which a connection is checked whose end was sent, maxEndChecks how often.
	endInterval  = 50 * time.Millisecond
	maxEndChecks = 20
)

var connectionsKeptOpen = metrics.NewCounter(`linnetrudder_connections_kept_open_by_peer_total`)

// clientConn is a connection to a peer that has to learn when it is closed, since it works on requests until then.
type clientConn struct {
	*net.TCPConn
	closing sync.Once
	// closed is set before the peer learns that the connection is closed.
	closed  atomic.Bool
	surplus surplusFilter
}

// Read reads from the connection, without surplus responses.
func (cc *clientConn) Read(buf []byte) (int, error) { return cc.surplus.read(buf, cc.readOpen) }

// readOpen reads from the connection unless it is closed meanwhile. What the peer sends once it has the end, such as
// the rest of a response that it gives up, is not read: an abandoned response could look complete. The deadline that
// ends a read in progress does not suffice, since data may arrive before the reader runs again.
func (cc *clientConn) readOpen(buf []byte) (int, error) {
	n, err := cc.TCPConn.Read(buf)
	if cc.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // as returned by the connection
}

// dialWith returns a function that opens connections with a dialer.
func dialWith(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if tc, ok := conn.(*net.TCPConn); ok && err == nil {
			return &clientConn{TCPConn: tc}, nil
		}
		return conn, err //nolint:wrapcheck // as returned by the dialer
	}
}

// Close closes the connection. If data waits because the peer does not read, the connection is reset: the end of
// the stream would wait behind that data. Otherwise the end is sent, which is repeated until the peer has it, while
// a reset may be lost. A peer that then keeps its side open is sent a reset as well, since it may take the end for
// a connection that is closed in one direction only.
func (cc *clientConn) Close() error {
	var err error
	cc.closing.Do(func() {
		cc.closed.Store(true)
		err = cc.close()
	})
	return err
}

func (cc *clientConn) close() error {
	if cc.waitsToSend() {
		_ = cc.SetLinger(0)
		return cc.TCPConn.Close() //nolint:wrapcheck // as returned by the connection
	}
	// Ends the reads and writes in progress.
	_ = cc.SetDeadline(time.Unix(1, 0))
	if err := cc.CloseWrite(); err != nil {
		return cc.TCPConn.Close() //nolint:wrapcheck // as returned by the connection
	}
	time.AfterFunc(endInterval, func() { cc.release(maxEndChecks) })
	return nil
}

// release frees the connection once its peer has the end of the stream, or after a number of checks. It resets it if
// the peer keeps its side open.
func (cc *clientConn) release(checks int) {
	switch tcpstate.Of(cc) {
	case unix.BPF_TCP_FIN_WAIT1:
		if checks > 1 {
			time.AfterFunc(endInterval, func() { cc.release(checks - 1) })
			return
		}
	case unix.BPF_TCP_FIN_WAIT2:
		connectionsKeptOpen.Inc()
		_ = cc.SetLinger(0)
	}
	_ = cc.TCPConn.Close()
}

// waitsToSend reports whether data has not been sent at all, false if that is not known.
func (cc *clientConn) waitsToSend() (waits bool) {
	tcpstate.Control(cc, func(fd int) {
		bytes, err := unix.IoctlGetInt(fd, unix.SIOCOUTQNSD)
		waits = err == nil && bytes > 0
	})
	return waits
}
