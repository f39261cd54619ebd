package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/sse"
)

// defaultTimeout is the timeout of a request if neither the caller nor the route names one.
const defaultTimeout = 30 * time.Second

// expectedHeadFactor is the multiple of the expected time to the response head up to which an
// attempt counts as normal and is not abandoned.
const expectedHeadFactor = 2

// defaultMaxRuns is the maximum number of runs if the route names none.
const defaultMaxRuns = 1

// Serve serves one request: it admits or rejects it by its head, reads its body, and executes its
// attempts until the caller has the response.
func (ga *Gateway) Serve(ctx context.Context, rq *Request, rs Responder) {
	ga.inProgress.Add(1)
	defer ga.inProgress.Add(-1)
	ga.recordArrival(rq.Received)
	ex := &exchange{ga: ga, rq: rq, responder: rs, attempts: map[int]*attemptState{}}
	if co := ex.admit(rq.Received); co != result.OK {
		ex.writeError(co, "", ex.retryAfter(co, 0))
		return
	}
	if stop := ga.stop.Load(); stop != nil && !stop.accepts(ex.admission(), rq.Received) {
		ex.writeError(result.Leaving, "", ex.retryAfter(result.Leaving, stop.retryAfter(rq.Received)))
		return
	}
	body, err := rq.ReadBody(ex.request.Deadline)
	if err != nil {
		ex.writeError(codeOf(err), err.Error(), 0)
		return
	}
	ex.body = body
	defer ex.releaseBody()
	ex.subject.Fingerprint = poison.FingerprintOf(poison.Request{
		Team: ex.team(), Method: rq.Method, Host: rq.Host, Target: rq.Target, Body: body,
	})
	ctx, cancel := context.WithTimeout(ctx, clock.Until(ex.request.Deadline))
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	ex.exempt = context.AfterFunc(ga.ending, func() { end(errEnding) })
	defer ex.exempt()
	ex.awaitVerdict(ctx, rq.Received.Add(time.Duration(holdFraction*float64(ex.route.Target))))
	ex.awaitTrial(ctx)
	ex.run(ctx)
}

// admission returns what the decision on the request during a planned stop depends on.
func (ex *exchange) admission() admission {
	ga := ex.ga
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return admission{
		stream: ex.route.Kind == routing.Streaming, resumable: ex.request.Resumable, deadline: ex.request.Deadline,
		usual: ga.durations.Usual(ex.route.Name), otherReady: ga.otherReady(ex.rq.Received),
	}
}

// releaseBody returns the memory of the body.
func (ex *exchange) releaseBody() {
	ex.body.Release()
	ex.body = nil
}

// immediateRetry is the Retry-After for a caller that another gateway can serve.
const immediateRetry = 50 * time.Millisecond

// retryAfter returns the Retry-After for an error. It is immediateRetry if the error concerns only
// this gateway and another one reports that it is ready.
func (ex *exchange) retryAfter(co result.Code, after time.Duration) time.Duration {
	switch co {
	case result.StaleConfiguration, result.NoConfiguration, result.Leaving:
		if ex.ga.otherGatewayReady(ex.rq.Received) {
			return immediateRetry
		}
	}
	return after
}

// exchange is a request in progress. It is used by one goroutine.
type exchange struct {
	ga        *Gateway
	rq        *Request
	responder Responder

	table *routing.Table
	route *routing.Route
	// keyTeam is the team that the caller's key belongs to, nil on a public route.
	keyTeam *routing.Team
	service string
	// session is the key of the group of requests that are served by one version during a roll-out.
	// sessionless is set if the request belongs to no group. Then draw, a random number, decides
	// whether the new version serves it.
	session     string
	sessionless bool
	draw        float64
	// body is the body, nil once no further attempt needs it.
	body *buffer.Segments
	// subject is the request as the detection of crashes sees it. Its fingerprint is known once the body
	// has been read. trial is set if the request is sent once although it is blocked.
	subject poison.Subject
	trial   bool
	// hold is what was last decided about the request's suspected parts.
	hold    poison.Hold
	request direct.Request
	// attempts holds the attempts by number.
	attempts map[int]*attemptState
	// firstVersion is the version of the server that received the first attempt, empty before that.
	firstVersion string
	// selection is the most recent choice of a server.
	selection pool.Selection
	// choice describes the last choice of a model. smallestConfidence is the confidence of the smallest
	// model's response.
	choice             modelChoice
	smallestConfidence int
	// fallback is the response before an escalation, nil once it is not needed any more.
	fallback *fallbackResponse
	// finalAttempt is the attempt whose response the caller receives, nil before there is one.
	finalAttempt *attemptState
	// exempt stops the end of the process from cancelling the request.
	exempt func() bool
	// cursor is the position up to which the caller has the stream.
	cursor sse.Cursor
	// rejected is set once a server has rejected an attempt.
	rejected bool
	// usageCounted is set once the request was counted for the usage report.
	usageCounted bool
	// headAt is when the head of the first delivered response arrived.
	headAt time.Time
	// configAge is the age of the configuration when the request was admitted, configSource what
	// confirmed it.
	configAge    time.Duration
	configSource string
}

// admit checks what can be checked from the head of the request, before its body is read.
func (ex *exchange) admit(now time.Time) result.Code {
	ga := ex.ga
	ex.table = ga.table.Load()
	ex.configAge, ex.configSource = ga.configAge(now)
	if ex.table == nil {
		return result.NoConfiguration
	}
	ex.route = ex.table.Route(ex.rq.Host, ex.rq.Path)
	if ex.route == nil {
		return ex.notFound(result.UnknownPath)
	}
	if ex.table.RequiresKeys() && !ex.route.Public {
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

// team returns the name of the caller's team, empty on a public route.
func (ex *exchange) team() string {
	if ex.keyTeam == nil {
		return ""
	}
	return ex.keyTeam.Name
}

// notFound returns the code for a route or key that the configuration does not have. With an old
// configuration the code is StaleConfiguration, since the route or key may have been added since.
func (ex *exchange) notFound(co result.Code) result.Code {
	if ex.configAge > ex.ga.denyAge() {
		return result.StaleConfiguration
	}
	return co
}

// prepareRequest fills in the request from its route.
func (ex *exchange) prepareRequest() {
	rq, ro := ex.rq, ex.route
	ex.service = ro.PickService(rand.Float64())
	ex.draw = rand.Float64()
	ex.session = rq.Session
	if ex.session == "" && len(rq.Prompt) > 0 {
		ex.session = rq.Prompt[len(rq.Prompt)-1].ID
	}
	ex.sessionless = ex.session == ""
	ex.subject = poison.Subject{RequestID: rq.ID, Team: ex.team(), Service: ex.service, Parts: poison.SharedParts(rq.partIDs())}
	limit := ro.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if rq.Timeout > 0 {
		limit = min(limit, rq.Timeout)
	}
	ex.request = direct.Request{
		Idempotent: ro.Idempotent(), Resumable: ro.Kind == routing.Streaming && ro.Resumable,
		MaxRuns:  max(defaultMaxRuns, ro.Attempts),
		Received: rq.Received, Target: rq.Received.Add(ro.Target), Deadline: rq.Received.Add(limit),
		Picker: ex, RetryBudget: ex, Cascade: ex, Latency: ex, Blocklist: ex,
	}
	if ex.request.Resumable {
		ex.cursor = sse.NewCursor(rq.LastEventID)
	}
	if rq.AnyModel {
		ex.request.Models = ro.Models
	}
}

// Pick chooses a server for an attempt and reserves it.
func (ex *exchange) Pick(model string, tried []string, now time.Time) (string, bool) {
	ga := ex.ga
	ga.mu.Lock()
	defer ga.mu.Unlock()
	sel, ok := ga.pool.Pick(ex.poolQuery(model, tried, now), rand.Uint64(), now)
	if !ok {
		return "", false
	}
	ga.pool.Reserve(sel, now)
	ex.selection = sel
	return sel.Server().ID, true
}

// Wait returns the time until a server accepts an attempt again if the limits of servers are the only
// reason why none does now.
func (ex *exchange) Wait(model string, tried []string, now time.Time) time.Duration {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.pool.RetryAfter(ex.poolQuery(model, tried, now), now)
}

// poolQuery returns what the server for an attempt must fulfil. The lock is held.
func (ex *exchange) poolQuery(model string, tried []string, now time.Time) pool.Query {
	query := pool.Query{
		Service: ex.service, Tried: tried, Prompt: ex.prompt(model), ColdLimit: ex.ga.coldLimit(ex.service), PreferIdle: ex.trial,
		// Only a first attempt may probe a server that rejected earlier ones. A request that was
		// rejected once would be rejected again.
		Probe: len(ex.attempts) == 0, Rejected: ex.rejected,
	}
	return ex.ga.restrictVersion(query, ex, now)
}

// Take consumes a retry of the service's window if there is one.
func (ex *exchange) Take(now time.Time) bool {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.window(ex.service).Take(now)
}

// TakeSpare is Take for an optional attempt. It leaves retryReserve retries while a server has
// asked for a pause.
func (ex *exchange) TakeSpare(now time.Time) bool {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	reserve := 0.0
	if ex.ga.pool.Pauses.Any() {
		reserve = retryReserve
	}
	return ex.ga.window(ex.service).TakeOptional(reserve, now)
}

// Blocked returns the time after which the caller should retry a request that must not be sent,
// zero if it may be sent.
func (ex *exchange) Blocked(now time.Time) time.Duration {
	if ex.trial && ex.request.Runs() == 0 {
		return 0 // also after attempts that reached no server, since most servers have just crashed
	}
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	if left := ex.ga.blocks.RetryAfter(ex.ga.blocks.Find(ex.subject, now), now); left > 0 {
		return left
	}
	if ex.hold == poison.HoldUntilDecided {
		return undecidedRetryAfter
	}
	return 0
}

// Usual returns the usual time to the head of a model's response, or a multiple of the time
// expected from the chosen server if that is longer: an attempt that is slow because the server is
// busy must not count as lost.
func (ex *exchange) Usual(model string) time.Duration {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	usual := ex.ga.headLatencies.Usual(ex.modelKey(model))
	if model == "" {
		return usual
	}
	return max(usual, expectedHeadFactor*ex.selection.TimeToHead())
}

// run executes the request's steps until it has its outcome.
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
	defer ex.dropFallback()
	var at *attemptState
	for {
		switch step.Op() {
		case direct.Refuse:
			ex.writeError(step.Code(), "", step.RetryAfter())
			return
		case direct.Send:
			ex.releasePrevious(at, step)
			at = ex.sendAttempt(ctx, step)
			ex.checkFallback(at)
			step = ex.handleOutcome(ctx, at)
		case direct.Deliver:
			if step.Fallback() {
				at = ex.useFallback(at)
			}
			ex.deliver(ctx, at)
			return
		default:
			return
		}
		if ctx.Err() != nil && step.Op() != direct.Deliver {
			ex.callerGone(ctx, at)
			return
		}
	}
}

// callerGone ends a request whose caller disconnected, whose deadline has passed or that the end of the process cancelled.
func (ex *exchange) callerGone(ctx context.Context, at *attemptState) {
	if at != nil {
		at.discard()
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errEnding) {
		ex.endUnanswered()
		return
	}
	if cause != context.DeadlineExceeded { //nolint:errorlint // a context's own error
		detail := "the caller went away"
		if ex.request.Runs() == 0 {
			departedUnsent.Inc()
			detail = "the caller went away before the request was sent"
		}
		ex.logOutcome(event.RequestFailed, result.Stopped, detail)
		return
	}
	if ex.request.Runs() > 0 {
		ex.writeError(result.LinkLost, "the time was over", 0)
		return
	}
	ex.writeError(result.DeadlinePassed, "the time was over", 0)
}

// endUnanswered ends a request without an answer because the process ends.
func (ex *exchange) endUnanswered() {
	requestsEnded.Inc()
	if ex.request.Runs() > 0 {
		ex.writeError(result.LinkLost, errEnding.Error(), 0)
		return
	}
	ex.writeError(result.Leaving, errEnding.Error(), ex.retryAfter(result.Leaving, ex.ga.stop.Load().retryAfter(clock.Now())))
}

func (ex *exchange) writeError(co result.Code, detail string, after time.Duration) {
	if after == 0 {
		after = result.Lookup(co).RetryAfter()
	}
	ex.responder.WriteError(co, detail, after)
	id := event.RequestRefused
	if result.Lookup(co).Run() != result.DidNotRun {
		id = event.RequestFailed
	}
	ex.logOutcome(id, co, detail)
}

// logOutcome logs and counts the final outcome.
func (ex *exchange) logOutcome(id event.ID, co result.Code, detail string) {
	took := clock.Since(ex.rq.Received)
	kind, route := "none", ""
	if ex.route != nil {
		kind, route = string(ex.route.Kind), ex.route.Name
	}
	countRequest(kind, co, took.Seconds())
	le := ex.ga.Log.Info().Int("event", int(id)).Str("request", ex.rq.ID).Str("route", route).Str("team", ex.team()).
		Str("session", ex.session).Int("code", int(co)).Uint64("version", ex.table.Version()).Dur("age_ms", ex.configAge).
		Str("source", ex.configSource).Dur("ms", took).
		Int("sends", len(ex.attempts)).Int("runs", ex.request.Runs()).
		Str("print", ex.subject.Fingerprint.String())
	if len(ex.subject.Parts) > 0 {
		le = le.Strs("parts", ex.subject.Parts)
	}
	if last := ex.lastAttempt(); last != nil {
		le = last.addLogFields(le)
	}
	if len(ex.request.Models) > 0 {
		le = ex.choice.addLogFields(le.Int("prompt", ex.rq.PromptTokens).Dur("target_ms", ex.route.Target))
	}
	le.Str("detail", detail).Msg(event.Name(id))
}

// lastAttempt returns the attempt that the request ended with, nil if there was none.
func (ex *exchange) lastAttempt() *attemptState {
	if ex.finalAttempt != nil {
		return ex.finalAttempt
	}
	return ex.attempts[len(ex.attempts)]
}
