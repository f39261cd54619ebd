package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/linnetrudder/linnetrudder/internal/choice"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/hangup"
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/route"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// servicePrefix is the path prefix of calls to plain services.
const servicePrefix = "/services/"

func (en *Entry) callerRouter() http.Handler {
	ro := mux.NewRouter().UseEncodedPath()
	ro.HandleFunc("/v1/chat/completions", en.serveChat).Methods(http.MethodPost)
	ro.HandleFunc("/v1/models", en.serveModels).Methods(http.MethodGet)
	ro.PathPrefix(servicePrefix).HandlerFunc(en.serveCall)
	ro.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		node.WriteError(w, result.New(result.UnknownPath, r.URL.Path))
	})
	return ro
}

func (en *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	defer en.trackRequest()()
	cr, err := en.readRequest(w, r, chatSteps)
	defer cr.payload.Release()
	if err != nil {
		en.refuse(w, cr, err)
		return
	}
	steps, err := en.plan(r, cr)
	if err != nil {
		en.refuse(w, cr, err)
		return
	}
	en.serveExchange(w, r, cr, steps)
}

func (en *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	defer en.trackRequest()()
	cr, err := en.readRequest(w, r, callSteps)
	defer cr.payload.Release()
	if err == nil {
		err = en.claimKey(r.Context(), cr)
	}
	if err != nil {
		en.refuse(w, cr, err)
		return
	}
	en.serveExchange(w, r, cr, []string{cr.service})
}

// trackRequest counts a request as in progress until the returned function is called.
func (en *Entry) trackRequest() func() {
	en.mu.Lock()
	en.inProgress++
	en.mu.Unlock()
	return func() {
		en.mu.Lock()
		en.inProgress--
		en.mu.Unlock()
	}
}

// plan selects the versions of a chat request and claims its session and idempotency key.
func (en *Entry) plan(r *http.Request, cr *callerRequest) ([]string, error) {
	en.findPin(cr)
	pl := en.choose(cr)
	if pl.Code() != result.OK {
		return nil, result.New(pl.Code(), pl.Reason())
	}
	steps := pl.Steps()
	if cr.session != "" && cr.pinned == "" {
		// A session has a single version and therefore no cascade. It is pinned to the version that
		// the cascade would end with.
		won, err := en.pin(r.Context(), cr, steps[len(steps)-1])
		if err != nil {
			return nil, err
		}
		cr.pinned = won
		pl = en.choose(cr)
		if pl.Code() != result.OK {
			return nil, result.New(pl.Code(), pl.Reason())
		}
		steps = pl.Steps()
	}
	cr.inSession = cr.pinned != ""
	return steps, en.claimKey(r.Context(), cr)
}

func (en *Entry) choose(cr *callerRequest) choice.Plan {
	en.mu.Lock()
	defer en.mu.Unlock()
	pl := choice.Choose(en.Node.Snapshot(), choice.Request{
		Team: cr.team, Kind: cr.kind, Model: cr.model, Pinned: cr.pinned,
		Draw: rand.Float64(), Explore: rand.Float64(),
	}, estimates{Table: en.feedback.ratings}, &en.balancer)
	if cr.id != "" {
		en.plans.put(cr.id, pl)
	}
	return pl
}

// serveExchange runs the request with the selected versions, or the plain service, as steps.
func (en *Entry) serveExchange(w http.ResponseWriter, r *http.Request, cr *callerRequest, steps []string) {
	if hangup.Departed(r.Context()) {
		en.releaseKey(cr)
		en.refuse(w, cr, result.New(result.NotDispatched, "the caller went away"))
		return
	}
	en.Node.Record(timeline.Entry{Event: event.RequestReceived, Request: cr.id, Team: cr.team, Detail: cr.kind})
	en.mu.Lock()
	en.budgets.For(cr.team).Deposit(time.Now())
	en.mu.Unlock()
	ex := &exchange{
		en: en, w: w, request: cr, streams: map[int]uint64{}, wake: make(chan struct{}, 1),
		route: &route.Request{
			Steps: steps, Repeatable: !cr.atMostOnce, Deadline: cr.deadline,
			Picker: attemptPolicy{en: en}, RetryBudget: attemptPolicy{en: en, team: cr.team}, Evaluator: evaluator{en: en, request: cr},
			Blocklist: blocklist{en: en, subject: cr.subject}, Memory: &en.answers,
		},
	}
	defer ex.route.Release()
	co := ex.serve(r)
	if result.Lookup(co).Run() == result.DidNotRun {
		en.releaseKey(cr)
	}
	if co != result.OK && ex.started {
		panic(http.ErrAbortHandler)
	}
}

// refuse responds to a request that is not dispatched to any server.
func (en *Entry) refuse(w http.ResponseWriter, cr *callerRequest, err error) {
	er := asResult(err)
	metrics.Requests.Add(result.Lookup(er.Code()).Name(), 1)
	en.Node.Record(timeline.Entry{
		Event: event.RequestRefused, Request: cr.id, Team: cr.team, Detail: result.Lookup(er.Code()).Name(),
	})
	w.Header().Set(headerRequest, cr.id)
	node.WriteErrorBody(w, node.NewErrorBody(er, cr.id, en.retryAfterBlock(cr.subject, clock.Now())))
}

// modelList is the response body of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the team may use.
func (en *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	cr, err := en.readRequest(w, r, chatSteps[:2])
	if err != nil {
		en.refuse(w, cr, err)
		return
	}
	sn := en.Node.Snapshot()
	te := sn.Team(cr.team)
	var names []string
	for i := range sn.Document().Versions {
		ve := &sn.Document().Versions[i]
		if te.MayUse(ve.ID()) && !slices.Contains(names, ve.Model) {
			names = append(names, ve.Model)
		}
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, na := range names {
		list.Data = append(list.Data, modelItem{ID: na, Object: "model", OwnedBy: "linnetrudder"})
	}
	node.WriteJSON(w, http.StatusOK, list)
}

// evaluator implements route.Evaluator for one request. Its decisions are recorded as feedback for
// the selection of versions.
type evaluator struct {
	en      *Entry
	request *callerRequest
}

// minConfidence is the minimum confidence of the engine at which the answer of a first try is
// accepted.
const minConfidence = 0.5

// Acceptable reports whether the answer of a first try is delivered: it must be complete and
// successful, and its engine must report no confidence or at least minConfidence.
func (ev evaluator) Acceptable(target string, status int, body []byte, us *wire.Usage) bool {
	accepted := status == http.StatusOK && len(body) > 0 && us != nil &&
		(us.Confidence == 0 || us.Confidence >= minConfidence)
	ev.en.recordFirstTry(ev.request, target, accepted)
	return accepted
}
