// Package gateway serves requests by calling backend servers directly, without an agent on their
// boxes. It holds the state that routing decisions depend on and executes them; an adapter translates
// between the package and the protocols of a platform.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/duty"
	"github.com/linnetrudder/linnetrudder/internal/excerpt"
	"github.com/linnetrudder/linnetrudder/internal/lease"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/response"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/selfreport"
)

// Request is a caller's request as decoded by an adapter. Its fields are exported since it is plain
// data.
type Request struct {
	// ID is the caller's id for this attempt; a caller that repeats a request uses a new one.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Method and Target are those of the HTTP request. Target includes the query.
	Method, Target string
	// Key authenticates the team. It is empty if the caller sent none.
	Key string
	// Received is the time at which the request head had been read.
	Received time.Time
	// Timeout is the caller's timeout, zero if it named none.
	Timeout time.Duration
	// AnyModel is set if the gateway chooses the model.
	AnyModel bool
	// Session groups the requests of one conversation. It is empty if there is none.
	Session string
	// Prompt lists the parts of the prompt that requests can share, in order.
	Prompt []PromptPart
	// PromptTokens is the size of the prompt and OutputTokens the maximum size of the output. Each is
	// zero if unknown.
	PromptTokens, OutputTokens int
	// LengthHint is the caller's estimate of the number of output tokens, zero if it gave none. It is
	// often wrong by a factor of two.
	LengthHint int
	// LastEventID is the id of the last event that the caller received of a stream that it resumes.
	LastEventID string
	// ReadBody reads the whole body, until a deadline. Its error carries a result code.
	ReadBody func(deadline time.Time) (*buffer.Segments, error)
	// AdapterData is what the adapter needs to make the call. The package does not read it.
	AdapterData any
}

// sharedPrefix returns the id and the length in tokens of the longest prefix of the prompt that a
// server may have cached from other requests. The last part is specific to the request.
func (rq *Request) sharedPrefix() (id string, tokens int) {
	for i, pa := range rq.Prompt {
		if i > 0 && i == len(rq.Prompt)-1 {
			break
		}
		id = pa.ID
		tokens += pa.Tokens
	}
	return id, tokens
}

// partIDs returns the ids of the parts of the prompt.
func (rq *Request) partIDs() []string {
	ids := make([]string, len(rq.Prompt))
	for i, pa := range rq.Prompt {
		ids[i] = pa.ID
	}
	return ids
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// maxPartIDBytes is the maximum length of the id of a prompt's part. Ids are stored and passed on to other gateways.
const maxPartIDBytes = 128

// Valid reports whether a part is well-formed: its id is short and printable ASCII.
func (pa PromptPart) Valid() bool {
	odd := strings.ContainsFunc(pa.ID, func(r rune) bool { return r <= ' ' || r > '~' })
	return pa.ID != "" && len(pa.ID) <= maxPartIDBytes && !odd && pa.Tokens >= 0
}

// Attempt is one call to a backend server.
type Attempt struct {
	Request *Request
	Body    *buffer.Segments
	Server  directory.Server
	// Team is the name of the caller's team. It is empty on a public route.
	Team string
	// Model is the model to request. If it is empty, the caller's choice is passed on unchanged.
	Model string
	// QueuePriority ranks the attempt in the server's queue. Rank 0 is served first.
	QueuePriority int
	// Timeout is how long the server may work on the attempt.
	Timeout time.Duration
	// Patience is the time after which a server without a response counts as silent, which is noted for
	// its idle connections. It does not end the attempt. It is zero if the usual time is not known.
	Patience time.Duration
	// LastEventID is the event after which a stream continues. It is empty to start from the beginning.
	LastEventID string
	// NewConnection forbids reuse of an idle connection. An idle connection may lead to a server that
	// has just ended, and it would be unknown whether an attempt sent on it has run.
	NewConnection bool
	// Wanted reports whether the attempt is still to be sent. It is called once there is a connection, before
	// anything is written; if it returns false, the attempt fails with ErrNotSent.
	Wanted func() bool
}

// Response is the head of a backend server's response together with its body.
type Response struct {
	Status int
	Header http.Header
	// Body must be closed. A read error other than io.EOF means that the response is truncated.
	Body io.ReadCloser
	// Stream is set for server-sent events.
	Stream bool
	// Confidence is the model's rating of its own output from 0 to 100, negative if it gave none.
	Confidence int
	// Report is what the server reports about itself.
	Report selfreport.Report
}

// Backend calls backend servers. Its errors are *RefusedError, *AmbiguousError, *UnrelatedError,
// ErrNotSent, ErrUnreachable or others. After an *AmbiguousError, an *UnrelatedError or an error of
// another kind the attempt may have run.
type Backend interface {
	Call(ctx context.Context, at *Attempt) (*Response, error)
	// CheckReachable opens a connection to a server and closes it. It returns ErrUnreachable if the
	// connection is refused.
	CheckReachable(ctx context.Context, se directory.Server) error
}

// RefusedError is a server's confirmation that it has not executed the attempt and never will.
type RefusedError struct {
	// Reason is the reason that the server gave.
	Reason string
	// Gone is set if another server now has the address.
	Gone bool
	// Report is what the server reports about itself. It is the zero value if Gone is set.
	Report selfreport.Report
}

func (re *RefusedError) Error() string { return "refused: " + re.Reason }

// AmbiguousError is a server's response that does not show whether the attempt has run.
type AmbiguousError struct {
	// Status is the status line of the response.
	Status string
	// Report is what the server reports about itself.
	Report selfreport.Report
}

func (ae *AmbiguousError) Error() string {
	return "server answered " + ae.Status + " and may have run the call"
}

// UnrelatedError is a response that arrived in the place of the one to an attempt and belongs to another
// call. Nothing that it says applies to the attempt.
type UnrelatedError struct {
	// Status is the status line of the response, RequestID the request that it names, empty for none.
	Status, RequestID string
	// Reused is set if the connection had been used for another call.
	Reused bool
}

func (ue *UnrelatedError) Error() string {
	return "response " + ue.Status + " belongs to another call: " + strconv.Quote(ue.RequestID)
}

// ErrUnsigned means that a response is not what the backend server wrote.
var ErrUnsigned = eris.New("response is not signed by the server or is encoded")

// ErrorOf returns the error of a response that is not an answer, nil for an answer. ids are the requests that the
// response names, re is what the server reports about itself.
func ErrorOf(ve response.Verdict, status string, ids []string, reused bool, re selfreport.Report) error {
	switch ve {
	case response.Unrelated:
		return &UnrelatedError{Status: status, RequestID: strings.Join(ids, ", "), Reused: reused}
	case response.Replaced:
		return &RefusedError{Reason: "another server has the address", Gone: true}
	case response.Rejection:
		return &RefusedError{Reason: status, Report: re}
	case response.Ambiguous:
		// Passing these on would promise the caller more than is known.
		return &AmbiguousError{Status: status, Report: re}
	case response.Unsigned:
		return ErrUnsigned
	}
	return nil
}

var (
	// ErrNotSent means that an attempt never reached its server.
	ErrNotSent = eris.New("attempt was not sent")
	// ErrUnreachable means that an attempt never reached its server because the connection was refused.
	// It does not cover a server that is only slow to accept a connection: after a restart of all
	// gateways, all servers are.
	ErrUnreachable = eris.New("connection refused at the server's address")
)

// Responder sends the response to one caller. Its methods are called in the order of a valid
// response.
type Responder interface {
	// WriteResponse sends a complete response.
	WriteResponse(status int, header http.Header, body []byte) error
	// WriteHead starts a streamed response.
	WriteHead(status int, header http.Header) error
	// WriteChunk sends the next part of a streamed response.
	WriteChunk(chunk []byte) error
	// WriteError sends a final result code and the time after which the caller may retry, zero if it
	// should not.
	WriteError(co result.Code, detail string, after time.Duration)
	// Abort closes the connection, so that the caller does not take a truncated response for a complete
	// one. It may panic instead of returning.
	Abort()
}

// State is the complete state in the key-value service.
type State struct {
	// Revision is the revision of the service at the time of the read.
	Revision revision.Revision
	Changes  []Change
}

// Change is one change in the key-value service. Exactly one field is set, and only that one is
// encoded.
type Change struct {
	// Document is a newer configuration.
	Document *routing.Document `cbor:",omitempty"`
	// Server is a new or changed entry of a backend server. Gone is the id of a server whose entry was
	// removed.
	Server *directory.Server `cbor:",omitempty"`
	Gone   string            `cbor:",omitempty"`
	// Unusable is a backend server's entry that is not valid.
	Unusable *UnusableServer `cbor:",omitempty"`
	// Leaving is the key of a server instance that announced its shutdown.
	Leaving string `cbor:",omitempty"`
	// Evacuated is a data centre whose servers must receive no requests. Restored is one that an
	// operator has put back into use.
	Evacuated, Restored string `cbor:",omitempty"`
	// Order is an operator's order to roll out a version.
	Order *Order `cbor:",omitempty"`
	// Phase is the phase that a roll-out has reached.
	Phase *StoredPhase `cbor:",omitempty"`
	// Tallies are the outcomes that gateways report for a new version.
	Tallies []Tally `cbor:",omitempty"`
	// Blocked is a request that must not be sent to servers. Unblocked is one that may be sent again.
	Blocked   *poison.Block       `cbor:",omitempty"`
	Unblocked *poison.Fingerprint `cbor:",omitempty"`
	// DutyHolder is the process that holds the duty of reporting usage. DutyVacant is set if there is
	// none.
	DutyHolder *duty.Holder `cbor:",omitempty"`
	DutyVacant bool         `cbor:",omitempty"`
	// Member is a gateway that is a member. MemberGone is the box of a gateway whose membership ended.
	Member     *relay.Member `cbor:",omitempty"`
	MemberGone string        `cbor:",omitempty"`
	// Unreadable describes what could not be decoded. It is not passed on to other gateways.
	Unreadable error `cbor:"-"`
}

// UnusableServer is a server entry that was not written by a backend server or is not valid.
type UnusableServer struct {
	ID string
	// Reason says why the entry is not valid.
	Reason string
}

// NewUnusable returns the change for a server's entry that is not valid. The reason is passed on to other gateways.
func NewUnusable(id string, reason error) Change {
	return Change{Unusable: &UnusableServer{ID: id, Reason: excerpt.Of(reason.Error())}}
}

// Order is an operator's order to roll out a version.
type Order struct {
	Plan rollout.Plan
	// Revision distinguishes two orders of the same version.
	Revision revision.Revision
}

// sameAs reports whether two orders have the same service, version and time limit.
func (or *Order) sameAs(other Order) bool {
	return or.Plan.Service == other.Plan.Service && or.Plan.Version == other.Plan.Version && or.Plan.Within == other.Plan.Within
}

// isRewriteOf reports whether or is the order other, written again after the key-value service was
// restored.
func (or *Order) isRewriteOf(other Order) bool {
	return or.Revision.Era != other.Revision.Era && or.sameAs(other)
}

// isRestoredAs reports whether other, which was read from a restored service, is the copy of or.
// The revision numbers must match, since the restored service has the previous order if the newest
// one was lost.
func (or *Order) isRestoredAs(other Order) bool {
	return or != nil && or.Revision.Number == other.Revision.Number && other.isRewriteOf(*or)
}

// StoredPhase is the phase of a roll-out as stored in the key-value service.
type StoredPhase struct {
	Service string
	// Order is the revision of the order that the phase belongs to.
	Order revision.Revision
	Phase rollout.Phase
	// Version is the order's version. Withdrawn lists the versions that receive no requests.
	Version   string
	Withdrawn []string
	// Shares is the share of each route's requests that the trial receives.
	Shares rollout.Shares
	// Burst is the additional share of each route's requests in the last part of the trial.
	Burst float64
	// Elapsed is the time from the order to the write.
	Elapsed time.Duration
	// Revision is the revision that the next write is compared with.
	Revision revision.Revision
}

// belongsTo reports whether a phase belongs to an order. After a restore of the key-value service an
// order has another revision than the phases that were stored before.
func (ph *StoredPhase) belongsTo(or Order) bool {
	return ph.Order == or.Revision || ph.Order.Era != or.Revision.Era && ph.Version == or.Plan.Version
}

// isMissing reports whether a restored service does not have the phase.
func (ph *StoredPhase) isMissing() bool { return ph.Revision.Number == 0 }

// Tally is one gateway's count of outcomes of the version being rolled out, since the start of the
// gateway's process.
type Tally struct {
	Service string
	// Order is the revision of the order that the tally belongs to. Version is the order's version.
	Order   revision.Revision
	Version string
	// Box is the gateway's box. Life distinguishes successive processes on the same box.
	Box      string
	Life     uint64
	Outcomes rollout.Outcomes
}

// belongsTo reports whether a tally belongs to an order, by the same rule as for a phase.
func (ta *Tally) belongsTo(or Order) bool {
	return ta.Order == or.Revision || ta.Order.Era != or.Revision.Era && ta.Version == or.Plan.Version
}

// processID identifies the process that reported a tally.
func (ta *Tally) processID() string { return ta.Box + "/" + strconv.FormatUint(ta.Life, 36) }

// ErrHistoryUnavailable means that a watch cannot continue from its revision.
var ErrHistoryUnavailable = eris.New("the key-value service has no history from the requested revision on")

// Store is the platform's key-value service.
type Store interface {
	// Read reads the complete state. If that takes several calls, it calls continueRead with the first
	// part, which includes the members, and stops if continueRead returns false. It reports whether the
	// state is complete. Responses that name no era are assumed to be of the given one.
	Read(ctx context.Context, era uint64, continueRead func(first State) bool) (st State, complete bool, err error)
	// Watch returns the changes after a revision, none if there were none within wait, and the revision
	// to continue from. If that has another era, the changes are not complete. A response that names no
	// era is assumed to be of the era of after. The call fails if the response makes no progress for a
	// timeout, beyond the wait at first.
	Watch(ctx context.Context, after revision.Revision, wait, timeout time.Duration) (State, error)
	// StorePhase stores a phase if the stored one still has the revision that ph names. It reports
	// whether it did.
	StorePhase(ctx context.Context, or Order, ph StoredPhase) (bool, error)
	// StoreTallies replaces the box's previous tallies. The tallies are of one roll-out, those of this
	// gateway and of the gateways that report to it.
	StoreTallies(ctx context.Context, box string, tallies []Tally) error
	// StoreBlock stores a block, DeleteBlock removes it.
	StoreBlock(ctx context.Context, bl poison.Block) error
	DeleteBlock(ctx context.Context, fp poison.Fingerprint) error
	// Join makes a gateway a member for as long as the lease is renewed.
	Join(ctx context.Context, me relay.Member, ttl time.Duration) (lease.ID, error)
	// RenewLease renews a lease. It returns lease.ErrExpired if the lease does not exist any more.
	RenewLease(ctx context.Context, id lease.ID) error
}

// DefaultSlowFactor is the usual Bounds.SlowFactor: servers that take twice the time serve half as much
// with the same slots.
const DefaultSlowFactor = 2

// Bounds are the limits that the platform sets for gateways.
type Bounds struct {
	// MaxConfigAge is the maximum age of the configuration at which a key may be accepted, zero for no
	// maximum. It bounds the time until a revoked key is rejected.
	MaxConfigAge time.Duration
	// MaxPropagation is the time from the acknowledgement of a configuration within which requests must
	// follow it, zero for no bound.
	MaxPropagation time.Duration
	// MaxDrain is the time from the acknowledgement of a server's departure within which requests must no
	// longer reach it, zero for no bound.
	MaxDrain time.Duration
	// SlowFactor is how many times slower than the one before a version must be on like work to count as
	// bad, DefaultSlowFactor if it is zero.
	SlowFactor float64
	// RetryRatio and RetryWindow bound the attempts beyond the first of all gateways together.
	RetryRatio  float64
	RetryWindow time.Duration
	// CanaryShare is the share of a service's requests that a faulty version may receive during its
	// roll-out, CanaryExtra a number of requests in addition, from all gateways together.
	CanaryShare float64
	CanaryExtra float64
	// ColdRatio and ColdExtra bound the requests to a cold server within a second, from all gateways
	// together, to the rate that it can serve times ColdRatio plus ColdExtra.
	ColdRatio float64
	ColdExtra float64
}

// keyAcceptanceAge returns the age of the configuration up to which keys are accepted: MaxConfigAge
// less a safety margin.
func (bo Bounds) keyAcceptanceAge() time.Duration {
	return bo.MaxConfigAge - min(staleMargin, bo.MaxConfigAge/staleShare)
}
