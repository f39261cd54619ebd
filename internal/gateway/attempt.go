package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/comparison"
	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/hangup"
	"github.com/linnetrudder/linnetrudder/internal/latency"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// maxBufferedBytes is the size up to which the response of a plain service is read completely
// before it is delivered, so that an attempt with a truncated response can be repeated at another
// server. Less is buffered once the responses of all requests have reached their common limit.
const maxBufferedBytes = 1 << 20

// attemptState is an attempt in progress or ended.
type attemptState struct {
	ex     *exchange
	step   direct.Step
	server directory.Server
	began  time.Time
	// selection describes the choice of the server. prompt is the prompt that the server has to read.
	selection pool.Selection
	prompt    pool.Prompt
	// load is the number of attempts in progress on the server before this one. pace is that of the stream.
	load   int
	pace   latency.Pace
	cancel context.CancelFunc
	// response is nil until its head has arrived.
	response *Response
	// body is the body of a response that is not a stream, or as much of it as could be buffered. It is nil for
	// a stream.
	body *buffer.Body
	err  error
	// released is set once the resources of the attempt have been freed.
	released atomic.Bool
	// stateAge is the age of the list of servers from which the server was chosen, stateSource the process
	// that confirmed it.
	stateAge    time.Duration
	stateSource string
	// run is the record that makes the request a suspect if the server crashes. It is nil if the
	// attempt was never sent. abandoned is set if this gateway ended the attempt before the response
	// arrived.
	run       *poison.Run
	abandoned bool
	// headDecided is set once, either when sendAttempt has received the response or by the timer that
	// abandons the attempt. serverSilent is set if the timer did so because the server had sent no
	// response to any attempt since this one began.
	headDecided, serverSilent atomic.Bool
	// stalled is set if the stream was abandoned because no events arrived.
	stalled atomic.Bool
	// outcome is what the attempt ended with, empty while it is in progress.
	outcome attemptOutcome
}

// attemptOutcome is what an attempt ended with. Its values appear in logs and metrics.
type attemptOutcome string

const (
	// attemptAnswered: the complete response arrived.
	attemptAnswered attemptOutcome = "answered"
	// attemptRefused: the server rejected the attempt without executing it.
	attemptRefused attemptOutcome = "refused"
	// attemptUnreachable: the server refused the connection, attemptUnsent: the request was not written.
	attemptUnreachable attemptOutcome = "unreachable"
	attemptUnsent      attemptOutcome = "unsent"
	// attemptLost: the request was written and no usable response arrived.
	attemptLost attemptOutcome = "lost"
	// attemptBroken: the response ended early.
	attemptBroken attemptOutcome = "broken"
	// attemptDropped: the response was not needed any more.
	attemptDropped attemptOutcome = "dropped"
)

// status returns the status of the response, zero if there is none.
func (se *attemptState) status() int {
	if se.response == nil {
		return 0
	}
	return se.response.Status
}

// sendAttempt makes an attempt and waits for the head of the response, or for the complete response
// of a plain service.
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
	se.selection, se.prompt = ex.selection, ex.prompt(step.Model())
	se.load = ga.pool.Attempts(se.server.Key())
	ga.pool.Started(se.server.Key(), se.selection.PrefillTime(), now)
	ga.recordAttempt(se.server, ex.route.Name, now)
	ga.recordChoice(se, now)
	se.run = ga.runs.Sent(se.server.Key(), ex.subject, now)
	ga.awaitingHead[se] = true
	ga.logUnwantedAttempt(se, now)
	ga.mu.Unlock()
	if step.Attempt() > 1 {
		ex.logRetry(se)
	}
	headTimer := time.AfterFunc(step.SoftDeadline().Sub(now), se.onSoftDeadline)
	se.callBackend(ctx)
	headTimer.Stop()
	se.abandoned = !se.headDecided.CompareAndSwap(false, true)
	if se.abandoned && se.err == nil {
		// The attempt was abandoned just as the response arrived, and its call is already cancelled.
		se.err = errAbandoned
	}
	se.recordHead(clock.Now())
	return se
}

// errAbandoned means that the response arrived just after its attempt was abandoned.
var errAbandoned = eris.New("attempt was abandoned before its response arrived")

// onSoftDeadline abandons the attempt if its server has sent no response to any attempt since this
// one began. Otherwise it waits until the hard deadline: such a server is slow rather than dead,
// and an attempt at another one would repeat the work. It runs on a timer.
func (se *attemptState) onSoftDeadline() {
	ga, extra := se.ex.ga, se.step.HardDeadline().Sub(se.step.SoftDeadline())
	ga.mu.Lock()
	alive := ga.pool.LastResponse(se.server.Key()).After(se.began)
	ga.mu.Unlock()
	if !alive || extra <= 0 {
		se.abandon(true)
		return
	}
	time.AfterFunc(extra, func() { se.abandon(false) })
}

// abandon cancels the call if its response has not arrived.
func (se *attemptState) abandon(silent bool) {
	if se.headDecided.CompareAndSwap(false, true) {
		se.serverSilent.Store(silent)
		se.cancel()
	}
}

// recordHead records the time to the response head. An attempt that failed at or after its soft
// deadline counts with the time until then; an earlier failure does not count.
func (se *attemptState) recordHead(now time.Time) {
	ga, took := se.ex.ga, now.Sub(se.began)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.pool.PrefillDone(se.server.Key(), se.selection.PrefillTime())
	delete(ga.awaitingHead, se)
	if se.err == nil {
		ga.pool.Responded(se.server.Key(), now)
		ga.runs.Answered(se.run, now)
	}
	if se.err != nil && now.Before(se.step.SoftDeadline()) {
		return
	}
	name := se.ex.modelKey(se.step.Model())
	if !ga.runsTrialVersion(se.server) {
		ga.headLatencies.Observe(name, took)
	}
	if se.err != nil {
		return
	}
	se.ex.countUsage()
	ga.pool.HeadReceived(se.selection, se.prompt, took, now)
	failed := se.response.Status >= direct.FirstServerError
	ga.observeOutcome(se.server, se.ex.route.Name, failed)
	if !failed && !se.response.Stream {
		ga.observeDuration(se.server, comparison.Work{Kind: "response " + name + se.ex.route.Name, Load: se.load}, took, now)
	}
}

func (se *attemptState) callBackend(ctx context.Context) {
	ex := se.ex
	se.response, se.err = ex.ga.Backend.Call(ctx, &Attempt{
		Request: ex.rq, Body: ex.body, Server: se.server, Team: ex.team(), Model: se.step.Model(),
		QueuePriority: ex.queuePriority(se.step), Timeout: ex.serverTimeout(clock.Now()), Patience: ex.patience(se.step.Model()),
		LastEventID: ex.lastEventID(se.step), NewConnection: se.step.FinalRun(),
		Wanted: func() bool { return !hangup.Departed(ctx) },
	})
	ex.ga.applySelfReport(se, clock.Now())
	se.logUnrelated()
	if se.err == nil && !se.response.Stream {
		se.body, se.err = ex.ga.buffers.Read(se.response.Body, maxBufferedBytes)
	}
	se.logMalformed(se.err)
}

// highestPriority is the queue priority of the smallest model's attempts, whose prompts are read
// quickly.
const highestPriority = 0

// readTimePerRank is the time to read a larger model's prompt that lowers the attempt by one rank.
const readTimePerRank = 200 * time.Millisecond

// queuePriority returns the rank of an attempt in the queue of a model server. Plain services have
// no such queue.
func (ex *exchange) queuePriority(step direct.Step) int {
	if models := ex.request.Models; len(models) > 0 && step.Model() == models[0] {
		return highestPriority
	}
	return highestPriority + 1 + ex.priority() + int(ex.selection.PrefillTime()/readTimePerRank)
}

func (ex *exchange) priority() int {
	if te := ex.keyTeam; te != nil && te.Priority != nil {
		return *te.Priority
	}
	return ex.route.Priority
}

// serverTimeout returns how long a server may work: the remainder of the caller's timeout rather
// than the route's, since a server that stops early would fail a request that the gateway could
// still have served.
func (ex *exchange) serverTimeout(now time.Time) time.Duration {
	if ex.rq.Timeout > 0 {
		return max(time.Millisecond, ex.rq.Received.Add(ex.rq.Timeout).Sub(now))
	}
	return max(time.Millisecond, ex.request.Deadline.Sub(now))
}

const (
	// patienceFactor is the multiple of the usual time to the response head after which a server counts
	// as silent, minPatience the shortest such time.
	patienceFactor = 4
	minPatience    = 150 * time.Millisecond
)

// patience returns the time after which a server without a response counts as silent, zero if the usual
// time is not known.
func (ex *exchange) patience(model string) time.Duration {
	usual := ex.Usual(model)
	if usual == 0 {
		return 0
	}
	return max(minPatience, patienceFactor*usual)
}

func (ex *exchange) lastEventID(step direct.Step) string {
	if id := ex.cursor.ID(); step.Resume() && id != "" {
		return id
	}
	return ex.rq.LastEventID
}

// handleOutcome passes the outcome of an attempt up to the response head to the request, and
// returns the next step.
func (ex *exchange) handleOutcome(ctx context.Context, se *attemptState) direct.Step {
	now := clock.Now()
	var refusal *RefusedError
	switch {
	case errors.As(se.err, &refusal):
		se.endNotSent(attemptRefused)
		ex.rejected = true
		if refusal.Gone {
			ex.removeReplacedServer(se)
		}
		return ex.request.Refused(now)
	case errors.Is(se.err, ErrUnreachable):
		se.endNotSent(attemptUnreachable)
		ex.ga.recordServerCrash(se.server, "it refuses connections")
		ex.ga.ejectUnreachable(ctx, se, now)
		return ex.request.Unsent(now)
	case errors.Is(se.err, ErrNotSent):
		se.endNotSent(attemptUnsent)
		ex.ga.recordHealth(ctx, se, false, now)
		return ex.request.Unsent(now)
	case se.err != nil:
		se.end(attemptLost)
		if !se.abandoned {
			ex.ga.connectionLost(ctx, se.server)
			ex.awaitVerdictBeforeRetry(ctx)
			now = clock.Now()
		}
		if se.serverSilent.Load() || !se.abandoned {
			ex.ga.recordHealth(ctx, se, false, now)
		}
		return ex.request.Lost(now)
	}
	good := se.response.Status < direct.FirstServerError
	if !good || !se.response.Stream {
		ex.ga.recordHealth(ctx, se, good, now)
	}
	return ex.request.Answered(se.response.Status, se.response.Confidence, now)
}

// end frees the resources of the attempt and counts its outcome.
func (se *attemptState) end(outcome attemptOutcome) {
	se.cancel()
	if !se.released.CompareAndSwap(false, true) {
		return
	}
	if se.response != nil {
		_ = se.response.Body.Close()
	}
	if se.body != nil {
		se.body.Release()
	}
	se.ex.ga.mu.Lock()
	se.outcome = outcome
	se.ex.ga.pool.Ended(se.server.Key())
	se.run.Finish(outcome == attemptAnswered, clock.Now())
	se.ex.ga.mu.Unlock()
	countAttempt(se.server.Service, outcome)
}

// endNotSent ends an attempt that its server never started.
func (se *attemptState) endNotSent(outcome attemptOutcome) {
	if se.run != nil {
		se.ex.ga.mu.Lock()
		se.run.MarkUnsent()
		se.ex.ga.mu.Unlock()
	}
	se.end(outcome)
}

// discard ends an attempt whose response is not needed any more.
func (se *attemptState) discard() { se.end(attemptDropped) }

// copyRest sends the caller the remainder of a response whose beginning was buffered.
func (se *attemptState) copyRest(rs Responder) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := se.response.Body.Read(buf)
		if n > 0 {
			if werr := rs.WriteChunk(buf[:n]); werr != nil {
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
