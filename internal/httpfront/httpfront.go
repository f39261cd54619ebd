// Package httpfront serves HTTP with limits that may change while it runs. New
// connections get the newest limits; open ones keep theirs to the end.
package httpfront

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Limits bound what a caller may send and how long it may take. They are
// compared, so that all fields must be comparable.
type Limits struct {
	// HeaderBytes is the longest head of a request; up to 4 KiB more may pass.
	HeaderBytes int
	// HeaderTimeout is the time for a head, IdleTimeout that between requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Server serves a handler. Its exported fields are set before Serve.
type Server struct {
	Handler http.Handler
	// Limits returns the limits for a new connection.
	Limits func() Limits

	mu sync.Mutex
	// servers holds one server for each set of limits that was in force.
	servers map[Limits]*connServer
	// listener is the one being served, nil before Serve.
	listener net.Listener
	closed   bool
}

// connServer is a server that gets its connections one by one.
type connServer struct {
	http  *http.Server
	conns chan net.Conn
	done  chan struct{}
	addr  net.Addr
}

// Accept returns the next connection.
func (ha *connServer) Accept() (net.Conn, error) {
	select {
	case co := <-ha.conns:
		return co, nil
	case <-ha.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept; the connections stay open.
func (ha *connServer) Close() error {
	select {
	case <-ha.done:
	default:
		close(ha.done)
	}
	return nil
}

// Addr returns the address of the real listener.
func (ha *connServer) Addr() net.Addr { return ha.addr }

// Serve accepts connections until Shutdown, after which it returns
// http.ErrServerClosed.
func (se *Server) Serve(li net.Listener) error {
	se.mu.Lock()
	se.listener = li
	se.mu.Unlock()
	for {
		co, err := li.Accept()
		if errors.Is(err, net.ErrClosed) && se.isClosed() {
			return http.ErrServerClosed
		}
		if err != nil {
			return eris.Wrap(err, "accept")
		}
		ha := se.current(li.Addr())
		if ha == nil {
			_ = co.Close()
			continue
		}
		select {
		case ha.conns <- co:
		case <-ha.done:
			_ = co.Close()
		}
	}
}

// current returns the server for the limits in force, nil after Shutdown.
func (se *Server) current(addr net.Addr) *connServer {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.closed {
		return nil
	}
	li := se.Limits()
	if ha := se.servers[li]; ha != nil {
		return ha
	}
	ha := &connServer{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr, http: &http.Server{
		Handler: se.Handler, MaxHeaderBytes: li.HeaderBytes,
		ReadHeaderTimeout: li.HeaderTimeout, IdleTimeout: li.IdleTimeout,
	}}
	if se.servers == nil {
		se.servers = map[Limits]*connServer{}
	}
	se.servers[li] = ha
	go func() { _ = ha.http.Serve(ha) }()
	return ha
}

func (se *Server) isClosed() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.closed
}

// Shutdown closes the listener and lets requests in progress end, until the
// context does.
func (se *Server) Shutdown(ctx context.Context) error {
	se.mu.Lock()
	se.closed = true
	if se.listener != nil {
		_ = se.listener.Close()
	}
	list := make([]*connServer, 0, len(se.servers))
	for _, ha := range se.servers {
		list = append(list, ha)
	}
	se.mu.Unlock()
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, ha := range list {
		wg.Go(func() { errs[i] = ha.http.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
