package soak

import (
	"context"
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

// execution is one execution of a request as a backend server observed it.
type execution struct {
	server, version string
	team            string
	at              time.Time
	// announced is set if the response announced the server's shutdown.
	announced bool
	// ended is when the server stopped working on it, the zero time before that. closed is when the gateway had ended
	// the connection by then, the zero time if it had not.
	ended, closed time.Time
}

// executionLog holds, by request id, the executions of all servers and the rejections with a
// Retry-After.
type executionLog struct {
	mu       sync.Mutex
	executed map[string][]execution
	rejected map[string][]execution
}

func (el *executionLog) addRejection(request string, ex execution) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.rejected[request] = append(el.rejected[request], ex)
}

func (el *executionLog) add(request string, ex execution) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.executed[request] = append(el.executed[request], ex)
}

// end records that a server stopped working on a request, and when the gateway had ended its connection.
func (el *executionLog) end(request, server string, at, closed time.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	for i, ex := range el.executed[request] {
		if ex.server == server {
			el.executed[request][i].ended, el.executed[request][i].closed = at, closed
		}
	}
}

func (el *executionLog) rejectionsOf(request string) []execution {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.rejected[request]
}

func (el *executionLog) executionsOf(request string) []execution {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.executed[request]
}

const (
	// plainDuration is how long a request takes, eventInterval the time between two events of a
	// stream and streamEvents their number.
	plainDuration = 15 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	streamEvents  = 8
	// longDuration is how long a request to longPath takes. Its caller may leave long before abandonNotice is over.
	longDuration = 900 * time.Millisecond
	longPath     = "/unsafe/long"
	// slots is how many requests a server executes concurrently.
	slots = 32
	// errorFraction is the fraction of requests that fail under ServerErrors,
	// responseFaultFraction the fraction that ServerDropsResponses and ServerWrongRequestID affect.
	errorFraction         = 0.5
	responseFaultFraction = 0.2
	// falseRejectionFraction is the fraction of requests that a server with the defect
	// FalseNotExecuted executes and rejects. It is high because a gateway refuses a request only
	// after several rejections in a row.
	falseRejectionFraction = 0.6
	// slowFactor is how many times longer a request takes under ServerSlow.
	slowFactor = 10
	// retryAfter is the pause that a server requests under ServerShedsLoad.
	retryAfter = 1500 * time.Millisecond
)

const (
	// headerPoison marks the request that crashes servers.
	headerPoison = "X-Soak-Poison"
	// headerPrompt lists the parts of a prompt, of which poisonPart crashes servers unless it is the last.
	headerPrompt = "X-Prefix-Hash"
	poisonPart   = "deadly"
	// partCrashDelay is the time from the first event of the response to the crash.
	partCrashDelay = 80 * time.Millisecond
)

// hasPoisonPart reports whether a request has the part that crashes servers.
func hasPoisonPart(r *http.Request) bool {
	return strings.Contains(r.Header.Get(headerPrompt), ","+poisonPart+":")
}

// server is one instance of a simulated backend server.
type server struct {
	id, version string
	executions  *executionLog
	proxy       *fleet.Proxy
	http        *http.Server
	defect      Defect
	// crash stops the server without notice.
	crash func()

	// unlisted is set before the server's entry is removed.
	unlisted atomic.Bool

	mu       sync.Mutex
	faults   map[FaultKind]int
	inFlight int
	drained  bool
	// entriesWritten counts the versions of the server's entry and is their sequence number.
	entriesWritten int
}

// startServer starts a backend server of a version on loopback behind a proxy.
func startServer(id, version string, el *executionLog, de Defect, pl Plan) (*server, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	px, err := fleet.NewProxy(li.Addr().String())
	if err != nil {
		return nil, err
	}
	se := &server{id: id, version: version, executions: el, proxy: px, defect: de, faults: map[FaultKind]int{}}
	se.http = &http.Server{Handler: se, ReadHeaderTimeout: time.Minute, ConnContext: withConn}
	if pl.Operations {
		se.http.IdleTimeout = serverIdleTimeout
	}
	go func() { _ = se.http.Serve(repeatingListener{li}) }()
	return se, nil
}

func (se *server) stop() {
	_ = se.http.Close()
	se.proxy.Close()
}

// addFault starts (delta 1) or ends (delta -1) a fault. Faults of the same kind may overlap.
func (se *server) addFault(ki FaultKind, delta int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults[ki] += delta
}

// faultActive reports whether a fault affects the current request: with the given probability if the
// fault is active, otherwise never.
func (se *server) faultActive(ki FaultKind, probability float64) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.faults[ki] > 0 && rand.Float64() < probability
}

// drain marks the server as draining in its next entries.
func (se *server) drain() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.drained = true
}

// acquireSlot takes a slot and reports whether one was free.
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

// entry returns the next version of the server's entry in the key-value service.
func (se *server) entry() map[string]any {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.entriesWritten++
	state := "ready"
	if se.drained {
		state = "draining"
	}
	return map[string]any{
		"service": "svc", "address": se.proxy.Address(), "zone": "z1", "version": se.version,
		"slots": slots, "state": state, "cold_remaining_ms": 0, "seq": se.entriesWritten,
	}
}

// ServeHTTP executes or rejects one request.
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
	if se.repeatResponses(r) || !se.acquireSlot() {
		w.Header().Set("X-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer se.releaseSlot()
	defer func() { se.executions.end(id, se.id, time.Now(), se.proxy.EndedAt(r.RemoteAddr)) }()
	ex := execution{server: se.id, version: se.version, team: r.Header.Get("X-Tenant"), at: time.Now(), announced: announced}
	se.executions.add(id, ex)
	if se.defect == RunsTwice {
		se.executions.add(id, ex)
	}
	se.execute(w, r, id)
}

// execute writes the response to a request, subject to the faults and the defect of the server.
func (se *server) execute(w http.ResponseWriter, r *http.Request, id string) {
	duration := se.onVersion(plainDuration)
	if se.faultActive(ServerSlow, 1) {
		duration *= slowFactor
	}
	if r.URL.Path == longPath {
		duration = longDuration
	}
	if !se.wait(r.Context(), duration) {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(headerPoison) != "" {
		se.crash()
		<-r.Context().Done()
		return
	}
	if hasPoisonPart(r) {
		w.Header().Set("X-Server-Signature", "signed by "+se.id)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventBody(id, 1))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(partCrashDelay)
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
	case se.faultActive(ServerEndlessHead, 1):
		sendEndlessHead(w)
		return
	case se.faultActive(ServerWrongRequestID, responseFaultFraction):
		w.Header().Set("X-Request-Id", "another")
	}
	w.Header().Set("X-Server-Signature", "signed by "+se.id)
	se.garbleNext(r, garbledFraction, false)
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

// writeStream writes the events of a stream after the one that the request names as the last received.
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
		if n > last+1 {
			se.garbleNext(r, garbledEventFraction, true)
		}
		_, _ = io.WriteString(w, eventBody(id, n))
		_ = http.NewResponseController(w).Flush()
		pause := se.onVersion(eventInterval)
		if se.faultActive(ServerHangs, hangingFraction) {
			pause = hangTime
		}
		if !se.wait(r.Context(), pause) {
			return
		}
	}
}

// onVersion returns how long work takes on the server's version that takes some time on the first one.
func (se *server) onVersion(work time.Duration) time.Duration {
	if se.version == slowVersion {
		return time.Duration(slowVersionFactor * float64(work))
	}
	return work
}

// wait waits while the server works. It reports whether the connection is still open.
func (se *server) wait(ctx context.Context, pause time.Duration) bool {
	if se.defect == IgnoresClose {
		time.Sleep(pause)
		return true
	}
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}
