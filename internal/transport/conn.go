package transport

import (
	"context"
	"net"

	"golang.org/x/sys/unix"
)

// clientConn is a connection to a peer that may be closed before the peer has received all that was sent.
type clientConn struct{ *net.TCPConn }

// dialWith returns a function that opens connections with a dialer.
func dialWith(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if tc, ok := conn.(*net.TCPConn); ok && err == nil {
			return clientConn{tc}, nil
		}
		return conn, err //nolint:wrapcheck // as returned by the dialer
	}
}

// Close closes the connection. If the peer has not received all data, the connection is reset: the end of
// the stream would be queued behind that data, and the peer would go on with an abandoned request.
func (cc clientConn) Close() error {
	if cc.unacknowledged() {
		_ = cc.SetLinger(0)
	}
	return cc.TCPConn.Close() //nolint:wrapcheck // as returned by the connection
}

// unacknowledged reports whether sent data has not been acknowledged, false if that is not known.
func (cc clientConn) unacknowledged() bool {
	raw, err := cc.SyscallConn()
	if err != nil {
		return false
	}
	bytes := 0
	if err := raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return false
	}
	return err == nil && bytes > 0
}
