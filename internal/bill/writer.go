package bill

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unique"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

func compareLines(a, b *wire.BillLine) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Step, b.Step))
}

// Write is one document that must be merged into the store.
type Write struct {
	key   string
	lines []wire.BillLine
}

// Key returns the document's key.
func (wr Write) Key() string { return wr.key }

// Lines returns what must be in the document afterwards.
func (wr Write) Lines() []wire.BillLine { return wr.lines }

// Ack tells a peer that its lines are durable, or at least held.
type Ack struct {
	peer    string
	lines   []wire.BillLine
	durable bool
}

// Durable reports whether the lines are in the store.
func (ac Ack) Durable() bool { return ac.durable }

// Peer returns whom to tell.
func (ac Ack) Peer() string { return ac.peer }

// Lines returns the lines, each by request, step and box alone.
func (ac Ack) Lines() []wire.BillLine { return ac.lines }

// batch is what waits for one document.
type batch struct {
	// lines holds each line once.
	lines []wire.BillLine
	// senders holds the peers that handed each line on, each once.
	senders map[lineKey][]string
	// firstAt is when the first of the lines came.
	firstAt time.Time
}

// add notes that a peer hands a line on. It reports whether the line is new.
func (ba *batch) add(peer string, li wire.BillLine) bool {
	key := keyOf(&li)
	peers, known := ba.senders[key]
	if !slices.Contains(peers, peer) {
		ba.senders[key] = append(peers, unique.Make(peer).Value())
	}
	if !known {
		ba.lines = append(ba.lines, li)
	}
	return !known
}

// Writer gathers the lines of many peers into few writes. Its exported fields
// are set before use; it is not safe for concurrent use.
type Writer struct {
	// FlushInterval is how long the first line of a batch waits for more.
	FlushInterval time.Duration
	// Capacity is how many lines wait; more are dropped, and their holders hand
	// them on again later.
	Capacity int

	pending map[string]*batch
	// inFlight is the batch under way for each document.
	inFlight map[string]*batch
	size    int
}

// Enqueue accepts lines from a peer. Lines whose request id is malformed are
// dropped; no peer of ours makes such.
func (wr *Writer) Enqueue(peer string, lines []wire.BillLine, now time.Time) {
	if wr.pending == nil {
		wr.pending = map[string]*batch{}
		wr.inFlight = map[string]*batch{}
	}
	for i := range lines {
		li := intern(lines[i])
		key, err := DocumentKey(li.Request)
		if err != nil || wr.size >= wr.Capacity {
			continue
		}
		ba := wr.pending[key]
		if ba == nil {
			ba = &batch{senders: map[lineKey][]string{}, firstAt: now}
			wr.pending[key] = ba
		}
		if ba.add(peer, li) {
			wr.size++
		}
	}
}

// reference is what of a line its holders need to find it.
func reference(li *wire.BillLine) wire.BillLine {
	return wire.BillLine{Request: li.Request, Step: li.Step, Box: li.Box}
}

// NextWrite returns the oldest document whose batch has waited long enough and that
// is not being written already.
func (wr *Writer) NextWrite(now time.Time, all bool) (Write, bool) {
	for _, key := range slices.Sorted(maps.Keys(wr.pending)) {
		ba := wr.pending[key]
		if wr.inFlight[key] != nil || !all && now.Sub(ba.firstAt) < wr.FlushInterval {
			continue
		}
		delete(wr.pending, key)
		wr.inFlight[key] = ba
		return Write{key: key, lines: ba.lines}, true
	}
	return Write{}, false
}

// HandleWrite takes the outcome of a write and returns what to tell the peers that
// handed the lines on. If it failed the lines wait again, and the peers learn
// only that they are held here.
func (wr *Writer) HandleWrite(key string, ok bool, now time.Time) []Ack {
	ba := wr.inFlight[key]
	if ba == nil {
		return nil
	}
	delete(wr.inFlight, key)
	wr.size -= len(ba.lines)
	byPeer := map[string][]wire.BillLine{}
	for i := range ba.lines {
		for _, peer := range ba.senders[keyOf(&ba.lines[i])] {
			byPeer[peer] = append(byPeer[peer], ba.lines[i])
		}
	}
	var acs []Ack
	for _, peer := range slices.Sorted(maps.Keys(byPeer)) {
		if !ok {
			wr.Enqueue(peer, byPeer[peer], now)
		}
		ac := Ack{peer: peer, durable: ok}
		for i := range byPeer[peer] {
			ac.lines = append(ac.lines, reference(&byPeer[peer][i]))
		}
		acs = append(acs, ac)
	}
	return acs
}

// Idle reports whether nothing waits or is being written.
func (wr *Writer) Idle() bool { return wr.size == 0 }
