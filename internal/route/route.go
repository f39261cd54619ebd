// Package route decides at an entry what becomes of one request: which
// attempts are made, whose answer the caller gets, and what is final. It does
// no I/O and reads no clock.
package route

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Picker chooses a backend server for a version or plain service.
type Picker interface {
	// Pick returns a server that was not tried yet.
	Pick(what string, tried []string) (string, bool)
}

// RetryBudget bounds retries.
type RetryBudget interface {
	// Take reports whether one more retry is allowed and takes it.
	Take(now time.Time) bool
}

// Blocklist knows requests that are not to be sent to servers.
type Blocklist interface {
	// Blocked returns how long the request is not to be sent any more, zero if it may be.
	Blocked(now time.Time) time.Duration
}

// Evaluator says whether the answer of a first try is good enough to keep.
type Evaluator interface {
	// Acceptable is given the version and its whole answer.
	Acceptable(what string, status int, body []byte, us *wire.Usage) bool
}

const (
	// maxAttempts bounds the attempts of one step.
	maxAttempts = 4
	// maxHeld bounds the frames that are held for a missing one.
	maxHeld = 64
	// ackTimeout is how long an agent may take to say anything of an attempt.
	ackTimeout = 500 * time.Millisecond
	// verdictGrace is how long past the deadline a verdict may come.
	verdictGrace = 250 * time.Millisecond
)

// phase is where an attempt stands.
type phase string

const (
	// sent means that the agent has said nothing yet.
	sent phase = "sent"
	// queued means that the agent holds the attempt.
	queued phase = "queued"
	// admitted means that the attempt was started.
	admitted phase = "admitted"
	// over means that nothing of the attempt counts any more.
	over phase = "over"
)

// attempt is one try at one server.
type attempt struct {
	number int
	what   string
	phase  phase
	sentAt time.Time
	// next is the sequence number of the frame to be taken next.
	next uint32
	// held are frames that came before their turn.
	held map[uint32]*wire.Frame
	// head and body are kept until the answer may be delivered.
	head *wire.AnswerHead
	body []byte
	// usage is set once the answer is whole.
	usage *wire.Usage
}

// Request is one request in progress. Its exported fields are set before
// Begin; it is not safe for concurrent use.
type Request struct {
	// Steps are the versions, or the one plain service, to call in order.
	Steps []string
	// Repeatable is false for a request that may run once at the most.
	Repeatable bool
	// Deadline is when a request that has not started is given up.
	Deadline time.Time
	// Picker, Retries, Judge and Blocks make the decisions that vary.
	Picker      Picker
	RetryBudget RetryBudget
	Evaluator   Evaluator
	Blocklist   Blocklist

	step int
	// current is the attempt whose answer counts, nil between attempts.
	current *attempt
	// kept is a whole answer of an earlier step, in case a later one fails.
	kept  *attempt
	tried []string
	// tries counts the attempts of this step.
	tries  int
	number int
	// doubt is the code of an attempt that may have run without an answer,
	// zero if there was none. After it no refusal says "did not run".
	doubt result.Code
	// delivered is true once the caller has got a part of an answer.
	delivered bool
	closed    bool
}

// Begin makes the first attempt.
func (re *Request) Begin(now time.Time) []Action {
	return re.dispatch(result.NoServer, 0, now)
}

// Closed reports whether the final answer was decided.
func (re *Request) Closed() bool { return re.closed }

// Pending reports whether time alone can change what becomes of the request.
func (re *Request) Pending() bool {
	at := re.current
	return !re.closed && at != nil && (at.phase == sent || at.phase == queued)
}

// Verdict takes an agent's word on an attempt.
func (re *Request) Verdict(number int, co result.Code, after time.Duration, now time.Time) []Action {
	at := re.live(number)
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
	at.phase = over
	return re.retry(co, after, now)
}

// Frame takes a Head, Data or End frame of an attempt, in any order and any
// number of times.
func (re *Request) Frame(number int, fr *wire.Frame, now time.Time) []Action {
	at := re.live(number)
	if at == nil || fr.Seq < at.next {
		return nil
	}
	if len(at.held) >= maxHeld && fr.Seq != at.next {
		return append(re.cancel(at), re.fail(at, result.AnswerBroken, now)...)
	}
	at.held[fr.Seq] = fr
	var acs []Action
	for {
		fr, ok := at.held[at.next]
		if !ok || re.closed || re.current != at {
			return acs
		}
		delete(at.held, at.next)
		at.next++
		acs = append(acs, re.take(at, fr, now)...)
	}
}

// LinkLost says that the connection of an attempt has broken.
func (re *Request) LinkLost(number int, now time.Time) []Action {
	at := re.live(number)
	if at == nil {
		return nil
	}
	return re.fail(at, result.LinkLost, now)
}

// CallerGone says that the caller went away.
func (re *Request) CallerGone() []Action {
	return re.giveUp(result.Stopped)
}

// CallerTooSlow says that the caller reads too slowly.
func (re *Request) CallerTooSlow() []Action {
	return re.giveUp(result.CallerTooSlow)
}

// Tick leaves an agent that says nothing, where the request may be repeated,
// and gives the request up once its time to start has passed.
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
	at.phase = over
	return append(re.cancel(at), re.settle(result.LinkLost, 0)...)
}

// live returns the attempt if it is the one whose answer counts.
func (re *Request) live(number int) *attempt {
	if re.closed || re.current == nil || re.current.number != number || re.current.phase == over {
		return nil
	}
	return re.current
}

// take handles the frame whose turn it is.
func (re *Request) take(at *attempt, fr *wire.Frame, now time.Time) []Action {
	at.phase = admitted
	switch fr.Kind {
	case wire.Head:
		at.head = fr.Head
		if re.last() {
			re.delivered = true
			return []Action{{do: DeliverHead, what: at.what, head: fr.Head}}
		}
	case wire.Data:
		if re.last() {
			return []Action{{do: Deliver, body: fr.Body}}
		}
		at.body = append(at.body, fr.Body...)
	case wire.End:
		return re.end(at, fr, now)
	}
	return nil
}

func (re *Request) end(at *attempt, fr *wire.Frame, now time.Time) []Action {
	if fr.Code != result.OK {
		return re.fail(at, fr.Code, now)
	}
	if at.head == nil {
		return re.fail(at, result.ServerFailed, now)
	}
	at.phase = over
	at.usage = fr.Usage
	if re.last() {
		return re.close(result.OK, 0)
	}
	if re.Evaluator.Acceptable(at.what, at.head.Status, at.body, at.usage) {
		re.kept = at
		return re.settle(result.OK, 0)
	}
	re.kept = at
	re.step++
	re.tries = 0
	re.tried = nil
	return re.dispatch(result.NoServer, 0, now)
}

// last reports whether the current step is the last; only its answer can be
// delivered while it comes in.
func (re *Request) last() bool { return re.step == len(re.Steps)-1 }

// fail decides what follows an attempt that broke after it was sent.
func (re *Request) fail(at *attempt, co result.Code, now time.Time) []Action {
	at.phase = over
	surely := result.Of(co).Run() == result.DidNotRun
	if !surely {
		re.doubt = co
	}
	safe := re.Repeatable || surely
	if re.delivered {
		return re.close(result.AnswerBroken, 0)
	}
	if !safe {
		return re.settle(co, 0)
	}
	return re.retry(co, result.Of(co).RetryAfter(), now)
}

// retry makes another attempt of the step if that is allowed.
func (re *Request) retry(co result.Code, after time.Duration, now time.Time) []Action {
	if !again(co) || re.tries >= maxAttempts || !now.Before(re.Deadline) || !re.RetryBudget.Take(now) {
		return re.settle(co, after)
	}
	return re.dispatch(co, after, now)
}

// again reports whether another server may give another answer.
func again(co result.Code) bool {
	switch co {
	case result.VersionNotAllowed, result.VersionWithdrawn, result.VersionNoNewWork:
		return false
	}
	return true
}

// dispatch sends the step to a server not tried yet; if there is none, the
// code of the last refusal is final.
func (re *Request) dispatch(co result.Code, after time.Duration, now time.Time) []Action {
	if left := re.Blocklist.Blocked(now); left > 0 {
		return re.settle(result.RequestBlocked, left)
	}
	what := re.Steps[re.step]
	server, ok := re.Picker.Pick(what, re.tried)
	if !ok {
		return re.settle(co, after)
	}
	re.tried = append(re.tried, server)
	re.tries++
	re.number++
	re.current = &attempt{number: re.number, what: what, phase: sent, sentAt: now, next: 1, held: map[uint32]*wire.Frame{}}
	return []Action{{do: Dispatch, attempt: re.number, step: re.step, what: what, server: server}}
}

// settle closes the request, with the answer of an earlier step if there is
// one.
func (re *Request) settle(co result.Code, after time.Duration) []Action {
	if re.doubt != 0 && result.Of(co).Run() == result.DidNotRun {
		co = re.doubt
	}
	if re.kept == nil {
		return re.close(co, after)
	}
	re.delivered = true
	acs := []Action{
		{do: DeliverHead, what: re.kept.what, kept: true, head: re.kept.head},
		{do: Deliver, body: re.kept.body},
	}
	return append(acs, re.close(result.OK, 0)...)
}

func (re *Request) giveUp(co result.Code) []Action {
	if re.closed {
		return nil
	}
	var acs []Action
	if re.current != nil && re.current.phase != over {
		acs = re.cancel(re.current)
	}
	return append(acs, re.close(co, 0)...)
}

func (re *Request) cancel(at *attempt) []Action {
	return []Action{{do: Cancel, attempt: at.number}}
}

func (re *Request) close(co result.Code, after time.Duration) []Action {
	if after == 0 {
		after = result.Of(co).RetryAfter()
	}
	re.closed = true
	return []Action{{do: Close, code: co, retryAfter: after}}
}
