package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/cascade"
	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// defaultPatience is how long a caller is served that names no time, where the
// route sets none either.
const defaultPatience = 30 * time.Second

// plainAttempts bounds the runs where a route names no bound.
const plainAttempts = 1

// Serve answers one request.
func (ga *Gateway) Serve(ctx context.Context, as *Ask, an Responder) {
	ga.inProgress.Add(1)
	defer ga.inProgress.Add(-1)
	ex := &exchange{ga: ga, as: as, an: an, attempts: map[int]*sent{}}
	if co := ex.admit(as.Received); co != result.OK {
		ex.refuse(co, "", 0)
		return
	}
	body, err := as.ReadBody()
	if err != nil {
		ex.refuse(codeOf(err), err.Error(), 0)
		return
	}
	ex.body = body
	ctx, cancel := context.WithDeadline(ctx, ex.request.Deadline)
	defer cancel()
	ex.run(ctx)
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
	request direct.Request
	// attempts holds what was sent, by number.
	attempts map[int]*sent
	// delivered is the id of the last event that the caller got.
	delivered string
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
	if ex.table.Protected() && !ex.route.Public {
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
	ex.service = ro.Pick(rand.Float64())
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
		Picker: ex, Retries: ex, Cascade: ex, Pace: ex,
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
	ask := ga.restrict(pool.Ask{Service: ex.service, Tried: tried}, ex)
	if id, tokens := ex.as.shared(); id != "" {
		ask.Affinity = id + "\x00" + model
		ask.Held = float64(tokens) * ex.factor(model)
		ask.Work = ex.work(model)
		ask.Tier = ex.tier(model)
	}
	se, ok := ga.pool.Pick(ask, rand.Uint64(), now)
	if !ok {
		return "", false
	}
	return se.ID, true
}

// tier returns the tier of a model that the system chose.
func (ex *exchange) tier(model string) pool.Tier {
	switch models := ex.request.Models; {
	case len(models) < 2:
		return pool.AnyTier
	case model == models[0]:
		return pool.Small
	default:
		return pool.Large
	}
}

// factor returns how much more work a token of a model is than one of the
// smallest, by what the models cost.
func (ex *exchange) factor(model string) float64 {
	sv := ex.table.Service(ex.service)
	if sv == nil || len(ex.route.Models) == 0 {
		return 1
	}
	least, cost := sv.Costs[ex.route.Models[0]], sv.Costs[model]
	if least <= 0 || cost <= 0 {
		return 1
	}
	return cost / least
}

// work returns how much work the prompt is for a model, if a server holds what
// other requests share of it.
func (ex *exchange) work(model string) float64 {
	_, shared := ex.as.shared()
	return float64(max(0, ex.as.PromptTokens-shared)) * ex.factor(model)
}

// Take takes a retry from the service's window.
func (ex *exchange) Take(now time.Time) bool {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.window(ex.service).Take(now)
}

// First returns the model to ask first. A caller that resumes a stream may have
// a part of it from the largest model.
func (ex *exchange) First(time.Time) int {
	if ex.as.LastEvent != "" {
		return len(ex.request.Models) - 1
	}
	return ex.cascade().First()
}

// Next returns the model to ask instead of keeping an answer.
func (ex *exchange) Next(place, confidence int, _ time.Time) (int, bool) {
	return ex.cascade().Next(place, confidence)
}

// cascade returns what the choice of a model depends on.
func (ex *exchange) cascade() cascade.State {
	models := ex.request.Models
	st := cascade.State{Models: len(models), Priority: ex.priority()}
	if soonest := ex.table.Soonest(ex.service); soonest > 0 {
		heads := ex.Usual(models[0]) + ex.Usual(models[len(models)-1])
		st.Pressure = heads.Seconds() / soonest.Seconds()
	}
	return st
}

// Usual returns how long the head of a model's answer usually takes.
func (ex *exchange) Usual(model string) time.Duration {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	return ex.ga.pace.Usual(ex.service + "\x00" + model)
}

// run carries out the decisions until the request has its answer.
func (ex *exchange) run(ctx context.Context) {
	now := time.Now()
	ex.ga.mu.Lock()
	ex.ga.window(ex.service).Request(now)
	ex.ga.mu.Unlock()
	step := ex.request.Begin(now)
	var at *sent
	for {
		switch step.Do() {
		case direct.Refuse:
			ex.refuse(step.Code(), "", step.RetryAfter())
			return
		case direct.Send:
			if at != nil {
				at.drop()
			}
			at = ex.open(ctx, step)
			step = ex.outcome(ctx, at)
		case direct.Deliver:
			ex.deliver(ctx, at)
			return
		default:
			return
		}
		if ctx.Err() != nil && step.Do() != direct.Deliver {
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
	took := time.Since(ex.as.Received)
	kind, route := "none", ""
	if ex.route != nil {
		kind, route = string(ex.route.Kind), ex.route.Name
	}
	countRequest(kind, co, took.Seconds())
	le := ex.ga.Log.Info().Int("event", int(id)).Str("request", ex.as.ID).Str("route", route).Str("team", ex.team()).
		Str("session", ex.session).Int("code", int(co)).Uint64("version", ex.table.Version()).Dur("age_ms", ex.age).Dur("ms", took).
		Int("sends", len(ex.attempts)).Int("runs", ex.request.Runs())
	if last := ex.attempts[len(ex.attempts)]; last != nil {
		le = le.Str("server", last.server.ID).Str("model", last.step.Model()).Int("status", last.status())
	}
	le.Str("detail", detail).Msg(event.Name(id))
}
