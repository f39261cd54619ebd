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
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/route"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// servicePrefix is where plain services are called.
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
	defer en.enter()()
	as, err := en.read(r, chatSteps)
	if err != nil {
		en.refuse(w, as, err)
		return
	}
	steps, err := en.plan(r, as)
	if err != nil {
		en.refuse(w, as, err)
		return
	}
	en.exchange(w, r, as, steps)
}

func (en *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	defer en.enter()()
	as, err := en.read(r, callSteps)
	if err == nil {
		err = en.claimKey(r.Context(), as)
	}
	if err != nil {
		en.refuse(w, as, err)
		return
	}
	en.exchange(w, r, as, []string{as.service})
}

// enter counts a request in progress until the returned function is called.
func (en *Entry) enter() func() {
	en.mu.Lock()
	en.inProgress++
	en.mu.Unlock()
	return func() {
		en.mu.Lock()
		en.inProgress--
		en.mu.Unlock()
	}
}

// plan chooses the versions of a chat request and makes its claims.
func (en *Entry) plan(r *http.Request, as *ask) ([]string, error) {
	en.findPin(as)
	pl := en.choose(as)
	if pl.Code() != result.OK {
		return nil, result.New(pl.Code(), pl.Reason())
	}
	steps := pl.Steps()
	if as.session != "" && as.pinned == "" {
		// A session has one version, so it starts on the one that would be
		// final and has no cascade.
		won, err := en.pin(r.Context(), as, steps[len(steps)-1])
		if err != nil {
			return nil, err
		}
		as.pinned = won
		pl = en.choose(as)
		if pl.Code() != result.OK {
			return nil, result.New(pl.Code(), pl.Reason())
		}
		steps = pl.Steps()
	}
	as.inSession = as.pinned != ""
	return steps, en.claimKey(r.Context(), as)
}

func (en *Entry) choose(as *ask) choice.Plan {
	en.mu.Lock()
	defer en.mu.Unlock()
	pl := choice.Choose(en.Node.Snapshot(), choice.Request{
		Team: as.team, Kind: as.kind, Model: as.model, Pinned: as.pinned,
		Draw: rand.Float64(), Explore: rand.Float64(),
	}, estimates{Table: en.learnt.table}, &en.board)
	if as.id != "" {
		en.plans.put(as.id, pl)
	}
	return pl
}

// exchange runs the request on the chosen steps.
func (en *Entry) exchange(w http.ResponseWriter, r *http.Request, as *ask, steps []string) {
	en.Node.Record(timeline.Entry{Event: event.RequestReceived, Request: as.id, Team: as.team, Detail: as.kind})
	en.mu.Lock()
	en.budgets.For(as.team).Deposit(time.Now())
	en.mu.Unlock()
	ex := &exchange{
		en: en, w: w, ask: as, streams: map[int]uint64{}, ready: make(chan struct{}, 1),
		route: &route.Request{
			Steps: steps, Repeatable: !as.once, Deadline: as.deadline,
			Picker: pick{en: en}, RetryBudget: pick{en: en, team: as.team}, Evaluator: judge{en: en, as: as},
			Blocklist: block{en: en, print: as.print},
		},
	}
	co := ex.serve(r)
	if result.Of(co).Run() == result.DidNotRun {
		en.releaseKey(as)
	}
	if co != result.OK && ex.started {
		panic(http.ErrAbortHandler)
	}
}

func (en *Entry) refuse(w http.ResponseWriter, as *ask, err error) {
	er := asResult(err)
	metrics.Requests.Add(result.Of(er.Code()).Name(), 1)
	en.Node.Record(timeline.Entry{
		Event: event.RequestRefused, Request: as.id, Team: as.team, Detail: result.Of(er.Code()).Name(),
	})
	w.Header().Set(headerRequest, as.id)
	node.WriteErrorBody(w, node.NewErrorBody(er, as.id, en.blocked(as.print, clock.Now())))
}

// modelList is the answer to /v1/models.
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

// serveModels lists what the team may use.
func (en *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	as, err := en.read(r, chatSteps[:2])
	if err != nil {
		en.refuse(w, as, err)
		return
	}
	sn := en.Node.Snapshot()
	te := sn.Team(as.team)
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

// judge keeps a first answer that came whole, with success, and that its
// engine is confident of. What it decides is learnt.
type judge struct {
	en *Entry
	as *ask
}

// minConfidence is the least confidence of a first answer that is kept.
const minConfidence = 0.5

// Acceptable says whether the answer is kept.
func (ju judge) Acceptable(what string, status int, body []byte, us *wire.Usage) bool {
	kept := status == http.StatusOK && len(body) > 0 && us != nil &&
		(us.Confidence == 0 || us.Confidence >= minConfidence)
	ju.en.tried(ju.as, what, kept)
	return kept
}
