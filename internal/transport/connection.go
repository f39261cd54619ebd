package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Connection observes the connection that one request is sent on. The zero value is ready to use. Its exported
// fields are set before Observe.
type Connection struct {
	// IDHeader is the header in which responses name the request RequestID, Method the method of the request. If
	// IDHeader is set, further responses to earlier requests on the connection are dropped, and the request is not sent
	// on a connection that has carried one with its id.
	IDHeader, RequestID, Method string
	// Check is called once there is a connection, before anything is written to it. If it returns false, the
	// request is not sent and fails. It may be nil.
	Check func() bool

	failed atomic.Bool
	// repeated is set if the request was not sent because the connection had carried one with its id, whose response
	// could be taken for this request's.
	repeated atomic.Bool
	conn     net.Conn
	reused   bool
	written  atomic.Bool
}

// RoundTrip sends a request that newRequest returns, on a connection that has carried none with its id.
func (co *Connection) RoundTrip(ctx context.Context, rt http.RoundTripper, newRequest func(ctx context.Context) *http.Request) (*http.Response, error) {
	for {
		co.repeated.Store(false)
		co.written.Store(false)
		resp, err := rt.RoundTrip(newRequest(co.Observe(ctx)))
		if !co.repeated.Load() {
			return resp, err //nolint:wrapcheck // as returned by the round tripper
		}
		// That connection is closed, so that the next one is another or a new one.
	}
}

// Observe returns a context for the request.
func (co *Connection) Observe(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      co.handleConn,
		WroteHeaders: func() { co.written.Store(true) },
	})
}

func (co *Connection) handleConn(info httptrace.GotConnInfo) {
	co.conn, co.reused = info.Conn, info.Reused
	if cc, ok := info.Conn.(*clientConn); ok && co.IDHeader != "" && !cc.surplus.begin(co.IDHeader, co.RequestID, co.Method) {
		co.repeated.Store(true)
		_ = info.Conn.Close()
		return
	}
	if co.Check != nil && !co.Check() {
		co.failed.Store(true)
		_ = info.Conn.Close()
	}
}

// CheckFailed reports whether the request was not sent because Check returned false.
func (co *Connection) CheckFailed() bool { return co.failed.Load() }

// Written reports whether the head of the request was written.
func (co *Connection) Written() bool { return co.written.Load() }

// Reused reports whether the connection had been used for another request.
func (co *Connection) Reused() bool { return co.reused }

// Discard closes the connection after a response that does not belong to the request: the response that
// is still due would be read in the place of the next one.
func (co *Connection) Discard() {
	if co.conn != nil {
		_ = co.conn.Close()
	}
}
