package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// defaultTimeout is how long a caller is served that names no time, where the
// route sets none either.
const defaultTimeout = 30 * time.Second

// expectedTimes is how many times the expected time to a head is taken as usual when attempts are given
// up.
const expectedTimes = 2

// defaultMaxRuns bounds the runs where a route names no bound.
const defaultMaxRuns = 1

// Serve answers one request.
func (ga *Gateway) Serve(ctx context.Context, as *Request, an Responder) {
	ga.inProgress.Add(1)
	defer ga.inProgress.Add(-1)
	ex := &exchange{ga: ga, rq: as, responder: an, attempts: map[int]*attemptState{}}
	if co := ex.admit(as.Received); co != result.OK {
		ex.writeError(co, "", ex.retryAfter(co, 0))
		return
	}
	if stop := ga.stop.Load(); !stop.accepts(ex.route, as.Received) {
		ex.writeError(result.Leaving, "", ex.retryAfter(result.Leaving, stop.retryAfter(as.Received)))
		return
	}
	body, err := as.ReadBody()
	if err != nil {
		ex.writeError(codeOf(err), err.Error(), 0)
		return
	}
	ex.body = body
	ex.fingerprint = poison.PrintOf(poison.Request{
		Team: ex.team(), Method: as.Method, Host: as.Host, Target: as.Target, Body: body,
	})
	ctx, cancel := context.WithTimeout(ctx, clock.Until(ex.request.Deadline))
	defer cancel()
	ex.awaitVerdict(ctx)
	ex.run(ctx)
}

// immediateRetry is the Retry-After of a caller whom another gateway can serve.
const immediateRetry = 50 * time.Millisecond

// retryAfter returns the Retry-After of a refusal: at once if only this gateway can't serve the caller and
// another one reports that it is ready.
func (ex *exchange) retryAfter(co result.Code, after time.Duration) time.Duration {
	switch co {
	case result.StaleConfiguration, result.NoConfiguration, result.Leaving:
		if ex.ga.elsewhere(ex.rq.Received) {
			return immediateRetry
		}
	}
	return after
}

// exchange is one request in progress; one goroutine uses it.
type exchange struct {
	ga        *Gateway
	rq        *Request
	responder Responder

	table *routing.Table
	route *routing.Route
	// keyTeam is the team that holds the caller's key, nil on a public route.
	keyTeam *routing.Team
	service string
	// session groups requests; single is set for one that belongs to none, which
	// draw then places in a roll-out.
	session     string
	sessionless bool
	draw        float64
	body        []byte
	// fingerprint is the same for all copies of the request, known once the body is. trial is set if
	// the request is sent once although it is blocked.
	fingerprint poison.Print
	trial       bool
	request     direct.Request
	// attempts holds what was sent, by number.
	attempts map[int]*attemptState
	// firstVersion is the version of the server that the first attempt was sent to, known once
	// there was one.
	firstVersion string
	// offer is the server chosen last.
	offer pool.Offer
	// choice is what a model was last chosen by, smallest the confidence of the smallest
	// model's answer.
	choice             modelChoice
	smallestConfidence int
	// held is the answer of before an escalation, nil once it is not needed any more.
	held *heldAnswer
	// finalAttempt is the attempt whose answer the caller gets, nil before there is one.
	finalAttempt *attemptState
	// deliveredID is the id of the last event that the caller got.
	deliveredID string
	// headAt is when the headAt came of the answer that the caller gets first.
	headAt time.Time
	// configAge is the configAge of the configuration by which the request was admitted.
	configAge time.Duration
}

// admit checks what can be checked by the head of the request.
func (ex *exchange) admit(now time.Time) result.Code {
	ga := ex.ga
	ex.table = ga.table.Load()
	ex.configAge = ga.configAge(now)
	if ex.table == nil {
		return result.NoConfiguration
	}
	ex.route = ex.table.Route(ex.rq.Host, ex.rq.Path)
	if ex.route == nil {
		return ex.notFound(result.UnknownPath)
	}
	if ex.table.Protected() && !ex.route.Public {
		if !ga.acceptsKeys(now) {
			return result.StaleConfiguration
		}
		te := ex.table.TeamByKey(ex.rq.Key)
		if te == nil {
			return ex.notFound(result.UnknownKey)
		}
		ex.keyTeam = te
	}
	ex.prepareRequest()
	return result.OK
}

// team returns the name of the caller's team, "" on a public route.
func (ex *exchange) team() string {
	if ex.keyTeam == nil {
		return ""
	}
	return ex.keyTeam.Name
}

// notFound returns the code for what the configuration does not hold: with an
// old configuration that says nothing.
func (ex *exchange) notFound(co result.Code) result.Code {
	if ex.configAge > denyAge {
		return result.StaleConfiguration
	}
	return co
}

// prepareRequest fills the request from the route.
func (ex *exchange) prepareRequest() {
	as, ro := ex.rq, ex.route
	ex.service = ro.Pick(rand.Float64())
	ex.draw = rand.Float64()
	ex.session = as.Session
	if ex.session == "" && len(as.Prompt) > 0 {
		ex.session = as.Prompt[len(as.Prompt)-1].ID
	}
	ex.sessionless = ex.session == ""
	limit := ro.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if as.Timeout > 0 {
		limit = min(limit, as.Timeout)
	}
	ex.request = direct.Request{
		Idempotent: ro.Idempotent(), Resumable: ro.Kind == routing.Streaming && ro.Resumable,
		MaxRuns:  max(defaultMaxRuns, ro.Attempts),
		Received: as.Received, Target: as.Received.Add(ro.Target), Deadline: as.Received.Add(limit),
		Picker: ex, Retries: ex, Cascade: ex, Pace: ex, Blocks: ex,
	}
	if as.AnyModel {
		ex.request.Models = ro.Models
	}
}

// Pick chooses a server for an attempt.
func (ex *exchange) Pick(model string, tried []string, now time.Time) (string, bool) {
	ga := ex.ga
	ga.mu.Lock()
	defer ga.mu.Unlock()
	of, ok := ga.pool.Pick(ex.poolRequest(model, tried, now), rand.Uint64(), now)
	if !ok {
		return "", false
	}
	ga.pool.Reserve(of, now)
	ex.offer = of
	return of.Server().ID, true
}

// Wait returns how long it is until a server takes an attempt again, if limits on what servers
// take are all that keeps it from one.
func (ex *exchange) Wait(model string, tried []string, now time.Time) time.Duration {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.pool.Wait(ex.poolRequest(model, tried, now), now)
}

// poolRequest returns what an attempt needs; the lock is held.
func (ex *exchange) poolRequest(model string, tried []string, now time.Time) pool.Ask {
	ask := pool.Ask{
		Service: ex.service, Tried: tried, Prompt: ex.prompt(model), Cold: ex.ga.coldLimit(ex.service), Alone: ex.trial,
		// Only first attempts probe: a request that was rejected would be again.
		Probe: len(ex.attempts) == 0,
	}
	return ex.ga.restrict(ask, ex, now)
}

// Take takes a retry from the service's window.
func (ex *exchange) Take(now time.Time) bool {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.window(ex.service).Take(now)
}

// TakeSpare takes a retry from the service's window for an attempt that the request can do without.
func (ex *exchange) TakeSpare(now time.Time) bool {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	reserve := 0.0
	if ex.ga.pool.Pauses.Any() {
		reserve = retryReserve
	}
	return ex.ga.window(ex.service).TakeSpare(reserve, now)
}

// Blocked returns when it is worth coming back with a request that is not to be sent, zero if
// it may be.
func (ex *exchange) Blocked(now time.Time) time.Duration {
	if ex.trial && ex.request.Runs() == 0 {
		return 0 // also after attempts that reached no server: most have just ended
	}
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.blocks.Return(ex.fingerprint, now)
}

// Usual returns how long the head of a model's answer usually takes, or is expected to
// take from the server just chosen if that is more: what is slow because much is in
// progress there is not lost.
func (ex *exchange) Usual(model string) time.Duration {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	usual := ex.ga.pace.Usual(ex.modelKey(model))
	if model == "" {
		return usual
	}
	return max(usual, expectedTimes*ex.offer.Head())
}

// run carries out the decisions until the request has its answer.
func (ex *exchange) run(ctx context.Context) {
	now := clock.Now()
	ex.ga.mu.Lock()
	ex.ga.window(ex.service).Request(now)
	if len(ex.request.Models) > 0 {
		ex.ga.promptSizes.observe(ex.route.Name, ex.rq.PromptTokens)
		ex.ga.promptSizes.observe(ex.service, ex.rq.PromptTokens)
	}
	ex.ga.mu.Unlock()
	step := ex.request.Begin(now)
	defer ex.dropHeld()
	var at *attemptState
	for {
		switch step.Do() {
		case direct.Refuse:
			ex.writeError(step.Code(), "", step.RetryAfter())
			return
		case direct.Send:
			ex.replace(at, step)
			at = ex.sendAttempt(ctx, step)
			ex.checkHeld(at)
			step = ex.handleOutcome(ctx, at)
		case direct.Deliver:
			if step.Fallback() {
				at = ex.fallBack(at)
			}
			ex.deliver(ctx, at)
			return
		default:
			return
		}
		if ctx.Err() != nil && step.Do() != direct.Deliver {
			ex.callerGone(ctx, at)
			return
		}
	}
}

// callerGone ends a request whose caller went away or whose time is over.
func (ex *exchange) callerGone(ctx context.Context, at *attemptState) {
	if at != nil {
		at.discard()
	}
	if context.Cause(ctx) != context.DeadlineExceeded { //nolint:errorlint // a context's own error
		ex.logOutcome(event.RequestFailed, result.Stopped, "the caller went away")
		return
	}
	if ex.request.Runs() > 0 {
		ex.writeError(result.LinkLost, "the time was over", 0)
		return
	}
	ex.writeError(result.DeadlinePassed, "the time was over", 0)
}

func (ex *exchange) writeError(co result.Code, detail string, after time.Duration) {
	if after == 0 {
		after = result.Of(co).RetryAfter()
	}
	ex.responder.WriteError(co, detail, after)
	id := event.RequestRefused
	if result.Of(co).Run() != result.DidNotRun {
		id = event.RequestFailed
	}
	ex.logOutcome(id, co, detail)
}

// logOutcome logs the final outcome and counts it.
func (ex *exchange) logOutcome(id event.ID, co result.Code, detail string) {
	took := clock.Since(ex.rq.Received)
	kind, route := "none", ""
	if ex.route != nil {
		kind, route = string(ex.route.Kind), ex.route.Name
	}
	countRequest(kind, co, took.Seconds())
	le := ex.ga.Log.Info().Int("event", int(id)).Str("request", ex.rq.ID).Str("route", route).Str("team", ex.team()).
		Str("session", ex.session).Int("code", int(co)).Uint64("version", ex.table.Version()).Dur("age_ms", ex.configAge).Dur("ms", took).
		Int("sends", len(ex.attempts)).Int("runs", ex.request.Runs()).
		Str("print", ex.fingerprint.String())
	if last := ex.lastAttempt(); last != nil {
		le = last.addLogFields(le)
	}
	if len(ex.request.Models) > 0 {
		le = ex.choice.describe(le.Int("prompt", ex.rq.PromptTokens).Dur("target_ms", ex.route.Target))
	}
	le.Str("detail", detail).Msg(event.Name(id))
}

// lastAttempt returns the attempt that a request ended with, nil if there was none.
func (ex *exchange) lastAttempt() *attemptState {
	if ex.finalAttempt != nil {
		return ex.finalAttempt
	}
	return ex.attempts[len(ex.attempts)]
}
