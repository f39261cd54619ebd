// Package relay propagates the state of the key-value service among gateways, so that only some of
// them call the service. In each data centre a few gateways, the watchers, watch it; the others ask
// a watcher for changes, over a WebSocket with messages in CBOR, and call the service if their
// watchers fail. If there are many watchers, only some of them, the roots, call the service. Over
// the same kind of connection, gateways report the load of backend servers, the number of gateways
// and the outcomes of a version under trial.
package relay

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/departure"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/lending"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/usage"
)

// Request asks for the changes after a revision of the key-value service. The fields are exported
// because the codec needs them.
type Request struct {
	After revision.Revision `cbor:"1,keyasint"`
	// Wait is how long the response may be delayed until there is a change.
	Wait time.Duration `cbor:"2,keyasint"`
}

// Update answers a Request. The fields are exported because the codec needs them.
type Update struct {
	// Revision is the one to continue from.
	Revision revision.Revision `cbor:"1,keyasint"`
	// Age is an upper bound of the time since the watcher's state was complete, Waited the time since
	// the watcher received the request.
	Age    time.Duration `cbor:"2,keyasint"`
	Waited time.Duration `cbor:"6,keyasint,omitempty"`
	// Batches holds the changes in order.
	Batches []Batch `cbor:"3,keyasint,omitempty"`
	// Unknown is set if the watcher's history does not reach back to the revision.
	Unknown bool `cbor:"4,keyasint,omitempty"`
	// Snapshot holds the complete state as the watcher encoded it, if its history does not reach
	// back.
	Snapshot []byte `cbor:"5,keyasint,omitempty"`
}

// AgeAtRequest returns an upper bound of the age that the watcher's state had when it received the
// request, negative if the state was confirmed later. elapsed is the time since the request was sent.
func (up *Update) AgeAtRequest(elapsed time.Duration) time.Duration {
	return max(0, up.Age) - max(0, min(up.Waited, elapsed))
}

// Batch holds changes that were received together. The fields are exported because the codec
// needs them.
type Batch struct {
	// To is the revision after the changes.
	To revision.Revision `cbor:"1,keyasint"`
	// Data holds the changes as the watcher encoded them.
	Data []byte `cbor:"2,keyasint"`
}

// Feed answers requests.
type Feed interface {
	// Updates returns the changes after a revision, or none if there are none before the wait is
	// over.
	Updates(ctx context.Context, rq Request) Update
}

// Report is sent to another gateway, which replies with its own. The fields are exported because
// the codec needs them.
type Report struct {
	// Box is the sender's box.
	Box string `cbor:"1,keyasint"`
	// Collector is set if Work includes the work of all gateways that report to the sender.
	Collector bool      `cbor:"2,keyasint,omitempty"`
	Work      load.Work `cbor:"3,keyasint,omitempty"`
	// Ready is set if the sender accepts requests of new callers.
	Ready bool `cbor:"4,keyasint,omitempty"`
	// Gateways is the number of gateways that Work includes.
	Gateways int `cbor:"5,keyasint,omitempty"`
	// Tallies holds outcomes of versions under trial as the sender encoded them, for the collector
	// to pass on.
	Tallies []byte `cbor:"6,keyasint,omitempty"`
	// Suspicions holds the suspicions that the receiver does not have yet, Blocks the requests that
	// were blocked recently.
	Suspicions []poison.Suspicion `cbor:"7,keyasint,omitempty"`
	Blocks     []poison.Block     `cbor:"8,keyasint,omitempty"`
	// Doubts lists blocked requests that servers answered without crashing.
	Doubts []poison.Fingerprint `cbor:"9,keyasint,omitempty"`
	// Suspects lists the parts of prompts that may have caused a recent crash, Clears those with which
	// servers survived responses.
	Suspects []poison.Suspect `cbor:"14,keyasint,omitempty"`
	Clears   []poison.Clear   `cbor:"15,keyasint,omitempty"`
	// WantedSuspicion is the sequence number of the next suspicion that a collector wants from the
	// receiver, NextSuspicion in a reply that of the first one that it does not contain.
	WantedSuspicion uint64 `cbor:"17,keyasint,omitempty"`
	NextSuspicion   uint64 `cbor:"18,keyasint,omitempty"`
	// Demand is the rate of requests of the gateways that Work includes, per second.
	Demand float64 `cbor:"19,keyasint,omitempty"`
	// Offer lends units of shared quotas to the receiver or asks for some, Loan is the reply to it.
	Offer *lending.Offer `cbor:"20,keyasint,omitempty"`
	Loan  *lending.Reply `cbor:"21,keyasint,omitempty"`
	// Crashes lists the servers that crashed recently.
	Crashes []poison.CrashNotice `cbor:"16,keyasint,omitempty"`
	// Limits lists the servers whose rate limit changed recently.
	Limits []backpressure.Notice `cbor:"10,keyasint,omitempty"`
	// Leaving lists the servers that announced their shutdown recently.
	Leaving []gossip.Notice `cbor:"11,keyasint,omitempty"`
	// Pauses lists the servers that recently requested a pause from a gateway.
	Pauses []gossip.Notice `cbor:"12,keyasint,omitempty"`
	// Departures lists the servers that stopped accepting requests.
	Departures *departure.Message `cbor:"22,keyasint,omitempty"`
	// Usage holds counts of requests for usage reports.
	Usage *usage.Message `cbor:"13,keyasint,omitempty"`
}

// ReportHandler handles reports.
type ReportHandler interface {
	// Reported handles a report and returns the reply to it.
	Reported(re Report) Report
}

// maxBatches bounds a watcher's history. A gateway that is further behind gets the complete state.
const maxBatches = 64

// History holds the latest changes of one era. The zero value has no revision. It is not safe for
// concurrent use.
type History struct {
	batches []Batch
	// from is the revision before the oldest batch, to the one after the newest.
	from, to revision.Revision
}

// Reset drops all changes and continues from a revision.
func (hi *History) Reset(re revision.Revision) { hi.batches, hi.from, hi.to = nil, re, re }

// Revision returns the newest revision.
func (hi *History) Revision() revision.Revision { return hi.to }

// Add appends a batch. A batch without data means that nothing relevant changed up to its revision.
func (hi *History) Add(ba Batch) {
	if ba.To.Era != hi.to.Era {
		hi.Reset(ba.To)
		return
	}
	if !ba.To.After(hi.to) {
		return
	}
	hi.to = ba.To
	if len(ba.Data) == 0 {
		return
	}
	hi.batches = append(hi.batches, ba)
	if len(hi.batches) > maxBatches {
		hi.from = hi.batches[0].To
		hi.batches = hi.batches[1:]
	}
}

// Since returns the changes after a revision and the revision to continue from, or false if the
// history does not hold all of them, as for another era. A batch that extends beyond the revision
// is returned completely, since changes may be applied again in their order.
func (hi *History) Since(after revision.Revision) (batches []Batch, to revision.Revision, ok bool) {
	if hi.to.IsZero() || after.Era != hi.to.Era || hi.from.After(after) {
		return nil, after, false
	}
	for _, ba := range hi.batches {
		if ba.To.After(after) {
			batches = append(batches, ba)
		}
	}
	if hi.to.After(after) {
		after = hi.to
	}
	return batches, after, true
}
