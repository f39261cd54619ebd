// Package relay spreads what the key-value service says among gateways, so that
// only some of them call the service. A few in each data centre, the watchers,
// watch the service; the others ask a watcher for changes, over a WebSocket with
// messages in CBOR, and go to the service themselves as soon as it fails them. Of many
// watchers only the roots call the service, and the other watchers ask them. Over
// the same kind of connection gateways tell each other the load of backend servers,
// how many they are, and what became of a version on trial.
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
	// Age is how long ago the watcher was last sure to know all changes, at the
	// most.
	Age time.Duration `cbor:"2,keyasint"`
	// Batches holds the changes in order.
	Batches []Batch `cbor:"3,keyasint,omitempty"`
	// Unknown is set if the watcher's history does not reach back to the revision.
	Unknown bool `cbor:"4,keyasint,omitempty"`
	// Whole holds the whole state as the watcher encoded it, where it keeps one for others
	// and its history does not reach back.
	Whole []byte `cbor:"5,keyasint,omitempty"`
}

// Batch is changes that came together. The fields are exported because the codec
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

// Report tells another gateway of the work in progress on backend servers; the
// answer to it is one as well. The fields are exported because the codec needs them.
type Report struct {
	// Box is the sender's.
	Box string `cbor:"1,keyasint"`
	// Collector is set if Work is that of all gateways that report to the sender, not
	// only the sender's own.
	Collector bool      `cbor:"2,keyasint,omitempty"`
	Work      load.Work `cbor:"3,keyasint,omitempty"`
	// Ready is set if the sender serves new callers.
	Ready bool `cbor:"4,keyasint,omitempty"`
	// Gateways is how many gateways Work is of.
	Gateways int `cbor:"5,keyasint,omitempty"`
	// Tallies is what the sender tells of versions being rolled out, as it encoded it, for
	// the collector to pass on.
	Tallies []byte `cbor:"6,keyasint,omitempty"`
	// Suspicions is what the receiver has not heard yet of requests under which servers
	// ended, Blocks which of them were blocked just now.
	Suspicions []poison.Suspicion `cbor:"7,keyasint,omitempty"`
	Blocks     []poison.Block     `cbor:"8,keyasint,omitempty"`
	// Doubts names blocked requests that servers answer elsewhere and live on.
	Doubts []poison.Print `cbor:"9,keyasint,omitempty"`
	// Limits names the servers that name limits in their answers since a moment ago, or other
	// ones, or none any more.
	Limits []backpressure.Notice `cbor:"10,keyasint,omitempty"`
	// Leaving names the servers that have just announced their shutdown.
	Leaving []gossip.Notice `cbor:"11,keyasint,omitempty"`
	// Pauses names the servers that have just asked a gateway for a pause.
	Pauses []gossip.Notice `cbor:"12,keyasint,omitempty"`
}

// Loads takes reports.
type Loads interface {
	// Reported takes a report and returns the answer to it.
	Reported(re Report) Report
}

// historyBatches bounds the batches that a watcher keeps. Watchers gather changes
// for 0.3 s, so that these are 19 s at the least; who is further behind goes to
// the service itself.
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
