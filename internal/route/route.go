// Package route implements the entry's state machine for a request: which attempts are made, whose
// answer the caller gets, and when the result is final. It does no I/O and reads no clock.
package route

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Picker selects backend servers.
type Picker interface {
	// Pick returns a server for a version or plain service that is not in tried.
	Pick(target string, tried []string) (string, bool)
}

// RetryBudget limits retries.
type RetryBudget interface {
	// Take reports whether a further retry is allowed, and consumes a retry token if it is.
	Take(now time.Time) bool
}

// Blocklist holds requests that are temporarily not sent to servers.
type Blocklist interface {
	// Blocked returns how long the request remains blocked, zero if it is not.
	Blocked(now time.Time) time.Duration
}

// Evaluator decides whether the answer of a first try is good enough to be delivered.
type Evaluator interface {
	// Acceptable evaluates the complete answer of a version.
	Acceptable(target string, status int, body []byte, us *wire.Usage) bool
}

const (
	// maxStepAttempts limits the attempts of one cascade step.
	maxStepAttempts = 4
	// maxBufferedFrames limits the frames that are buffered until a missing frame arrives.
	maxBufferedFrames = 64
	// maxFirstAnswerBytes is the maximum size of an answer that is buffered to be evaluated.
	maxFirstAnswerBytes = 1 << 20
	// ackTimeout is how long an agent may take to acknowledge an attempt.
	ackTimeout = 500 * time.Millisecond
	// verdictGrace is how long after the deadline an agent's verdict is still awaited.
	verdictGrace = 250 * time.Millisecond
)

// phase is the state of an attempt.
type phase string

const (
	// sent means that the agent has not acknowledged the attempt.
	sent phase = "sent"
	// queued means that the attempt is in the agent's queue.
	queued phase = "queued"
	// admitted means that the attempt was started.
	admitted phase = "admitted"
	// finished means that further messages about the attempt are ignored.
	finished phase = "finished"
)

// attempt is an attempt at one server.
type attempt struct {
	number int
	target string
	phase  phase
	sentAt time.Time
	// next is the sequence number of the next frame to handle.
	next uint32
	// buffered holds frames that arrived out of order, by sequence number.
	buffered map[uint32]*wire.Frame
	// head and body are buffered until the answer may be delivered.
	head *wire.ResponseHead
	body *buffer.Body
	// usage is set once the answer is complete.
	usage *wire.Usage
}

// Request is a request in progress. Its exported fields are set before Begin. It is not safe for
// concurrent use.
type Request struct {
	// Steps lists the versions to call, in order, or the one plain service.
	Steps []string
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Deadline is the time after which a request that has not started is abandoned.
	Deadline time.Time
	// Picker, RetryBudget, Evaluator and Blocklist implement the policies of the request.
	Picker      Picker
	RetryBudget RetryBudget
	Evaluator   Evaluator
	Blocklist   Blocklist
	// Memory is the memory that the buffered answers of all requests share. It may be nil.
	Memory *buffer.Pool

	// step is the index of the current step.
	step int
	// current is the attempt whose answer may be delivered, nil between attempts.
	current *attempt
	// fallback is a complete answer of an earlier step, delivered if the later steps fail.
	fallback *attempt
	// tried lists the servers that were tried in the current step, stepAttempts counts its attempts.
	tried        []string
	stepAttempts int
	// number is the number of the latest attempt.
	number int
	// mayHaveRunCode is the code of an attempt without an answer that may have run, zero if there
	// was none. Once it is set, the request is not closed with a code that says that it did not
	// run.
	mayHaveRunCode result.Code
	// delivered is set once part of an answer was delivered.
	delivered bool
	closed    bool
}

// Begin returns the actions of the first attempt.
func (re *Request) Begin(now time.Time) []Action {
	return re.dispatch(result.NoServer, 0, now)
}

// Closed reports whether the final result was decided.
func (re *Request) Closed() bool { return re.closed }

// Pending reports whether an attempt awaits its start, so that the request has timeouts.
func (re *Request) Pending() bool {
	at := re.current
	return !re.closed && at != nil && (at.phase == sent || at.phase == queued)
}

// Verdict handles an agent's response to an attempt: queued, admitted or refused with a code.
func (re *Request) Verdict(number int, co result.Code, after time.Duration, now time.Time) []Action {
	at := re.activeAttempt(number)
	if at == nil || at.phase == admitted {
		return nil
	}
	switch co {
	case result.Queued:
		at.phase = queued
		return nil
	case result.OK:
		at.phase = admitted
		return nil
	}
	at.phase = finished
	return re.retry(co, after, now)
}

// Frame handles a Head, Data or End frame of an attempt. Frames may arrive in any order and more
// than once.
func (re *Request) Frame(number int, fr *wire.Frame, now time.Time) []Action {
	at := re.activeAttempt(number)
	if at == nil || fr.Seq < at.next {
		return nil
	}
	if len(at.buffered) >= maxBufferedFrames && fr.Seq != at.next {
		return append(re.cancel(at), re.fail(at, result.AnswerBroken, now)...)
	}
	at.buffered[fr.Seq] = fr
	var acs []Action
	for {
		fr, ok := at.buffered[at.next]
		if !ok || re.closed || re.current != at {
			return acs
		}
		delete(at.buffered, at.next)
		at.next++
		acs = append(acs, re.handleFrame(at, fr, now)...)
	}
}

// LinkLost handles the loss of the connection that carries an attempt.
func (re *Request) LinkLost(number int, now time.Time) []Action {
	at := re.activeAttempt(number)
	if at == nil {
		return nil
	}
	return re.fail(at, result.LinkLost, now)
}

// CallerGone handles a caller that closed its connection.
func (re *Request) CallerGone() []Action {
	return re.abandon(result.Stopped)
}

// CallerTooSlow handles a caller that reads the answer too slowly.
func (re *Request) CallerTooSlow() []Action {
	return re.abandon(result.CallerTooSlow)
}

// ProcessEnds handles the end of the process. The request ends with an answer of an earlier step if there is one.
func (re *Request) ProcessEnds() []Action {
	if re.closed {
		return nil
	}
	at := re.current
	if at == nil || at.phase == finished {
		return re.settle(result.Leaving, 0)
	}
	return append(re.cancel(at), re.endAttempt(at)...)
}

// endAttempt ends the request with its attempt, which may have run.
func (re *Request) endAttempt(at *attempt) []Action {
	at.phase = finished
	if re.delivered {
		return re.close(result.AnswerBroken, 0)
	}
	return re.settle(result.LinkLost, 0)
}

// Tick handles timeouts: it retries a repeatable request whose agent has not acknowledged the
// attempt, and abandons a request that has not started by its deadline.
func (re *Request) Tick(now time.Time) []Action {
	if !re.Pending() {
		return nil
	}
	at := re.current
	if re.Repeatable && at.phase == sent && now.Sub(at.sentAt) >= ackTimeout {
		return append(re.cancel(at), re.fail(at, result.LinkLost, now)...)
	}
	if now.Before(re.Deadline.Add(verdictGrace)) {
		return nil
	}
	return append(re.cancel(at), re.endAttempt(at)...)
}

// Release releases the buffered answers, once the actions that deliver them were performed.
func (re *Request) Release() {
	for _, at := range []*attempt{re.current, re.fallback} {
		if at != nil {
			at.body.Release()
		}
	}
}

// activeAttempt returns the current attempt if it has this number and is not finished, or nil.
func (re *Request) activeAttempt(number int) *attempt {
	if re.closed || re.current == nil || re.current.number != number || re.current.phase == finished {
		return nil
	}
	return re.current
}

// handleFrame handles the next frame in sequence.
func (re *Request) handleFrame(at *attempt, fr *wire.Frame, now time.Time) []Action {
	at.phase = admitted
	switch fr.Kind {
	case wire.Head:
		at.head = fr.Head
		if re.onLastStep() {
			re.delivered = true
			return []Action{{op: DeliverHead, target: at.target, head: fr.Head}}
		}
	case wire.Data:
		if re.onLastStep() {
			return []Action{{op: Deliver, body: fr.Body}}
		}
		if !at.body.Append(fr.Body, maxFirstAnswerBytes) {
			return append(re.cancel(at), re.fail(at, result.AnswerBroken, now)...)
		}
	case wire.End:
		return re.handleEnd(at, fr, now)
	}
	return nil
}

func (re *Request) handleEnd(at *attempt, fr *wire.Frame, now time.Time) []Action {
	if fr.Code != result.OK {
		return re.fail(at, fr.Code, now)
	}
	if at.head == nil {
		return re.fail(at, result.ServerFailed, now)
	}
	at.phase = finished
	at.usage = fr.Usage
	if re.onLastStep() {
		return re.close(result.OK, 0)
	}
	if re.Evaluator.Acceptable(at.target, at.head.Status, at.body.Bytes(), at.usage) {
		re.keepFallback(at)
		return re.settle(result.OK, 0)
	}
	re.keepFallback(at)
	re.step++
	re.stepAttempts = 0
	re.tried = nil
	return re.dispatch(result.NoServer, 0, now)
}

// keepFallback keeps a complete answer instead of that of an earlier step.
func (re *Request) keepFallback(at *attempt) {
	if re.fallback != nil {
		re.fallback.body.Release()
	}
	re.fallback = at
}

// onLastStep reports whether the current step is the last. Only its answer is streamed to the
// caller as it arrives.
func (re *Request) onLastStep() bool { return re.step == len(re.Steps)-1 }

// fail handles an attempt that failed after it was sent.
func (re *Request) fail(at *attempt, co result.Code, now time.Time) []Action {
	at.phase = finished
	at.body.Release()
	didNotRun := result.Lookup(co).Run() == result.DidNotRun
	if !didNotRun {
		re.mayHaveRunCode = co
	}
	mayRepeat := re.Repeatable || didNotRun
	if re.delivered {
		return re.close(result.AnswerBroken, 0)
	}
	if !mayRepeat {
		return re.settle(co, 0)
	}
	return re.retry(co, result.Lookup(co).RetryAfter(), now)
}

// retry makes another attempt of the current step if that is allowed.
func (re *Request) retry(co result.Code, after time.Duration, now time.Time) []Action {
	if !retryable(co) || re.stepAttempts >= maxStepAttempts || !now.Before(re.Deadline) || !re.RetryBudget.Take(now) {
		return re.settle(co, after)
	}
	return re.dispatch(co, after, now)
}

// retryable reports whether another server may give a different result.
func retryable(co result.Code) bool {
	switch co {
	case result.VersionNotAllowed, result.VersionWithdrawn, result.VersionNoNewWork:
		return false
	}
	return true
}

// dispatch sends the current step to a server that was not tried yet. If there is none, the request
// ends with the code of the last refusal.
func (re *Request) dispatch(co result.Code, after time.Duration, now time.Time) []Action {
	if left := re.Blocklist.Blocked(now); left > 0 {
		return re.settle(result.RequestBlocked, left)
	}
	target := re.Steps[re.step]
	server, ok := re.Picker.Pick(target, re.tried)
	if !ok {
		return re.settle(co, after)
	}
	re.tried = append(re.tried, server)
	re.stepAttempts++
	re.number++
	re.current = &attempt{number: re.number, target: target, phase: sent, sentAt: now, next: 1, buffered: map[uint32]*wire.Frame{}, body: re.Memory.New()}
	return []Action{{op: Dispatch, attempt: re.number, step: re.step, target: target, server: server}}
}

// settle closes the request, with the fallback answer if there is one.
func (re *Request) settle(co result.Code, after time.Duration) []Action {
	if re.mayHaveRunCode != 0 && result.Lookup(co).Run() == result.DidNotRun {
		co = re.mayHaveRunCode
	}
	if re.fallback == nil {
		return re.close(co, after)
	}
	re.delivered = true
	acs := []Action{
		{op: DeliverHead, target: re.fallback.target, fromFirstTry: true, head: re.fallback.head},
		{op: Deliver, body: re.fallback.body.Bytes()},
	}
	return append(acs, re.close(result.OK, 0)...)
}

func (re *Request) abandon(co result.Code) []Action {
	if re.closed {
		return nil
	}
	var acs []Action
	if re.current != nil && re.current.phase != finished {
		acs = re.cancel(re.current)
	}
	return append(acs, re.close(co, 0)...)
}

func (re *Request) cancel(at *attempt) []Action {
	return []Action{{op: Cancel, attempt: at.number}}
}

func (re *Request) close(co result.Code, after time.Duration) []Action {
	if after == 0 {
		after = result.Lookup(co).RetryAfter()
	}
	re.closed = true
	return []Action{{op: Close, code: co, retryAfter: after}}
}
