package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// wholeBytes is the longest answer of a plain service that is read whole
// before it is delivered, so that a broken one can be repeated elsewhere.
const wholeBytes = 1 << 20

// sent is one attempt in progress or ended.
type sent struct {
	ex     *exchange
	step   direct.Step
	server directory.Server
	began  time.Time
	// offer is how the server was chosen, prompt what it is to read.
	offer  pool.Selection
	prompt pool.Prompt
	cancel context.CancelFunc
	// answer is nil until the head came.
	answer *Answer
	// body is the whole body of an answer that is not a stream.
	body []byte
	// rest is what follows body of one that is longer than wholeBytes.
	rest io.Reader
	err  error
	// over is set once what the attempt holds was freed.
	over atomic.Bool
	// run is what is remembered of the attempt in case its server ends; nil if it was never
	// sent. left is set if this gateway ended the attempt without an answer.
	run  *poison.Run
	left bool
	// settled is set once by whichever is first: the head of the answer, or the
	// timer that gives the attempt up. silent is set if the latter was because the
	// server said nothing to anybody.
	settled, silent atomic.Bool
	// stalled is set if the stream was left because it was silent.
	stalled atomic.Bool
}

// attemptAnswered is the outcome of an attempt whose whole answer came.
const attemptAnswered = "answered"

// status returns the status of the answer, zero if there is none.
func (se *sent) status() int {
	if se.answer == nil {
		return 0
	}
	return se.answer.Status
}

// open makes an attempt and waits for the head of its answer, for a plain
// service for the whole.
func (ex *exchange) open(ctx context.Context, step direct.Step) *sent {
	ga := ex.ga
	now := clock.Now()
	se := &sent{ex: ex, step: step, began: now}
	ex.attempts[step.Attempt()] = se
	ctx, se.cancel = context.WithCancel(ctx)
	ga.mu.Lock()
	listed := ga.servers.Get(step.Server())
	if listed == nil {
		ga.mu.Unlock()
		se.err = ErrUnsent
		se.over.Store(true)
		return se
	}
	se.server = *listed
	if ex.begun == "" {
		ex.begun = listed.Version
	}
	se.offer, se.prompt = ex.offer, ex.prompt(step.Model())
	ga.pool.Started(se.server.Key(), se.offer.PrefillTime(), now)
	ga.recordAttempt(se.server, ex.route.Name, now)
	se.run = ga.runs.Sent(se.server.Key(), ex.print, ex.as.ID, now)
	ga.waiting[se] = true
	ga.logUnwantedAttempt(se, now)
	ga.mu.Unlock()
	if step.Attempt() > 1 {
		ex.noteAttempt(se)
	}
	patience := time.AfterFunc(step.SoftDeadline().Sub(now), se.impatient)
	se.call(ctx)
	patience.Stop()
	se.left = !se.settled.CompareAndSwap(false, true)
	if se.left && se.err == nil {
		// Given up just as the head came: the call was cancelled already.
		se.err = errGivenUp
	}
	se.headCame(clock.Now())
	return se
}

// errGivenUp means that an answer came just after its attempt was given up.
var errGivenUp = eris.New("attempt was given up")

// impatient gives the attempt up if its server has said nothing since, and
// waits on for a last time if it has: such a server is slow and not dead, and to
// ask another one would be the same work again. It runs on a timer of its own.
func (se *sent) impatient() {
	ga, more := se.ex.ga, se.step.HardDeadline().Sub(se.step.SoftDeadline())
	ga.mu.Lock()
	alive := ga.pool.LastResponse(se.server.Key()).After(se.began)
	ga.mu.Unlock()
	if !alive || more <= 0 {
		se.giveUp(true)
		return
	}
	time.AfterFunc(more, func() { se.giveUp(false) })
}

// giveUp cancels the call if no head has come.
func (se *sent) giveUp(silent bool) {
	if se.settled.CompareAndSwap(false, true) {
		se.silent.Store(silent)
		se.cancel()
	}
}

// headCame notes how long the head of an answer took, or that it was not waited
// for any longer.
func (se *sent) headCame(now time.Time) {
	ga, took := se.ex.ga, now.Sub(se.began)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.pool.PrefillDone(se.server.Key(), se.offer.PrefillTime())
	delete(ga.waiting, se)
	if se.err == nil {
		ga.pool.Responded(se.server.Key(), now)
		ga.runs.Answered(se.run, now)
	}
	if se.err != nil && now.Before(se.step.SoftDeadline()) {
		return
	}
	name := se.ex.modelKey(se.step.Model())
	if !ga.runsTrialVersion(se.server) {
		ga.pace.Observe(name, took)
	}
	if se.err != nil {
		return
	}
	ga.pool.HeadReceived(se.offer, se.prompt, took, now)
	failed := se.answer.Status >= direct.FirstServerError
	ga.observeOutcome(se.server, se.ex.route.Name, failed)
	if !failed && !se.answer.Stream {
		ga.observeDuration(se.server, "whole "+name+se.ex.route.Name, took, slowAnswerFactor, now)
	}
}

func (se *sent) call(ctx context.Context) {
	ex := se.ex
	se.answer, se.err = ex.ga.Backend.Call(ctx, &Attempt{
		Ask: ex.as, Body: ex.body, Server: se.server, Team: ex.team(), Model: se.step.Model(),
		Urgency: ex.urgency(se.step), Left: ex.left(clock.Now()), LastEvent: ex.lastEvent(se.step), Fresh: se.step.FinalRun(),
	})
	ex.ga.applySelfReport(se, clock.Now())
	if se.err != nil || se.answer.Stream {
		return
	}
	se.body, se.err = io.ReadAll(io.LimitReader(se.answer.Body, wholeBytes))
	if se.err == nil && len(se.body) == wholeBytes {
		se.rest = se.answer.Body
	}
}

// mostUrgent is the rank of the smallest model's attempts, whose prompts are read quickly.
const mostUrgent = 0

// readRank is the reading time of a larger model's prompt that lowers an attempt's rank by one.
const readRank = 200 * time.Millisecond

// urgency ranks an attempt at a server of models; plain services take no ranks.
func (ex *exchange) urgency(step direct.Step) int {
	if models := ex.request.Models; len(models) > 0 && step.Model() == models[0] {
		return mostUrgent
	}
	return mostUrgent + 1 + ex.priority() + int(ex.offer.PrefillTime()/readRank)
}

func (ex *exchange) priority() int {
	if te := ex.holder; te != nil && te.Priority != nil {
		return *te.Priority
	}
	return ex.route.Priority
}

// left returns how long a server may work: what is left of the caller's time,
// not the route's, since a server that stops early fails where a gateway would
// still have delivered.
func (ex *exchange) left(now time.Time) time.Duration {
	if ex.as.Patience > 0 {
		return max(time.Millisecond, ex.as.Received.Add(ex.as.Patience).Sub(now))
	}
	return max(time.Millisecond, ex.request.Deadline.Sub(now))
}

func (ex *exchange) lastEvent(step direct.Step) string {
	if step.Resume() && ex.delivered != "" {
		return ex.delivered
	}
	return ex.as.LastEvent
}

// outcome tells the request what became of an attempt until the head of its
// answer.
func (ex *exchange) outcome(ctx context.Context, se *sent) direct.Step {
	now := clock.Now()
	var refusal *Refusal
	switch {
	case errors.As(se.err, &refusal):
		se.unsent("refused")
		if refusal.Gone {
			ex.removeReplacedServer(se)
		}
		return ex.request.Refused(now)
	case errors.Is(se.err, ErrUnreachable):
		se.unsent("unreachable")
		ex.ga.recordServerEnd(se.server, "it takes no connection")
		ex.ga.ejectUnreachable(ctx, se, now)
		return ex.request.Unsent(now)
	case errors.Is(se.err, ErrUnsent):
		se.unsent("unsent")
		ex.ga.recordHealth(ctx, se, false, now)
		return ex.request.Unsent(now)
	case se.err != nil:
		se.end("lost")
		if !se.left {
			ex.ga.connectionLost(ctx, se.server)
		}
		if se.silent.Load() || !se.left {
			ex.ga.recordHealth(ctx, se, false, now)
		}
		return ex.request.Lost(now)
	}
	good := se.answer.Status < direct.FirstServerError
	if !good || !se.answer.Stream {
		ex.ga.recordHealth(ctx, se, good, now)
	}
	return ex.request.Answered(se.answer.Status, se.answer.Confidence, now)
}

// end frees what the attempt holds.
func (se *sent) end(outcome string) {
	se.cancel()
	if !se.over.CompareAndSwap(false, true) {
		return
	}
	if se.answer != nil {
		_ = se.answer.Body.Close()
	}
	se.ex.ga.mu.Lock()
	se.ex.ga.pool.Ended(se.server.Key())
	se.run.Finish(outcome == attemptAnswered, clock.Now())
	se.ex.ga.mu.Unlock()
	countAttempt(se.server.Service, outcome)
}

// unsent ends an attempt that its server never began.
func (se *sent) unsent(outcome string) {
	if se.run != nil {
		se.ex.ga.mu.Lock()
		se.run.MarkUnsent()
		se.ex.ga.mu.Unlock()
	}
	se.end(outcome)
}

// drop ends an attempt whose answer is not wanted any more.
func (se *sent) drop() { se.end("dropped") }

// copyRest gives the caller what follows the part of a long answer that was
// read before.
func (se *sent) copyRest(an Responder) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := se.rest.Read(buf)
		if n > 0 {
			if werr := an.Part(bytes.Clone(buf[:n])); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return result.New(result.AnswerBroken, err.Error())
		}
	}
}
