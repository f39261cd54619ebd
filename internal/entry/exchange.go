package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/route"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// The headers of a response.
const (
	headerRequest  = "X-Linnetrudder-Request"
	headerVersion  = "X-Linnetrudder-Version"
	headerAccepted = "X-Linnetrudder-Kept"
)

// sentAttempt identifies the request that an attempt belongs to, and the link that the attempt was
// sent on.
type sentAttempt struct {
	ex     *exchange
	number int
	li     *link.Link
}

// attemptEvent is a received frame or a lost link of an attempt.
type attemptEvent struct {
	number int
	// frame is nil if the attempt's link was lost.
	frame *wire.Frame
}

// exchange is a request in progress. It performs the I/O for the state machine in route.Request.
type exchange struct {
	en *Entry
	w  http.ResponseWriter
	// request is the caller's request.
	request *callerRequest
	// route is the state machine. Only the handler's goroutine uses it.
	route *route.Request
	// started is set once the status line was sent.
	started bool
	// streams maps each attempt's number to its stream.
	streams map[int]uint64
	// version is the version or plain service of the latest attempt, or of the answer that is being
	// delivered; cascadeStep is the highest cascade step that was started.
	version     string
	cascadeStep int

	// mu guards the queue of events, which the links fill.
	mu          sync.Mutex
	events      []attemptEvent
	queuedBytes int
	overflowed  bool
	// wake signals that events are queued. It has a buffer of one.
	wake chan struct{}
}

// enqueue queues an event for the handler. If the caller reads so slowly that the queued body data
// exceeds maxBytes, further events are dropped and the request fails.
func (ex *exchange) enqueue(ev attemptEvent, maxBytes int) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ev.frame != nil {
		ex.queuedBytes += len(ev.frame.Body)
	}
	if ex.queuedBytes > maxBytes {
		ex.overflowed = true
	} else {
		ex.events = append(ex.events, ev)
	}
	select {
	case ex.wake <- struct{}{}:
	default:
	}
}

// dequeue returns and removes the queued events. It reports whether events were dropped.
func (ex *exchange) dequeue() ([]attemptEvent, bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	events := ex.events
	ex.events = nil
	ex.queuedBytes = 0
	return events, ex.overflowed
}

// serve runs the request until its final result.
func (ex *exchange) serve(r *http.Request) result.Code {
	defer ex.removeAttempts()
	co := ex.perform(ex.route.Begin(time.Now()))
	ti := time.NewTicker(timeoutCheckInterval)
	defer ti.Stop()
	waiting := true
	for co == 0 {
		select {
		case <-r.Context().Done():
			co = ex.perform(ex.route.CallerGone())
		case <-ex.en.ending.Done():
			co = ex.perform(ex.route.ProcessEnds())
		case now := <-ti.C:
			co = ex.perform(ex.route.Tick(now))
		case <-ex.wake:
			co = ex.handleEvents()
		}
		waiting = ex.updateTicker(ti, waiting)
	}
	return co
}

// updateTicker runs the ticker only while the request has timeouts; receiving an answer has none.
// wasWaiting is the previous result. It reports whether the ticker runs.
func (ex *exchange) updateTicker(ti *time.Ticker, wasWaiting bool) bool {
	waiting := ex.route.Pending()
	switch {
	case waiting && !wasWaiting:
		ti.Reset(timeoutCheckInterval)
	case !waiting && wasWaiting:
		ti.Stop()
	}
	return waiting
}

// timeoutCheckInterval is the time between two checks for timeouts of a request whose attempt
// awaits its start.
const timeoutCheckInterval = 50 * time.Millisecond

// handleEvents passes the queued events to the state machine and performs its actions.
func (ex *exchange) handleEvents() result.Code {
	events, overflowed := ex.dequeue()
	if overflowed {
		return ex.perform(ex.route.CallerTooSlow())
	}
	for _, ev := range events {
		if co := ex.perform(ex.handleEvent(ev, time.Now())); co != 0 {
			return co
		}
	}
	ex.flush()
	return 0
}

func (ex *exchange) handleEvent(ev attemptEvent, now time.Time) []route.Action {
	switch {
	case ev.frame == nil:
		return ex.route.LinkLost(ev.number, now)
	case ev.frame.Kind == wire.Admission:
		after := time.Duration(ev.frame.RetryAfterMS) * time.Millisecond
		return ex.route.Verdict(ev.number, ev.frame.Code, after, now)
	}
	return ex.route.Frame(ev.number, ev.frame, now)
}

// perform carries out actions of the state machine. It returns the final result code, or zero if
// there is none yet.
func (ex *exchange) perform(acs []route.Action) result.Code {
	for _, ac := range acs {
		switch ac.Op() {
		case route.Dispatch:
			if !ex.dispatch(ac) {
				return ex.perform(ex.route.Verdict(ac.Attempt(), result.NotDispatched, 0, time.Now()))
			}
		case route.Cancel:
			ex.cancel(ac.Attempt())
		case route.DeliverHead:
			ex.writeHead(ac)
		case route.Deliver:
			_, _ = ex.w.Write(ac.Body())
		case route.Close:
			ex.finish(ac)
			return ac.Code()
		}
	}
	return 0
}

// dispatch sends an attempt to an agent. It reports whether there was a link to send it on.
func (ex *exchange) dispatch(ac route.Action) bool {
	ex.version = ac.Target()
	en := ex.en
	en.mu.Lock()
	box := en.boxOf[ac.Server()]
	en.mu.Unlock()
	li := en.Node.Link(box)
	if li == nil {
		return false
	}
	id := en.streams.Add(1)
	en.mu.Lock()
	en.attempts[id] = &sentAttempt{ex: ex, number: ac.Attempt(), li: li}
	en.mu.Unlock()
	ex.streams[ac.Attempt()] = id
	ex.logEvent(ex.dispatchEvent(ac), ac.Server())
	return li.Send(&wire.Frame{Kind: wire.Open, Stream: id, Open: ex.request.attempt(ac), Stamp: en.Node.Stamp()})
}

// dispatchEvent returns the log event of an attempt: a first attempt, a retry or the next step of a
// cascade.
func (ex *exchange) dispatchEvent(ac route.Action) event.ID {
	switch {
	case ac.Step() > ex.cascadeStep:
		ex.cascadeStep = ac.Step()
		return event.RequestEscalated
	case ac.Attempt() > 1:
		return event.RequestRetried
	}
	return event.RequestRouted
}

func (ex *exchange) cancel(number int) {
	id := ex.streams[number]
	ex.en.mu.Lock()
	sa := ex.en.attempts[id]
	ex.en.mu.Unlock()
	if sa != nil {
		sa.li.Send(&wire.Frame{Kind: wire.Cancel, Stream: id})
	}
}

func (ex *exchange) writeHead(ac route.Action) {
	ex.version = ac.Target()
	ex.w.Header().Set("Content-Type", ac.Head().Type)
	ex.w.Header().Set(headerRequest, ex.request.id)
	ex.w.Header().Set(headerVersion, ex.version)
	if ac.FromFirstTry() {
		ex.w.Header().Set(headerAccepted, "true")
	}
	ex.w.WriteHeader(ac.Head().Status)
	ex.started = true
}

func (ex *exchange) flush() {
	if ex.started {
		_ = http.NewResponseController(ex.w).Flush()
	}
}

// finish ends the response. A complete answer needs nothing more. A failure is described by a
// error body if nothing was sent yet. Otherwise it is described by an additional event if the
// answer is an event stream, and the connection is aborted, so that the caller can't mistake a
// partial answer for a complete one.
func (ex *exchange) finish(ac route.Action) {
	co := ac.Code()
	metrics.Requests.Add(result.Lookup(co).Name(), 1)
	switch {
	case co == result.OK:
		ex.logEvent(event.RequestAnswered, "")
		return
	case result.Lookup(co).Run() == result.DidNotRun:
		ex.logEvent(event.RequestRefused, result.Lookup(co).Name())
	default:
		ex.logEvent(event.RequestFailed, result.Lookup(co).Name())
	}
	eb := node.NewErrorBody(result.New(co, ""), ex.request.id, ac.RetryAfter())
	if !ex.started {
		ex.w.Header().Set(headerRequest, ex.request.id)
		node.WriteErrorBody(ex.w, eb)
		return
	}
	if strings.HasPrefix(ex.w.Header().Get("Content-Type"), "text/event-stream") {
		body, _ := json.Marshal(eb)
		_, _ = ex.w.Write([]byte("data: " + string(body) + "\n\n"))
		ex.flush()
	}
}

// removeAttempts removes the request's attempts. Frames that arrive for them later are ignored.
func (ex *exchange) removeAttempts() {
	ex.en.mu.Lock()
	defer ex.en.mu.Unlock()
	for _, id := range ex.streams {
		delete(ex.en.attempts, id)
	}
}

func (ex *exchange) logEvent(id event.ID, detail string) {
	ex.en.Node.Record(timeline.Entry{
		Event: id, Request: ex.request.id, Team: ex.request.team, Version: ex.version, Detail: detail,
	})
}

// handleAttemptFrame queues an agent's frame for its request. The bill of an attempt is recorded
// even if the request has ended.
func (en *Entry) handleAttemptFrame(li *link.Link, fr *wire.Frame) {
	if len(fr.Bills) > 0 {
		en.addBills(fr.Bills)
	}
	en.mu.Lock()
	sa := en.attempts[fr.Stream]
	en.mu.Unlock()
	if sa != nil && sa.li == li {
		sa.ex.enqueue(attemptEvent{number: sa.number, frame: fr}, en.Node.Settings.Limits.StreamBytes)
	}
}

// failAttempts notifies the requests with attempts on a lost link.
func (en *Entry) failAttempts(li *link.Link) {
	en.mu.Lock()
	var lost []*sentAttempt
	for _, sa := range en.attempts {
		if sa.li == li {
			lost = append(lost, sa)
		}
	}
	en.mu.Unlock()
	for _, sa := range lost {
		sa.ex.enqueue(attemptEvent{number: sa.number}, en.Node.Settings.Limits.StreamBytes)
	}
}
