package entry

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// maxBillsPerForward bounds the lines that are handed on at once.
const maxBillsPerForward = 2000

// addBills keeps lines until they are durable: those of this entry's requests and
// those that an agent hands on because their entry is gone.
func (en *Entry) addBills(lines []wire.BillLine) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, li := range lines {
		en.ledger.Add(li, now)
	}
}

// confirmBills forgets durable lines and lets the agents that hold them know with
// their next heartbeats.
func (en *Entry) confirmBills(lines []wire.BillLine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.ledger.Durable(lines)
	for _, li := range lines {
		if len(en.billAcks[li.Box]) < maxBillAcks {
			en.billAcks[li.Box] = append(en.billAcks[li.Box], wire.BillLine{Request: li.Request, Step: li.Step})
		}
	}
}

// maxBillAcks bounds what waits to be told to one agent. An agent that misses it
// hands its lines on again, and is told then.
const maxBillAcks = 5000

// takeBillAcks returns what an agent must be takeBillAcks, once.
func (en *Entry) takeBillAcks(box string) []wire.BillLine {
	en.mu.Lock()
	defer en.mu.Unlock()
	lines := en.billAcks[box]
	delete(en.billAcks, box)
	return lines
}

// forwardBills hands lines to the agents that write their documents. Every line
// of one document goes to the same agent as long as the entries of the data
// centre see the same agents; if they do not, compare-and-swap keeps order.
func (en *Entry) forwardBills(now time.Time) {
	en.mu.Lock()
	lines := en.ledger.Due(maxBillsPerForward, now)
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
	for box, batch := range byWriter {
		if li := en.Node.Link(box); li != nil {
			li.Send(&wire.Frame{Kind: wire.Bill, Bills: batch})
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
