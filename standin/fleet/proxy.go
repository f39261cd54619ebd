package fleet

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Impairment describes how a Proxy impairs the traffic of its connections.
type Impairment struct {
	// Delay delays the data in both directions.
	Delay time.Duration
	// Stall stops the data in both directions, StallResponses only the data from the target. It is
	// delivered once the stall is over.
	Stall, StallResponses bool
}

// Proxy forwards TCP connections to an address. It can be partitioned and impaired, for tests of network
// faults between processes that keep running.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	partitioned bool
	impairment  Impairment
	// changed is closed and replaced when the impairment changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	// endedAt holds when clients ended their connections, by the local address of the connection to the target.
	endedAt map[string]time.Time
	// silenced is closed and replaced when the open connections become silent.
	silenced chan struct{}
	// bytesPerSecond is the capacity of the link for responses, zero for no limit. linkFreeAt is when it has
	// transferred all previous ones.
	bytesPerSecond float64
	linkFreeAt     time.Time
	ends           Ends
}

// Ends is how a Proxy passes on to the target that clients end their connections.
type Ends string

const (
	// EndsLost loses the packets that end connections. The end of a stream is sent again after Retransmission; a reset
	// is not, and the target learns of it by the response to what it sends next.
	EndsLost Ends = "lost"
	// EndsHalfOpen passes on resets only, as to a target that takes the end of a stream for a connection that is closed
	// in one direction.
	EndsHalfOpen Ends = "half-open"
)

// Retransmission is the time after which an unacknowledged packet is sent again.
const Retransmission = 200 * time.Millisecond

// SetEnds sets how the ends of connections are passed on. They are passed on at once before.
func (px *Proxy) SetEnds(en Ends) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.ends = en
}

// SetRate limits the capacity of the link for responses in bytes per second, zero for no limit.
func (px *Proxy) SetRate(bytesPerSecond float64) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.bytesPerSecond = bytesPerSecond
}

// reserveLink returns how long the transfer of a part of a response takes, with those before it.
func (px *Proxy) reserveLink(bytes int, now time.Time) time.Duration {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.bytesPerSecond == 0 {
		return 0
	}
	if px.linkFreeAt.Before(now) {
		px.linkFreeAt = now
	}
	px.linkFreeAt = px.linkFreeAt.Add(time.Duration(float64(bytes) / px.bytesPerSecond * float64(time.Second)))
	return px.linkFreeAt.Sub(now)
}

// NewProxy starts a proxy that listens on loopback and forwards to an address.
func NewProxy(target string) (*Proxy, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	px := &Proxy{listener: li, target: target, conns: map[net.Conn]bool{}, endedAt: map[string]time.Time{}, changed: make(chan struct{}), silenced: make(chan struct{})}
	go px.serve()
	return px, nil
}

// Address returns the address that the proxy listens on.
func (px *Proxy) Address() string { return px.listener.Addr().String() }

// Close stops the proxy and closes its connections.
func (px *Proxy) Close() {
	_ = px.listener.Close()
	px.SetPartitioned(true)
	px.SetImpairment(Impairment{})
}

// SetImpairment replaces the impairment.
func (px *Proxy) SetImpairment(im Impairment) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.impairment = im
	close(px.changed)
	px.changed = make(chan struct{})
}

func (px *Proxy) recordEnd(address string, now time.Time) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.endedAt[address] = now
}

// EndedAt returns when the client of a connection ended it, the zero time if it has not. The connection is named by
// the address from which the target sees it come.
func (px *Proxy) EndedAt(address string) time.Time {
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.endedAt[address]
}

// ResetConnections closes the open connections with a TCP reset.
func (px *Proxy) ResetConnections() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for co := range px.conns {
		resetOnClose(co)
		_ = co.Close()
	}
}

func resetOnClose(co net.Conn) {
	if tc, ok := co.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

// SilenceConnections makes the open connections silent for good: data that arrives on them is discarded
// and they stay open. New connections work.
func (px *Proxy) SilenceConnections() {
	px.mu.Lock()
	defer px.mu.Unlock()
	close(px.silenced)
	px.silenced = make(chan struct{})
}

// waitToForward waits until the impairment allows data to be forwarded. The data comes from the target
// if response is set.
func (px *Proxy) waitToForward(response bool) {
	for {
		px.mu.Lock()
		im, changed := px.impairment, px.changed
		px.mu.Unlock()
		if im.Stall || im.StallResponses && response {
			<-changed
			continue
		}
		time.Sleep(im.Delay)
		return
	}
}

// awaitEnd waits until the target learns that a client has ended its connection with an error, and reports whether it
// learns of it at all.
func (px *Proxy) awaitEnd(client net.Conn, err error) bool {
	px.mu.Lock()
	en := px.ends
	px.mu.Unlock()
	reset := errors.Is(err, syscall.ECONNRESET)
	switch en {
	case EndsLost:
		time.Sleep(Retransmission)
		return !reset
	case EndsHalfOpen:
		for !reset && isOpen(client) {
			time.Sleep(time.Millisecond)
		}
	}
	return true
}

// isOpen reports whether a connection that its peer has ended is still open in the other direction.
func isOpen(conn net.Conn) bool {
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return open
}

// SetPartitioned starts or ends a partition. During a partition all connections are closed, new ones
// immediately.
func (px *Proxy) SetPartitioned(partitioned bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.partitioned = partitioned
	for co := range px.conns {
		if partitioned {
			_ = co.Close()
		}
	}
}

// serve accepts and forwards connections until the listener is closed.
func (px *Proxy) serve() {
	for {
		client, err := px.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", px.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		silenced, ok := px.track(client, target)
		if !ok {
			_ = client.Close()
			continue
		}
		go px.forward(client, target, true, silenced)
		go px.forward(target, client, false, silenced)
	}
}

// track registers a pair of connections, so that a partition closes them, and returns the channel that
// is closed when they become silent. If the proxy is partitioned, it closes the connection to the target
// and returns false.
func (px *Proxy) track(client, target net.Conn) (silenced <-chan struct{}, ok bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.partitioned {
		_ = target.Close()
		return nil, false
	}
	px.conns[client], px.conns[target] = true, true
	delete(px.endedAt, target.LocalAddr().String()) // of an earlier connection with this address
	return px.silenced, true
}

// forward copies data in one direction, subject to the impairment, until one side closes. If the
// connection is silenced, it discards the data, and the other side stays open.
func (px *Proxy) forward(to, from net.Conn, response bool, silenced <-chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil && !response {
			px.recordEnd(to.LocalAddr().String(), time.Now())
			if !px.awaitEnd(from, err) {
				return
			}
		}
		px.waitToForward(response)
		if response {
			time.Sleep(px.reserveLink(n, time.Now()))
		}
		select {
		case <-silenced:
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		default:
		}
		_, werr := to.Write(buf[:n])
		if errors.Is(err, syscall.ECONNRESET) {
			resetOnClose(to)
		}
		if response && werr != nil {
			resetOnClose(from)
		}
		if err != nil || werr != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	px.mu.Lock()
	defer px.mu.Unlock()
	delete(px.conns, to)
	delete(px.conns, from)
}
