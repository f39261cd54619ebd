package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/chatbody"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/httpfront"
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
	w                                       http.ResponseWriter
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
	// payload is the body, chat what it holds in a chat request. Its memory is released at the end of the request.
	payload *buffer.Segments
	chat    *chatbody.Body
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
		at.Body = cr.payload.Bytes()
		return at
	}
	at.Version = ac.Target()
	at.InSession = cr.inSession
	at.Body = cr.chat.With(ac.Target(), cr.priority)
	return at
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
func (en *Entry) readRequest(w http.ResponseWriter, r *http.Request, steps []readStep) (*callerRequest, error) {
	cr := &callerRequest{w: w, id: bill.NewRequestID(en.Node.Settings.DataCentre), method: r.Method, contentType: r.Header.Get("Content-Type")}
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

// bodyCopies is how many times a body is in memory besides: in one piece, with another model, and as a frame to an
// agent.
const bodyCopies = 3

func (en *Entry) readBody(r *http.Request, cr *callerRequest) error {
	body, err := httpfront.ReadBody(cr.w, r, httpfront.BodyLimits{Bytes: en.Node.Settings.Limits.BodyBytes, Copies: bodyCopies})
	cr.payload = body
	return err
}

// checkBlocklist computes the request's fingerprint. It refuses a blocked request before a version
// is selected or a claim is made for it.
func (en *Entry) checkBlocklist(r *http.Request, cr *callerRequest) error {
	// The host is not part of the fingerprint: each entry has a name or address of its own, and
	// requests are not routed by host.
	cr.subject = poison.Subject{RequestID: cr.id, Team: cr.team, Fingerprint: poison.FingerprintOf(poison.Request{
		Team: cr.team, Method: r.Method, Target: r.URL.RequestURI(), Body: cr.payload,
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

func (en *Entry) readChat(_ *http.Request, cr *callerRequest) error {
	chat, err := chatbody.Parse(cr.payload.Bytes())
	if err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	cr.chat, cr.model, cr.path = chat, chat.Model(), "/v1/chat/completions"
	cr.subject.Parts = chat.Parts()
	cr.hideUsage = chat.HidesUsage()
	return nil
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
