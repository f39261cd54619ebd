// Package direct implements the gateway's state machine for a request that is sent directly to
// backend servers: which attempts are made, which answer the caller gets, how a broken stream is
// resumed, and when the result is final. It does no I/O and reads no clock.
package direct

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Picker selects backend servers.
type Picker interface {
	// Pick returns the id of a server for a model ("" for a plain service) that is not in tried.
	Pick(model string, tried []string, now time.Time) (string, bool)
	// Wait returns the Retry-After value if none of the servers that Pick could select accepts
	// requests now, zero otherwise.
	Wait(model string, tried []string, now time.Time) time.Duration
}

// RetryBudget limits the attempts beyond the first of each request.
type RetryBudget interface {
	// Take reports whether a further attempt is allowed, and consumes a retry token if it is.
	Take(now time.Time) bool
	// TakeSpare is Take for an optional attempt, without which the request still has an answer.
	TakeSpare(now time.Time) bool
}

// Cascade selects models.
type Cascade interface {
	// First returns the index of the model to call first.
	First(now time.Time) int
	// Next returns the index of the model to call instead of accepting an answer, or false if the
	// answer is accepted.
	Next(index, confidence int, now time.Time) (int, bool)
}

// Blocklist holds requests that are temporarily not sent to servers.
type Blocklist interface {
	// Blocked returns how long the request remains blocked, zero if it is not.
	Blocked(now time.Time) time.Duration
}

// LatencyEstimator estimates the response times of models.
type LatencyEstimator interface {
	// Usual returns the typical time to the response head of a model at present, zero if it is not
	// known.
	Usual(model string) time.Duration
}

const (
	// maxRejectedSends is the number of attempts beyond MaxRuns that servers may reject before the
	// request is rejected.
	maxRejectedSends = 2
	// maxSends limits all attempts, including those that did not reach a server. When half of a
	// pool fails at once, one request in 32 selects five failed servers in a row; each of these
	// attempts takes less than a millisecond.
	maxSends = 16
	// softDeadlineFraction is the fraction of the target latency after which an attempt of an
	// idempotent request is abandoned for another. It is long enough for the abandoned attempt to
	// count as offered to the server (a quarter of the target) and short enough for the second
	// attempt to be in time.
	softDeadlineFraction = 0.6
	// softLatencyFactor extends that time to a multiple of the typical latency: abandoning
	// attempts that are merely slow would add to the load that slows them down.
	softLatencyFactor = 4
	// hardLatencyFactor is the multiple of the typical latency after which an attempt is abandoned
	// even if its server responds to other requests: by then the server has lost the request.
	hardLatencyFactor = 10
	// minRemaining is the shortest remaining time in which a further attempt is made.
	minRemaining = 5 * time.Millisecond
	// FirstServerError is the lowest HTTP status that reports a server failure.
	FirstServerError = 500
)

// Request is a request in progress. Its exported fields are set before Begin. It is not safe for
// concurrent use.
type Request struct {
	// Models lists the models that may answer, smallest first; empty for a plain service.
	Models []string
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Resumable is set if a broken stream may be resumed on another server.
	Resumable bool
	// MaxRuns is the maximum number of attempts that may run.
	MaxRuns int
	// Received is the arrival time, Target the time after which an answer is late, and Deadline
	// the time at which the request is abandoned.
	Received, Target, Deadline time.Time
	Picker                     Picker
	RetryBudget                RetryBudget
	Cascade                    Cascade
	Latency                    LatencyEstimator
	Blocklist                  Blocklist

	// modelIndex is the index of the model that is called now.
	modelIndex int
	tried      []string
	// sends counts attempts, runs those that ran or may have run.
	sends, runs int
	// unsent counts the attempts that did not reach a server, unusedTokens those whose retry token
	// the next attempt may use.
	unsent       int
	unusedTokens int
	delivered    bool
	// fallbackHeld is set while the gateway keeps the answer of the model at fallbackIndex.
	fallbackHeld  bool
	fallbackIndex int
}

// Runs returns the number of attempts that ran or may have run.
func (re *Request) Runs() int { return re.runs }

// FinalRunLeft reports whether part of the answer was delivered and only one run is left for the
// rest.
func (re *Request) FinalRunLeft() bool { return re.delivered && re.runs+1 >= re.MaxRuns }

// Begin returns the first step.
func (re *Request) Begin(now time.Time) Step {
	if len(re.Models) > 0 {
		re.modelIndex = re.Cascade.First(now)
	}
	return re.send(result.NoServer, now)
}

// Refused handles an attempt that the server rejected without running it.
func (re *Request) Refused(now time.Time) Step { return re.retry(result.Overloaded, now) }

// Unsent handles an attempt that did not reach the server.
func (re *Request) Unsent(now time.Time) Step {
	re.unsent++
	re.unusedTokens++
	return re.retry(result.NotDispatched, now)
}

// Lost handles an attempt that was sent and got no response: it may have run.
func (re *Request) Lost(now time.Time) Step {
	re.runs++
	if !re.Idempotent {
		return re.refuse(result.LinkLost, 0)
	}
	return re.retry(result.LinkLost, now)
}

// Answered handles a response head; for a plain service, the whole response. confidence is the
// model's own rating of the answer from 0 to 100, negative if there is none.
func (re *Request) Answered(status, confidence int, now time.Time) Step {
	re.runs++
	switch {
	case status >= FirstServerError:
		return re.failed(now)
	case len(re.Models) > 0 && re.Idempotent:
		if next, ok := re.Cascade.Next(re.modelIndex, confidence, now); ok {
			if st, ok := re.escalate(next, now); ok {
				return st
			}
		}
	}
	return re.deliver()
}

// Broken handles the interruption of the stream that is being delivered.
func (re *Request) Broken(now time.Time) Step {
	if !re.CanResume(now) {
		return Step{op: Abort, code: result.AnswerBroken}
	}
	server, ok := re.Picker.Pick(re.model(), re.tried, now)
	if !ok && len(re.tried) > 1 {
		// In a small pool, a server that failed earlier is better than none, except the one whose
		// stream has just broken.
		server, ok = re.Picker.Pick(re.model(), re.tried[len(re.tried)-1:], now)
	}
	if !ok || !re.take(now) {
		return Step{op: Abort, code: result.AnswerBroken}
	}
	return re.attempt(server, now)
}

// CanResume reports whether the stream could be resumed if it broke now.
func (re *Request) CanResume(now time.Time) bool {
	return re.Resumable && re.canRun(now) && re.canSend()
}

// failed handles a response that reports a server failure. Another server is tried if that is
// allowed; otherwise the response is delivered.
func (re *Request) failed(now time.Time) Step {
	if re.delivered {
		return re.Broken(now)
	}
	if !re.Idempotent || !re.canRun(now) {
		return re.deliver()
	}
	server, ok := re.Picker.Pick(re.model(), re.tried, now)
	if !ok || !re.take(now) {
		return re.deliver()
	}
	return re.attempt(server, now)
}

// escalate calls a larger model instead of accepting an answer, if that is possible now.
func (re *Request) escalate(index int, now time.Time) (Step, bool) {
	if !re.canRun(now) {
		return Step{}, false
	}
	server, ok := re.Picker.Pick(re.Models[index], nil, now)
	if !ok || !re.takeSpare(now) {
		return Step{}, false
	}
	re.fallbackHeld, re.fallbackIndex = true, re.modelIndex
	re.modelIndex = index
	re.tried = nil
	st := re.attempt(server, now)
	st.escalate = true
	return st, true
}

// FallbackDropped records that the answer from before the escalation is no longer available.
func (re *Request) FallbackDropped() { re.fallbackHeld = false }

// retry makes another attempt after one without a response.
func (re *Request) retry(co result.Code, now time.Time) Step {
	left := re.Blocklist.Blocked(now)
	switch {
	case re.delivered:
		return re.Broken(now)
	case left > 0:
		return re.refuse(result.RequestBlocked, left)
	case !re.canSend(), !re.canRun(now), !re.take(now):
		return re.refuse(co, re.retryAfter(co, now))
	}
	return re.send(co, now)
}

// retryAfter returns the Retry-After value for a request that ends with a code, zero for the code's
// default. The pause that a single server requested does not apply to the others.
func (re *Request) retryAfter(co result.Code, now time.Time) time.Duration {
	if co != result.Overloaded {
		return 0
	}
	return re.Picker.Wait(re.model(), nil, now)
}

// take reports whether a further attempt is allowed.
func (re *Request) take(now time.Time) bool {
	if re.unusedTokens > 0 {
		re.unusedTokens--
		return true
	}
	return re.RetryBudget.Take(now)
}

// takeSpare is take for an optional attempt.
func (re *Request) takeSpare(now time.Time) bool {
	if re.unusedTokens > 0 {
		re.unusedTokens--
		return true
	}
	return re.RetryBudget.TakeSpare(now)
}

// canRun reports whether another run is allowed, has enough time left and is not blocked: the
// request may have been blocked meanwhile because servers crashed while running it.
func (re *Request) canRun(now time.Time) bool {
	return re.runs < re.MaxRuns && re.Deadline.Sub(now) > minRemaining && re.Blocklist.Blocked(now) == 0
}

// canSend reports whether another attempt may be sent. Rejected attempts are limited as well.
func (re *Request) canSend() bool {
	return re.sends-re.unsent < re.MaxRuns+maxRejectedSends && re.sends < maxSends
}

func (re *Request) model() string {
	if len(re.Models) == 0 {
		return ""
	}
	return re.Models[re.modelIndex]
}

// send makes an attempt at a server that was not tried yet. If there is none, the request ends with
// the code.
func (re *Request) send(co result.Code, now time.Time) Step {
	if re.Deadline.Sub(now) <= minRemaining {
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
		// The limits may have changed since Pick.
		server, ok = re.Picker.Pick(re.model(), re.tried, now)
	}
	if !ok {
		return re.refuse(co, re.retryAfter(co, now))
	}
	return re.attempt(server, now)
}

func (re *Request) attempt(server string, now time.Time) Step {
	re.tried = append(re.tried, server)
	re.sends++
	soft, hard := re.attemptDeadlines(now)
	return Step{
		op: Send, attempt: re.sends, server: server, model: re.model(),
		softDeadline: soft, hardDeadline: hard, resume: re.delivered, finalRun: re.runs > 0 && re.runs+1 >= re.MaxRuns,
	}
}

// attemptDeadlines returns when an attempt without a response is abandoned, and when it is
// abandoned if its server responds to other requests. The last allowed attempt has until the
// request's deadline.
func (re *Request) attemptDeadlines(now time.Time) (soft, hard time.Time) {
	if !re.Idempotent || re.runs+1 >= re.MaxRuns {
		return re.Deadline, re.Deadline
	}
	usual := re.Latency.Usual(re.model())
	wait := time.Duration(softDeadlineFraction * float64(re.Target.Sub(re.Received)))
	wait = max(wait, softLatencyFactor*usual)
	soft = earliest(now.Add(wait), re.Deadline)
	return soft, earliest(now.Add(max(wait, hardLatencyFactor*usual)), re.Deadline)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (re *Request) deliver() Step {
	re.delivered = true
	return Step{op: Deliver, model: re.model()}
}

// refuse ends the request, with the fallback answer if there is one. Once an attempt may have run,
// no code says that the request did not run.
func (re *Request) refuse(co result.Code, after time.Duration) Step {
	if re.fallbackHeld {
		re.fallbackHeld, re.modelIndex = false, re.fallbackIndex
		st := re.deliver()
		st.fallback = true
		return st
	}
	if re.runs > 0 {
		co = result.LinkLost
	}
	if after == 0 {
		after = result.Lookup(co).RetryAfter()
	}
	return Step{op: Refuse, code: co, retryAfter: after}
}
