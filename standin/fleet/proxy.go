package fleet

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Trouble is what ails a cable that is not cut.
type Impairment struct {
	// Delay puts off what is sent either way.
	Delay time.Duration
	// Silent passes nothing on, and Mute nothing that comes back; what was sent
	// meanwhile comes through once the trouble is over.
	Stall, StallResponses bool
}

// Cable is a way to an address that can be cut and healed, for tests of
// partitions between processes that live on.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	partitioned bool
	impairment  Impairment
	// eased is closed when the trouble changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewCable listens on loopback and forwards to an address.
func NewProxy(to string) (*Proxy, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "cable")
	}
	ca := &Proxy{listener: li, target: to, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go ca.serve()
	return ca, nil
}

// Address returns where the cable begins.
func (ca *Proxy) Address() string { return ca.listener.Addr().String() }

// Close ends the cable.
func (ca *Proxy) Close() {
	_ = ca.listener.Close()
	ca.SetPartitioned(true)
	ca.SetImpairment(Impairment{})
}

// SetTrouble replaces the trouble.
func (ca *Proxy) SetImpairment(tr Impairment) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.impairment = tr
	close(ca.changed)
	ca.changed = make(chan struct{})
}

// Reset breaks the connections that are open now, by a reset.
func (ca *Proxy) ResetConnections() {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for co := range ca.conns {
		if tc, ok := co.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = co.Close()
	}
}

// hinder waits until a part may pass, in the direction from the far end if back is
// set.
func (ca *Proxy) waitToForward(back bool) {
	for {
		ca.mu.Lock()
		tr, eased := ca.impairment, ca.changed
		ca.mu.Unlock()
		if tr.Stall || tr.StallResponses && back {
			<-eased
			continue
		}
		time.Sleep(tr.Delay)
		return
	}
}

// Cut breaks all connections and lets none through, or heals the cable.
func (ca *Proxy) SetPartitioned(cut bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.partitioned = cut
	for co := range ca.conns {
		if cut {
			_ = co.Close()
		}
	}
}

func (ca *Proxy) serve() {
	for {
		near, err := ca.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", ca.target)
		if err != nil || !ca.track(near, far) {
			_ = near.Close()
			continue
		}
		go ca.forward(near, far, true)
		go ca.forward(far, near, false)
	}
}

// hold keeps a pair of connections, so that a cut finds them. It reports
// whether the cable is whole.
func (ca *Proxy) track(near, far net.Conn) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.partitioned {
		_ = far.Close()
		return false
	}
	ca.conns[near], ca.conns[far] = true, true
	return true
}

func (ca *Proxy) forward(to, from net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		ca.waitToForward(back)
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	ca.mu.Lock()
	defer ca.mu.Unlock()
	delete(ca.conns, to)
	delete(ca.conns, from)
}
