// Package response decides what the head of a backend server's response shows: whose it is, whether its attempt has
// run, and what may be done with it. Nothing else in a response is read before that.
package response

import (
	"net/http"
	"slices"
)

// Verdict is what a response shows of the attempt that it arrived for.
type Verdict string

// The verdicts.
const (
	// Answer: the attempt has run, and the response is its own and may be passed on.
	Answer Verdict = "answer"
	// Rejection: the server has not run the attempt and never will.
	Rejection Verdict = "rejection"
	// Replaced: the same, since another server has the address now.
	Replaced Verdict = "replaced"
	// Ambiguous: the server refused the attempt without saying that it has not run it.
	Ambiguous Verdict = "ambiguous"
	// Unsigned: the response is not what the server wrote, or was changed on the way.
	Unsigned Verdict = "unsigned"
	// Unrelated: the response belongs to another request. Nothing that it says concerns the attempt.
	Unrelated Verdict = "unrelated"
)

// Effect is what a verdict means for the attempt, its connection and its caller.
type Effect struct {
	run                   Run
	reusable, deliverable bool
}

// Run says whether an attempt has run.
type Run string

// What is known of an attempt.
const (
	HasRun    Run = "has run"
	HasNotRun Run = "has not run"
	MayHave   Run = "may have run"
)

// Run returns whether the attempt has run.
func (ef Effect) Run() Run { return ef.run }

// Reusable reports whether the connection may carry another request.
func (ef Effect) Reusable() bool { return ef.reusable }

// Deliverable reports whether the caller may see the response.
func (ef Effect) Deliverable() bool { return ef.deliverable }

var effects = map[Verdict]Effect{
	Answer:    {HasRun, true, true},
	Rejection: {HasNotRun, true, false},
	Replaced:  {HasNotRun, true, false},
	Ambiguous: {MayHave, true, false},
	Unsigned:  {MayHave, true, false},
	Unrelated: {MayHave, false, false},
}

// Effect returns what the verdict means.
func (ve Verdict) Effect() Effect { return effects[ve] }

// Protocol is what the responses of a kind of backend server hold. Its fields are set before use.
type Protocol struct {
	// RequestID is the header that names the request. Without Anonymous, each response has it.
	RequestID string
	// Anonymous is set if servers need not name the request. Responses that name another one are unrelated all the
	// same.
	Anonymous bool
	// NotExecuted is the header of a rejection, Signature that of a success that the server wrote. Each is empty if
	// there is none.
	NotExecuted, Signature string
	// Rejections are the statuses that are rejections without further headers.
	Rejections []int
	// Refusals are the statuses with which a server refuses an attempt and may have run it.
	Refusals []int
}

// Judge returns what a response shows of the attempt at a request. reused is set if its connection had carried another
// request.
func (pr Protocol) Judge(resp *http.Response, requestID string, reused bool) Verdict {
	switch {
	case !pr.owns(resp, requestID, reused):
		return Unrelated
	case resp.StatusCode == http.StatusMisdirectedRequest && !pr.Anonymous:
		return Replaced
	case pr.isRejection(resp):
		return Rejection
	case slices.Contains(pr.Refusals, resp.StatusCode):
		return Ambiguous
	case resp.StatusCode < http.StatusMultipleChoices && pr.Signature != "" && !pr.isSigned(resp):
		return Unsigned
	}
	return Answer
}

// owns reports whether a response is the one to a request: it names it and no other. A server that sends more responses
// than requests names the request in each; a rejection without an id belongs to the request only if no other one was
// sent on the connection before.
func (pr Protocol) owns(resp *http.Response, requestID string, reused bool) bool {
	ids := resp.Header.Values(pr.RequestID)
	if len(ids) == 0 {
		return pr.Anonymous || requestID == "" || !reused && (pr.isRejection(resp) || resp.StatusCode == http.StatusMisdirectedRequest)
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return id != requestID })
}

func (pr Protocol) isRejection(resp *http.Response) bool {
	return slices.Contains(pr.Rejections, resp.StatusCode) || pr.NotExecuted != "" && resp.Header.Get(pr.NotExecuted) != ""
}

// isSigned reports whether the server wrote a response as it is.
func (pr Protocol) isSigned(resp *http.Response) bool {
	return resp.Header.Get(pr.Signature) != "" && resp.Header.Get("Content-Encoding") == ""
}
