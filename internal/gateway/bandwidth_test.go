package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/stall"
)

const (
	// largeLinkMbps and smallLinkMbps are the capacities of boxes' links, linkChunk the number of bytes
	// that a link transfers at a time.
	largeLinkMbps    = 200
	smallBoxLinkMbps = 10
	linkChunk        = 8 << 10
	// storedSizeRatio is the size of a change in a response of the key-value service relative to its size
	// among gateways.
	storedSizeRatio = 1.5
)

// boxLink is one direction of the link of a box.
type boxLink struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
	bytes          int
}

// reserve reserves the link for a number of bytes and returns when they have been transferred.
func (bl *boxLink) reserve(bytes int) time.Time {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if now := time.Now(); bl.freeAt.Before(now) {
		bl.freeAt = now
	}
	bl.bytes += bytes
	bl.freeAt = bl.freeAt.Add(time.Duration(float64(bytes) / bl.bytesPerSecond * float64(time.Second)))
	return bl.freeAt
}

// receivedBytes returns the number of bytes that a box has received.
func (ln *linkedNetwork) receivedBytes(box string) int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	bl := ln.receiving[box]
	bl.mu.Lock()
	defer bl.mu.Unlock()
	return bl.bytes
}

// linkedNetwork connects boxes over links of limited capacity.
type linkedNetwork struct {
	*pipeNetwork
	mu        sync.Mutex
	sending   map[string]*boxLink
	receiving map[string]*boxLink
	// readDelay delays each read of a box, as on one with little processor time. storeDelay delays each
	// response of the key-value service.
	readDelay  map[string]time.Duration
	storeDelay time.Duration
	cuts       *cuts
}

func newLinkedNetwork() *linkedNetwork {
	return &linkedNetwork{
		sending: map[string]*boxLink{}, receiving: map[string]*boxLink{}, readDelay: map[string]time.Duration{}, cuts: &cuts{},
	}
}

// delayReads delays the reads of boxes.
func (ln *linkedNetwork) delayReads(delay time.Duration, boxes ...string) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for _, box := range boxes {
		ln.readDelay[box] = delay
	}
}

// delayOf returns the delay of a box's reads.
func (ln *linkedNetwork) delayOf(box string) time.Duration {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.readDelay[box]
}

func (ln *linkedNetwork) delayStore(delay time.Duration) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.storeDelay = delay
}

func (ln *linkedNetwork) addBox(box string, mbps int) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	perSecond := float64(mbps) * 1e6 / 8
	ln.sending[box], ln.receiving[box] = &boxLink{bytesPerSecond: perSecond}, &boxLink{bytesPerSecond: perSecond}
}

// linkedConn is one end of a connection between two boxes.
type linkedConn struct {
	net.Conn
	up, down *boxLink
	// box is the box at this end.
	box     string
	network *linkedNetwork
}

func (lc *linkedConn) Write(buf []byte) (int, error) {
	sent := 0
	for chunk := range slices.Chunk(buf, linkChunk) {
		up, down := lc.up.reserve(len(chunk)), lc.down.reserve(len(chunk))
		if up.After(down) {
			down = up
		}
		time.Sleep(time.Until(down))
		n, err := lc.Conn.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

func (lc *linkedConn) Read(buf []byte) (int, error) {
	n, err := lc.Conn.Read(buf)
	if n > 0 {
		time.Sleep(lc.network.delayOf(lc.box))
	}
	return n, err
}

// dialFrom returns the dial function of a box.
func (ln *linkedNetwork) dialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if ln.cuts.has(&ln.cuts.fromGateways, from, to) {
			clock.Sleep(ctx, 400*time.Millisecond)
			return nil, errDialTimeout
		}
		ln.pipeNetwork.mu.Lock()
		li := ln.listeners[address]
		ln.pipeNetwork.mu.Unlock()
		if li == nil {
			return nil, net.ErrClosed
		}
		ln.mu.Lock()
		near, far := net.Pipe()
		client := &linkedConn{Conn: near, up: ln.sending[from], down: ln.receiving[to], box: from, network: ln}
		server := &linkedConn{Conn: far, up: ln.sending[to], down: ln.receiving[from], box: to, network: ln}
		ln.mu.Unlock()
		select {
		case li.accepted <- server:
			return &cutConn{Conn: client, cuts: ln.cuts, from: from, to: to}, nil
		case <-li.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// linkedStore is a key-value service whose responses pass the link of a box.
type linkedStore struct {
	Store
	network *linkedNetwork
	box     string
	sizes   *documentSizes
}

func (ls linkedStore) Watch(ctx context.Context, after revision.Revision, wait, timeout time.Duration) (State, error) {
	ctx, gu := stall.WithTimeout(ctx, wait+timeout)
	defer gu.Stop()
	st, err := ls.Store.Watch(ctx, after, wait, timeout)
	if err == nil {
		err = ls.receive(ctx, st, func() { gu.Progress(timeout) })
	}
	return st, err
}

func (ls linkedStore) Read(ctx context.Context, era uint64, continueRead func(State) bool) (State, bool, error) {
	st, complete, err := ls.Store.Read(ctx, era, continueRead)
	if err == nil {
		err = ls.receive(ctx, st, func() {})
	}
	return st, complete, err
}

// receive transfers a response over the link of the box.
func (ls linkedStore) receive(ctx context.Context, st State, progress func()) error {
	ls.network.mu.Lock()
	down, delay := ls.network.receiving[ls.box], ls.network.storeDelay
	ls.network.mu.Unlock()
	clock.Sleep(ctx, delay)
	for left := ls.sizes.of(st.Changes); left > 0 && ctx.Err() == nil; left -= linkChunk {
		clock.Sleep(ctx, time.Until(down.reserve(min(left, linkChunk))))
		progress()
	}
	return ctx.Err()
}

// documentSizes caches the encoded sizes of configurations.
type documentSizes struct {
	mu    sync.Mutex
	bytes map[*routing.Document]int
}

// of returns the size of changes in a response of the key-value service.
func (ds *documentSizes) of(changes []Change) int {
	const otherSize = 400
	total := 0
	for _, ch := range changes {
		if ch.Document == nil {
			total += otherSize
			continue
		}
		ds.mu.Lock()
		if ds.bytes[ch.Document] == 0 {
			data, err := cbor.Marshal(ch)
			if err != nil {
				panic(err)
			}
			ds.bytes[ch.Document] = int(storedSizeRatio * float64(len(data)))
		}
		total += ds.bytes[ch.Document]
		ds.mu.Unlock()
	}
	return total
}

// newLinkedCluster returns a cluster in which the first two boxes of each data centre have large links
// and the others small ones, once the watchers are known.
func newLinkedCluster(t *testing.T, gateways int, bound time.Duration) (*testCluster, *linkedNetwork) {
	t.Helper()
	ln := newLinkedNetwork()
	sizes := &documentSizes{bytes: map[*routing.Document]int{}}
	sc := newTestClusterWith(t, gateways, func(sc *testCluster) {
		ln.pipeNetwork = sc.network
		sc.configure = func(ga *Gateway) {
			ga.LinkMbps = smallBoxLinkMbps
			if slices.Contains([]string{"b0", "b1", "b2", "b3", "b4", "b5"}, ga.Box) {
				ga.LinkMbps = largeLinkMbps
			}
			ln.addBox(ga.Box, ga.LinkMbps)
			ga.Bounds.MaxPropagation = bound
			ga.Store = linkedStore{Store: cutStore{storeView: storeView{store: sc.servers.store, box: ga.Box}, cuts: ln.cuts}, network: ln, box: ga.Box, sizes: sizes}
			ga.RelayHTTP = &http.Client{Transport: &http.Transport{DialContext: ln.dialFrom(ga.Box)}}
		}
	})
	time.Sleep(7 * time.Second)
	return sc, ln
}

// addRoutes writes a configuration with a number of further routes, whose paths hold a number of random
// bytes each, which can't be compressed.
func (sc *testCluster) addRoutes(routes, randomBytes int) (version uint64) {
	var seed [32]byte
	random := rand.NewChaCha8(seed)
	path := make([]byte, randomBytes)
	doc := sc.servers.document()
	doc.Version++
	doc.Routes = slices.Clone(doc.Routes)
	for i := range routes {
		ro := doc.Routes[i%2]
		_, _ = random.Read(path)
		ro.Name, ro.Prefix = fmt.Sprintf("route-%06d", i), fmt.Sprintf("/further/%06d/%x/", i, path)
		doc.Routes = append(doc.Routes, ro)
	}
	sc.servers.store.add(Change{Document: &doc})
	return doc.Version
}

// drain writes the entry of a server that is draining.
func (sc *testCluster) drain(id string) {
	se := sc.servers.server(id).listed
	se.Draining = true
	se.Seq++
	sc.servers.store.add(Change{Server: &se})
}

// uses reports whether a gateway may choose a server.
func (ga *Gateway) uses(id string) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return slices.ContainsFunc(ga.servers.Servers("llm"), func(se *directory.Server) bool { return se.ID == id })
}

// awaitUnused waits until no gateway uses a server and returns how long that took, at most the limit.
func (sc *testCluster) awaitUnused(id string, limit time.Duration, except ...string) time.Duration {
	began := time.Now()
	for _, ga := range sc.gateways {
		for !slices.Contains(except, ga.Box) && ga.uses(id) && time.Since(began) < limit {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func TestServersThatLeaveBehindALargeConfigurationAreNotUsed(t *testing.T) {
	const bound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sc, _ := newLinkedCluster(t, 27, bound)
		sc.addRoutes(4200, 0)
		for i := 1; i <= 4; i++ {
			sc.drain(fmt.Sprint("s", i))
			took := sc.awaitUnused(fmt.Sprint("s", i), 20*time.Second)
			t.Logf("server %d: %s", i, took)
			require.LessOrEqual(t, took, bound)
		}
	})
}

func TestConfigurationThatTakesLongerThanATimeoutArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc, _ := newLinkedCluster(t, 27, 3*time.Second)
		version := sc.addRoutes(3000, 1000)
		time.Sleep(20 * time.Second)
		for _, ga := range sc.gateways {
			require.Equal(t, version, ga.Table().Version(), ga.Box)
			require.True(t, ga.acceptsKeys(time.Now()), ga.Box)
		}
	})
}

func TestLargeConfigurationIsCompressedOnceForAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc, ln := newLinkedCluster(t, 27, 3*time.Second)
		before := ln.receivedBytes("b20")
		version := sc.addRoutes(4200, 0)
		time.Sleep(2 * time.Second)
		require.Equal(t, version, sc.gateways[20].Table().Version())
		require.Less(t, ln.receivedBytes("b20")-before, 200_000)
	})
}
