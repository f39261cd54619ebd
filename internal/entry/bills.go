package entry

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// maxBillsPerForward is the maximum number of bill lines that are forwarded at once.
const maxBillsPerForward = 2000

// addBills adds bill lines to the outbox, which retains them until they are durable. They are from
// this entry's requests, or from an agent whose link to the entry of the request is lost.
func (en *Entry) addBills(lines []wire.BillLine) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, li := range lines {
		en.outbox.Add(li, now)
	}
}

// confirmBills removes durable lines from the outbox and acknowledges them to the agents that
// retain them, with the next heartbeat.
func (en *Entry) confirmBills(lines []wire.BillLine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.outbox.RemoveDurable(lines)
	for _, li := range lines {
		if len(en.billAcks[li.Box]) < maxBillAcks {
			en.billAcks[li.Box] = append(en.billAcks[li.Box], wire.BillLine{Request: li.Request, Step: li.Step})
		}
	}
}

// maxBillAcks is the maximum number of acknowledgements that are pending for one agent. Further
// ones are dropped; the agent then sends its lines again and they are acknowledged again.
const maxBillAcks = 5000

// takeBillAcks returns and removes the pending acknowledgements for an agent.
func (en *Entry) takeBillAcks(box string) []wire.BillLine {
	en.mu.Lock()
	defer en.mu.Unlock()
	lines := en.billAcks[box]
	delete(en.billAcks, box)
	return lines
}

// forwardBills sends due bill lines to the agents that write them to the store. All lines of one
// document go to the same agent as long as the entries of the data centre are connected to the same
// agents; otherwise compare-and-swap resolves concurrent writes.
func (en *Entry) forwardBills(now time.Time) {
	en.mu.Lock()
	lines := en.outbox.TakeDue(maxBillsPerForward, now)
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
			li.Send(&wire.Frame{Kind: wire.Bills, Bills: batch})
		}
	}
}

// localAgents returns the connected agents in the entry's own data centre, or all connected agents
// if it has none.
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
