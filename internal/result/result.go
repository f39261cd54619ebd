// Package result defines the numbered result codes of responses, refusals and failed commands.
package result

import (
	"net/http"
	"time"
)

// Code is a result code. Zero means that the result is not known yet.
type Code int

// Run states whether a request with a result code has run on a backend server.
type Run string

// The values of Run.
const (
	Ran        Run = "ran"
	DidNotRun  Run = "did not run"
	MayHaveRun Run = "may have run"
)

// The result codes. The first digit is the group: 1 success, cancellation and waiting, 2 invalid
// request, 3 refused by policy, 4 temporarily unavailable or over capacity, 5 failed during or after
// dispatch, 6 settings and configuration, 7 the platform's key-value service.
const (
	OK                 Code = 100
	Stopped            Code = 101
	Queued             Code = 102
	BadRequest         Code = 200
	BodyTooLarge       Code = 201
	UnknownKey         Code = 202
	UnknownModel       Code = 203
	UnknownPath        Code = 204
	BadIdempotencyKey  Code = 205
	BadSession         Code = 206
	UnknownRequest     Code = 207
	VersionNotAllowed  Code = 300
	VersionWithdrawn   Code = 301
	VersionNoNewWork   Code = 302
	KeyAlreadyUsed     Code = 303
	VersionNotHere     Code = 304
	NoConfiguration    Code = 400
	NoServer           Code = 401
	Overloaded         Code = 402
	DeadlinePassed     Code = 403
	Leaving            Code = 404
	ShareExceeded      Code = 405
	BillsFull          Code = 407
	ClaimsUnavailable  Code = 408
	StaleConfiguration Code = 409
	RequestBlocked     Code = 410
	IntakeFull         Code = 411
	BodyStalled        Code = 412
	LinkLost           Code = 500
	ServerFailed       Code = 501
	AnswerBroken       Code = 502
	CallerTooSlow      Code = 503
	NotDispatched      Code = 504
	BadSettings        Code = 600
	BadConfiguration   Code = 601
	UnknownField       Code = 602
	BadReference       Code = 603
	HostName           Code = 604
	ConfigTooLarge     Code = 605
	Conflict           Code = 606
	NotOperator        Code = 607
	StoreDown          Code = 700
	StoreUnknown       Code = 701
	StoreBudget        Code = 702
)

// Row describes a result code.
type Row struct {
	// code is unique in the table.
	code Code
	// name is unique in the table and never reused for another meaning.
	name string
	// status is the HTTP status sent to callers and operators.
	status int
	// run states whether a request with this code has run.
	run Run
	// retryAfter is the least time before a retry; zero means that the request should not be
	// retried unchanged.
	retryAfter time.Duration
	// text is a description in one sentence. Callers receive it in error messages.
	text string
}

// Code returns the result code.
func (ro Row) Code() Code { return ro.code }

// Name returns the short name of the code.
func (ro Row) Name() string { return ro.name }

// Status returns the HTTP status that callers and operators get with the code.
func (ro Row) Status() int { return ro.status }

// Run states whether a request with the code has run on a backend server.
func (ro Row) Run() Run { return ro.run }

// RetryAfter returns the least time after which the unchanged request may be retried; zero means
// that it should not be retried.
func (ro Row) RetryAfter() time.Duration { return ro.retryAfter }

// Text returns the description of the code.
func (ro Row) Text() string { return ro.text }

// statusClientClosedRequest is the non-standard status that access logs show for a caller that closed
// its connection.
const statusClientClosedRequest = 499

// The retry delays. longRetry is for failures of the key-value service and for blocked requests.
const (
	shortRetry = time.Second
	longRetry  = 5 * time.Second
)

var rows = []Row{
	{OK, "ok", http.StatusOK, Ran, 0, "the answer is complete"},
	{Stopped, "stopped", statusClientClosedRequest, MayHaveRun, 0, "the caller went away and the request was cancelled"},
	{Queued, "queued", http.StatusAccepted, DidNotRun, 0, "the attempt waits at its backend server; this is never a final answer"},
	{BadRequest, "bad_request", http.StatusBadRequest, DidNotRun, 0, "the request body is not valid JSON of the documented form"},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, DidNotRun, 0, "the request body is larger than the settings allow"},
	{UnknownKey, "unknown_key", http.StatusUnauthorized, DidNotRun, 0, "the bearer key is missing, unknown or revoked"},
	{UnknownModel, "unknown_model", http.StatusNotFound, DidNotRun, 0, "no model of this name is open to the team"},
	{UnknownPath, "unknown_path", http.StatusNotFound, DidNotRun, 0, "no such path or plain service"},
	{BadIdempotencyKey, "bad_idempotency_key", http.StatusBadRequest, DidNotRun, 0, "the idempotency key is longer than 128 bytes"},
	{BadSession, "bad_session", http.StatusBadRequest, DidNotRun, 0, "the session id is longer than 128 bytes"},
	{UnknownRequest, "unknown_request", http.StatusNotFound, DidNotRun, 0, "no request of this id is known here"},
	{VersionNotAllowed, "version_not_allowed", http.StatusForbidden, DidNotRun, 0, "the team's selectors allow no such version"},
	{VersionWithdrawn, "version_withdrawn", http.StatusGone, DidNotRun, 0, "the version is withdrawn and gets no new work"},
	{VersionNoNewWork, "version_no_new_sessions", http.StatusConflict, DidNotRun, 0, "the version is rolling out and takes only its own sessions"},
	{KeyAlreadyUsed, "key_already_used", http.StatusConflict, DidNotRun, 0, "the idempotency key belongs to an earlier request; this one did not run"},
	{VersionNotHere, "version_not_here", http.StatusServiceUnavailable, DidNotRun, shortRetry, "the backend server does not hold the version"},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, DidNotRun, shortRetry, "the process has no configuration yet"},
	{NoServer, "no_server", http.StatusServiceUnavailable, DidNotRun, shortRetry, "no backend server with an allowed version is reachable"},
	{Overloaded, "overloaded", http.StatusTooManyRequests, DidNotRun, shortRetry, "all places and the queue are taken"},
	{DeadlinePassed, "deadline", http.StatusGatewayTimeout, DidNotRun, shortRetry, "the request could not start before its deadline"},
	{Leaving, "leaving", http.StatusServiceUnavailable, DidNotRun, shortRetry, "the process or backend server is leaving"},
	{ShareExceeded, "share_exceeded", http.StatusTooManyRequests, DidNotRun, shortRetry, "the team has taken its share while others wait"},
	{BillsFull, "bills_full", http.StatusServiceUnavailable, DidNotRun, longRetry, "too many bill records wait for the key-value service"},
	{ClaimsUnavailable, "claims_unavailable", http.StatusServiceUnavailable, DidNotRun, longRetry, "the claim on the key could not be made; nothing ran"},
	{StaleConfiguration, "stale_configuration", http.StatusServiceUnavailable, DidNotRun, shortRetry, "the configuration is too old to accept a key by it"},
	{RequestBlocked, "request_blocked", http.StatusServiceUnavailable, DidNotRun, longRetry, "backend servers ended under copies of the request, or under others with a part of its prompt; it is not sent to more of them for a while"},
	{IntakeFull, "intake_full", http.StatusServiceUnavailable, DidNotRun, shortRetry, "the process holds as much of unfinished requests as it may; the body was not read to its end"},
	{BodyStalled, "body_stalled", http.StatusRequestTimeout, DidNotRun, shortRetry, "nothing of the request body arrived for too long"},
	{LinkLost, "link_lost", http.StatusBadGateway, MayHaveRun, 0, "the connection was lost after the request was sent"},
	{ServerFailed, "server_failed", http.StatusBadGateway, MayHaveRun, 0, "the backend server failed after the request was sent to it"},
	{AnswerBroken, "answer_broken", http.StatusBadGateway, Ran, 0, "the answer broke off after a part of it was delivered"},
	{CallerTooSlow, "caller_too_slow", http.StatusRequestTimeout, Ran, 0, "the caller read the answer too slowly"},
	{NotDispatched, "not_dispatched", http.StatusBadGateway, DidNotRun, shortRetry, "the backend server refused the connection; nothing ran"},
	{BadSettings, "bad_settings", http.StatusBadRequest, DidNotRun, 0, "a settings field has a value that is not valid"},
	{BadConfiguration, "bad_configuration", http.StatusBadRequest, DidNotRun, 0, "a configuration field has a value that is not valid"},
	{UnknownField, "unknown_field", http.StatusBadRequest, DidNotRun, 0, "a field of this name does not exist"},
	{BadReference, "bad_reference", http.StatusBadRequest, DidNotRun, 0, "a name refers to nothing"},
	{HostName, "host_name", http.StatusBadRequest, DidNotRun, 0, "an address must be an IP number and a port"},
	{ConfigTooLarge, "configuration_too_large", http.StatusRequestEntityTooLarge, DidNotRun, 0, "the configuration is larger than one value may be"},
	{Conflict, "conflict", http.StatusConflict, DidNotRun, 0, "another change came first"},
	{NotOperator, "not_operator", http.StatusUnauthorized, DidNotRun, 0, "the operator key is missing or unknown"},
	{StoreDown, "store_down", http.StatusServiceUnavailable, DidNotRun, longRetry, "the key-value service gives no answer"},
	{StoreUnknown, "store_unknown", http.StatusServiceUnavailable, MayHaveRun, longRetry, "the write may have been made; ask again with the same operation id"},
	{StoreBudget, "store_budget", http.StatusServiceUnavailable, DidNotRun, shortRetry, "the budget for calls to the key-value service is spent"},
}

var byCode = func() map[Code]Row {
	m := make(map[Code]Row, len(rows))
	for _, ro := range rows {
		m[ro.code] = ro
	}
	return m
}()

// Rows returns a copy of the table, ordered by code.
func Rows() []Row {
	return append([]Row(nil), rows...)
}

// Lookup returns the row of a code. A code that is not in the table, such as one from a newer peer,
// is described as a failure of a request that may have run.
func Lookup(co Code) Row {
	ro, ok := byCode[co]
	if !ok {
		return Row{code: co, name: "unknown", status: http.StatusBadGateway, run: MayHaveRun, text: "unknown code"}
	}
	return ro
}

// Error is an error with a result code. Packages return it for failures that callers or operators
// see.
type Error struct {
	code   Code
	detail string
}

// New returns an error with a code and a detail, such as the name of an invalid field.
func New(co Code, detail string) *Error {
	return &Error{code: co, detail: detail}
}

// Code returns the result code.
func (er *Error) Code() Code { return er.code }

// Detail returns what the error applies to, such as the name of an invalid field.
func (er *Error) Detail() string { return er.detail }

// Error returns the name and the description of the code, followed by the detail.
func (er *Error) Error() string {
	ro := Lookup(er.code)
	if er.detail == "" {
		return ro.name + ": " + ro.text
	}
	return ro.name + ": " + ro.text + ": " + er.detail
}
