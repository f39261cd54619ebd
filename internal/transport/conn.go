package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/linnetrudder/linnetrudder/internal/tcpstate"
)

const (
	// drainBytes is the size of a read of what a connection holds when it is closed, maxDrainReads their number.
	drainBytes    = 4 << 10
	maxDrainReads = 64
)

var endsOfBrokenConnections = metrics.NewCounter(`linnetrudder_ends_of_broken_connections_total`)

// clientConn is a connection to a peer that has to learn when it is closed, since it works on requests until then.
type clientConn struct {
	*net.TCPConn
	closing sync.Once
	// closed is set before the peer learns that the connection is closed.
	closed  atomic.Bool
	surplus surplusFilter

	// sending is held during a write. writeErr is the error of a write that ended the connection in both directions, nil
	// if none did.
	sending  sync.Mutex
	writeErr error
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
	if errors.Is(err, io.EOF) {
		if broken := cc.brokenBy(); broken != nil {
			endsOfBrokenConnections.Inc()
			return n, broken
		}
	}
	return n, err //nolint:wrapcheck // as returned by the connection
}

// brokenBy returns the error with which the connection ended in both directions, nil if the peer ended it properly. The
// kernel reports such an error once. If that was to a write, the next read looks like the end of the stream.
func (cc *clientConn) brokenBy() error {
	state := tcpstate.Of(cc)
	if cc.closed.Load() {
		return net.ErrClosed // the state may not be known
	}
	if state != unix.BPF_TCP_CLOSE {
		return nil
	}
	// A write that has the error has not necessarily returned. No write blocks in this state.
	cc.sending.Lock()
	defer cc.sending.Unlock()
	return cc.writeErr
}

// Write writes to the connection.
func (cc *clientConn) Write(buf []byte) (int, error) {
	cc.sending.Lock()
	defer cc.sending.Unlock()
	n, err := cc.TCPConn.Write(buf)
	cc.keepError(err)
	return n, err //nolint:wrapcheck // as returned by the connection
}

// ReadFrom writes what it reads to the connection.
func (cc *clientConn) ReadFrom(re io.Reader) (int64, error) {
	cc.sending.Lock()
	defer cc.sending.Unlock()
	n, err := cc.TCPConn.ReadFrom(re)
	cc.keepError(err)
	return n, err //nolint:wrapcheck // as returned by the connection
}

// keepError keeps the error of a write. A broken pipe is the error of a peer that had ended its stream before. The lock
// of writes is held.
func (cc *clientConn) keepError(err error) {
	if cc.writeErr == nil && err != nil && !errors.Is(err, unix.EPIPE) && !errors.Is(err, net.ErrClosed) {
		cc.writeErr = err
	}
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
// a reset may be lost. A peer that then keeps its side open is reset as well (see endsCompletely).
func (cc *clientConn) Close() error {
	var err error
	cc.closing.Do(func() {
		cc.closed.Store(true)
		if cc.waitsToSend() {
			_ = cc.SetLinger(0)
		} else {
			cc.drain()
		}
		err = cc.TCPConn.Close()
	})
	return err //nolint:wrapcheck // as returned by the connection
}

// drain discards what the peer has sent. With unread data the kernel would reset the connection at once and not
// send the end.
func (cc *clientConn) drain() {
	buf := make([]byte, drainBytes)
	tcpstate.Control(cc, func(fd int) {
		for range maxDrainReads {
			if n, err := unix.Read(fd, buf); n <= 0 || err != nil {
				return
			}
		}
	})
}

// waitsToSend reports whether data has not been sent at all, false if that is not known.
func (cc *clientConn) waitsToSend() (waits bool) {
	tcpstate.Control(cc, func(fd int) {
		bytes, err := unix.IoctlGetInt(fd, unix.SIOCOUTQNSD)
		waits = err == nil && bytes > 0
	})
	return waits
}

// endsCompletely makes the kernel reset a connection that its process has closed once the peer has acknowledged the
// end but keeps its own side open: it may take the end for a connection that is closed in one direction only. That
// needs no further processor time, and holds for a process that is killed as well.
func endsCompletely(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_LINGER2, -1) }
