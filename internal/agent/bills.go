package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

const (
	// writeCheck is how often the writer looks for a batch that is due.
	writeCheck = 250 * time.Millisecond
	// ownGrace is how long the entry of a request has to hand its line on
	// before the agent does so too.
	ownGrace = 30 * time.Second
)

// offerBills hands lines that nobody has confirmed to some entry, which finds
// the writer. The entry of the request does so first; this is for its loss.
func (ag *Agent) offerBills(now time.Time) {
	links := ag.Node.Links()
	if len(links) == 0 {
		return
	}
	ag.mu.Lock()
	lines := ag.ledger.TakeDue(billsPerOffer, now)
	ag.mu.Unlock()
	if len(lines) > 0 {
		li := links[rand.IntN(len(links))]
		li.Send(&wire.Frame{Kind: wire.Bill, Bills: lines})
	}
}

// writeBills writes the batches that this agent gathers for its data centre.
func (ag *Agent) writeBills(ctx context.Context) error {
	return node.Every(ctx, writeCheck, func(time.Time) { ag.writeDue(ctx) })
}

func (ag *Agent) writeDue(ctx context.Context) {
	for {
		ag.mu.Lock()
		wr, ok := ag.writer.NextWrite(time.Now(), ag.Node.Stopping())
		ag.mu.Unlock()
		if !ok {
			return
		}
		err := bill.Save(ctx, ag.Store, wr)
		ag.written(wr, err)
		if err != nil {
			return
		}
	}
}

func (ag *Agent) written(wr bill.Write, err error) {
	if err != nil {
		ag.Node.Note(timeline.Entry{Event: event.BillHeld, Detail: wr.Key() + ": " + err.Error()})
	} else {
		ag.Node.Note(timeline.Entry{Event: event.BillWritten, Detail: wr.Key()})
	}
	ag.mu.Lock()
	acs := ag.writer.HandleWrite(wr.Key(), err == nil, time.Now())
	ag.mu.Unlock()
	for _, ac := range acs {
		kind := wire.Taken
		if ac.Durable() {
			kind = wire.Billed
		}
		if li := ag.Node.Link(ac.Peer()); li != nil {
			li.Send(&wire.Frame{Kind: kind, Bills: ac.Lines()})
		}
	}
}
