package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/streampace"
)

const (
	// minStreamEvents is the number of events that a stream must have for its pace to be used.
	minStreamEvents = 3
	// paceCheckInterval is how often the pace of a stream is checked.
	paceCheckInterval = 250 * time.Millisecond
)

// errLagging means that a stream was abandoned because it would have ended after its deadline.
var errLagging = eris.New("the stream would not have ended in time")

// recordStreamPace records a complete stream. Unlike the time to the head, its pace does not depend on
// the prompt.
func (ga *Gateway) recordStreamPace(se *attemptState, events int, took time.Duration, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !se.step.Resume() && se.ex.rq.LastEventID == "" {
		ga.streamPace(se.ex.route.Name).Observe(events, se.ex.rq.OutputEstimate, took)
	}
	if events >= minStreamEvents {
		ga.observeDuration(se.server, "event "+se.ex.modelKey(se.step.Model()), took/time.Duration(events-1), slowEventFactor, now)
	}
}

// streamPace returns the estimator of a route's streams. The lock is held.
func (ga *Gateway) streamPace(route string) *streampace.Estimator {
	es := ga.streamPaces[route]
	if es == nil {
		es = &streampace.Estimator{}
		ga.streamPaces[route] = es
	}
	return es
}

// watchPace resumes a stream at another server once it would not end in time, if that is possible. The
// length of a stream that was resumed before is not known.
func (ex *exchange) watchPace(se *attemptState, head time.Time) {
	if se.step.Resume() || ex.rq.LastEventID != "" || !ex.request.CanResume(head) {
		return
	}
	var check func()
	check = func() {
		switch {
		case se.released.Load():
		case ex.lags(se, head, clock.Now()) && ex.canRetryElsewhere(se):
			se.lagging.Store(true)
			se.cancel()
		default:
			time.AfterFunc(paceCheckInterval, check)
		}
	}
	time.AfterFunc(paceCheckInterval, check)
}

// lags reports whether a stream would end after its deadline here and before it elsewhere.
func (ex *exchange) lags(se *attemptState, head, now time.Time) bool {
	ga := ex.ga
	ga.mu.Lock()
	defer ga.mu.Unlock()
	es := ga.streamPace(ex.route.Name)
	st := streampace.Stream{
		Head: head, Deadline: ex.request.Deadline, Events: int(se.events.Load()), Length: es.Length(ex.rq.OutputEstimate),
	}
	al := streampace.Alternative{TimeToHead: ga.headLatencies.Usual(ex.modelKey(se.step.Model())), Interval: es.Interval()}
	return st.Lags(al, now)
}
