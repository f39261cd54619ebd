package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// run is one run of a request as a backend server saw it.
type run struct {
	server string
	team   string
	at     time.Time
	// announced is set if the answer announced the server's shutdown.
	announced bool
}

// ledger holds what ran, and what was rejected with a pause.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
	shed map[string][]run
}

func (le *ledger) addShed(request string, ru run) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.shed[request] = append(le.shed[request], ru)
}

func (le *ledger) add(request string, ru run) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.runs[request] = append(le.runs[request], ru)
}

func (le *ledger) shedOf(request string) []run {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.shed[request]
}

func (le *ledger) of(request string) []run {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.runs[request]
}

const (
	// plainWork is how long a plain request takes, eventEvery the time between two
	// events of a stream, streamEvents how many there are.
	plainWork    = 15 * time.Millisecond
	eventEvery   = 20 * time.Millisecond
	streamEvents = 8
	// slots is how many requests a server works on.
	slots = 32
	// greyPart is the part of its requests that a grey server fails, oddPart that
	// which is lost or garbled.
	greyPart = 0.5
	oddPart  = 0.2
	// liePart is the part of its requests that a sabotaged server runs and rejects: a request is
	// only refused after several rejections in a row.
	liePart = 0.6
	// slowBy is how much longer a slow server takes.
	slowBy = 10
	// askedPause is the pause that a server asks for which rejects everything.
	askedPause = 1500 * time.Millisecond
)

// headerPoison marks the request that servers end under.
const headerPoison = "X-Soak-Poison"

// server is one life of a stand-in backend server.
type server struct {
	id       string
	ran      *ledger
	cable    *fleet.Proxy
	http     *http.Server
	sabotage Defect
	// ends ends the server as a crash does.
	ends func()

	// unlisted is set once its entry has ended.
	unlisted atomic.Bool

	mu      sync.Mutex
	faults  map[FaultKind]int
	busy    int
	drained bool
	// entries counts the entries that it has written.
	entries int
}

func startServer(id string, le *ledger, sabotage Defect) (*server, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	ca, err := fleet.NewProxy(li.Addr().String())
	if err != nil {
		return nil, err
	}
	se := &server{id: id, ran: le, cable: ca, sabotage: sabotage, faults: map[FaultKind]int{}}
	se.http = &http.Server{Handler: se, ReadHeaderTimeout: time.Minute}
	go func() { _ = se.http.Serve(li) }()
	return se, nil
}

func (se *server) stop() {
	_ = se.http.Close()
	se.cable.Close()
}

// strike adds a fault, or takes it away again.
func (se *server) strike(ki FaultKind, by int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults[ki] += by
}

func (se *server) odd(ki FaultKind, part float64) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.faults[ki] > 0 && rand.Float64() < part
}

// drain lets its entries say from now on that it leaves.
func (se *server) drain() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.drained = true
}

// enter takes a slot, if there is one.
func (se *server) enter() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.busy >= slots {
		return false
	}
	se.busy++
	return true
}

func (se *server) leave() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.busy--
}

// entry is how the server lists itself.
func (se *server) entry() map[string]any {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.entries++
	state := "ready"
	if se.drained {
		state = "draining"
	}
	return map[string]any{
		"service": "svc", "address": se.cable.Address(), "zone": "z1", "version": "v1",
		"slots": slots, "state": state, "cold_remaining_ms": 0, "seq": se.entries,
	}
}

// ServeHTTP runs one request.
func (se *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Target-Instance") != se.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	announced := se.odd(ServerAnnouncesShutdown, 1)
	if announced && se.sabotage != OmitsReports {
		w.Header().Set("Server-Leaving", "1")
	}
	if se.odd(ServerShedsLoad, 1) {
		se.ran.addShed(id, run{server: se.id, at: time.Now()})
		w.Header().Set("X-Not-Executed", "shed")
		if se.sabotage != OmitsReports {
			w.Header().Set("Retry-After", strconv.FormatFloat(askedPause.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !se.enter() {
		w.Header().Set("X-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer se.leave()
	ru := run{server: se.id, team: r.Header.Get("X-Tenant"), at: time.Now(), announced: announced}
	se.ran.add(id, ru)
	if se.sabotage == RunsTwice {
		se.ran.add(id, ru)
	}
	se.work(w, r, id)
}

func (se *server) work(w http.ResponseWriter, r *http.Request, id string) {
	pause := plainWork
	if se.odd(ServerSlow, 1) {
		pause *= slowBy
	}
	time.Sleep(pause)
	if r.Header.Get(headerPoison) != "" {
		se.ends()
		<-r.Context().Done()
		return
	}
	switch {
	case se.sabotage == FalseNotExecuted && rand.Float64() < liePart:
		w.Header().Set("X-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case se.odd(ServerDropsResponses, oddPart):
		panic(http.ErrAbortHandler)
	case se.odd(ServerWrongRequestID, oddPart):
		w.Header().Set("X-Request-Id", "another")
	}
	w.Header().Set("X-Server-Signature", "signed by "+se.id)
	switch {
	case se.odd(ServerErrors, greyPart):
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, plainBody(id))
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		se.stream(w, r, id)
	case se.sabotage == SwapsResponses:
		_, _ = io.WriteString(w, plainBody("another"))
	default:
		_, _ = io.WriteString(w, plainBody(id))
	}
}

func plainBody(id string) string { return "answer to " + id + "\n" }

func eventBody(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

func (se *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		if se.sabotage == SkipsEvents && n == streamEvents/2 {
			continue
		}
		if n > streamEvents/2 && se.odd(ServerDropsResponses, oddPart) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventBody(id, n))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventEvery)
	}
}
