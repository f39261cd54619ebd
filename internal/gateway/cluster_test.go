package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/selfreport"
)

// crashingBackend is a service's servers, of which each ends that begins to run one request. It
// calls no network; time is the test's.
type crashingBackend struct {
	store *fakeStore
	// endsAfter is the time from a request's first token to its server's end.
	endsAfter time.Duration
	// silent is set if that request's server ends before any of its answer came.
	silent bool
	// machineFails is set if servers end with their machines, which then refuse nothing.
	machineFails bool

	mu      sync.Mutex
	servers map[string]*fakeServer
	started int
	// sent holds when copies of that request reached servers, ended when servers ended.
	sent, ended []time.Time
	// records holds the same by the request's path, the ends being those records servers that began it.
	records map[string]*poisonRecord
	// limits holds what servers name in their answers, arrived when requests reached them, by id.
	limits  map[string]float64
	arrived map[string][]time.Time
	// leaving holds the servers that announce their shutdown, pauses the pause that servers ask
	// for which reject everything, by id. rejected holds what they rejected.
	leaving  map[string]bool
	pauses   map[string]time.Duration
	rejected []rejection
	// received holds when each box's requests reached each server.
	received map[boxServer][]time.Time
}

// poisonRecord is what became of one request under which servers end.
type poisonRecord struct{ sent, ended []time.Time }

// lateCopies returns how many copies reached servers later than tellWithin after the third end,
// and later than a time.
func (de *poisonRecord) lateCopies(known time.Time) int {
	if len(de.ended) < 3 {
		return 0
	}
	many := 0
	for _, at := range de.sent {
		if at.After(de.ended[2].Add(propagationTime)) && at.After(known) {
			many++
		}
	}
	return many
}

// recordOf returns what became of the request of a path; the lock is held.
func (cr *crashingBackend) recordOf(path string) *poisonRecord {
	if cr.records == nil {
		cr.records = map[string]*poisonRecord{}
	}
	if cr.records[path] == nil {
		cr.records[path] = &poisonRecord{}
	}
	return cr.records[path]
}

// endByPoison ends the server that began a request.
func (cr *crashingBackend) endByPoison(path string, se *fakeServer) {
	cr.mu.Lock()
	de := cr.recordOf(path)
	de.ended = append(de.ended, time.Now())
	cr.mu.Unlock()
	cr.end(se)
}

type fakeServer struct {
	listed directory.Server
	// gone is closed when the process has ended.
	gone chan struct{}
}

const (
	// poisonPath and plainPoison are where requests are sent that servers end of.
	poisonPath      = "/menu/poison"
	plainPoisonPath = "/cards/poison"
	// serverCount is how many servers there are.
	serverCount = 18
	readTime    = 30 * time.Millisecond
	eventPause  = 20 * time.Millisecond
	// propagationTime is how long gateways may take to tell each other.
	propagationTime = 3 * time.Second
	restartDelay    = 2 * time.Second
	entryTTL        = 2500 * time.Millisecond
)

func (cr *crashingBackend) start() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.started++
	id := fmt.Sprint("s", cr.started)
	se := &fakeServer{
		listed: directory.Server{ID: id, Service: "llm", Address: id, DataCentre: fmt.Sprint("dc", cr.started%3), Version: "v1"},
		gone:   make(chan struct{}),
	}
	cr.servers[id] = se
	cr.store.add(Change{Server: &se.listed})
}

// end ends a server, once.
func (cr *crashingBackend) end(se *fakeServer) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	select {
	case <-se.gone:
		return
	default:
	}
	close(se.gone)
	cr.ended = append(cr.ended, time.Now())
	time.AfterFunc(entryTTL, func() { cr.store.add(Change{Gone: se.listed.ID}) })
	time.AfterFunc(restartDelay, cr.start)
}

func (cr *crashingBackend) server(id string) *fakeServer {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.servers[id]
}

func (cr *crashingBackend) CheckReachable(_ context.Context, se directory.Server) error {
	select {
	case <-cr.server(se.ID).gone:
		if cr.machineFails {
			return errors.New("no answer in time")
		}
		return ErrUnreachable
	default:
		return nil
	}
}

func (cr *crashingBackend) call(ctx context.Context, at *Attempt, box string) (*Response, error) {
	se := cr.server(at.Server.ID)
	switch err := cr.CheckReachable(ctx, at.Server); {
	case errors.Is(err, ErrUnreachable):
		return nil, err
	case err != nil:
		return nil, ErrNotSent
	}
	cr.recordArrival(se)
	if lasts, ok := cr.rejection(at, box); ok {
		return nil, &RefusedError{Reason: "shed", Report: selfreport.Report{RetryAfter: max(0, lasts), Leaving: cr.isLeaving(se)}}
	}
	poison := strings.HasSuffix(at.Request.Path, "/poison")
	if poison {
		cr.mu.Lock()
		cr.sent = append(cr.sent, time.Now())
		de := cr.recordOf(at.Request.Path)
		de.sent = append(de.sent, time.Now())
		cr.mu.Unlock()
	}
	if err := se.work(ctx, readTime); err != nil {
		return nil, err
	}
	events := 10
	if poison {
		events = 0
		time.AfterFunc(cr.endsAfter, func() { cr.endByPoison(at.Request.Path, se) })
		if cr.silent || at.Model == "" {
			return nil, se.work(ctx, time.Hour)
		}
	}
	if at.Model == "" {
		return &Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole")), Report: cr.report(se)}, nil
	}
	confidence := 90
	if at.Model == "small" {
		confidence = 2
	}
	return &Response{
		Status: http.StatusOK, Stream: true, Confidence: confidence, Report: cr.report(se), Body: &fakeStream{ctx: ctx, server: se, left: events},
	}, nil
}

// recordArrival notes that a request has reached a server.
func (cr *crashingBackend) recordArrival(se *fakeServer) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.arrived == nil {
		cr.arrived = map[string][]time.Time{}
	}
	cr.arrived[se.listed.ID] = append(cr.arrived[se.listed.ID], time.Now())
}

// limit returns the limit that a server names, nil for none.
func (cr *crashingBackend) limit(se *fakeServer) *float64 {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if perSecond, ok := cr.limits[se.listed.ID]; ok {
		return &perSecond
	}
	return nil
}

// report returns what a server reports about itself in an answer.
func (cr *crashingBackend) report(se *fakeServer) selfreport.Report {
	return selfreport.Report{Limit: cr.limit(se), Leaving: cr.isLeaving(se)}
}

// work takes a time, or fails with the server's end or as the attempt is given up.
func (se *fakeServer) work(ctx context.Context, takes time.Duration) error {
	ti := time.NewTimer(takes)
	defer ti.Stop()
	select {
	case <-ti.C:
		return nil
	case <-se.gone:
		return errors.New("call: EOF")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fakeStream is an answer of some events, one with none left waits for its server's end.
type fakeStream struct {
	ctx    context.Context
	server *fakeServer
	left   int
	sent   int
}

func (st *fakeStream) Read(buf []byte) (int, error) {
	if st.sent > 0 && st.sent == st.left {
		return 0, io.EOF
	}
	pause := eventPause
	if st.left == 0 {
		pause = time.Hour
	}
	if err := st.server.work(st.ctx, pause); err != nil {
		return 0, io.ErrUnexpectedEOF
	}
	st.sent++
	return copy(buf, fmt.Sprintf("id: %d\ndata: x\n\n", st.sent)), nil
}

func (*fakeStream) Close() error { return nil }

// recordingResponder keeps what one request's recordingResponder got.
type recordingResponder struct {
	code     result.Code
	after    time.Duration
	took     time.Duration
	answered bool
}

func (*recordingResponder) WriteResponse(int, http.Header, []byte) error { return nil }
func (*recordingResponder) WriteHead(int, http.Header) error             { return nil }
func (*recordingResponder) WriteChunk([]byte) error                      { return nil }
func (ca *recordingResponder) Abort()                                    { ca.code = result.AnswerBroken }

func (ca *recordingResponder) WriteError(co result.Code, _ string, after time.Duration) {
	ca.code, ca.after = co, after
}

// pipeNetwork is a network without one: connections between gateways are pipes.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// partitioned is set while nothing gets through.
	partitioned atomic.Bool
}

func (in *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	in.mu.Lock()
	li := in.listeners[address]
	in.mu.Unlock()
	if in.partitioned.Load() {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	select {
	case li.accepted <- far:
		return near, nil
	case <-li.over:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener is one address of it.
type pipeListener struct {
	accepted chan net.Conn
	over     chan struct{}
	once     sync.Once

	mu    sync.Mutex
	conns []net.Conn
}

func (li *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-li.accepted:
		li.mu.Lock()
		defer li.mu.Unlock()
		li.conns = append(li.conns, conn)
		return conn, nil
	case <-li.over:
		return nil, net.ErrClosed
	}
}

// reset breaks off the connections, also those that a server does not know any more.
func (li *pipeListener) reset() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, conn := range li.conns {
		_ = conn.Close()
	}
}

func (li *pipeListener) Close() error {
	li.once.Do(func() { close(li.over) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testCluster is some gateways before such servers.
type testCluster struct {
	t        *testing.T
	servers  *crashingBackend
	network  *pipeNetwork
	gateways []*Gateway
	stops    []func()
	// copies holds what the callers of that request got, others what those of all others did.
	mu                              sync.Mutex
	poisonResponses, otherResponses []*recordingResponder
	callers                         sync.WaitGroup
	// log takes what gateways log that are added from now on.
	log io.Writer
}

func newTestCluster(t *testing.T, gateways int) *testCluster {
	t.Helper()
	return newTestClusterWith(t, gateways, func(*testCluster) {})
}

// newTestClusterWith changes the scene before its gateways start.
func newTestClusterWith(t *testing.T, gateways int, change func(sc *testCluster)) *testCluster {
	t.Helper()
	kept := &fakeStore{changed: make(chan struct{}), watches: map[string]int{}, disconnected: map[string]bool{}}
	kept.add(Change{Document: &routing.Document{Version: 1, Services: []routing.Service{{Name: "llm"}}, Routes: []routing.Route{{
		Name: "menu", Host: "h", Prefix: "/menu/", Kind: routing.Streaming, Resumable: true, Public: true,
		Timeout: 8 * time.Second, Target: 2 * time.Second, Gap: time.Second, Attempts: 3, Models: []string{"small", "large"},
		Split: []routing.Share{{Service: "llm", Weight: 1}},
	}, {
		Name: "cards", Host: "h", Prefix: "/cards/", Kind: routing.Unsafe, Public: true, Timeout: time.Second,
		Target: 150 * time.Millisecond, Attempts: 1, Split: []routing.Share{{Service: "llm", Weight: 1}},
	}}}})
	sc := &testCluster{
		t: t, servers: &crashingBackend{store: kept, endsAfter: 100 * time.Millisecond, servers: map[string]*fakeServer{}},
		network: &pipeNetwork{listeners: map[string]*pipeListener{}}, log: io.Discard,
	}
	t.Cleanup(func() {
		sc.callers.Wait()
		sc.stop()
		time.Sleep(time.Minute)
	})
	change(sc)
	for range serverCount {
		sc.servers.start()
	}
	for range gateways {
		sc.addGateway()
	}
	time.Sleep(3 * time.Second)
	return sc
}

// addGateway starts one more gateway, each third in the same data centre.
func (sc *testCluster) addGateway() {
	sc.mu.Lock()
	sc.gateways, sc.stops = append(sc.gateways, nil), append(sc.stops, nil)
	n := len(sc.gateways) - 1
	sc.mu.Unlock()
	sc.startGateway(n)
}

// startGateway starts the gateway of a number.
func (sc *testCluster) startGateway(n int) {
	box := fmt.Sprint("b", n)
	ga := &Gateway{
		Log: zerolog.New(sc.log), Box: box, DataCentre: fmt.Sprint("dc", n%3), Store: storeView{store: sc.servers.store, box: box},
		Backend: boxBackend{crashingBackend: sc.servers, box: box}, Bounds: Bounds{MaxConfigAge: 5 * time.Second, RetryRatio: 0.9, RetryWindow: 10 * time.Second},
		RelayAddress: box + ":1", RelayHTTP: &http.Client{Transport: &http.Transport{DialContext: sc.network.dial}},
	}
	router := http.NewServeMux()
	router.Handle(relay.Path, &relay.Server{Feed: ga})
	router.Handle(relay.LoadPath, &relay.LoadServer{Handler: ga})
	li := &pipeListener{accepted: make(chan net.Conn), over: make(chan struct{})}
	sc.network.mu.Lock()
	sc.network.listeners[ga.RelayAddress] = li
	sc.network.mu.Unlock()
	hs := &http.Server{Handler: router}
	go func() { _ = hs.Serve(li) }()
	ctx, cancel := context.WithCancel(sc.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = ga.Run(ctx)
	}()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.gateways[n] = ga
	sc.stops[n] = sync.OnceFunc(func() {
		cancel()
		_ = hs.Close()
		li.reset()
		<-done
		ga.RelayHTTP.CloseIdleConnections()
	})
}

// send sends a request to a gateway and keeps what its caller gets.
func (sc *testCluster) send(gateway int, path, id string) {
	sc.callers.Go(func() {
		began := time.Now()
		ca := &recordingResponder{}
		as := &Request{
			ID: id, Host: "h", Path: path, Target: path, Method: http.MethodPost, Received: began,
			Timeout: 8 * time.Second, AnyModel: true, PromptTokens: 1000,
			ReadBody: func() ([]byte, error) { return []byte(path), nil },
		}
		sc.mu.Lock()
		ga := sc.gateways[gateway]
		sc.mu.Unlock()
		ga.Serve(sc.t.Context(), as, ca)
		ca.took, ca.answered = time.Since(began), ca.code == 0
		sc.mu.Lock()
		defer sc.mu.Unlock()
		if strings.HasSuffix(path, "/poison") {
			sc.poisonResponses = append(sc.poisonResponses, ca)
		} else {
			sc.otherResponses = append(sc.otherResponses, ca)
		}
	})
}

// sendTraffic sends copies of the request and others for a while, to all gateways from one on.
func (sc *testCluster) sendTraffic(first int, poison string, lasts time.Duration) {
	n := 0
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(25 * time.Millisecond) {
		n++
		gateway := first + n%(len(sc.gateways)-first)
		sc.send(gateway, fmt.Sprint("/menu/", first, "/", n), fmt.Sprint("other", first, "-", n))
		if n%12 == 0 && poison != "" {
			sc.send(first+n/12%(len(sc.gateways)-first), poison, fmt.Sprint("copy", first, "-", n))
		}
	}
}

func (sc *testCluster) stop() {
	for _, stop := range sc.stops {
		stop()
	}
}

// endCount returns how many servers have ended.
func (cr *crashingBackend) endCount() int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return len(cr.ended)
}

// lateCopies returns how many copies reached servers later than tellWithin after the third end.
func (cr *crashingBackend) lateCopies() int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if len(cr.ended) < 3 {
		return 0
	}
	slices.SortFunc(cr.ended, time.Time.Compare)
	bound := cr.ended[2].Add(propagationTime)
	many := 0
	for _, at := range cr.sent {
		if at.After(bound) {
			many++
		}
	}
	return many
}

// firstStoredBlock returns the first block that a gateway knows to be kept.
func (sc *testCluster) firstStoredBlock(gateway int) poison.Fingerprint {
	ga := sc.gateways[gateway]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.blocks.Stored()[0].Fingerprint
}

// blockCount counts the requests that a scene's gateways have blockCount.
func (sc *testCluster) blockCount() int {
	all := 0
	for _, ga := range sc.gateways {
		ga.mu.Lock()
		all += len(ga.blocks.Recent(clock.Now().Add(-time.Hour)))
		ga.mu.Unlock()
	}
	return all
}

// disconnectAll cuts all gateways off from the key-value service, or ends that.
func (sc *testCluster) disconnectAll(cut bool) {
	for i := range 2 * len(sc.gateways) {
		sc.servers.store.setDisconnected(fmt.Sprint("b", i), cut)
	}
}

// replaceGateway loses a gateway and starts another one under its name, which knows nothing.
func (sc *testCluster) replaceGateway(i int) {
	sc.stops[i]()
	sc.startGateway(i)
}

// storedBlocks returns the blocks that the key-value service holds.
func (sc *testCluster) storedBlocks() []poison.Fingerprint {
	st, _, err := storeView{store: sc.servers.store}.since(rev(0))
	require.NoError(sc.t, err)
	var kept []poison.Fingerprint
	for _, ch := range st.Changes {
		if ch.Blocked != nil && !slices.Contains(kept, ch.Blocked.Fingerprint) {
			kept = append(kept, ch.Blocked.Fingerprint)
		}
		if ch.Unblocked != nil {
			kept = slices.DeleteFunc(kept, func(pr poison.Fingerprint) bool { return pr == *ch.Unblocked })
		}
	}
	return kept
}

// all returns every server that there ever was.
func (cr *crashingBackend) all() []*fakeServer {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return slices.Collect(maps.Values(cr.servers))
}

// hasAttemptsAt reports whether a gateway has anything at a server.
func (ga *Gateway) hasAttemptsAt(server string) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.runs.HasServer(server)
}
