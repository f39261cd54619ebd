// Package wire defines the frames that entries and agents exchange, and
// their encoding: each WebSocket message is a sequence of CBOR items, one
// frame an item.
package wire

import (
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// Kind tells frames apart.
type Kind string

// The kinds of frames.
const (
	// Heartbeat is the heartbeat; it carries the sender's revision and load.
	Heartbeat Kind = "beat"
	// Open asks an agent to run one attempt.
	Open Kind = "open"
	// Admission says whether the attempt was started or refused.
	Admission Kind = "verdict"
	// Head carries the status and content type of an answer.
	Head Kind = "head"
	// Data carries a part of an answer.
	Data Kind = "data"
	// End closes an attempt that was started.
	End Kind = "end"
	// Cancel stops an attempt.
	Cancel Kind = "cancel"
	// Offer says that the sender holds a revision.
	Offer Kind = "offer"
	// Want asks for the configuration above a revision.
	Want Kind = "want"
	// Config carries a configuration.
	Config Kind = "config"
	// Peers lists the entries that an agent is connected to.
	Peers Kind = "peers"
	// Claim asks an agent to make a claim durable.
	Claim Kind = "claim"
	// ClaimReply answers a Claim.
	ClaimReply Kind = "claimed"
	// Bills hands bill records on.
	Bills Kind = "bill"
	// BillsBuffered names records that their writer holds in memory, since the store
	// does not take them now.
	BillsBuffered Kind = "taken"
	// CrashSuspects names requests that were with the agent's server just before it ended.
	CrashSuspects Kind = "suspect"
	// BillsStored names records that are durable.
	BillsStored Kind = "billed"
)

// Frame is one message. Only the part that its kind names is set. The fields
// are exported because the codec needs them.
type Frame struct {
	Kind Kind `cbor:"1,keyasint"`
	// Stream names an attempt; the entry numbers attempts per connection.
	Stream uint64 `cbor:"2,keyasint,omitempty"`
	// Seq numbers the Head, Data and End frames of an attempt from 1.
	Seq uint32 `cbor:"3,keyasint,omitempty"`
	// Body is a part of an answer.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// Code is set in Verdict, End and Claimed.
	Code result.Code `cbor:"5,keyasint,omitempty"`
	// RetryAfterMS is set in a Verdict that refuses.
	RetryAfterMS int64 `cbor:"6,keyasint,omitempty"`
	// Revision is set in Beat, Offer, Want and Verdict.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// Nonce is echoed, so that an answer is known to be younger than its question.
	Nonce uint64 `cbor:"8,keyasint,omitempty"`
	// Stamp orders the time lines of the two processes.
	Stamp *timeline.Stamp `cbor:"9,keyasint,omitempty"`

	Open   *Attempt      `cbor:"10,keyasint,omitempty"`
	Load   *Load         `cbor:"11,keyasint,omitempty"`
	Head   *ResponseHead `cbor:"12,keyasint,omitempty"`
	Usage  *Usage        `cbor:"13,keyasint,omitempty"`
	Config *ConfigUpdate `cbor:"14,keyasint,omitempty"`
	Peers  []string      `cbor:"15,keyasint,omitempty"`
	Claims []ClaimLine   `cbor:"16,keyasint,omitempty"`
	Bills  []BillLine    `cbor:"17,keyasint,omitempty"`
	IDs    []string      `cbor:"18,keyasint,omitempty"`

	Suspicions []poison.Suspicion `cbor:"19,keyasint,omitempty"`
	// Fingerprints are, in an entry's beat, of the requests that it has blocked; in an agent's, of those
	// among them that its server has answered as a whole and lived on.
	Fingerprints []poison.Fingerprint `cbor:"20,keyasint,omitempty"`
}

// Attempt is what an agent needs to judge and run one attempt.
type Attempt struct {
	Request string `cbor:"1,keyasint"`
	Number  int    `cbor:"2,keyasint"`
	// Step is the place of this call in a cascade, from 0.
	Step int    `cbor:"3,keyasint,omitempty"`
	Team string `cbor:"4,keyasint"`
	// Version is empty for a plain service.
	Version string `cbor:"5,keyasint,omitempty"`
	Service string `cbor:"6,keyasint,omitempty"`
	Kind    string `cbor:"7,keyasint,omitempty"`
	// InSession is set if the request belongs to a session of this version.
	InSession bool `cbor:"8,keyasint,omitempty"`
	Priority  int  `cbor:"9,keyasint,omitempty"`
	// WaitMS is how long the attempt may wait for its start.
	WaitMS int64 `cbor:"10,keyasint"`
	// HideUsage drops the usage part that the caller did not ask for.
	HideUsage bool `cbor:"11,keyasint,omitempty"`
	// AtMostOnce marks a request that runs at most once; it is let run to its end
	// even if its entry is lost.
	AtMostOnce bool   `cbor:"16,keyasint,omitempty"`
	Method     string `cbor:"12,keyasint"`
	Path       string `cbor:"13,keyasint"`
	Type       string `cbor:"14,keyasint,omitempty"`
	Body       []byte `cbor:"15,keyasint,omitempty"`
	// Fingerprint is the fingerprint of the caller's request, whatever version is asked.
	Fingerprint poison.Fingerprint `cbor:"17,keyasint,omitempty"`
}

// Load is what an agent says of its backend server.
type Load struct {
	Running int `cbor:"1,keyasint,omitempty"`
	Queued  int `cbor:"2,keyasint,omitempty"`
	Slots   int `cbor:"3,keyasint,omitempty"`
	// Leaving is set once the server takes nothing new.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Versions are the outcome counters of the versions served here, since
	// the agent started.
	Versions []Outcome `cbor:"5,keyasint,omitempty"`
}

// Outcome counts the attempts of one version at one agent.
type Outcome struct {
	Version string `cbor:"1,keyasint" json:"version"`
	Started uint64 `cbor:"2,keyasint,omitempty" json:"started"`
	Failed  uint64 `cbor:"3,keyasint,omitempty" json:"failed"`
}

// ResponseHead opens an answer.
type ResponseHead struct {
	Status int    `cbor:"1,keyasint"`
	Type   string `cbor:"2,keyasint,omitempty"`
}

// Usage is what an attempt consumed, in tokens.
type Usage struct {
	Prompt     int64 `cbor:"1,keyasint,omitempty" json:"prompt"`
	Completion int64 `cbor:"2,keyasint,omitempty" json:"completion"`
	// Confidence is the engine's own estimate from 0 to 1, negative if none.
	Confidence float64 `cbor:"3,keyasint,omitempty" json:"confidence,omitempty"`
}

// ConfigUpdate carries the configuration from one process to another.
type ConfigUpdate struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Base is the revision that the differences apply to; zero if Document is
	// whole.
	Base uint64 `cbor:"2,keyasint,omitempty"`
	// Document is the whole document, or the list of differences, in JSON.
	Document []byte `cbor:"3,keyasint,omitempty"`
	// Digest is the checksum of the document that differences lead to.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
}

// ClaimLine asks for, or answers, one claim.
type ClaimLine struct {
	// Key is what is claimed; Value is what the claimant wants it to be.
	Key   string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
	// Durable waits for the key-value service whatever it takes.
	Durable bool `cbor:"3,keyasint,omitempty"`
	// Release gives the claim up if Value still holds it.
	Release bool `cbor:"5,keyasint,omitempty"`
	// Code says in an answer whether Value is the winner.
	Code result.Code `cbor:"4,keyasint,omitempty"`
}

// BillLine is one line of a request's bill.
type BillLine struct {
	Request string `cbor:"1,keyasint" json:"request"`
	// Step is the place of the call in a cascade; (Request, Step) is unique.
	Step    int    `cbor:"2,keyasint,omitempty" json:"step"`
	Team    string `cbor:"3,keyasint,omitempty" json:"team"`
	Version string `cbor:"4,keyasint,omitempty" json:"version"`
	Kind    string `cbor:"5,keyasint,omitempty" json:"kind,omitempty"`
	Usage   Usage  `cbor:"6,keyasint,omitempty" json:"usage"`
	// Cost is in millionths of the operators' unit of money.
	Cost int64 `cbor:"7,keyasint,omitempty" json:"cost"`
	// Box is the box of the agent that ran the call.
	Box string `cbor:"8,keyasint,omitempty" json:"box,omitempty"`
}

// MaxMessageBytes bounds a message in bytes.
const MaxMessageBytes = 8 << 20

// ErrMalformedFrame is the cause of every refusal to decode.
var ErrMalformedFrame = eris.New("malformed frame")

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = mustDec(cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      64,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func must(em cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return em
}

func mustDec(dm cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return dm
}

// Append encodes a frame behind what the writer holds.
func Append(wr io.Writer, fr *Frame) error {
	return eris.Wrap(encMode.NewEncoder(wr).Encode(fr), "encode frame")
}

// Decode reads the frames of one message. It stops at the first that is
// malformed or incomplete.
func Decode(msg []byte) ([]*Frame, error) {
	var frames []*Frame
	for len(msg) > 0 {
		var fr Frame
		rest, err := decMode.UnmarshalFirst(msg, &fr)
		if err != nil {
			return frames, errors.Join(ErrMalformedFrame, err)
		}
		if err := fr.check(); err != nil {
			return frames, err
		}
		frames = append(frames, &fr)
		msg = rest
	}
	return frames, nil
}

// check refuses a frame that lacks the part that its kind names.
func (fr *Frame) check() error {
	ok := true
	switch fr.Kind {
	case Open:
		ok = fr.Open != nil && fr.Stream != 0
	case Head:
		ok = fr.Head != nil && fr.Stream != 0 && fr.Seq != 0
	case Data, End:
		ok = fr.Stream != 0 && fr.Seq != 0
	case Admission, Cancel:
		ok = fr.Stream != 0
	case Config:
		ok = fr.Config != nil
	case Heartbeat, Offer, Want, Peers, Claim, ClaimReply, Bills, BillsBuffered, BillsStored, CrashSuspects:
	default:
		ok = false
	}
	if !ok {
		return eris.Wrapf(ErrMalformedFrame, "kind %q", string(fr.Kind))
	}
	return nil
}
