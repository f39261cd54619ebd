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

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/selfreport"
)

// crashingBackend simulates the servers of a service. A server crashes after it has begun to run a
// poison request. The simulation makes no network calls and uses the fake clock of synctest.
type crashingBackend struct {
	store *fakeStore
	// crashDelay is the time from the poison request's first token to the crash of its server.
	crashDelay time.Duration
	// noResponse is set if the server of the poison request crashes before it sends any part of a
	// response.
	noResponse bool
	// machineFails is set if boxes fail together with their servers and then refuse no connections.
	machineFails bool
	// isDeadly reports whether a request with a prompt crashes its server. It may be nil.
	isDeadly func(rq *Request) bool

	mu      sync.Mutex
	servers map[string]*fakeServer
	started int
	// sent holds when copies of the poison request reached servers. crashes holds when servers crashed.
	sent, crashes []time.Time
	// records holds the same by path of the request, but only the crashes of servers that ran it.
	records map[string]*poisonRecord
	// limits holds the rate limits that servers report, arrived the times at which requests reached
	// servers, both by id.
	limits  map[string]float64
	arrived map[string][]time.Time
	// leaving holds the servers that announce their shutdown. pauses holds the pause that servers
	// which reject all requests ask for, by id. rejected holds the requests that they rejected.
	leaving  map[string]bool
	pauses   map[string]time.Duration
	rejected []rejection
	// received holds when requests of each box reached each server.
	received map[boxServer][]time.Time
}

// poisonRecord records when one poison request was sent and when servers crashed because of it.
type poisonRecord struct{ sent, crashes []time.Time }

// lateCopies returns the number of copies that reached servers more than propagationTime after the
// third crash and later than known.
func (pr *poisonRecord) lateCopies(known time.Time) int {
	if len(pr.crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range pr.sent {
		if at.After(pr.crashes[2].Add(propagationTime)) && at.After(known) {
			late++
		}
	}
	return late
}

// recordOf returns the record of the poison request with a path. The lock is held.
func (cr *crashingBackend) recordOf(path string) *poisonRecord {
	if cr.records == nil {
		cr.records = map[string]*poisonRecord{}
	}
	if cr.records[path] == nil {
		cr.records[path] = &poisonRecord{}
	}
	return cr.records[path]
}

// crashByPoison crashes the server that ran a poison request and records the crash.
func (cr *crashingBackend) crashByPoison(path string, se *fakeServer) {
	if path == deadlyPartRecord && se.hasExited() {
		return // another request crashed it before
	}
	cr.mu.Lock()
	pr := cr.recordOf(path)
	pr.crashes = append(pr.crashes, time.Now())
	cr.mu.Unlock()
	cr.crash(se)
}

// hasExited reports whether the process has ended.
func (se *fakeServer) hasExited() bool {
	select {
	case <-se.exited:
		return true
	default:
		return false
	}
}

type fakeServer struct {
	listed directory.Server
	// exited is closed when the process has ended.
	exited chan struct{}
}

const (
	// poisonPath and plainPoisonPath are the paths of requests that crash their servers.
	poisonPath      = "/menu/poison"
	plainPoisonPath = "/cards/poison"
	// keyedTeams is the number of teams.
	keyedTeams = 8
	// serverCount is the number of servers at any time, apart from restarts.
	serverCount = 18
	// readTime is the time to read a prompt, eventPause the pause before each event of a stream.
	readTime   = 30 * time.Millisecond
	eventPause = 20 * time.Millisecond
	// propagationTime is the time within which gateways must have informed each other.
	propagationTime = 3 * time.Second
	// restartDelay is the time from a crash to the start of another server, entryTTL the time from a
	// crash until the entry expires.
	restartDelay = 2 * time.Second
	entryTTL     = 2500 * time.Millisecond
)

func (cr *crashingBackend) start() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.started++
	id := fmt.Sprint("s", cr.started)
	se := &fakeServer{
		listed: directory.Server{ID: id, Service: "llm", Address: id, DataCentre: fmt.Sprint("dc", cr.started%3), Version: "v1"},
		exited: make(chan struct{}),
	}
	cr.servers[id] = se
	cr.store.add(Change{Server: &se.listed})
}

// crash makes a server crash. Further calls for the same server do nothing.
func (cr *crashingBackend) crash(se *fakeServer) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	select {
	case <-se.exited:
		return
	default:
	}
	close(se.exited)
	cr.crashes = append(cr.crashes, time.Now())
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
	case <-cr.server(se.ID).exited:
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
	if pause, ok := cr.rejection(at, box); ok {
		return nil, &RefusedError{Reason: "shed", Report: selfreport.Report{RetryAfter: max(0, pause), Leaving: cr.isLeaving(se)}}
	}
	path := at.Request.Path
	poison := strings.HasSuffix(path, "/poison")
	if cr.isDeadly != nil && cr.isDeadly(at.Request) {
		poison, path = true, deadlyPartRecord
	}
	if poison {
		cr.mu.Lock()
		cr.sent = append(cr.sent, time.Now())
		pr := cr.recordOf(path)
		pr.sent = append(pr.sent, time.Now())
		cr.mu.Unlock()
	}
	if err := se.work(ctx, readTime); err != nil {
		return nil, err
	}
	events := 10
	if poison {
		events = 0
		time.AfterFunc(cr.crashDelay, func() { cr.crashByPoison(path, se) })
		if cr.noResponse || at.Model == "" {
			return nil, se.work(ctx, time.Hour)
		}
	}
	if at.Model == "" {
		return &Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("complete")), Report: cr.report(se)}, nil
	}
	confidence := 90
	if at.Model == "small" {
		confidence = 2
	}
	return &Response{
		Status: http.StatusOK, Stream: true, Confidence: confidence, Report: cr.report(se), Body: &fakeStream{ctx: ctx, server: se, events: events},
	}, nil
}

// recordArrival records that a request has reached a server.
func (cr *crashingBackend) recordArrival(se *fakeServer) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.arrived == nil {
		cr.arrived = map[string][]time.Time{}
	}
	cr.arrived[se.listed.ID] = append(cr.arrived[se.listed.ID], time.Now())
}

// limit returns the rate limit that a server reports, nil for none.
func (cr *crashingBackend) limit(se *fakeServer) *float64 {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if perSecond, ok := cr.limits[se.listed.ID]; ok {
		return &perSecond
	}
	return nil
}

// report returns what a server reports about itself in a response.
func (cr *crashingBackend) report(se *fakeServer) selfreport.Report {
	return selfreport.Report{Limit: cr.limit(se), Leaving: cr.isLeaving(se)}
}

// work waits for a duration. It fails if the server crashes or the attempt is cancelled.
func (se *fakeServer) work(ctx context.Context, takes time.Duration) error {
	if clock.Wait(ctx, takes, se.exited) {
		return errors.New("call: EOF")
	}
	return ctx.Err()
}

// fakeStream is a response with a number of events. If that is zero, reads block until its server
// crashes.
type fakeStream struct {
	ctx    context.Context
	server *fakeServer
	events int
	sent   int
}

func (st *fakeStream) Read(buf []byte) (int, error) {
	if st.sent > 0 && st.sent == st.events {
		return 0, io.EOF
	}
	pause := eventPause
	if st.events == 0 {
		pause = time.Hour
	}
	if err := st.server.work(st.ctx, pause); err != nil {
		return 0, io.ErrUnexpectedEOF
	}
	st.sent++
	return copy(buf, fmt.Sprintf("id: %d\ndata: x\n\n", st.sent)), nil
}

func (*fakeStream) Close() error { return nil }

// recordingResponder records the response to one request.
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

// pipeNetwork connects gateways through pipes instead of a network.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// partitioned is set while no connection can be opened.
	partitioned atomic.Bool
}

func (pn *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	pn.mu.Lock()
	li := pn.listeners[address]
	pn.mu.Unlock()
	if pn.partitioned.Load() {
		return nil, net.ErrClosed
	}
	if li == nil {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	select {
	case li.accepted <- far:
		return near, nil
	case <-li.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener listens at one address of a pipeNetwork.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
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
	case <-li.closed:
		return nil, net.ErrClosed
	}
}

// reset closes all connections, including those that the HTTP server no longer tracks.
func (li *pipeListener) reset() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, conn := range li.conns {
		_ = conn.Close()
	}
}

func (li *pipeListener) Close() error {
	li.once.Do(func() { close(li.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testCluster is a number of gateways in front of a crashingBackend.
type testCluster struct {
	t        *testing.T
	servers  *crashingBackend
	network  *pipeNetwork
	gateways []*Gateway
	stops    []func()
	// poisonResponses holds the responses to poison requests, otherResponses those to all others.
	mu                              sync.Mutex
	poisonResponses, otherResponses []*recordingResponder
	callers                         sync.WaitGroup
	// log receives the log of the gateways that are started after it is set.
	log io.Writer
	// configure changes each gateway before it starts. It may be nil.
	configure func(ga *Gateway)
}

func newTestCluster(t *testing.T, gateways int) *testCluster {
	t.Helper()
	return newTestClusterWith(t, gateways, func(*testCluster) {})
}

// newTestClusterWith is newTestCluster with a function that changes the cluster before its gateways
// start.
func newTestClusterWith(t *testing.T, gateways int, change func(sc *testCluster)) *testCluster {
	t.Helper()
	store := &fakeStore{changed: make(chan struct{}), watches: map[string]int{}, disconnected: map[string]bool{}}
	menu := routing.Route{
		Name: "menu", Host: "h", Prefix: "/menu/", Kind: routing.Streaming, Resumable: true, Public: true,
		Timeout: 8 * time.Second, Target: 2 * time.Second, Gap: time.Second, Attempts: 3, Models: []string{"small", "large"},
		Split: []routing.Share{{Service: "llm", Weight: 1}},
	}
	keyed := menu
	keyed.Name, keyed.Prefix, keyed.Public = "keyed", "/keyed/", false
	var teams []routing.Team
	for i := range keyedTeams {
		teams = append(teams, routing.Team{Name: fmt.Sprint("team-", i), Keys: []string{fmt.Sprint("key-", i)}})
	}
	store.add(Change{Document: &routing.Document{Version: 1, Services: []routing.Service{{Name: "llm"}}, Teams: teams, Routes: []routing.Route{menu, keyed, {
		Name: "cards", Host: "h", Prefix: "/cards/", Kind: routing.Unsafe, Public: true, Timeout: time.Second,
		Target: 150 * time.Millisecond, Attempts: 1, Split: []routing.Share{{Service: "llm", Weight: 1}},
	}}}})
	sc := &testCluster{
		t: t, servers: &crashingBackend{store: store, crashDelay: 100 * time.Millisecond, servers: map[string]*fakeServer{}},
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

// addGateway starts another gateway. The gateways are distributed over three data centres.
func (sc *testCluster) addGateway() {
	sc.mu.Lock()
	sc.gateways, sc.stops = append(sc.gateways, nil), append(sc.stops, nil)
	n := len(sc.gateways) - 1
	sc.mu.Unlock()
	sc.startGateway(n)
}

// startGateway starts the gateway with a number.
func (sc *testCluster) startGateway(n int) {
	box := fmt.Sprint("b", n)
	ga := &Gateway{
		Log: zerolog.New(sc.log), Box: box, DataCentre: fmt.Sprint("dc", n%3), Store: storeView{store: sc.servers.store, box: box},
		Backend: boxBackend{crashingBackend: sc.servers, box: box}, Bounds: Bounds{MaxConfigAge: 5 * time.Second, RetryRatio: 0.9, RetryWindow: 10 * time.Second},
		RelayAddress: box + ":1", RelayHTTP: &http.Client{Transport: &http.Transport{DialContext: sc.network.dial}},
	}
	if sc.configure != nil {
		sc.configure(ga)
	}
	router := http.NewServeMux()
	router.Handle(relay.Path, &relay.Server{Feed: ga})
	router.Handle(relay.LoadPath, &relay.LoadServer{Handler: ga})
	li := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
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

// newRequest returns a request of a caller without a key.
func newRequest(path, id string) *Request {
	return &Request{
		ID: id, Host: "h", Path: path, Target: path, Method: http.MethodPost, Received: time.Now(),
		Timeout: 8 * time.Second, AnyModel: true, PromptTokens: 1000,
		ReadBody: func(time.Time) (*buffer.Segments, error) { return buffer.SegmentsOf([]byte(path)), nil },
	}
}

// serve passes a request to a gateway and returns its response.
func (sc *testCluster) serve(gateway int, rq *Request) *recordingResponder {
	ca := &recordingResponder{}
	sc.mu.Lock()
	ga := sc.gateways[gateway]
	sc.mu.Unlock()
	ga.Serve(sc.t.Context(), rq, ca)
	ca.took, ca.answered = time.Since(rq.Received), ca.code == 0
	return ca
}

// send sends a request to a gateway and records its response.
func (sc *testCluster) send(gateway int, path, id string) {
	sc.callers.Go(func() {
		ca := sc.serve(gateway, newRequest(path, id))
		sc.mu.Lock()
		defer sc.mu.Unlock()
		if strings.HasSuffix(path, "/poison") {
			sc.poisonResponses = append(sc.poisonResponses, ca)
		} else {
			sc.otherResponses = append(sc.otherResponses, ca)
		}
	})
}

// sendTraffic sends harmless requests, and every 0.3 s the poison request unless it is empty, for a
// duration to all gateways from number first on.
func (sc *testCluster) sendTraffic(first int, poison string, duration time.Duration) {
	n := 0
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(25 * time.Millisecond) {
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

// crashCount returns the number of crashes.
func (cr *crashingBackend) crashCount() int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return len(cr.crashes)
}

// lateCopies returns the number of copies that reached servers more than propagationTime after the
// third crash.
func (cr *crashingBackend) lateCopies() int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if len(cr.crashes) < 3 {
		return 0
	}
	slices.SortFunc(cr.crashes, time.Time.Compare)
	bound := cr.crashes[2].Add(propagationTime)
	late := 0
	for _, at := range cr.sent {
		if at.After(bound) {
			late++
		}
	}
	return late
}

// firstStoredBlock returns the first block that a gateway knows to be stored.
func (sc *testCluster) firstStoredBlock(gateway int) poison.Fingerprint {
	ga := sc.gateways[gateway]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.blocks.Stored()[0].Fingerprint
}

// blockCount returns the number of requests blocked at the gateways, summed over the gateways.
func (sc *testCluster) blockCount() int {
	total := 0
	for _, ga := range sc.gateways {
		ga.mu.Lock()
		total += len(ga.blocks.Recent(clock.Now().Add(-time.Hour)))
		ga.mu.Unlock()
	}
	return total
}

// disconnectAll disconnects all gateways from the key-value service, or reconnects them.
func (sc *testCluster) disconnectAll(disconnected bool) {
	for i := range 2 * len(sc.gateways) {
		sc.servers.store.setDisconnected(fmt.Sprint("b", i), disconnected)
	}
}

// replaceGateway stops a gateway and starts a new one on the same box without any state.
func (sc *testCluster) replaceGateway(i int) {
	sc.stops[i]()
	sc.startGateway(i)
}

// storedBlocks returns the blocks in the key-value service.
func (sc *testCluster) storedBlocks() []poison.Fingerprint {
	st, _, err := storeView{store: sc.servers.store}.since(rev(0))
	require.NoError(sc.t, err)
	var stored []poison.Fingerprint
	for _, ch := range st.Changes {
		if ch.Blocked != nil && !slices.Contains(stored, ch.Blocked.Fingerprint) {
			stored = append(stored, ch.Blocked.Fingerprint)
		}
		if ch.Unblocked != nil {
			stored = slices.DeleteFunc(stored, func(fp poison.Fingerprint) bool { return fp == *ch.Unblocked })
		}
	}
	return stored
}

// all returns all servers, including those that have crashed.
func (cr *crashingBackend) all() []*fakeServer {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return slices.Collect(maps.Values(cr.servers))
}

// hasAttemptsAt reports whether a gateway tracks attempts at a server.
func (ga *Gateway) hasAttemptsAt(server string) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.runs.HasServer(server)
}
