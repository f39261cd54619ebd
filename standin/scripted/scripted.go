// Package scripted is a backend server whose responses are written byte by byte by a test.
package scripted

import (
	"bufio"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// Exchange is a request with the connection on which it arrived. Its fields are exported since it is plain data.
type Exchange struct {
	Conn *net.TCPConn
	// Reader holds what follows the head of the request.
	Reader  *bufio.Reader
	Request *http.Request
}

// Reset resets the connection.
func (ex *Exchange) Reset() {
	_ = ex.Conn.SetLinger(0)
	_ = ex.Conn.Close()
}

// Server is a backend server. It is created with New.
type Server struct {
	listener net.Listener
	respond  func(ex *Exchange) (open bool)

	mu       sync.Mutex
	requests []string
}

// New starts a server on loopback. It calls respond once it has read the head of a request, and closes the connection
// unless respond returns true.
func New(respond func(ex *Exchange) (open bool)) (*Server, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	se := &Server{listener: li, respond: respond}
	go se.serve()
	return se, nil
}

// Address returns the address that the server listens on.
func (se *Server) Address() string { return se.listener.Addr().String() }

// Close stops the server. Open connections are not closed.
func (se *Server) Close() { _ = se.listener.Close() }

// Requests returns the ids of the requests whose heads were read, in order.
func (se *Server) Requests() []string {
	se.mu.Lock()
	defer se.mu.Unlock()
	return append([]string(nil), se.requests...)
}

func (se *Server) serve() {
	for {
		conn, err := se.listener.Accept()
		if err != nil {
			return
		}
		if tc, ok := conn.(*net.TCPConn); ok {
			go se.serveConn(tc)
		}
	}
}

func (se *Server) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	for re := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(re)
		if err != nil {
			return
		}
		se.mu.Lock()
		se.requests = append(se.requests, r.Header.Get("X-Request-Id"))
		se.mu.Unlock()
		if !se.respond(&Exchange{Conn: conn, Reader: re, Request: r}) {
			return
		}
	}
}
