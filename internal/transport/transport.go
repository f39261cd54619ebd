// Package transport opens HTTP connections that fail soon after their peer disappears without closing
// them.
package transport

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is the timeout of a new connection. The longest network path takes a few
	// milliseconds; a server that drops the SYN packet would answer only after seconds.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the time after which a connection with unacknowledged data is closed.
	ackTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 20 * time.Second
	// maxIdleConnections is the maximum number of idle connections to one address.
	maxIdleConnections = 32
	// maxResponseHeaderBytes is the maximum size of a response head in bytes, with all informational responses
	// before it. net/http would read 10 MB. Heads of a few hundred bytes are usual.
	maxResponseHeaderBytes = 32 << 10
	// readBufferSize and writeBufferSize are the sizes of a connection's buffers in bytes. Most
	// response heads and events are much smaller.
	readBufferSize  = 2 << 10
	writeBufferSize = 2 << 10
)

// New returns an HTTP transport that opens connections with the dialer and does not decompress.
func New(dialer *net.Dialer) *Transport {
	return &Transport{&http.Transport{
		DialContext:            dialWith(dialer),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         readBufferSize,
		WriteBufferSize:        writeBufferSize,
	}}
}

// NewClient returns an HTTP client with a transport of its own. It closes its idle connections when a
// call is not answered before its deadline. It follows no redirects, which would send a request again.
func NewClient() *http.Client { return NewClientWithIdle(maxIdleConnections) }

// NewClientWithIdle is NewClient with a maximum number of idle connections to one address.
func NewClientWithIdle(maxIdle int) *http.Client {
	tr := New(NewDialer())
	tr.MaxIdleConnsPerHost = maxIdle
	return &http.Client{
		Transport:     &idleDropper{tr},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewDialer returns a dialer whose connections fail if their peer disappears without closing them.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, co syscall.RawConn) error {
			var optErr error
			err := co.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
				endsCompletely(int(fd))
			})
			return errors.Join(err, optErr)
		},
	}
}
