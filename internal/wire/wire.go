// Package wire defines the frames that entries and agents exchange, and their encoding. Each
// WebSocket message is a sequence of CBOR items, one per frame.
package wire

import (
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/codec"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// Kind is the kind of a frame.
type Kind string

// The kinds of frames.
const (
	// Heartbeat is sent periodically and carries the sender's revision and load.
	Heartbeat Kind = "beat"
	// Open asks an agent to run one attempt.
	Open Kind = "open"
	// Admission reports whether an attempt was queued, started or refused.
	Admission Kind = "verdict"
	// Head carries the status and content type of a response.
	Head Kind = "head"
	// Data carries a chunk of a response body.
	Data Kind = "data"
	// End reports the outcome of an attempt that was started.
	End Kind = "end"
	// Cancel asks an agent to cancel an attempt.
	Cancel Kind = "cancel"
	// Offer reports the revision of the configuration that the sender has.
	Offer Kind = "offer"
	// Want requests the changes of the configuration after a revision.
	Want Kind = "want"
	// Config carries a configuration or a diff.
	Config Kind = "config"
	// Peers lists the entries of the data centre that are connected to an agent.
	Peers Kind = "peers"
	// Claim asks an agent to make a claim durable.
	Claim Kind = "claim"
	// ClaimReply answers a Claim.
	ClaimReply Kind = "claimed"
	// Bills delivers bill lines towards their writer.
	Bills Kind = "bill"
	// BillsBuffered lists bill lines that their writer has buffered in memory because the store does
	// not accept them at the moment.
	BillsBuffered Kind = "taken"
	// CrashSuspects lists requests that were on the agent's server shortly before it crashed.
	CrashSuspects Kind = "suspect"
	// BillsStored lists bill lines that are durable.
	BillsStored Kind = "billed"
)

// Frame is the unit of communication between an entry and an agent. Only the fields that its kind
// requires are set. The fields are exported because the codec needs them.
type Frame struct {
	Kind Kind `cbor:"1,keyasint"`
	// Stream identifies an attempt. The entry numbers the attempts of each link.
	Stream uint64 `cbor:"2,keyasint,omitempty"`
	// Seq is the sequence number of a Head, Data or End frame within its attempt, starting at 1.
	Seq uint32 `cbor:"3,keyasint,omitempty"`
	// Body is a chunk of a response body.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// Code is set in Admission and End.
	Code result.Code `cbor:"5,keyasint,omitempty"`
	// RetryAfterMS is set in an Admission that refuses the attempt.
	RetryAfterMS int64 `cbor:"6,keyasint,omitempty"`
	// Revision is set in Heartbeat, Offer, Want and Admission.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// Nonce is set in Want and echoed in the Offer that answers it. It shows that the Offer was sent
	// after the Want.
	Nonce uint64 `cbor:"8,keyasint,omitempty"`
	// Stamp is a clock value that orders the timelines of the two processes.
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
	// Fingerprints identifies requests: in an entry's heartbeat, those that it blocks; in an agent's
	// heartbeat, those among them that its server answered completely and survived.
	Fingerprints []poison.Fingerprint `cbor:"20,keyasint,omitempty"`
	// Suspects holds, in an entry's heartbeat, the parts of prompts that it suspects; Clears, in an
	// agent's, those among them with which its server survived responses.
	Suspects []poison.Suspect `cbor:"21,keyasint,omitempty"`
	Clears   []poison.Clear   `cbor:"22,keyasint,omitempty"`
}

// Attempt holds what an agent needs to admit and run one attempt.
type Attempt struct {
	Request string `cbor:"1,keyasint"`
	Number  int    `cbor:"2,keyasint"`
	// Step is the position of this call in a cascade, starting at 0.
	Step int    `cbor:"3,keyasint,omitempty"`
	Team string `cbor:"4,keyasint"`
	// Version is the model version; it is empty for a plain service.
	Version string `cbor:"5,keyasint,omitempty"`
	Service string `cbor:"6,keyasint,omitempty"`
	Kind    string `cbor:"7,keyasint,omitempty"`
	// InSession is set if the request belongs to a session of this version.
	InSession bool `cbor:"8,keyasint,omitempty"`
	Priority  int  `cbor:"9,keyasint,omitempty"`
	// WaitMS is the maximum time in the queue, in milliseconds.
	WaitMS int64 `cbor:"10,keyasint"`
	// HideUsage is set if the caller did not request usage, so that it is removed from the response.
	HideUsage bool `cbor:"11,keyasint,omitempty"`
	// AtMostOnce marks a request that must not be repeated. Once started, it runs to completion even
	// if its entry disconnects.
	AtMostOnce bool   `cbor:"16,keyasint,omitempty"`
	Method     string `cbor:"12,keyasint"`
	Path       string `cbor:"13,keyasint"`
	Type       string `cbor:"14,keyasint,omitempty"`
	Body       []byte `cbor:"15,keyasint,omitempty"`
	// Fingerprint is the fingerprint of the caller's request. It does not depend on the version that
	// the attempt uses.
	Fingerprint poison.Fingerprint `cbor:"17,keyasint,omitempty"`
	// Parts holds the ids of the parts of the prompt that other requests may share.
	Parts []string `cbor:"18,keyasint,omitempty"`
}

// Load is the load of a backend server, as its agent reports it.
type Load struct {
	Running int `cbor:"1,keyasint,omitempty"`
	Queued  int `cbor:"2,keyasint,omitempty"`
	Slots   int `cbor:"3,keyasint,omitempty"`
	// Leaving is set if the server accepts no new attempts because it or its agent is shutting down.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Versions holds the outcome counters of the versions on this server since the agent started.
	Versions []Outcome `cbor:"5,keyasint,omitempty"`
}

// Outcome counts the finished attempts of one version at one agent, and the failed ones among them.
type Outcome struct {
	Version string `cbor:"1,keyasint" json:"version"`
	Started uint64 `cbor:"2,keyasint,omitempty" json:"started"`
	Failed  uint64 `cbor:"3,keyasint,omitempty" json:"failed"`
}

// ResponseHead holds the status and content type of a response.
type ResponseHead struct {
	Status int    `cbor:"1,keyasint"`
	Type   string `cbor:"2,keyasint,omitempty"`
}

// Usage is the token consumption of an attempt.
type Usage struct {
	Prompt     int64 `cbor:"1,keyasint,omitempty" json:"prompt"`
	Completion int64 `cbor:"2,keyasint,omitempty" json:"completion"`
	// Confidence is the engine's own confidence estimate from 0 to 1, negative if there is none.
	Confidence float64 `cbor:"3,keyasint,omitempty" json:"confidence,omitempty"`
}

// ConfigUpdate carries a revision of the configuration from one process to another.
type ConfigUpdate struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Base is the revision to which the differences apply; zero if Document is a complete document.
	Base uint64 `cbor:"2,keyasint,omitempty"`
	// Document is the complete document or the list of differences, in JSON.
	Document []byte `cbor:"3,keyasint,omitempty"`
	// Digest is the checksum of the document that results from the differences.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
}

// ClaimLine is a request for a claim, or the reply to it.
type ClaimLine struct {
	// Key is the claimed key; Value is the value that the claimant proposes, or the winning one.
	Key   string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
	// Durable requires that the claim is stored in the key-value service before it is granted.
	Durable bool `cbor:"3,keyasint,omitempty"`
	// Release releases the key if Value still holds it.
	Release bool `cbor:"5,keyasint,omitempty"`
	// Code is set in a reply and reports whether the proposed value won.
	Code result.Code `cbor:"4,keyasint,omitempty"`
}

// BillLine is a line item of a request's bill.
type BillLine struct {
	Request string `cbor:"1,keyasint" json:"request"`
	// Step is the position of the call in a cascade. The pair of Request and Step is unique.
	Step    int    `cbor:"2,keyasint,omitempty" json:"step"`
	Team    string `cbor:"3,keyasint,omitempty" json:"team"`
	Version string `cbor:"4,keyasint,omitempty" json:"version"`
	Kind    string `cbor:"5,keyasint,omitempty" json:"kind,omitempty"`
	Usage   Usage  `cbor:"6,keyasint,omitempty" json:"usage"`
	// Cost is in millionths of the operators' currency unit.
	Cost int64 `cbor:"7,keyasint,omitempty" json:"cost"`
	// Box is the box of the agent that ran the call.
	Box string `cbor:"8,keyasint,omitempty" json:"box,omitempty"`
}

// MaxMessageBytes is the maximum size of a message.
const MaxMessageBytes = 8 << 20

// ErrMalformedFrame is wrapped by all errors of Decode.
var ErrMalformedFrame = eris.New("malformed frame")

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = mustDec(decoding().DecMode())
)

// decoding returns the options with which frames are decoded.
func decoding() cbor.DecOptions {
	do := codec.Decoding
	do.MaxNestedLevels, do.MaxArrayElements, do.MaxMapPairs, do.DupMapKey = 8, 1<<17, 64, cbor.DupMapKeyEnforcedAPF
	return do
}

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

// Append encodes a frame and writes it.
func Append(wr io.Writer, fr *Frame) error {
	return eris.Wrap(encMode.NewEncoder(wr).Encode(fr), "encode frame")
}

// Decode decodes the frames of one message. At the first malformed or incomplete frame it returns
// an error with the frames before it.
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

// check returns an error if a frame lacks a field that its kind requires.
func (fr *Frame) check() error {
	valid := true
	switch fr.Kind {
	case Open:
		valid = fr.Open != nil && fr.Stream != 0
	case Head:
		valid = fr.Head != nil && fr.Stream != 0 && fr.Seq != 0
	case Data, End:
		valid = fr.Stream != 0 && fr.Seq != 0
	case Admission, Cancel:
		valid = fr.Stream != 0
	case Config:
		valid = fr.Config != nil
	case Heartbeat, Offer, Want, Peers, Claim, ClaimReply, Bills, BillsBuffered, BillsStored, CrashSuspects:
	default:
		valid = false
	}
	if !valid {
		return eris.Wrapf(ErrMalformedFrame, "kind %q", string(fr.Kind))
	}
	return nil
}
