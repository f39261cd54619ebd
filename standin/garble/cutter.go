package garble

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// End is how a Cutter ends a connection.
type End string

// The ends.
const (
	Closed     End = "closed"
	HalfClosed End = "half-closed"
	Reset      End = "reset"
)

// Cutter is a server that answers each request with the first bytes of a response and then ends the connection. It is
// created with NewCutter.
type Cutter struct {
	listener net.Listener

	mu       sync.Mutex
	response func(r *http.Request) string
	length   int
	end      End
}

// NewCutter starts a server on loopback.
func NewCutter() (*Cutter, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	cu := &Cutter{listener: li}
	go cu.serve()
	return cu, nil
}

// Address returns the address that the server listens on.
func (cu *Cutter) Address() string { return cu.listener.Addr().String() }

// Close stops the server.
func (cu *Cutter) Close() { _ = cu.listener.Close() }

// Answer sets the response, how many bytes of it are sent and how the connection ends then.
func (cu *Cutter) Answer(response func(r *http.Request) string, length int, end End) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.response, cu.length, cu.end = response, length, end
}

func (cu *Cutter) serve() {
	for {
		conn, err := cu.listener.Accept()
		if err != nil {
			return
		}
		go cu.serveConn(conn.(*net.TCPConn))
	}
}

func (cu *Cutter) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	cu.mu.Lock()
	response, length, end := cu.response(r), cu.length, cu.end
	cu.mu.Unlock()
	_, _ = io.WriteString(conn, response[:min(length, len(response))])
	switch end {
	case Reset:
		_ = conn.SetLinger(0)
	case HalfClosed:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case Closed:
	}
}
