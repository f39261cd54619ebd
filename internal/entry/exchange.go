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

// The headers of an answer.
const (
	headerRequest = "X-Linnetrudder-Request"
	headerVersion = "X-Linnetrudder-Version"
	headerKept    = "X-Linnetrudder-Kept"
)

// sentAttempt finds the request that an attempt belongs to.
type sentAttempt struct {
	ex     *exchange
	number int
	li     *link.Link
}

// arrival is one thing that happened to an attempt of a request.
type arrival struct {
	number int
	// frame is nil if the attempt's link was lost.
	frame *wire.Frame
}

// exchange is one request in progress: the shell around a route.Request.
type exchange struct {
	en *Entry
	w  http.ResponseWriter
	// ask is what the caller asked for.
	ask *ask
	// route decides; only the handler's goroutine touches it.
	route *route.Request
	// started is true once the status line was sent.
	started bool
	// streams holds the stream of each attempt.
	streams map[int]uint64
	// version is the version or service that runs now, cascaded its step.
	version  string
	cascaded int

	// mu guards the queue, into which links put what comes.
	mu       sync.Mutex
	arrivals []arrival
	size     int
	full     bool
	// ready has room for one word that something came.
	ready chan struct{}
}

// put queues an arrival for the handler. Beyond the bound for a slow caller the
// rest is dropped and the request fails.
func (ex *exchange) put(ar arrival, bound int) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ar.frame != nil {
		ex.size += len(ar.frame.Body)
	}
	if ex.size > bound {
		ex.full = true
	} else {
		ex.arrivals = append(ex.arrivals, ar)
	}
	select {
	case ex.ready <- struct{}{}:
	default:
	}
}

func (ex *exchange) take() ([]arrival, bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	arrivals := ex.arrivals
	ex.arrivals = nil
	ex.size = 0
	return arrivals, ex.full
}

// serve runs the request until its final answer is given.
func (ex *exchange) serve(r *http.Request) result.Code {
	defer ex.forget()
	co := ex.act(ex.route.Begin(time.Now()))
	ti := time.NewTicker(giveUpCheck)
	defer ti.Stop()
	waiting := true
	for co == 0 {
		select {
		case <-r.Context().Done():
			co = ex.act(ex.route.CallerGone())
		case now := <-ti.C:
			co = ex.act(ex.route.Tick(now))
		case <-ex.ready:
			co = ex.read()
		}
		waiting = ex.watch(ti, waiting)
	}
	return co
}

// watch lets the ticker run only while time can change anything: an answer
// that comes in needs no clock.
func (ex *exchange) watch(ti *time.Ticker, before bool) bool {
	waiting := ex.route.Pending()
	switch {
	case waiting && !before:
		ti.Reset(giveUpCheck)
	case !waiting && before:
		ti.Stop()
	}
	return waiting
}

// giveUpCheck is how often a request without a verdict is looked at.
const giveUpCheck = 50 * time.Millisecond

// read hands what came to the route.
func (ex *exchange) read() result.Code {
	arrivals, full := ex.take()
	if full {
		return ex.act(ex.route.CallerTooSlow())
	}
	for _, ar := range arrivals {
		if co := ex.act(ex.step(ar, time.Now())); co != 0 {
			return co
		}
	}
	ex.flush()
	return 0
}

func (ex *exchange) step(ar arrival, now time.Time) []route.Action {
	switch {
	case ar.frame == nil:
		return ex.route.LinkLost(ar.number, now)
	case ar.frame.Kind == wire.Admission:
		after := time.Duration(ar.frame.RetryAfterMS) * time.Millisecond
		return ex.route.Verdict(ar.number, ar.frame.Code, after, now)
	}
	return ex.route.Frame(ar.number, ar.frame, now)
}

// act carries out the route's decisions. It returns the final code once there
// is one, and zero before.
func (ex *exchange) act(acs []route.Action) result.Code {
	for _, ac := range acs {
		switch ac.Op() {
		case route.Dispatch:
			if !ex.dispatch(ac) {
				return ex.act(ex.route.Verdict(ac.Attempt(), result.NotDispatched, 0, time.Now()))
			}
		case route.Cancel:
			ex.cancel(ac.Attempt())
		case route.DeliverHead:
			ex.head(ac)
		case route.Deliver:
			_, _ = ex.w.Write(ac.Body())
		case route.Close:
			ex.close(ac)
			return ac.Code()
		}
	}
	return 0
}

// dispatch sends an attempt. It reports whether there was a link to send on.
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
	ex.note(ex.dispatchEvent(ac), ac.Server())
	return li.Send(&wire.Frame{Kind: wire.Open, Stream: id, Open: ex.ask.attempt(ac), Stamp: en.Node.Stamp()})
}

// dispatchEvent tells a first attempt, a retry and the next step of a cascade
// apart.
func (ex *exchange) dispatchEvent(ac route.Action) event.ID {
	switch {
	case ac.Step() > ex.cascaded:
		ex.cascaded = ac.Step()
		return event.RequestEscalated
	case ac.Attempt() > 1:
		return event.RequestRetried
	}
	return event.RequestRouted
}

func (ex *exchange) cancel(number int) {
	id := ex.streams[number]
	ex.en.mu.Lock()
	ti := ex.en.attempts[id]
	ex.en.mu.Unlock()
	if ti != nil {
		ti.li.Send(&wire.Frame{Kind: wire.Cancel, Stream: id})
	}
}

func (ex *exchange) head(ac route.Action) {
	ex.version = ac.Target()
	ex.w.Header().Set("Content-Type", ac.Head().Type)
	ex.w.Header().Set(headerRequest, ex.ask.id)
	ex.w.Header().Set(headerVersion, ex.version)
	if ac.FromFirstTry() {
		ex.w.Header().Set(headerKept, "true")
	}
	ex.w.WriteHeader(ac.Head().Status)
	ex.started = true
}

func (ex *exchange) flush() {
	if ex.started {
		_ = http.NewResponseController(ex.w).Flush()
	}
}

// close gives the final answer: nothing more after a whole one, a described
// problem where nothing was sent yet, and a broken connection otherwise, so
// that a part is never taken for the whole.
func (ex *exchange) close(ac route.Action) {
	co := ac.Code()
	metrics.Requests.Add(result.Of(co).Name(), 1)
	switch {
	case co == result.OK:
		ex.note(event.RequestAnswered, "")
		return
	case result.Of(co).Run() == result.DidNotRun:
		ex.note(event.RequestRefused, result.Of(co).Name())
	default:
		ex.note(event.RequestFailed, result.Of(co).Name())
	}
	pr := node.NewErrorBody(result.New(co, ""), ex.ask.id, ac.RetryAfter())
	if !ex.started {
		ex.w.Header().Set(headerRequest, ex.ask.id)
		node.WriteErrorBody(ex.w, pr)
		return
	}
	if strings.HasPrefix(ex.w.Header().Get("Content-Type"), "text/event-stream") {
		body, _ := json.Marshal(pr)
		_, _ = ex.w.Write([]byte("data: " + string(body) + "\n\n"))
		ex.flush()
	}
}

// forget drops the request's attempts; frames that come later go nowhere.
func (ex *exchange) forget() {
	ex.en.mu.Lock()
	defer ex.en.mu.Unlock()
	for _, id := range ex.streams {
		delete(ex.en.attempts, id)
	}
}

func (ex *exchange) note(id event.ID, detail string) {
	ex.en.Node.Record(timeline.Entry{
		Event: id, Request: ex.ask.id, Team: ex.ask.team, Version: ex.version, Detail: detail,
	})
}

// deliver queues an agent's frame for the request it belongs to. The bill of
// an attempt is held even if its request is gone.
func (en *Entry) deliver(li *link.Link, fr *wire.Frame) {
	if len(fr.Bills) > 0 {
		en.hold(fr.Bills)
	}
	en.mu.Lock()
	ti := en.attempts[fr.Stream]
	en.mu.Unlock()
	if ti != nil && ti.li == li {
		ti.ex.put(arrival{number: ti.number, frame: fr}, en.Node.Settings.Limits.StreamBytes)
	}
}

// lose tells the requests of a lost link.
func (en *Entry) lose(li *link.Link) {
	en.mu.Lock()
	var lost []*sentAttempt
	for _, ti := range en.attempts {
		if ti.li == li {
			lost = append(lost, ti)
		}
	}
	en.mu.Unlock()
	for _, ti := range lost {
		ti.ex.put(arrival{number: ti.number}, en.Node.Settings.Limits.StreamBytes)
	}
}
