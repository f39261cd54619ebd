// Package gateway serves callers by calling backend servers directly, without
// an agent beside them. It holds the state that the decisions need and carries
// them out; an adapter translates between it and the protocols of a platform.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/selfreport"
)

// Request is a caller's request as an adapter decodes it. Its fields are exported
// because it is data without behaviour.
type Request struct {
	// ID is the caller's name for this attempt of its own.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Method and Target are those of the call, the target with its query.
	Method, Target string
	// Key proves the team; empty if the caller sent none.
	Key string
	// Received is when the head of the request had been read.
	Received time.Time
	// Timeout is how long the caller will wait; zero if it did not say.
	Timeout time.Duration
	// AnyModel is set where the choice of the model is left to the system.
	AnyModel bool
	// Session groups requests of one conversation; empty if there is none.
	Session string
	// Prompt holds the parts of the prompt that requests share, in order.
	Prompt []PromptPart
	// PromptTokens and OutputTokens are the size of a generation, the second a
	// bound; zero if they are not known.
	PromptTokens, OutputTokens int
	// LastEventID is the last event that the caller has of a stream it resumes.
	LastEventID string
	// ReadBody reads the whole body. Its error carries a result code.
	ReadBody func() ([]byte, error)
	// AdapterData is what the adapter needs to make the call; it is not read here.
	AdapterData any
}

// sharedPrefix returns the id and the length in tokens of the longest start of the
// prompt that a server may hold from other requests: the last part is the
// request's own.
func (as *Request) sharedPrefix() (id string, tokens int) {
	for i, pa := range as.Prompt {
		if i > 0 && i == len(as.Prompt)-1 {
			break
		}
		id = pa.ID
		tokens += pa.Tokens
	}
	return id, tokens
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is one call to a backend server.
type Attempt struct {
	Request *Request
	Body    []byte
	Server  directory.Server
	// Team is the name of the caller's team; empty on a public route.
	Team string
	// Model is the model to name; empty to leave what the caller named.
	Model string
	// QueuePriority ranks the attempt at its server; 0 is served first.
	QueuePriority int
	// Timeout is how long the server may work.
	Timeout time.Duration
	// LastEventID is the event after which a stream goes on; empty for the start.
	LastEventID string
	// NewConnection attempts are made on a new connection: one that was kept may lead to a server
	// that has just gone, and what was sent on it may have run.
	NewConnection bool
}

// Response is the head of a backend server's answer and its body.
type Response struct {
	Status int
	Header http.Header
	// Body must be closed. A read error other than io.EOF means that the answer
	// broke off.
	Body io.ReadCloser
	// Stream is set for server-sent events.
	Stream bool
	// Confidence is the model's own rating from 0 to 100, below zero if it gave
	// none.
	Confidence int
	// Report is what the server reports about itself.
	Report selfreport.Report
}

// Backend calls backend servers. Errors are *Refusal, *Doubt, ErrUnsent, ErrUnreachable or
// others; after a *Doubt and the last kind the attempt may have run.
type Backend interface {
	Call(ctx context.Context, at *Attempt) (*Response, error)
	// CheckReachable opens a connection to a server and closes it. It returns ErrUnreachable if
	// nobody listens at the server's address.
	CheckReachable(ctx context.Context, se directory.Server) error
}

// RefusedError is a server's confirmation that it did not execute the attempt and never will.
type RefusedError struct {
	// Reason is the reason that the server gave.
	Reason string
	// Gone is set if another server now has the address.
	Gone bool
	// Report is what the server reports about itself; the zero value if Gone is set.
	Report selfreport.Report
}

// Error returns the reason.
func (re *RefusedError) Error() string { return "refused: " + re.Reason }

// AmbiguousError is an answer that leaves open whether the attempt has run.
type AmbiguousError struct {
	// Status is the answer's status line.
	Status string
	// Report is what the server reports about itself.
	Report selfreport.Report
}

// Error returns the status.
func (do *AmbiguousError) Error() string {
	return "server answered " + do.Status + " and may have run the call"
}

var (
	// ErrNotSent means that an attempt never reached its server.
	ErrNotSent = eris.New("attempt was not sent")
	// ErrUnreachable means that it did not since nobody listens at its address. A server
	// that only takes long to accept a connection is no such: after a restart of all
	// gateways all servers do.
	ErrUnreachable = eris.New("nobody listens at the server's address")
)

// Responder answers one caller. Its methods are called in the order of a valid
// answer.
type Responder interface {
	// WriteResponse gives a whole answer.
	WriteResponse(status int, header http.Header, body []byte) error
	// WriteHead begins a stream.
	WriteHead(status int, header http.Header) error
	// WriteChunk gives the next part of a stream.
	WriteChunk(part []byte) error
	// WriteError gives a final code and when to come back, zero for not at all.
	WriteError(co result.Code, detail string, after time.Duration)
	// Abort breaks the connection, so that a part is not taken for the whole. It
	// may not return.
	Abort()
}

// State is everything that is kept in the key-value service.
type State struct {
	// Revision is the service's when the state was read.
	Revision revision.Revision
	Changes  []Change
}

// Change is one change in the key-value service. Exactly one field is set, and only that one is
// encoded.
type Change struct {
	// Document is a newer configuration.
	Document *routing.Document `cbor:",omitempty"`
	// Server is a backend server's entry; Gone the id of one whose entry ended.
	Server *directory.Server `cbor:",omitempty"`
	Gone   string            `cbor:",omitempty"`
	// Unusable is an entry of a backend server that names none that may be used.
	Unusable *UnusableServer `cbor:",omitempty"`
	// Leaving is the key of a server's life that announced its shutdown.
	Leaving string `cbor:",omitempty"`
	// Evacuated is a data centre whose servers are to get nothing, Restored one that an
	// operator has given back.
	Evacuated, Restored string `cbor:",omitempty"`
	// Order is a roll-out that an operator has ordered.
	Order *Order `cbor:",omitempty"`
	// Phase is how far gateways are with a roll-out.
	Phase *StoredPhase `cbor:",omitempty"`
	// Tallies is what gateways tell of a new version.
	Tallies []Tally `cbor:",omitempty"`
	// Blocked is a request that is not to be sent to servers, Unblocked one that may be again.
	Blocked   *poison.Block `cbor:",omitempty"`
	Unblocked *poison.Print `cbor:",omitempty"`
	// Member is a gateway that is a member; MemberGone the box of one that is not any
	// more.
	Member     *relay.Member `cbor:",omitempty"`
	MemberGone string        `cbor:",omitempty"`
	// Unreadable says what could not be decoded; it is not passed on.
	Unreadable error `cbor:"-"`
}

// UnusableServer is an entry that no backend server wrote, or not as it should be.
type UnusableServer struct {
	ID string
	// Reason says what is wrong with it.
	Reason string
}

// Order is an operator's order to roll out a version.
type Order struct {
	Plan rollout.Plan
	// Revision tells two orders of the same version apart.
	Revision revision.Revision
}

// sameAs reports whether two orders ask for the same.
func (or *Order) sameAs(other Order) bool {
	return or.Plan.Service == other.Plan.Service && or.Plan.Version == other.Plan.Version && or.Plan.Within == other.Plan.Within
}

// isRewriteOf reports whether an order is another one that was written again after the key-value
// service was restored.
func (or *Order) isRewriteOf(other Order) bool {
	return or.Revision.Era != other.Revision.Era && or.sameAs(other)
}

// isRewrittenBy reports whether an order is the one that another one, read from a restored service,
// shows: a copy holds the order before if the newest one was lost.
func (or *Order) isRewrittenBy(other Order) bool {
	return or != nil && or.Revision.Number == other.Revision.Number && other.isRewriteOf(*or)
}

// StoredPhase is the phase of a roll-out as it is kept.
type StoredPhase struct {
	Service string
	// Order is the revision of the order that the phase belongs to.
	Order revision.Revision
	Phase rollout.Phase
	// Version is the order's, Withdrawn holds those that get nothing.
	Version   string
	Withdrawn []string
	// Shares is what is tried of each route.
	Shares rollout.Shares
	// Burst is what is tried besides of each route in the last part of the trial.
	Burst float64
	// Elapsed is the time from the order to the write.
	Elapsed time.Duration
	// Revision is what the next change is compared with.
	Revision revision.Revision
}

// belongsTo reports whether a phase is one of an order. After a restore of the key-value service
// an order has another revision than the phases that were stored before.
func (ph *StoredPhase) belongsTo(or Order) bool {
	return ph.Order == or.Revision || ph.Order.Era != or.Revision.Era && ph.Version == or.Plan.Version
}

// isMissing reports whether a restored service does not hold the phase.
func (ph *StoredPhase) isMissing() bool { return ph.Revision.Number == 0 }

// Tally is what one gateway tells the others of the version being rolled out, from its
// start on.
type Tally struct {
	Service string
	// Order is the revision of the order that it belongs to, Version the order's.
	Order   revision.Revision
	Version string
	// Box is the gateway's, Life tells its processes apart that ran one after the other.
	Box      string
	Life     uint64
	Outcomes rollout.Outcomes
}

// belongsTo reports whether a tally is of an order, as with a phase.
func (ta *Tally) belongsTo(or Order) bool {
	return ta.Order == or.Revision || ta.Order.Era != or.Revision.Era && ta.Version == or.Plan.Version
}

// processID names the process that a tally is of.
func (ta *Tally) processID() string { return ta.Box + "/" + strconv.FormatUint(ta.Life, 36) }

// ErrHistoryUnavailable means that a watch cannot go on from its revision.
var ErrHistoryUnavailable = eris.New("the history of the key-value service does not reach back")

// Lease names a lease of the key-value service.
type Lease int64

// ErrLeaseExpired means that a lease ran out before it was renewed.
var ErrLeaseExpired = eris.New("the lease is over")

// Store is the platform's key-value service.
type Store interface {
	// Read reads everything. Where that takes several calls it goes on after the first one
	// only if goOn says so, given a first part that holds the members; it reports whether the
	// state is whole. Answers that name no era are taken to be of the given one.
	Read(ctx context.Context, era uint64, goOn func(first State) bool) (st State, whole bool, err error)
	// Watch returns what changed after a revision, or nothing when the wait is
	// over, and the revision to go on from. If that is of another era, the changes are not all.
	// An answer that names no era is taken to be of that of the revision.
	Watch(ctx context.Context, after revision.Revision, wait time.Duration) (State, error)
	// StorePhase keeps a phase if the stored one still has the revision that it
	// names. It reports whether it does.
	StorePhase(ctx context.Context, or Order, ph StoredPhase) (bool, error)
	// StoreTallies keeps tallies of one roll-out, the own one and those of gateways that report to
	// this one, in place of the box's last ones.
	StoreTallies(ctx context.Context, box string, tallies []Tally) error
	// StoreBlock keeps a block, Unblock ends it.
	StoreBlock(ctx context.Context, bl poison.Block) error
	DeleteBlock(ctx context.Context, pr poison.Print) error
	// Join makes a gateway a member for as long as the lease is renewed.
	Join(ctx context.Context, me relay.Member, ttl time.Duration) (Lease, error)
	// RenewLease renews a lease; it returns ErrLeaseOver if there is none any more.
	RenewLease(ctx context.Context, le Lease) error
}

// Bounds are the platform's figures that the gateway holds to.
type Bounds struct {
	// MaxConfigAge is how old the configuration may be at which a key is accepted;
	// zero for no bound.
	MaxConfigAge time.Duration
	// RetryRatio and RetryWindow bound attempts beyond the first over all
	// gateways.
	RetryRatio  float64
	RetryWindow time.Duration
	// CanaryShare is the part of a service's requests that a bad version may get
	// in the time of its roll-out, CanaryExtra how many besides, from all gateways
	// together.
	CanaryShare float64
	CanaryExtra float64
	// ColdRatio and ColdExtra bound what may reach a cold server within a second, from all
	// gateways together: the rate that it bears times the ratio, and so many more.
	ColdRatio float64
	ColdExtra float64
}

// keyAcceptanceAge returns the age of the configuration up to which keys are accepted.
func (bo Bounds) keyAcceptanceAge() time.Duration {
	return bo.MaxConfigAge - min(staleMargin, bo.MaxConfigAge/staleShare)
}
