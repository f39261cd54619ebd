// Package relay propagates the state of the key-value service among gateways, so that only some of
// them call the service. In each data centre a few gateways, the watchers, watch it; the others ask
// a watcher for changes, over a WebSocket with messages in CBOR, and call the service if their
// watchers fail. Of many watchers only the roots call the service. Gateways report the load of
// backend servers, their number and the outcomes of a version on trial over the same kind of
// connection.
package relay

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// Request asks for the changes after a revision of the key-value service. The
// fields are exported because the codec needs them.
type Request struct {
	After revision.Revision `cbor:"1,keyasint"`
	// Wait is how long the answer may be held until there is a change.
	Wait time.Duration `cbor:"2,keyasint"`
}

// Update answers a Request. The fields are exported because the codec needs them.
type Update struct {
	// Revision is the one to go on from.
	Revision revision.Revision `cbor:"1,keyasint"`
	// Age is the longest time since the watcher's state was complete.
	Age time.Duration `cbor:"2,keyasint"`
	// Batches holds the changes in order.
	Batches []Batch `cbor:"3,keyasint,omitempty"`
	// Unknown is set if the watcher's history does not reach back to the revision.
	Unknown bool `cbor:"4,keyasint,omitempty"`
	// Snapshot holds the whole state as the watcher encoded it, if its history does not reach back.
	Snapshot []byte `cbor:"5,keyasint,omitempty"`
}

// Batch holds changes that were received together. The fields are exported because the codec
// needs them.
type Batch struct {
	// To is the revision that the changes lead to.
	To revision.Revision `cbor:"1,keyasint"`
	// Data holds them as the watcher encoded them.
	Data []byte `cbor:"2,keyasint"`
}

// Feed answers requests.
type Feed interface {
	// Updates returns the changes after a revision, or nothing when the wait is over.
	Updates(ctx context.Context, rq Request) Update
}

// Report is sent to another gateway, which answers with its own. The fields are exported because
// the codec needs them.
type Report struct {
	// Box is the sender's.
	Box string `cbor:"1,keyasint"`
	// Collector is set if Work includes that of all gateways that report to the sender.
	Collector bool      `cbor:"2,keyasint,omitempty"`
	Work      load.Work `cbor:"3,keyasint,omitempty"`
	// Ready is set if the sender serves new callers.
	Ready bool `cbor:"4,keyasint,omitempty"`
	// Gateways is the number of gateways that Work includes.
	Gateways int `cbor:"5,keyasint,omitempty"`
	// Tallies holds outcomes of versions on trial as the sender encoded them, for the collector to
	// pass on.
	Tallies []byte `cbor:"6,keyasint,omitempty"`
	// Suspicions holds the suspicions that the receiver does not have yet, Blocks the requests that
	// were blocked recently.
	Suspicions []poison.Suspicion `cbor:"7,keyasint,omitempty"`
	Blocks     []poison.Block     `cbor:"8,keyasint,omitempty"`
	// Doubts names blocked requests that servers answered without ending.
	Doubts []poison.Fingerprint `cbor:"9,keyasint,omitempty"`
	// Limits names the servers whose rate limit changed recently.
	Limits []backpressure.Notice `cbor:"10,keyasint,omitempty"`
	// Leaving names the servers that announced their shutdown recently.
	Leaving []gossip.Notice `cbor:"11,keyasint,omitempty"`
	// Pauses names the servers that recently asked a gateway for a pause.
	Pauses []gossip.Notice `cbor:"12,keyasint,omitempty"`
}

// ReportHandler takes reports.
type ReportHandler interface {
	// Reported takes a report and returns the answer to it.
	Reported(re Report) Report
}

// historyBatches bounds the batches that a watcher keeps. A gateway that is further behind gets the
// whole state.
const historyBatches = 64

// History keeps the newest changes of one era. The zero value knows of no revision. It is
// not safe for concurrent use.
type History struct {
	batches []Batch
	// from is the revision before the oldest batch, to that after the newest.
	from, to revision.Revision
}

// Reset forgets all changes and begins at a revision.
func (hi *History) Reset(re revision.Revision) { hi.batches, hi.from, hi.to = nil, re, re }

// Revision returns the newest revision.
func (hi *History) Revision() revision.Revision { return hi.to }

// Add takes changes; a batch without data means that nothing of interest changed.
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
	if len(hi.batches) > historyBatches {
		hi.from = hi.batches[0].To
		hi.batches = hi.batches[1:]
	}
}

// Since returns the changes after a revision and the revision to go on from, or
// false if they are not all known, as of another era. A batch that the revision lies
// within is returned whole: changes may be applied again in their order.
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
