// Package direct decides at a gateway what becomes of one request that is sent
// straight to backend servers: which attempts are made, which answer the caller
// gets, how a broken stream goes on, and what is final. It does no I/O and reads
// no clock.
package direct

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Picker chooses a backend server.
type Picker interface {
	// Pick returns the id of a server for a model, "" for a plain service, that
	// is not among those tried.
	Pick(model string, tried []string, now time.Time) (string, bool)
	// Wait returns when the caller should retry if every server that Pick could choose accepts
	// nothing now, zero otherwise.
	Wait(model string, tried []string, now time.Time) time.Duration
}

// RetryBudget bounds the attempts beyond the first of each request.
type RetryBudget interface {
	// Take reports whether one more is allowed and takes it.
	Take(now time.Time) bool
	// TakeSpare is Take for an attempt that the request can do without.
	TakeSpare(now time.Time) bool
}

// Cascade chooses models.
type Cascade interface {
	// First returns the place of the model to ask first.
	First(now time.Time) int
	// Next returns the place of the model to ask instead of keeping an answer,
	// or false if the answer is kept.
	Next(place, confidence int, now time.Time) (int, bool)
}

// Blocklist knows requests that are not to be sent to servers.
type Blocklist interface {
	// Blocked returns how long the request is not to be sent any more, zero if it may be.
	Blocked(now time.Time) time.Duration
}

// LatencyEstimator knows how long servers take.
type LatencyEstimator interface {
	// Usual returns how long the head of a model's answer usually takes now,
	// zero if that is not known.
	Usual(model string) time.Duration
}

const (
	// spareSends is how many attempts beyond the allowed runs may be refused by
	// servers before the request is.
	spareSends = 2
	// mostSends bounds all attempts, those that reached no server included: where half of
	// a pool is gone at once, one request in 32 meets five servers in a row that are, by
	// chance, each within a millisecond.
	mostSends = 16
	// patiencePart is the part of the target latency after which an attempt
	// that may be repeated is given up for another: late enough to count as an
	// offer (a quarter), early enough that the second try can be in time.
	patiencePart = 0.6
	// patienceTimes is how many times the usual time an attempt is waited for
	// where that is longer: giving up what is only slow would add to the load
	// that slows it.
	patienceTimes = 4
	// limitTimes is how many times the usual time an attempt is waited for whose
	// server answers others: by then the server has lost it.
	limitTimes = 10
	// minLeft is the least time left in which an attempt is still made.
	minLeft = 5 * time.Millisecond
	// FirstServerError is the first status that says that a server failed.
	FirstServerError = 500
)

// Request is one request in progress. Its exported fields are set before
// Begin; it is not safe for concurrent use.
type Request struct {
	// Models may answer, smallest first; empty for a plain service.
	Models []string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may be continued elsewhere.
	Resumable bool
	// MaxRuns is how many attempts may run.
	MaxRuns int
	// Received is when the request came, Target when its answer is late, and
	// Deadline when it is given up.
	Received, Target, Deadline time.Time
	Picker                     Picker
	RetryBudget                RetryBudget
	Cascade                    Cascade
	Latency                    LatencyEstimator
	Blocklist                  Blocklist

	// place is the model asked now.
	place int
	tried []string
	// sends counts attempts, runs those that ran or may have.
	sends, runs int
	// unsent counts the attempts that never reached a server, unused those of them that
	// still leave what they were allowed to the next one.
	unsent    int
	unused    int
	delivered bool
	// held is set while the shell holds the answer of the model at heldPlace.
	held      bool
	heldPlace int
}

// Runs returns how many attempts ran or may have run.
func (re *Request) Runs() int { return re.runs }

// FinalRunLeft reports whether the caller has a part of the answer and one run is left to
// give it the rest.
func (re *Request) FinalRunLeft() bool { return re.delivered && re.runs+1 >= re.MaxRuns }

// Begin makes the first attempt.
func (re *Request) Begin(now time.Time) Step {
	if len(re.Models) > 0 {
		re.place = re.Cascade.First(now)
	}
	return re.send(result.NoServer, now)
}

// Refused says that the server did not execute the attempt.
func (re *Request) Refused(now time.Time) Step { return re.again(result.Overloaded, now) }

// Unsent says that the attempt never reached the server.
func (re *Request) Unsent(now time.Time) Step {
	re.unsent++
	re.unused++
	return re.again(result.NotDispatched, now)
}

// Lost says that the attempt was sent and gave no answer: it may have run.
func (re *Request) Lost(now time.Time) Step {
	re.runs++
	if !re.Idempotent {
		return re.refuse(result.LinkLost, 0)
	}
	return re.again(result.LinkLost, now)
}

// Answered takes the head of an answer, for a plain service with its whole
// body. confidence is the model's own rating of the answer from 0 to 100.
func (re *Request) Answered(status, confidence int, now time.Time) Step {
	re.runs++
	switch {
	case status >= FirstServerError:
		return re.failed(now)
	case len(re.Models) > 0 && re.Idempotent:
		if next, ok := re.Cascade.Next(re.place, confidence, now); ok {
			if st, ok := re.escalate(next, now); ok {
				return st
			}
		}
	}
	return re.deliver()
}

// Broken says that the stream being delivered broke off.
func (re *Request) Broken(now time.Time) Step {
	if !re.CanResume(now) {
		return Step{do: Abort, code: result.AnswerBroken}
	}
	server, ok := re.Picker.Pick(re.model(), re.tried, now)
	if !ok && len(re.tried) > 1 {
		// In a small pool one that failed before is better than none; the one
		// that broke just now is not.
		server, ok = re.Picker.Pick(re.model(), re.tried[len(re.tried)-1:], now)
	}
	if !ok || !re.take(now) {
		return Step{do: Abort, code: result.AnswerBroken}
	}
	return re.attempt(server, now)
}

// CanResume reports whether a stream that breaks now may be continued.
func (re *Request) CanResume(now time.Time) bool {
	return re.Resumable && re.mayRun(now) && re.maySend()
}

// failed decides on an answer by which the server says that it failed: another
// server is tried where that is allowed, otherwise it is the caller's.
func (re *Request) failed(now time.Time) Step {
	if re.delivered {
		return re.Broken(now)
	}
	if !re.Idempotent || !re.mayRun(now) {
		return re.deliver()
	}
	server, ok := re.Picker.Pick(re.model(), re.tried, now)
	if !ok || !re.take(now) {
		return re.deliver()
	}
	return re.attempt(server, now)
}

// escalate asks a larger model instead of keeping an answer, if that can be
// done now.
func (re *Request) escalate(place int, now time.Time) (Step, bool) {
	if !re.mayRun(now) {
		return Step{}, false
	}
	server, ok := re.Picker.Pick(re.Models[place], nil, now)
	if !ok || !re.takeSpare(now) {
		return Step{}, false
	}
	re.held, re.heldPlace = true, re.place
	re.place = place
	re.tried = nil
	st := re.attempt(server, now)
	st.escalate = true
	return st, true
}

// FallbackDropped says that the shell no longer holds the answer from before the escalation.
func (re *Request) FallbackDropped() { re.held = false }

// again makes another attempt after one that gave nothing.
func (re *Request) again(co result.Code, now time.Time) Step {
	left := re.Blocklist.Blocked(now)
	switch {
	case re.delivered:
		return re.Broken(now)
	case left > 0:
		return re.refuse(result.RequestBlocked, left)
	case !re.maySend(), !re.mayRun(now), !re.take(now):
		return re.refuse(co, re.retryAfter(co, now))
	}
	return re.send(co, now)
}

// retryAfter returns when the caller of a request that ends with a code should retry, zero for the
// code's default. The pause that one server asked for says nothing about the others.
func (re *Request) retryAfter(co result.Code, now time.Time) time.Duration {
	if co != result.Overloaded {
		return 0
	}
	return re.Picker.Wait(re.model(), nil, now)
}

// take reports whether one more attempt is allowed.
func (re *Request) take(now time.Time) bool {
	if re.unused > 0 {
		re.unused--
		return true
	}
	return re.RetryBudget.Take(now)
}

// takeSpare reports whether an attempt is allowed that the request can do without.
func (re *Request) takeSpare(now time.Time) bool {
	if re.unused > 0 {
		re.unused--
		return true
	}
	return re.RetryBudget.TakeSpare(now)
}

// mayRun reports whether one more run is allowed and has time, and may be made: by then its
// servers may have ended under the request.
func (re *Request) mayRun(now time.Time) bool {
	return re.runs < re.MaxRuns && re.Deadline.Sub(now) > minLeft && re.Blocklist.Blocked(now) == 0
}

// maySend reports whether one more attempt may be sent, also if servers refuse
// all of them.
func (re *Request) maySend() bool {
	return re.sends-re.unsent < re.MaxRuns+spareSends && re.sends < mostSends
}

func (re *Request) model() string {
	if len(re.Models) == 0 {
		return ""
	}
	return re.Models[re.place]
}

// send makes an attempt at a server not tried yet; if there is none, the code
// is final.
func (re *Request) send(co result.Code, now time.Time) Step {
	if re.Deadline.Sub(now) <= minLeft {
		return re.refuse(result.DeadlinePassed, 0)
	}
	if left := re.Blocklist.Blocked(now); left > 0 {
		return re.refuse(result.RequestBlocked, left)
	}
	server, ok := re.Picker.Pick(re.model(), re.tried, now)
	if !ok {
		if wait := re.Picker.Wait(re.model(), re.tried, now); wait > 0 {
			return re.refuse(result.Overloaded, wait)
		}
		return re.refuse(co, re.retryAfter(co, now))
	}
	return re.attempt(server, now)
}

func (re *Request) attempt(server string, now time.Time) Step {
	re.tried = append(re.tried, server)
	re.sends++
	patience, limit := re.patience(now)
	return Step{
		do: Send, attempt: re.sends, server: server, model: re.model(),
		patience: patience, limit: limit, resume: re.delivered, last: re.runs > 0 && re.runs+1 >= re.MaxRuns,
	}
}

// patience returns how long an attempt may give nothing, and how long if its
// server answers others. The last one that is allowed has all the time there is.
func (re *Request) patience(now time.Time) (patience, limit time.Time) {
	if !re.Idempotent || re.runs+1 >= re.MaxRuns {
		return re.Deadline, re.Deadline
	}
	usual := re.Latency.Usual(re.model())
	wait := time.Duration(patiencePart * float64(re.Target.Sub(re.Received)))
	wait = max(wait, patienceTimes*usual)
	patience = earlier(now.Add(wait), re.Deadline)
	return patience, earlier(now.Add(max(wait, limitTimes*usual)), re.Deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (re *Request) deliver() Step {
	re.delivered = true
	return Step{do: Deliver, model: re.model()}
}

// refuse ends the request, with the held answer if there is one. After an attempt that may have
// run, no code says that the request did not.
func (re *Request) refuse(co result.Code, after time.Duration) Step {
	if re.held {
		re.held, re.place = false, re.heldPlace
		st := re.deliver()
		st.fallback = true
		return st
	}
	if re.runs > 0 {
		co = result.LinkLost
	}
	if after == 0 {
		after = result.Of(co).RetryAfter()
	}
	return Step{do: Refuse, code: co, after: after}
}
