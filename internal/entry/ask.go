package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/route"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// The headers of a request.
const (
	headerSession = "X-Linnetrudder-Session"
	headerKind    = "X-Linnetrudder-Kind"
	headerOnce    = "X-Linnetrudder-Once"
	headerKey     = "Idempotency-Key"
)

// maxName bounds a session id and an idempotency key.
const maxName = 128

// ask is a caller's request after it was read and before it is routed.
type ask struct {
	id, team, kind, session, key string
	// model is what the caller named; empty for a plain service.
	model string
	// service is the plain service; empty for a model.
	service string
	// once is set for a request that may not be repeated.
	once bool
	// claimed is set once the key belongs to this request.
	claimed bool
	// pinned is set if the session has a version already.
	pinned    string
	inSession bool
	priority  int
	deadline  time.Time
	method    string
	path      string
	mime      string
	// print is the same for all copies of the request.
	print poison.Fingerprint
	// body is the body of a plain call; fields are the parts of a chat body.
	body   []byte
	fields map[string]json.RawMessage
	// hideUsage is set for a stream whose caller did not ask for usage.
	hideUsage bool
}

// attempt returns what an agent needs to run one step.
func (as *ask) attempt(ac route.Action) *wire.Attempt {
	at := &wire.Attempt{
		Request: as.id, Number: ac.Attempt(), Step: ac.Step(), Team: as.team, Kind: as.kind,
		Priority: as.priority, WaitMS: max(0, time.Until(as.deadline).Milliseconds()),
		AtMostOnce: as.once, Method: as.method, Path: as.path, Type: as.mime, HideUsage: as.hideUsage,
		Fingerprint: as.print,
	}
	if as.service != "" {
		at.Service = as.service
		at.Body = as.body
		return at
	}
	at.Version = ac.Target()
	at.InSession = as.inSession
	at.Body = as.chatBody(ac.Target())
	return at
}

// chatBody writes the caller's body with the version in place of the model.
func (as *ask) chatBody(version string) []byte {
	fields := make(map[string]json.RawMessage, len(as.fields)+2)
	for na, va := range as.fields {
		fields[na] = va
	}
	fields["model"] = quote(version)
	if as.priority > 0 {
		fields["priority"] = json.RawMessage(strconv.Itoa(as.priority))
	}
	if string(fields["stream"]) == "true" {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, _ := json.Marshal(fields)
	return body
}

func quote(text string) json.RawMessage {
	body, _ := json.Marshal(text)
	return body
}

// step is one check or look-up on the way of a request; the list below shows
// the order.
type step struct {
	name string
	run  func(en *Entry, r *http.Request, as *ask) error
}

// chatSteps make an ask of a chat request.
var chatSteps = []step{
	{"ready", (*Entry).checkReady},
	{"team", (*Entry).findTeam},
	{"headers", (*Entry).readHeaders},
	{"body", (*Entry).readBody},
	{"print", (*Entry).findPrint},
	{"chat", (*Entry).readChat},
	{"kind", (*Entry).applyKind},
}

// callSteps make an ask of a call to a plain service.
var callSteps = []step{
	{"ready", (*Entry).checkReady},
	{"team", (*Entry).findTeam},
	{"headers", (*Entry).readHeaders},
	{"body", (*Entry).readBody},
	{"print", (*Entry).findPrint},
	{"service", (*Entry).findService},
}

// read runs the steps.
func (en *Entry) read(r *http.Request, steps []step) (*ask, error) {
	as := &ask{id: bill.NewRequestID(en.Node.Settings.DataCentre), method: r.Method, mime: r.Header.Get("Content-Type")}
	for _, st := range steps {
		if err := st.run(en, r, as); err != nil {
			return as, err
		}
	}
	return as, nil
}

func (en *Entry) checkReady(_ *http.Request, _ *ask) error {
	if en.Node.Stopping() {
		return result.New(result.Leaving, "")
	}
	if en.Node.Snapshot() == nil {
		return result.New(result.NoConfiguration, "")
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.ledger.Full() {
		return result.New(result.BillsFull, "")
	}
	return nil
}

func (en *Entry) findTeam(r *http.Request, as *ask) error {
	te := en.Node.Snapshot().TeamByKey(node.BearerKey(r))
	if te == nil {
		return result.New(result.UnknownKey, "")
	}
	as.team = te.Name()
	return nil
}

func (en *Entry) readHeaders(r *http.Request, as *ask) error {
	as.session = r.Header.Get(headerSession)
	as.kind = r.Header.Get(headerKind)
	as.key = r.Header.Get(headerKey)
	as.once = r.Header.Get(headerOnce) == "true"
	if len(as.session) > maxName {
		return result.New(result.BadSession, "")
	}
	if len(as.key) > maxName {
		return result.New(result.BadIdempotencyKey, "")
	}
	return nil
}

func (en *Entry) readBody(r *http.Request, as *ask) error {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, en.Node.Settings.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.BodyTooLarge, "")
	}
	if err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	as.body = body
	return nil
}

// findPrint takes the fingerprint; a request that is blocked is refused before anything is
// chosen or claimed for it.
func (en *Entry) findPrint(r *http.Request, as *ask) error {
	// No host: callers reach each entry by a name or number of its own, and none is routed by it.
	as.print = poison.FingerprintOf(poison.Request{
		Team: as.team, Method: r.Method, Target: r.URL.RequestURI(), Body: as.body,
	})
	if en.blocked(as.print, clock.Now()) > 0 {
		return result.New(result.RequestBlocked, "")
	}
	return nil
}

// chatForm is the part of a chat request that is checked here.
type chatForm struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	Stream        bool              `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (en *Entry) readChat(_ *http.Request, as *ask) error {
	var form chatForm
	if err := json.Unmarshal(as.body, &form); err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	if form.Model == "" {
		return result.New(result.BadRequest, "model: missing")
	}
	if len(form.Messages) == 0 {
		return result.New(result.BadRequest, "messages: must not be empty")
	}
	if err := json.Unmarshal(as.body, &as.fields); err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	as.body = nil
	as.model = form.Model
	as.path = "/v1/chat/completions"
	as.hideUsage = form.Stream && (form.StreamOptions == nil || !form.StreamOptions.IncludeUsage)
	return nil
}

func (en *Entry) applyKind(_ *http.Request, as *ask) error {
	ki := en.Node.Snapshot().Kind(as.kind)
	as.priority = ki.Priority
	as.once = as.once || ki.NotRepeatable
	as.deadline = time.Now().Add(ki.Deadline())
	return nil
}

func (en *Entry) findService(r *http.Request, as *ask) error {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	sn := en.Node.Snapshot()
	se := sn.Service(name)
	if se == nil || !sn.Team(as.team).MayCall(name) {
		return result.New(result.UnknownPath, name)
	}
	as.service = name
	as.path = "/" + path
	if r.URL.RawQuery != "" {
		as.path += "?" + r.URL.RawQuery
	}
	as.once = as.once || notRepeatable(se, r.Method)
	as.deadline = time.Now().Add(se.Deadline())
	return nil
}

func notRepeatable(se *config.Service, method string) bool {
	return slices.Contains(se.NotRepeatable, method)
}
