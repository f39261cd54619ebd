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

// defaultPatience is how long a caller is served that names no time, where the
// route sets none either.
const defaultPatience = 30 * time.Second

// expectedTimes is how many times the expected time to a head is taken as usual when attempts are given
// up.
const expectedTimes = 2

// plainAttempts bounds the runs where a route names no bound.
const plainAttempts = 1

// Serve answers one request.
func (ga *Gateway) Serve(ctx context.Context, as *Ask, an Responder) {
	ga.inProgress.Add(1)
	defer ga.inProgress.Add(-1)
	ex := &exchange{ga: ga, as: as, an: an, attempts: map[int]*sent{}}
	if co := ex.admit(as.Received); co != result.OK {
		ex.refuse(co, "", ex.sooner(co, 0))
		return
	}
	if stop := ga.stop.Load(); !stop.takes(ex.route, as.Received) {
		ex.refuse(result.Leaving, "", ex.sooner(result.Leaving, stop.back(as.Received)))
		return
	}
	body, err := as.ReadBody()
	if err != nil {
		ex.refuse(codeOf(err), err.Error(), 0)
		return
	}
	ex.body = body
	ex.print = poison.FingerprintOf(poison.Request{
		Team: ex.team(), Method: as.Method, Host: as.Host, Target: as.Target, Body: body,
	})
	ctx, cancel := context.WithTimeout(ctx, clock.Until(ex.request.Deadline))
	defer cancel()
	ex.awaitTrial(ctx)
	ex.run(ctx)
}

// atOnce is the Retry-After of a caller whom another gateway can serve.
const atOnce = 50 * time.Millisecond

// sooner returns the Retry-After of a refusal: at once if only this gateway can't serve the caller and
// another one reports that it is ready.
func (ex *exchange) sooner(co result.Code, after time.Duration) time.Duration {
	switch co {
	case result.StaleConfiguration, result.NoConfiguration, result.Leaving:
		if ex.ga.otherGatewayReady(ex.as.Received) {
			return atOnce
		}
	}
	return after
}

// exchange is one request in progress; one goroutine uses it.
type exchange struct {
	ga *Gateway
	as *Ask
	an Responder

	table *routing.Table
	route *routing.Route
	// holder is the team that holds the caller's key, nil on a public route.
	holder  *routing.Team
	service string
	// session groups requests; single is set for one that belongs to none, which
	// draw then places in a roll-out.
	session string
	single  bool
	draw    float64
	body    []byte
	// print is the same for all copies of the request, known once the body is. trial is set if
	// the request is sent once although it is blocked.
	print   poison.Fingerprint
	trial   bool
	request direct.Request
	// attempts holds what was sent, by number.
	attempts map[int]*sent
	// begun is the version of the server that the first attempt was sent to, known once
	// there was one.
	begun string
	// offer is the server chosen last.
	offer pool.Selection
	// choice is what a model was last chosen by, smallest the confidence of the smallest
	// model's answer.
	choice   modelChoice
	smallest int
	// held is the answer of before an escalation, nil once it is not needed any more.
	held *fallbackAnswer
	// final is the attempt whose answer the caller gets, nil before there is one.
	final *sent
	// delivered is the id of the last event that the caller got.
	delivered string
	// head is when the head came of the answer that the caller gets first.
	head time.Time
	// age is the age of the configuration by which the request was admitted.
	age time.Duration
}

// admit checks what can be checked by the head of the request.
func (ex *exchange) admit(now time.Time) result.Code {
	ga := ex.ga
	ex.table = ga.table.Load()
	ex.age = ga.age(now)
	if ex.table == nil {
		return result.NoConfiguration
	}
	ex.route = ex.table.Route(ex.as.Host, ex.as.Path)
	if ex.route == nil {
		return ex.denied(result.UnknownPath)
	}
	if ex.table.RequiresKeys() && !ex.route.Public {
		if !ga.isFresh(now) {
			return result.StaleConfiguration
		}
		te := ex.table.TeamByKey(ex.as.Key)
		if te == nil {
			return ex.denied(result.UnknownKey)
		}
		ex.holder = te
	}
	ex.prepare()
	return result.OK
}

// team returns the name of the caller's team, "" on a public route.
func (ex *exchange) team() string {
	if ex.holder == nil {
		return ""
	}
	return ex.holder.Name
}

// denied returns the code for what the configuration does not hold: with an
// old configuration that says nothing.
func (ex *exchange) denied(co result.Code) result.Code {
	if ex.age > denyAge {
		return result.StaleConfiguration
	}
	return co
}

// prepare fills the request from the route.
func (ex *exchange) prepare() {
	as, ro := ex.as, ex.route
	ex.service = ro.PickService(rand.Float64())
	ex.draw = rand.Float64()
	ex.session = as.Session
	if ex.session == "" && len(as.Prompt) > 0 {
		ex.session = as.Prompt[len(as.Prompt)-1].ID
	}
	ex.single = ex.session == ""
	limit := ro.Timeout
	if limit == 0 {
		limit = defaultPatience
	}
	if as.Patience > 0 {
		limit = min(limit, as.Patience)
	}
	ex.request = direct.Request{
		Idempotent: ro.Idempotent(), Resumable: ro.Kind == routing.Streaming && ro.Resumable,
		MaxRuns:  max(plainAttempts, ro.Attempts),
		Received: as.Received, Target: as.Received.Add(ro.Target), Deadline: as.Received.Add(limit),
		Picker: ex, RetryBudget: ex, Cascade: ex, Latency: ex, Blocklist: ex,
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
	of, ok := ga.pool.Pick(ex.askFor(model, tried, now), rand.Uint64(), now)
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
	return ex.ga.pool.RetryAfter(ex.askFor(model, tried, now), now)
}

// askFor returns what an attempt needs; the lock is held.
func (ex *exchange) askFor(model string, tried []string, now time.Time) pool.Query {
	ask := pool.Query{
		Service: ex.service, Tried: tried, Prompt: ex.prompt(model), ColdLimit: ex.ga.coldLimit(ex.service), PreferIdle: ex.trial,
		// Only first attempts probe: a request that was rejected would be again.
		Probe: len(ex.attempts) == 0,
	}
	return ex.ga.restrictVersion(ask, ex, now)
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
	return ex.ga.window(ex.service).TakeOptional(reserve, now)
}

// Blocked returns when it is worth coming back with a request that is not to be sent, zero if
// it may be.
func (ex *exchange) Blocked(now time.Time) time.Duration {
	if ex.trial && ex.request.Runs() == 0 {
		return 0 // also after attempts that reached no server: most have just ended
	}
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.blocks.RetryAfter(ex.print, now)
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
	return max(usual, expectedTimes*ex.offer.TimeToHead())
}

// run carries out the decisions until the request has its answer.
func (ex *exchange) run(ctx context.Context) {
	now := clock.Now()
	ex.ga.mu.Lock()
	ex.ga.window(ex.service).Request(now)
	if len(ex.request.Models) > 0 {
		ex.ga.prompts.observe(ex.route.Name, ex.as.PromptTokens)
		ex.ga.prompts.observe(ex.service, ex.as.PromptTokens)
	}
	ex.ga.mu.Unlock()
	step := ex.request.Begin(now)
	defer ex.dropFallback()
	var at *sent
	for {
		switch step.Op() {
		case direct.Refuse:
			ex.refuse(step.Code(), "", step.RetryAfter())
			return
		case direct.Send:
			ex.releasePrevious(at, step)
			at = ex.open(ctx, step)
			ex.checkFallback(at)
			step = ex.outcome(ctx, at)
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
			ex.gone(ctx, at)
			return
		}
	}
}

// gone ends a request whose caller went away or whose time is over.
func (ex *exchange) gone(ctx context.Context, at *sent) {
	if at != nil {
		at.drop()
	}
	if context.Cause(ctx) != context.DeadlineExceeded { //nolint:errorlint // a context's own error
		ex.note(event.RequestFailed, result.Stopped, "the caller went away")
		return
	}
	if ex.request.Runs() > 0 {
		ex.refuse(result.LinkLost, "the time was over", 0)
		return
	}
	ex.refuse(result.DeadlinePassed, "the time was over", 0)
}

func (ex *exchange) refuse(co result.Code, detail string, after time.Duration) {
	if after == 0 {
		after = result.Of(co).RetryAfter()
	}
	ex.an.Refuse(co, detail, after)
	id := event.RequestRefused
	if result.Of(co).Run() != result.DidNotRun {
		id = event.RequestFailed
	}
	ex.note(id, co, detail)
}

// note logs the final outcome and counts it.
func (ex *exchange) note(id event.ID, co result.Code, detail string) {
	took := clock.Since(ex.as.Received)
	kind, route := "none", ""
	if ex.route != nil {
		kind, route = string(ex.route.Kind), ex.route.Name
	}
	countRequest(kind, co, took.Seconds())
	le := ex.ga.Log.Info().Int("event", int(id)).Str("request", ex.as.ID).Str("route", route).Str("team", ex.team()).
		Str("session", ex.session).Int("code", int(co)).Uint64("version", ex.table.Version()).Dur("age_ms", ex.age).Dur("ms", took).
		Int("sends", len(ex.attempts)).Int("runs", ex.request.Runs()).
		Str("print", ex.print.String())
	if last := ex.last(); last != nil {
		le = last.describe(le)
	}
	if len(ex.request.Models) > 0 {
		le = ex.choice.addLogFields(le.Int("prompt", ex.as.PromptTokens).Dur("target_ms", ex.route.Target))
	}
	le.Str("detail", detail).Msg(event.Name(id))
}

// last returns the attempt that a request ended with, nil if there was none.
func (ex *exchange) last() *sent {
	if ex.final != nil {
		return ex.final
	}
	return ex.attempts[len(ex.attempts)]
}
