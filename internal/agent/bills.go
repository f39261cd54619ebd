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
	// billWriteInterval is how often the agent checks for batches that are due.
	billWriteInterval = 250 * time.Millisecond
	// billGracePeriod is the time that the entry of a request has to deliver its bill line before the
	// agent delivers it as well.
	billGracePeriod = 30 * time.Second
)

// sendDueBills sends unconfirmed bill lines to a random entry, which forwards them to the writer.
// Normally the entry of the request delivers them first; this covers the loss of that entry.
func (ag *Agent) sendDueBills(now time.Time) {
	links := ag.Node.Links()
	if len(links) == 0 {
		return
	}
	ag.mu.Lock()
	lines := ag.outbox.TakeDue(maxBillsPerFrame, now)
	ag.mu.Unlock()
	if len(lines) > 0 {
		li := links[rand.IntN(len(links))]
		li.Send(&wire.Frame{Kind: wire.Bills, Bills: lines})
	}
}

// writeBills writes the batches that this agent collects for its data centre.
func (ag *Agent) writeBills(ctx context.Context) error {
	return node.Every(ctx, billWriteInterval, func(time.Time) { ag.writeDueBills(ctx) })
}

func (ag *Agent) writeDueBills(ctx context.Context) {
	for {
		ag.mu.Lock()
		wr, ok := ag.writer.NextWrite(time.Now(), ag.Node.Stopping())
		ag.mu.Unlock()
		if !ok {
			return
		}
		err := bill.Save(ctx, ag.Store, wr)
		ag.billsWritten(wr, err)
		if err != nil {
			return
		}
	}
}

// billsWritten records the result of a write and notifies the peers that sent the lines: they are
// durable, or buffered in memory here.
func (ag *Agent) billsWritten(wr bill.Write, err error) {
	if err != nil {
		ag.Node.Record(timeline.Entry{Event: event.BillHeld, Detail: wr.Key() + ": " + err.Error()})
	} else {
		ag.Node.Record(timeline.Entry{Event: event.BillWritten, Detail: wr.Key()})
	}
	ag.mu.Lock()
	acs := ag.writer.HandleWrite(wr.Key(), err == nil, time.Now())
	ag.mu.Unlock()
	for _, ac := range acs {
		kind := wire.BillsBuffered
		if ac.Durable() {
			kind = wire.BillsStored
		}
		if li := ag.Node.Link(ac.Peer()); li != nil {
			li.Send(&wire.Frame{Kind: kind, Bills: ac.Lines()})
		}
	}
}
