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
	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/route"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// The headers of a caller's request.
const (
	headerSession        = "X-Linnetrudder-Session"
	headerKind           = "X-Linnetrudder-Kind"
	headerAtMostOnce     = "X-Linnetrudder-Once"
	headerIdempotencyKey = "Idempotency-Key"
)

// maxIDBytes is the maximum length of a session id and of an idempotency key.
const maxIDBytes = 128

// callerRequest is a caller's request after it was parsed and before it is routed.
type callerRequest struct {
	id, team, kind, session, idempotencyKey string
	// model is the model that the caller requested, empty for a plain service.
	model string
	// service is the name of the plain service, empty for a model.
	service string
	// atMostOnce is set for a request that must not run more than once.
	atMostOnce bool
	// keyClaimed is set once this request has claimed its idempotency key.
	keyClaimed bool
	// pinned is the version that the session is pinned to, empty if there is none yet.
	pinned      string
	inSession   bool
	priority    int
	deadline    time.Time
	method      string
	path        string
	contentType string
	// subject is the request as the detection of crashes sees it.
	subject poison.Subject
	// body is the body of a call to a plain service; fields are the top-level fields of a chat
	// request's body.
	body   []byte
	fields map[string]json.RawMessage
	// hideUsage is set for a streaming request whose caller did not ask for token usage.
	hideUsage bool
}

// attempt returns the description of an attempt that is sent to an agent.
func (cr *callerRequest) attempt(ac route.Action) *wire.Attempt {
	at := &wire.Attempt{
		Request: cr.id, Number: ac.Attempt(), Step: ac.Step(), Team: cr.team, Kind: cr.kind,
		Priority: cr.priority, WaitMS: max(0, time.Until(cr.deadline).Milliseconds()),
		AtMostOnce: cr.atMostOnce, Method: cr.method, Path: cr.path, Type: cr.contentType, HideUsage: cr.hideUsage,
		Fingerprint: cr.subject.Fingerprint, Parts: cr.subject.Parts,
	}
	if cr.service != "" {
		at.Service = cr.service
		at.Body = cr.body
		return at
	}
	at.Version = ac.Target()
	at.InSession = cr.inSession
	at.Body = cr.chatBody(ac.Target())
	return at
}

// chatBody returns the caller's body with the model replaced by the selected version.
func (cr *callerRequest) chatBody(version string) []byte {
	fields := make(map[string]json.RawMessage, len(cr.fields)+2)
	for na, va := range cr.fields {
		fields[na] = va
	}
	fields["model"] = jsonString(version)
	if cr.priority > 0 {
		fields["priority"] = json.RawMessage(strconv.Itoa(cr.priority))
	}
	if string(fields["stream"]) == "true" {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, _ := json.Marshal(fields)
	return body
}

func jsonString(text string) json.RawMessage {
	body, _ := json.Marshal(text)
	return body
}

// readStep is one step of parsing and validating a request.
type readStep struct {
	name string
	run  func(en *Entry, r *http.Request, cr *callerRequest) error
}

// chatSteps are the steps for a chat request, in order.
var chatSteps = []readStep{
	{"ready", (*Entry).checkReady},
	{"team", (*Entry).findTeam},
	{"headers", (*Entry).readHeaders},
	{"body", (*Entry).readBody},
	{"fingerprint", (*Entry).checkBlocklist},
	{"chat", (*Entry).readChat},
	{"parts", (*Entry).checkParts},
	{"kind", (*Entry).applyKind},
}

// callSteps are the steps for a call to a plain service, in order.
var callSteps = []readStep{
	{"ready", (*Entry).checkReady},
	{"team", (*Entry).findTeam},
	{"headers", (*Entry).readHeaders},
	{"body", (*Entry).readBody},
	{"fingerprint", (*Entry).checkBlocklist},
	{"service", (*Entry).findService},
}

// readRequest parses and validates a request. It returns the request as far as it was parsed, also
// with an error.
func (en *Entry) readRequest(r *http.Request, steps []readStep) (*callerRequest, error) {
	cr := &callerRequest{id: bill.NewRequestID(en.Node.Settings.DataCentre), method: r.Method, contentType: r.Header.Get("Content-Type")}
	for _, st := range steps {
		if err := st.run(en, r, cr); err != nil {
			return cr, err
		}
	}
	return cr, nil
}

func (en *Entry) checkReady(r *http.Request, _ *callerRequest) error {
	if en.Node.Stopping() {
		return result.New(result.Leaving, "")
	}
	if en.Node.Snapshot() == nil {
		return result.New(result.NoConfiguration, "")
	}
	en.awaitInitialDials(r.Context())
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.outbox.Full() {
		return result.New(result.BillsFull, "")
	}
	return nil
}

func (en *Entry) findTeam(r *http.Request, cr *callerRequest) error {
	te := en.Node.Snapshot().TeamByKey(node.BearerKey(r))
	if te == nil {
		return result.New(result.UnknownKey, "")
	}
	cr.team = te.Name()
	return nil
}

func (en *Entry) readHeaders(r *http.Request, cr *callerRequest) error {
	cr.session = r.Header.Get(headerSession)
	cr.kind = r.Header.Get(headerKind)
	cr.idempotencyKey = r.Header.Get(headerIdempotencyKey)
	cr.atMostOnce = r.Header.Get(headerAtMostOnce) == "true"
	if len(cr.session) > maxIDBytes {
		return result.New(result.BadSession, "")
	}
	if len(cr.idempotencyKey) > maxIDBytes {
		return result.New(result.BadIdempotencyKey, "")
	}
	return nil
}

func (en *Entry) readBody(r *http.Request, cr *callerRequest) error {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, en.Node.Settings.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.BodyTooLarge, "")
	}
	if err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	cr.body = body
	return nil
}

// checkBlocklist computes the request's fingerprint. It refuses a blocked request before a version
// is selected or a claim is made for it.
func (en *Entry) checkBlocklist(r *http.Request, cr *callerRequest) error {
	// The host is not part of the fingerprint: each entry has a name or address of its own, and
	// requests are not routed by host.
	cr.subject = poison.Subject{RequestID: cr.id, Team: cr.team, Fingerprint: poison.FingerprintOf(poison.Request{
		Team: cr.team, Method: r.Method, Target: r.URL.RequestURI(), Body: buffer.SegmentsOf(cr.body),
	})}
	if en.blockRemaining(cr.subject, clock.Now()) > 0 {
		return result.New(result.RequestBlocked, "")
	}
	return nil
}

// checkParts refuses a request with a blocked message, and delays one with messages that are suspected
// of a crash.
func (en *Entry) checkParts(r *http.Request, cr *callerRequest) error {
	if !en.awaitVerdict(r.Context(), cr.subject) {
		return result.New(result.RequestBlocked, "")
	}
	return nil
}

// chatForm holds the fields of a chat request that the entry validates or uses. The type name
// appears in the texts of decoding errors that callers receive.
type chatForm struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	Stream        bool              `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (en *Entry) readChat(_ *http.Request, cr *callerRequest) error {
	var form chatForm
	if err := json.Unmarshal(cr.body, &form); err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	if form.Model == "" {
		return result.New(result.BadRequest, "model: missing")
	}
	if len(form.Messages) == 0 {
		return result.New(result.BadRequest, "messages: must not be empty")
	}
	if err := json.Unmarshal(cr.body, &cr.fields); err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	cr.subject.Parts = messageIDs(form.Messages)
	cr.body = nil
	cr.model = form.Model
	cr.path = "/v1/chat/completions"
	cr.hideUsage = form.Stream && (form.StreamOptions == nil || !form.StreamOptions.IncludeUsage)
	return nil
}

// messageIDs identifies the messages of a prompt that other requests may share by their content.
func messageIDs(messages []json.RawMessage) []string {
	ids := make([]string, len(messages))
	for i, me := range messages {
		ids[i] = poison.PartID(me)
	}
	return poison.SharedParts(ids)
}

func (en *Entry) applyKind(_ *http.Request, cr *callerRequest) error {
	ki := en.Node.Snapshot().Kind(cr.kind)
	cr.priority = ki.Priority
	cr.atMostOnce = cr.atMostOnce || ki.NotRepeatable
	cr.deadline = time.Now().Add(ki.Deadline())
	return nil
}

func (en *Entry) findService(r *http.Request, cr *callerRequest) error {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	sn := en.Node.Snapshot()
	se := sn.Service(name)
	if se == nil || !sn.Team(cr.team).MayCall(name) {
		return result.New(result.UnknownPath, name)
	}
	cr.service = name
	cr.path = "/" + path
	if r.URL.RawQuery != "" {
		cr.path += "?" + r.URL.RawQuery
	}
	cr.atMostOnce = cr.atMostOnce || notRepeatable(se, r.Method)
	cr.deadline = time.Now().Add(se.Deadline())
	return nil
}

func notRepeatable(se *config.Service, method string) bool {
	return slices.Contains(se.NotRepeatable, method)
}
