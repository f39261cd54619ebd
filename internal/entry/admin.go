package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/change"
	"github.com/linnetrudder/linnetrudder/internal/choice"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// The request headers of the administration API.
const (
	headerOperation = "Linnetrudder-Operation"
	headerOperator  = "Linnetrudder-Operator"
)

func (en *Entry) adminRouter() *mux.Router {
	ro := en.Node.AdminRouter()
	add := func(method, path string, ha http.HandlerFunc) {
		ro.Handle(path, en.Node.RequireOperator(ha)).Methods(method)
	}
	add(http.MethodGet, "/v1/config", en.getConfig)
	add(http.MethodPut, "/v1/config", en.putConfig)
	add(http.MethodGet, "/v1/config/history", en.getHistory)
	add(http.MethodGet, "/v1/config/history/{revision}", en.getRevision)
	add(http.MethodPost, "/v1/versions/{model}/{version}", en.postVersion)
	add(http.MethodPost, "/v1/evacuations/{data_centre}", en.postEvacuation)
	add(http.MethodDelete, "/v1/evacuations/{data_centre}", en.deleteEvacuation)
	add(http.MethodGet, "/v1/bill", en.getBill)
	add(http.MethodGet, "/v1/boxes", en.getBoxes)
	add(http.MethodPost, "/v1/explain", en.postExplain)
	add(http.MethodPost, "/v1/ratings", en.postRatings)
	return ro
}

// getConfig returns the configuration revision in force in this process.
func (en *Entry) getConfig(w http.ResponseWriter, _ *http.Request) {
	sn := en.Node.Snapshot()
	if sn == nil {
		node.WriteError(w, result.New(result.NoConfiguration, ""))
		return
	}
	node.WriteJSON(w, http.StatusOK, config.Envelope{Revision: sn.Revision(), Document: sn.Document()})
}

// putConfig replaces the whole configuration document. With the query parameter base=REVISION it
// fails if another change was made since that revision; with dry_run=true it only validates the
// change.
func (en *Entry) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxBytes))
	if err != nil {
		node.WriteError(w, result.New(result.ConfigTooLarge, err.Error()))
		return
	}
	doc, err := config.Decode(body)
	if err != nil {
		node.WriteError(w, err)
		return
	}
	re := newChangeRequest(r, "apply")
	re.Edit = func(*config.Document) (*config.Document, error) { return doc, nil }
	if text := r.URL.Query().Get("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			node.WriteError(w, result.New(result.BadRequest, "base: "+text))
			return
		}
		re.Base = &base
	}
	if r.URL.Query().Get("dry_run") == "true" {
		en.dryRun(w, r, re)
		return
	}
	en.apply(w, r, re)
}

func (en *Entry) dryRun(w http.ResponseWriter, r *http.Request, re change.Request) {
	pair, err := en.Store.Get(r.Context(), config.StoreKey)
	if err != nil {
		node.WriteError(w, err)
		return
	}
	current, err := config.DecodeEnvelope(pair.Value)
	if err != nil {
		node.WriteError(w, err)
		return
	}
	next, err := change.Prepare(current, re, time.Now())
	if err != nil {
		node.WriteError(w, err)
		return
	}
	node.WriteJSON(w, http.StatusOK, next)
}

// versionForm is the body of a request to change one version. Fields that are nil remain
// unchanged. The type name appears in the texts of decoding errors that clients receive.
type versionForm struct {
	State *config.State `json:"state"`
	Share *float64      `json:"share"`
}

// postVersion changes the state or share of one version. The rest of the document is preserved,
// including concurrent changes of other operators.
func (en *Entry) postVersion(w http.ResponseWriter, r *http.Request) {
	var form versionForm
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, config.MaxBytes)).Decode(&form); err != nil {
		node.WriteError(w, result.New(result.BadRequest, err.Error()))
		return
	}
	id := mux.Vars(r)["model"] + "@" + mux.Vars(r)["version"]
	re := newChangeRequest(r, "version "+id)
	re.Edit = func(doc *config.Document) (*config.Document, error) { return editVersion(doc, id, form) }
	en.apply(w, r, re)
}

func editVersion(doc *config.Document, id string, form versionForm) (*config.Document, error) {
	if doc == nil {
		return nil, result.New(result.NoConfiguration, "")
	}
	for i := range doc.Versions {
		ve := &doc.Versions[i]
		if ve.ID() != id {
			continue
		}
		if form.State != nil {
			ve.State = *form.State
		}
		if form.Share != nil {
			ve.Share = *form.Share
		}
		return doc, nil
	}
	return nil, result.New(result.BadReference, "version: "+id)
}

func newChangeRequest(r *http.Request, summary string) change.Request {
	re := change.Request{
		Operation: r.Header.Get(headerOperation),
		Operator:  r.Header.Get(headerOperator),
		Summary:   summary,
	}
	if re.Operation == "" {
		re.Operation = uuid.NewString()
	}
	return re
}

// apply applies a change to the stored configuration and installs the result in this process
// without waiting for the watch to deliver it.
func (en *Entry) apply(w http.ResponseWriter, r *http.Request, re change.Request) {
	ch := change.Writer{Store: en.Store, Backoff: change.DefaultBackoff}
	ev, err := ch.Apply(r.Context(), re, time.Now())
	if err != nil {
		if asResult(err).Code() == result.Conflict {
			en.Node.Record(timeline.Entry{Event: event.ConfigConflict, Detail: err.Error()})
		}
		node.WriteError(w, err)
		return
	}
	// After a lost response, others may have made further changes before this one is found.
	own, _ := ev.Find(re.Operation)
	en.Node.Record(timeline.Entry{Event: event.ConfigAccepted, Revision: own.Revision, Detail: re.Operator + ": " + re.Summary})
	en.Node.Install(config.Compile(ev.Revision, ev.Document))
	node.WriteJSON(w, http.StatusOK, own)
}

func (en *Entry) getHistory(w http.ResponseWriter, r *http.Request) {
	pair, err := en.Store.Get(r.Context(), config.StoreKey)
	if err != nil {
		node.WriteError(w, err)
		return
	}
	ev, err := config.DecodeEnvelope(pair.Value)
	if err != nil {
		node.WriteError(w, err)
		return
	}
	node.WriteJSON(w, http.StatusOK, ev.Changes)
}

func (en *Entry) getRevision(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(mux.Vars(r)["revision"], 10, 64)
	if err != nil {
		node.WriteError(w, result.New(result.BadRequest, "revision"))
		return
	}
	for _, key := range []string{config.StoreKey, change.HistoryKey(revision)} {
		pair, err := en.Store.Get(r.Context(), key)
		if err != nil {
			node.WriteError(w, err)
			return
		}
		ev, err := config.DecodeEnvelope(pair.Value)
		if err == nil && ev.Revision == revision && ev.Document != nil {
			node.WriteJSON(w, http.StatusOK, ev)
			return
		}
	}
	node.WriteError(w, result.New(result.BadReference, "revision "+mux.Vars(r)["revision"]+" is not kept"))
}

// getBill returns all bill lines that are durable.
func (en *Entry) getBill(w http.ResponseWriter, r *http.Request) {
	pairs, err := en.Store.List(r.Context(), bill.Prefix)
	if err != nil {
		node.WriteError(w, err)
		return
	}
	lines, err := bill.DecodeAll(pairs)
	if err != nil {
		node.WriteError(w, err)
		return
	}
	node.WriteJSON(w, http.StatusOK, lines)
}

// getBoxes returns the platform's current list of boxes.
func (en *Entry) getBoxes(w http.ResponseWriter, r *http.Request) {
	list, err := en.Boxes.List(r.Context())
	if err != nil {
		node.WriteError(w, err)
		return
	}
	node.WriteJSON(w, http.StatusOK, list)
}

// explainForm identifies a past request by id, or describes a hypothetical one. The type name appears
// in the texts of decoding errors that clients receive.
type explainForm struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Session string `json:"session"`
}

// Explanation describes the versions that are selected for a request and the reason.
type Explanation struct {
	Steps      []string        `json:"steps"`
	Reason     string          `json:"reason"`
	Code       result.Code     `json:"code"`
	Candidates []CandidateView `json:"candidates"`
}

// CandidateView is one version that was considered for a request.
type CandidateView struct {
	Version    string      `json:"version"`
	Code       result.Code `json:"code"`
	Mean       float64     `json:"mean"`
	LowerBound float64     `json:"lower"`
	Cost       float64     `json:"cost"`
}

func (en *Entry) postExplain(w http.ResponseWriter, r *http.Request) {
	var form explainForm
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, config.MaxBytes)).Decode(&form); err != nil {
		node.WriteError(w, result.New(result.BadRequest, err.Error()))
		return
	}
	if en.Node.Snapshot() == nil {
		node.WriteError(w, result.New(result.NoConfiguration, ""))
		return
	}
	if form.Request != "" {
		en.explainRecorded(w, form.Request)
		return
	}
	cr := &callerRequest{team: form.Team, kind: form.Kind, model: form.Model, session: form.Session}
	en.findPin(cr)
	node.WriteJSON(w, http.StatusOK, explain(en.choose(cr)))
}

// explainRecorded returns the recorded plan of a recent request that this entry processed.
func (en *Entry) explainRecorded(w http.ResponseWriter, request string) {
	en.mu.Lock()
	pl, ok := en.plans.get(request)
	en.mu.Unlock()
	if !ok {
		node.WriteError(w, result.New(result.UnknownRequest, request))
		return
	}
	node.WriteJSON(w, http.StatusOK, explain(pl))
}

func explain(pl choice.Plan) Explanation {
	ex := Explanation{Steps: pl.Steps(), Reason: pl.Reason(), Code: pl.Code()}
	for _, ca := range pl.Candidates() {
		mean, lower := ca.Quality()
		ex.Candidates = append(ex.Candidates, CandidateView{
			Version: ca.Version(), Code: ca.Code(), Mean: mean, LowerBound: lower, Cost: ca.Cost(),
		})
	}
	return ex
}
