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

// Close closes the connection. If data waits because the peer does not read, the connection is reset: the end of
// the stream would wait behind that data, and the peer would go on with an abandoned request. Otherwise the end is
// sent, which is repeated until the peer has it, while a reset may be lost.
func (cc clientConn) Close() error {
	if cc.waitsToSend() {
		_ = cc.SetLinger(0)
	}
	return cc.TCPConn.Close() //nolint:wrapcheck // as returned by the connection
}

// waitsToSend reports whether data has not been sent at all, false if that is not known.
func (cc clientConn) waitsToSend() bool {
	raw, err := cc.SyscallConn()
	if err != nil {
		return false
	}
	bytes := 0
	if err := raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD) }); err != nil {
		return false
	}
	return err == nil && bytes > 0
}
