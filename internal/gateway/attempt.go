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

// maxBufferedBytes is the longest answer of a plain service that is read whole
// before it is delivered, so that a broken one can be repeated elsewhere.
const maxBufferedBytes = 1 << 20

// attemptState is one attempt in progress or ended.
type attemptState struct {
	ex     *exchange
	step   direct.Step
	server directory.Server
	began  time.Time
	// offer is how the server was chosen, prompt what it is to read.
	offer  pool.Offer
	prompt pool.Prompt
	cancel context.CancelFunc
	// response is nil until the head came.
	response *Response
	// body is the whole body of an answer that is not a stream.
	body []byte
	// rest is what follows body of one that is longer than wholeBytes.
	rest io.Reader
	err  error
	// released is set once what the attempt holds was freed.
	released atomic.Bool
	// record is what is remembered of the attempt in case its server ends; nil if it was never
	// sent. left is set if this gateway ended the attempt without an answer.
	record    *poison.Run
	abandoned bool
	// headDecided is set once by whichever is first: the head of the answer, or the
	// timer that gives the attempt up. serverSilent is set if the latter was because the
	// server said nothing to anybody.
	headDecided, serverSilent atomic.Bool
	// stalled is set if the stream was left because it was silent.
	stalled atomic.Bool
}

// attemptAnswered is the outcome of an attempt whose whole answer came.
const attemptAnswered = "answered"

// status returns the status of the answer, zero if there is none.
func (se *attemptState) status() int {
	if se.response == nil {
		return 0
	}
	return se.response.Status
}

// sendAttempt makes an attempt and waits for the head of its answer, for a plain
// service for the whole.
func (ex *exchange) sendAttempt(ctx context.Context, step direct.Step) *attemptState {
	ga := ex.ga
	now := clock.Now()
	se := &attemptState{ex: ex, step: step, began: now}
	ex.attempts[step.Attempt()] = se
	ctx, se.cancel = context.WithCancel(ctx)
	ga.mu.Lock()
	listed := ga.servers.Get(step.Server())
	if listed == nil {
		ga.mu.Unlock()
		se.err = ErrNotSent
		se.released.Store(true)
		return se
	}
	se.server = *listed
	if ex.firstVersion == "" {
		ex.firstVersion = listed.Version
	}
	se.offer, se.prompt = ex.offer, ex.prompt(step.Model())
	ga.pool.Started(se.server.Key(), se.offer.Read(), now)
	ga.sentTo(se.server, ex.route.Name, now)
	se.record = ga.runs.Sent(se.server.Key(), ex.fingerprint, ex.rq.ID, now)
	ga.awaitingHead[se] = true
	ga.noteUnwanted(se, now)
	ga.mu.Unlock()
	if step.Attempt() > 1 {
		ex.logRetry(se)
	}
	patience := time.AfterFunc(step.Patience().Sub(now), se.onHeadTimeout)
	se.callBackend(ctx)
	patience.Stop()
	se.abandoned = !se.headDecided.CompareAndSwap(false, true)
	if se.abandoned && se.err == nil {
		// Given up just as the head came: the call was cancelled already.
		se.err = errAbandoned
	}
	se.recordHead(clock.Now())
	return se
}

// errAbandoned means that an answer came just after its attempt was given up.
var errAbandoned = eris.New("attempt was given up")

// onHeadTimeout gives the attempt up if its server has said nothing since, and
// waits on for a last time if it has: such a server is slow and not dead, and to
// ask another one would be the same work again. It runs on a timer of its own.
func (se *attemptState) onHeadTimeout() {
	ga, more := se.ex.ga, se.step.Limit().Sub(se.step.Patience())
	ga.mu.Lock()
	alive := ga.pool.LastResponse(se.server.Key()).After(se.began)
	ga.mu.Unlock()
	if !alive || more <= 0 {
		se.abandon(true)
		return
	}
	time.AfterFunc(more, func() { se.abandon(false) })
}

// abandon cancels the call if no head has come.
func (se *attemptState) abandon(silent bool) {
	if se.headDecided.CompareAndSwap(false, true) {
		se.serverSilent.Store(silent)
		se.cancel()
	}
}

// recordHead notes how long the head of an answer took, or that it was not waited
// for any longer.
func (se *attemptState) recordHead(now time.Time) {
	ga, took := se.ex.ga, now.Sub(se.began)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.pool.Read(se.server.Key(), se.offer.Read())
	delete(ga.awaitingHead, se)
	if se.err == nil {
		ga.pool.Responded(se.server.Key(), now)
		ga.runs.Answered(se.record, now)
	}
	if se.err != nil && now.Before(se.step.Patience()) {
		return
	}
	name := se.ex.modelKey(se.step.Model())
	if !ga.isNew(se.server) {
		ga.pace.Observe(name, took)
	}
	if se.err != nil {
		return
	}
	ga.pool.Took(se.offer, se.prompt, took, now)
	failed := se.response.Status >= direct.ServerFailed
	ga.observe(se.server, se.ex.route.Name, failed)
	if !failed && !se.response.Stream {
		ga.observePace(se.server, "whole "+name+se.ex.route.Name, took, slowWhole, now)
	}
}

func (se *attemptState) callBackend(ctx context.Context) {
	ex := se.ex
	se.response, se.err = ex.ga.Backend.Call(ctx, &Attempt{
		Request: ex.rq, Body: ex.body, Server: se.server, Team: ex.team(), Model: se.step.Model(),
		QueuePriority: ex.queuePriority(se.step), Timeout: ex.serverTimeout(clock.Now()), LastEventID: ex.lastEventID(se.step), NewConnection: se.step.Last(),
	})
	ex.ga.applySelfReport(se, clock.Now())
	if se.err != nil || se.response.Stream {
		return
	}
	se.body, se.err = io.ReadAll(io.LimitReader(se.response.Body, maxBufferedBytes))
	if se.err == nil && len(se.body) == maxBufferedBytes {
		se.rest = se.response.Body
	}
}

// highestPriority is the rank of the smallest model's attempts, whose prompts are read quickly.
const highestPriority = 0

// readTimePerRank is the reading time of a larger model's prompt that lowers an attempt's rank by one.
const readTimePerRank = 200 * time.Millisecond

// queuePriority ranks an attempt at a server of models; plain services take no ranks.
func (ex *exchange) queuePriority(step direct.Step) int {
	if models := ex.request.Models; len(models) > 0 && step.Model() == models[0] {
		return highestPriority
	}
	return highestPriority + 1 + ex.priority() + int(ex.offer.Read()/readTimePerRank)
}

func (ex *exchange) priority() int {
	if te := ex.keyTeam; te != nil && te.Priority != nil {
		return *te.Priority
	}
	return ex.route.Priority
}

// serverTimeout returns how long a server may work: what is serverTimeout of the caller's time,
// not the route's, since a server that stops early fails where a gateway would
// still have delivered.
func (ex *exchange) serverTimeout(now time.Time) time.Duration {
	if ex.rq.Timeout > 0 {
		return max(time.Millisecond, ex.rq.Received.Add(ex.rq.Timeout).Sub(now))
	}
	return max(time.Millisecond, ex.request.Deadline.Sub(now))
}

func (ex *exchange) lastEventID(step direct.Step) string {
	if step.Resume() && ex.deliveredID != "" {
		return ex.deliveredID
	}
	return ex.rq.LastEventID
}

// handleOutcome tells the request what became of an attempt until the head of its
// answer.
func (ex *exchange) handleOutcome(ctx context.Context, se *attemptState) direct.Step {
	now := clock.Now()
	var refusal *RefusedError
	switch {
	case errors.As(se.err, &refusal):
		se.endNotSent("refused")
		if refusal.Gone {
			ex.forgetServer(se)
		}
		return ex.request.Refused(now)
	case errors.Is(se.err, ErrUnreachable):
		se.endNotSent("unreachable")
		ex.ga.serverEnded(se.server, "it takes no connection")
		ex.ga.leaveServer(ctx, se, now)
		return ex.request.Unsent(now)
	case errors.Is(se.err, ErrNotSent):
		se.endNotSent("unsent")
		ex.ga.judge(ctx, se, false, now)
		return ex.request.Unsent(now)
	case se.err != nil:
		se.end("lost")
		if !se.abandoned {
			ex.ga.brokeOff(ctx, se.server)
		}
		if se.serverSilent.Load() || !se.abandoned {
			ex.ga.judge(ctx, se, false, now)
		}
		return ex.request.Lost(now)
	}
	good := se.response.Status < direct.ServerFailed
	if !good || !se.response.Stream {
		ex.ga.judge(ctx, se, good, now)
	}
	return ex.request.Answered(se.response.Status, se.response.Confidence, now)
}

// end frees what the attempt holds.
func (se *attemptState) end(outcome string) {
	se.cancel()
	if !se.released.CompareAndSwap(false, true) {
		return
	}
	if se.response != nil {
		_ = se.response.Body.Close()
	}
	se.ex.ga.mu.Lock()
	se.ex.ga.pool.Ended(se.server.Key())
	se.record.Over(outcome == attemptAnswered, clock.Now())
	se.ex.ga.mu.Unlock()
	countAttempt(se.server.Service, outcome)
}

// endNotSent ends an attempt that its server never began.
func (se *attemptState) endNotSent(outcome string) {
	if se.record != nil {
		se.ex.ga.mu.Lock()
		se.record.Unsent()
		se.ex.ga.mu.Unlock()
	}
	se.end(outcome)
}

// discard ends an attempt whose answer is not wanted any more.
func (se *attemptState) discard() { se.end("dropped") }

// copyRest gives the caller what follows the part of a long answer that was
// read before.
func (se *attemptState) copyRest(an Responder) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := se.rest.Read(buf)
		if n > 0 {
			if werr := an.WriteChunk(bytes.Clone(buf[:n])); werr != nil {
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
