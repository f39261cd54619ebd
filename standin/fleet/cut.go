package fleet

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Cable is a way to an address that can be cut and healed, for tests of
// partitions between processes that live on.
type Cable struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewCable listens on loopback and forwards to an address.
func NewCable(to string) (*Cable, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "cable")
	}
	ca := &Cable{listener: li, to: to, conns: map[net.Conn]bool{}}
	go ca.serve()
	return ca, nil
}

// Address returns where the cable begins.
func (ca *Cable) Address() string { return ca.listener.Addr().String() }

// Close ends the cable.
func (ca *Cable) Close() {
	_ = ca.listener.Close()
	ca.Cut(true)
}

// Cut breaks all connections and lets none through, or heals the cable.
func (ca *Cable) Cut(cut bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.cut = cut
	for co := range ca.conns {
		if cut {
			_ = co.Close()
		}
	}
}

func (ca *Cable) serve() {
	for {
		near, err := ca.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", ca.to)
		if err != nil || !ca.hold(near, far) {
			_ = near.Close()
			continue
		}
		go ca.pipe(near, far)
		go ca.pipe(far, near)
	}
}

// hold keeps a pair of connections, so that a cut finds them. It reports
// whether the cable is whole.
func (ca *Cable) hold(near, far net.Conn) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.cut {
		_ = far.Close()
		return false
	}
	ca.conns[near], ca.conns[far] = true, true
	return true
}

func (ca *Cable) pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	ca.mu.Lock()
	defer ca.mu.Unlock()
	delete(ca.conns, to)
	delete(ca.conns, from)
}
