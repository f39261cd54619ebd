// Package httpfront implements an HTTP server whose limits can be changed while it runs. A
// connection is served with the limits that were in force when it was accepted; a larger limit of the
// request header takes effect on open connections as well.
package httpfront

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/linnetrudder/linnetrudder/internal/hangup"
	"github.com/linnetrudder/linnetrudder/internal/intake"
	"github.com/linnetrudder/linnetrudder/internal/tcpstate"
)

// Limits holds the size and time limits of requests. It is used as a map key, so all fields must be
// comparable.
type Limits struct {
	// HeaderBytes is the maximum size of a request header. net/http accepts up to 4 KiB more.
	HeaderBytes int
	// HeaderTimeout is the time limit for reading a request header, IdleTimeout the one between the
	// requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Server serves a handler. Its exported fields must be set before Serve.
type Server struct {
	Handler http.Handler
	// Limits returns the limits for a new connection.
	Limits func() Limits
	// Accept reports whether a new connection is served. Others are closed before anything is read, so that
	// their callers know that no request was. All are served if it is nil.
	Accept func() bool
	// Intake limits what all callers use together. One with the default limits stands for nil.
	Intake *Intake

	mu sync.Mutex
	// servers holds one server for each set of limits with which a connection was accepted.
	servers map[Limits]*connServer
	// listener is the listener being served, nil before Serve.
	listener net.Listener
	closed   bool
}

// connServer is an HTTP server together with its listener, which returns the connections that are
// sent to conns.
type connServer struct {
	http  *http.Server
	conns chan net.Conn
	done  chan struct{}
	addr  net.Addr
	// headLimit returns the maximum size of a request header in bytes.
	headLimit func() int
}

// handleState observes the connections of the HTTP server.
func handleState(conn net.Conn, st http.ConnState) {
	if cc, ok := hangup.Underlying(conn).(*callerConn); ok && st == http.StateIdle {
		cc.idle()
	}
}

// Accept returns the next connection from conns. It implements net.Listener.
func (cs *connServer) Accept() (net.Conn, error) {
	select {
	case co := <-cs.conns:
		return co, nil
	case <-cs.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed. Accepted connections stay open.
func (cs *connServer) Close() error {
	select {
	case <-cs.done:
	default:
		close(cs.done)
	}
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (cs *connServer) Addr() net.Addr { return cs.addr }

// Serve accepts connections until Shutdown is called, and then returns http.ErrServerClosed.
func (se *Server) Serve(li net.Listener) error {
	se.mu.Lock()
	se.listener = li
	if se.Intake == nil {
		se.Intake = &Intake{Limits: intake.NewLimits(0, 0)}
	}
	se.mu.Unlock()
	setReceiveBuffer(li)
	for pl := (patientListener{li}); ; {
		co, err := pl.Accept()
		if errors.Is(err, net.ErrClosed) && se.isClosed() {
			return http.ErrServerClosed
		}
		if err != nil {
			return eris.Wrap(err, "accept")
		}
		cs := se.current(li.Addr())
		if cs == nil || se.Accept != nil && !se.Accept() {
			_ = co.Close()
			continue
		}
		if tc, ok := co.(*net.TCPConn); ok {
			cc := se.Intake.open(tc, cs.headLimit)
			if cc == nil {
				_ = co.Close()
				continue
			}
			co = cc
		}
		select {
		case cs.conns <- co:
		case <-cs.done:
			_ = co.Close()
		}
	}
}

// setReceiveBuffer makes the connections of a listener start with the smallest receive buffer.
func setReceiveBuffer(li net.Listener) {
	if tl, ok := li.(*net.TCPListener); ok {
		tcpstate.Control(tl, func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, intake.MinReceiveBuffer) })
	}
}

// current returns the server for the limits in force, which is created if needed. It returns nil
// after Shutdown.
func (se *Server) current(addr net.Addr) *connServer {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.closed {
		return nil
	}
	li := se.Limits()
	if cs := se.servers[li]; cs != nil {
		return cs
	}
	hl := &headerLimiter{next: se.Handler, accepted: li.HeaderBytes, limits: se.Limits}
	cs := &connServer{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr, headLimit: hl.limit, http: &http.Server{
		Handler: hl, MaxHeaderBytes: max(minReadBytes, li.HeaderBytes), ConnState: handleState,
		ReadHeaderTimeout: li.HeaderTimeout, IdleTimeout: li.IdleTimeout,
	}}
	if se.servers == nil {
		se.servers = map[Limits]*connServer{}
	}
	se.servers[li] = cs
	go func() { _ = hangup.Serve(cs.http, cs) }()
	return cs
}

func (se *Server) isClosed() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.closed
}

// EndBodies ends the requests whose bodies are not complete, and those that are received later. Their callers learn that
// the process is leaving.
func (se *Server) EndBodies() {
	se.mu.Lock()
	in := se.Intake
	se.mu.Unlock()
	if in != nil {
		in.endBodies()
	}
}

// Shutdown closes the listener and waits for the requests in progress, at most until the context is
// cancelled.
func (se *Server) Shutdown(ctx context.Context) error {
	se.mu.Lock()
	se.closed = true
	if se.listener != nil {
		_ = se.listener.Close()
	}
	list := make([]*connServer, 0, len(se.servers))
	for _, cs := range se.servers {
		list = append(list, cs)
	}
	se.mu.Unlock()
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, cs := range list {
		wg.Go(func() { errs[i] = cs.http.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
