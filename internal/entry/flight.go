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

// ticket finds the request that an attempt belongs to.
type ticket struct {
	fl     *flight
	number int
	li     *link.Link
}

// mail is one thing that happened to an attempt of a request.
type mail struct {
	number int
	// frame is nil if the attempt's link was lost.
	frame *wire.Frame
}

// flight is one request in progress: the shell around a route.Request.
type flight struct {
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

	// mu guards the mailbox, into which links put what comes.
	mu    sync.Mutex
	mails []mail
	size  int
	full  bool
	// ready has room for one word that there is mail.
	ready chan struct{}
}

// put leaves mail for the handler. Beyond the bound for a slow caller the
// rest is dropped and the request fails.
func (fl *flight) put(ma mail, bound int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ma.frame != nil {
		fl.size += len(ma.frame.Body)
	}
	if fl.size > bound {
		fl.full = true
	} else {
		fl.mails = append(fl.mails, ma)
	}
	select {
	case fl.ready <- struct{}{}:
	default:
	}
}

func (fl *flight) take() ([]mail, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	mails := fl.mails
	fl.mails = nil
	fl.size = 0
	return mails, fl.full
}

// fly runs the request until its final answer is given.
func (fl *flight) fly(r *http.Request) result.Code {
	defer fl.land()
	co := fl.act(fl.route.Begin(time.Now()))
	ti := time.NewTicker(giveUpCheck)
	defer ti.Stop()
	waiting := true
	for co == 0 {
		select {
		case <-r.Context().Done():
			co = fl.act(fl.route.Gone())
		case now := <-ti.C:
			co = fl.act(fl.route.Tick(now))
		case <-fl.ready:
			co = fl.read()
		}
		waiting = fl.watch(ti, waiting)
	}
	return co
}

// watch lets the ticker run only while time can change anything: an answer
// that comes in needs no clock.
func (fl *flight) watch(ti *time.Ticker, before bool) bool {
	waiting := fl.route.Waiting()
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

// read hands the mail to the route.
func (fl *flight) read() result.Code {
	mails, full := fl.take()
	if full {
		return fl.act(fl.route.TooSlow())
	}
	for _, ma := range mails {
		if co := fl.act(fl.step(ma, time.Now())); co != 0 {
			return co
		}
	}
	fl.flush()
	return 0
}

func (fl *flight) step(ma mail, now time.Time) []route.Action {
	switch {
	case ma.frame == nil:
		return fl.route.Lost(ma.number, now)
	case ma.frame.Kind == wire.Verdict:
		after := time.Duration(ma.frame.RetryAfterMS) * time.Millisecond
		return fl.route.Verdict(ma.number, ma.frame.Code, after, now)
	}
	return fl.route.Frame(ma.number, ma.frame, now)
}

// act carries out the route's decisions. It returns the final code once there
// is one, and zero before.
func (fl *flight) act(acs []route.Action) result.Code {
	for _, ac := range acs {
		switch ac.Do() {
		case route.Dispatch:
			if !fl.dispatch(ac) {
				return fl.act(fl.route.Verdict(ac.Attempt(), result.NotDispatched, 0, time.Now()))
			}
		case route.Cancel:
			fl.cancel(ac.Attempt())
		case route.DeliverHead:
			fl.head(ac)
		case route.Deliver:
			_, _ = fl.w.Write(ac.Body())
		case route.Close:
			fl.close(ac)
			return ac.Code()
		}
	}
	return 0
}

// dispatch sends an attempt. It reports whether there was a link to send on.
func (fl *flight) dispatch(ac route.Action) bool {
	fl.version = ac.What()
	en := fl.en
	en.mu.Lock()
	box := en.boxOf[ac.Server()]
	en.mu.Unlock()
	li := en.Node.Link(box)
	if li == nil {
		return false
	}
	id := en.streams.Add(1)
	en.mu.Lock()
	en.flights[id] = &ticket{fl: fl, number: ac.Attempt(), li: li}
	en.mu.Unlock()
	fl.streams[ac.Attempt()] = id
	fl.note(fl.dispatchEvent(ac), ac.Server())
	return li.Send(&wire.Frame{Kind: wire.Open, Stream: id, Open: fl.ask.attempt(ac), Stamp: en.Node.Stamp()})
}

// dispatchEvent tells a first attempt, a retry and the next step of a cascade
// apart.
func (fl *flight) dispatchEvent(ac route.Action) event.ID {
	switch {
	case ac.Step() > fl.cascaded:
		fl.cascaded = ac.Step()
		return event.RequestEscalated
	case ac.Attempt() > 1:
		return event.RequestRetried
	}
	return event.RequestRouted
}

func (fl *flight) cancel(number int) {
	id := fl.streams[number]
	fl.en.mu.Lock()
	ti := fl.en.flights[id]
	fl.en.mu.Unlock()
	if ti != nil {
		ti.li.Send(&wire.Frame{Kind: wire.Cancel, Stream: id})
	}
}

func (fl *flight) head(ac route.Action) {
	fl.version = ac.What()
	fl.w.Header().Set("Content-Type", ac.Head().Type)
	fl.w.Header().Set(headerRequest, fl.ask.id)
	fl.w.Header().Set(headerVersion, fl.version)
	if ac.Kept() {
		fl.w.Header().Set(headerKept, "true")
	}
	fl.w.WriteHeader(ac.Head().Status)
	fl.started = true
}

func (fl *flight) flush() {
	if fl.started {
		_ = http.NewResponseController(fl.w).Flush()
	}
}

// close gives the final answer: nothing more after a whole one, a described
// problem where nothing was sent yet, and a broken connection otherwise, so
// that a part is never taken for the whole.
func (fl *flight) close(ac route.Action) {
	co := ac.Code()
	metrics.Requests.Add(result.Of(co).Name(), 1)
	switch {
	case co == result.OK:
		fl.note(event.RequestAnswered, "")
		return
	case result.Of(co).Run() == result.DidNotRun:
		fl.note(event.RequestRefused, result.Of(co).Name())
	default:
		fl.note(event.RequestFailed, result.Of(co).Name())
	}
	pr := node.NewProblem(result.New(co, ""), fl.ask.id, ac.RetryAfter())
	if !fl.started {
		fl.w.Header().Set(headerRequest, fl.ask.id)
		node.WriteProblem(fl.w, pr)
		return
	}
	if strings.HasPrefix(fl.w.Header().Get("Content-Type"), "text/event-stream") {
		body, _ := json.Marshal(pr)
		_, _ = fl.w.Write([]byte("data: " + string(body) + "\n\n"))
		fl.flush()
	}
}

// land forgets the request's attempts; frames that come later go nowhere.
func (fl *flight) land() {
	fl.en.mu.Lock()
	defer fl.en.mu.Unlock()
	for _, id := range fl.streams {
		delete(fl.en.flights, id)
	}
}

func (fl *flight) note(id event.ID, detail string) {
	fl.en.Node.Note(timeline.Entry{
		Event: id, Request: fl.ask.id, Team: fl.ask.team, Version: fl.version, Detail: detail,
	})
}

// deliver leaves an agent's frame with the request it belongs to. The bill of
// an attempt is held even if its request is gone.
func (en *Entry) deliver(li *link.Link, fr *wire.Frame) {
	if len(fr.Bills) > 0 {
		en.hold(fr.Bills)
	}
	en.mu.Lock()
	ti := en.flights[fr.Stream]
	en.mu.Unlock()
	if ti != nil && ti.li == li {
		ti.fl.put(mail{number: ti.number, frame: fr}, en.Node.Settings.Limits.StreamBytes)
	}
}

// lose tells the requests of a lost link.
func (en *Entry) lose(li *link.Link) {
	en.mu.Lock()
	var lost []*ticket
	for _, ti := range en.flights {
		if ti.li == li {
			lost = append(lost, ti)
		}
	}
	en.mu.Unlock()
	for _, ti := range lost {
		ti.fl.put(mail{number: ti.number}, en.Node.Settings.Limits.StreamBytes)
	}
}
