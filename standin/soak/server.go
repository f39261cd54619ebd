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
type execution struct {
	server string
	team   string
	at     time.Time
	// announced is set if the answer announced the server's shutdown.
	announced bool
}

// ledger holds what ran, and what was rejected with a pause.
type executionLog struct {
	mu       sync.Mutex
	executed map[string][]execution
	rejected map[string][]execution
}

func (le *executionLog) addRejection(request string, ru execution) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.rejected[request] = append(le.rejected[request], ru)
}

func (le *executionLog) add(request string, ru execution) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.executed[request] = append(le.executed[request], ru)
}

func (le *executionLog) rejectionsOf(request string) []execution {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.rejected[request]
}

func (le *executionLog) executionsOf(request string) []execution {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.executed[request]
}

const (
	// plainWork is how long a plain request takes, eventEvery the time between two
	// events of a stream, streamEvents how many there are.
	plainDuration = 15 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	streamEvents  = 8
	// slots is how many requests a server works on.
	slots = 32
	// greyPart is the part of its requests that a grey server fails, oddPart that
	// which is lost or garbled.
	errorFraction         = 0.5
	responseFaultFraction = 0.2
	// liePart is the part of its requests that a sabotaged server runs and rejects: a request is
	// only refused after several rejections in a row.
	falseRejectionFraction = 0.6
	// slowBy is how much longer a slow server takes.
	slowFactor = 10
	// askedPause is the pause that a server asks for which rejects everything.
	retryAfter = 1500 * time.Millisecond
)

// headerPoison marks the request that servers end under.
const headerPoison = "X-Soak-Poison"

// server is one life of a stand-in backend server.
type server struct {
	id         string
	executions *executionLog
	proxy      *fleet.Proxy
	http       *http.Server
	defect     Defect
	// ends ends the server as a crash does.
	crash func()

	// unlisted is set once its entry has ended.
	unlisted atomic.Bool

	mu       sync.Mutex
	faults   map[FaultKind]int
	inFlight int
	drained  bool
	// entries counts the entries that it has written.
	entriesWritten int
}

func startServer(id string, le *executionLog, sabotage Defect) (*server, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	ca, err := fleet.NewProxy(li.Addr().String())
	if err != nil {
		return nil, err
	}
	se := &server{id: id, executions: le, proxy: ca, defect: sabotage, faults: map[FaultKind]int{}}
	se.http = &http.Server{Handler: se, ReadHeaderTimeout: time.Minute}
	go func() { _ = se.http.Serve(li) }()
	return se, nil
}

func (se *server) stop() {
	_ = se.http.Close()
	se.proxy.Close()
}

// strike adds a fault, or takes it away again.
func (se *server) addFault(ki FaultKind, by int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults[ki] += by
}

func (se *server) faultActive(ki FaultKind, part float64) bool {
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
func (se *server) acquireSlot() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.inFlight >= slots {
		return false
	}
	se.inFlight++
	return true
}

func (se *server) releaseSlot() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.inFlight--
}

// entry is how the server lists itself.
func (se *server) entry() map[string]any {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.entriesWritten++
	state := "ready"
	if se.drained {
		state = "draining"
	}
	return map[string]any{
		"service": "svc", "address": se.proxy.Address(), "zone": "z1", "version": "v1",
		"slots": slots, "state": state, "cold_remaining_ms": 0, "seq": se.entriesWritten,
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
	announced := se.faultActive(ServerAnnouncesShutdown, 1)
	if announced && se.defect != OmitsReports {
		w.Header().Set("Server-Leaving", "1")
	}
	if se.faultActive(ServerShedsLoad, 1) {
		se.executions.addRejection(id, execution{server: se.id, at: time.Now()})
		w.Header().Set("X-Not-Executed", "shed")
		if se.defect != OmitsReports {
			w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !se.acquireSlot() {
		w.Header().Set("X-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer se.releaseSlot()
	ru := execution{server: se.id, team: r.Header.Get("X-Tenant"), at: time.Now(), announced: announced}
	se.executions.add(id, ru)
	if se.defect == RunsTwice {
		se.executions.add(id, ru)
	}
	se.execute(w, r, id)
}

func (se *server) execute(w http.ResponseWriter, r *http.Request, id string) {
	pause := plainDuration
	if se.faultActive(ServerSlow, 1) {
		pause *= slowFactor
	}
	time.Sleep(pause)
	if r.Header.Get(headerPoison) != "" {
		se.crash()
		<-r.Context().Done()
		return
	}
	switch {
	case se.defect == FalseNotExecuted && rand.Float64() < falseRejectionFraction:
		w.Header().Set("X-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case se.faultActive(ServerDropsResponses, responseFaultFraction):
		panic(http.ErrAbortHandler)
	case se.faultActive(ServerWrongRequestID, responseFaultFraction):
		w.Header().Set("X-Request-Id", "another")
	}
	w.Header().Set("X-Server-Signature", "signed by "+se.id)
	switch {
	case se.faultActive(ServerErrors, errorFraction):
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, plainBody(id))
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		se.writeStream(w, r, id)
	case se.defect == SwapsResponses:
		_, _ = io.WriteString(w, plainBody("another"))
	default:
		_, _ = io.WriteString(w, plainBody(id))
	}
}

func plainBody(id string) string { return "answer to " + id + "\n" }

func eventBody(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

func (se *server) writeStream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		if se.defect == SkipsEvents && n == streamEvents/2 {
			continue
		}
		if n > streamEvents/2 && se.faultActive(ServerDropsResponses, responseFaultFraction) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventBody(id, n))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}
