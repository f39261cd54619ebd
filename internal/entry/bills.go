package entry

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// billsPerOffer bounds the lines that are handed on at once.
const billsPerOffer = 2000

// hold keeps lines until they are durable: those of this entry's requests and
// those that an agent hands on because their entry is gone.
func (en *Entry) hold(lines []wire.BillLine) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, li := range lines {
		en.ledger.Add(li, now)
	}
}

// billed forgets durable lines and lets the agents that hold them know with
// their next heartbeats.
func (en *Entry) billed(lines []wire.BillLine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.ledger.RemoveDurable(lines)
	for _, li := range lines {
		if len(en.tell[li.Box]) < maxTell {
			en.tell[li.Box] = append(en.tell[li.Box], wire.BillLine{Request: li.Request, Step: li.Step})
		}
	}
}

// maxTell bounds what waits to be told to one agent. An agent that misses it
// hands its lines on again, and is told then.
const maxTell = 5000

// told returns what an agent must be told, once.
func (en *Entry) told(box string) []wire.BillLine {
	en.mu.Lock()
	defer en.mu.Unlock()
	lines := en.tell[box]
	delete(en.tell, box)
	return lines
}

// offerBills hands lines to the agents that write their documents. Every line
// of one document goes to the same agent as long as the entries of the data
// centre see the same agents; if they do not, compare-and-swap keeps order.
func (en *Entry) offerBills(now time.Time) {
	en.mu.Lock()
	lines := en.ledger.TakeDue(billsPerOffer, now)
	en.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	writers := en.localAgents()
	byWriter := map[string][]wire.BillLine{}
	for _, li := range lines {
		key, err := bill.DocumentKey(li.Request)
		if err != nil {
			continue
		}
		box := rendezvous.First(key, writers)
		byWriter[box] = append(byWriter[box], li)
	}
	for box, part := range byWriter {
		if li := en.Node.Link(box); li != nil {
			li.Send(&wire.Frame{Kind: wire.Bills, Bills: part})
		}
	}
}

// localAgents returns the linked agents of the own data centre, or all that
// are linked if there is none.
func (en *Entry) localAgents() []string {
	var local, all []string
	for _, li := range en.Node.Links() {
		all = append(all, li.Peer.Box())
		if li.Peer.DataCentre() == en.Node.Settings.DataCentre {
			local = append(local, li.Peer.Box())
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}
