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

// Write is a set of lines to be merged into one document of the store.
type Write struct {
	key   string
	lines []wire.BillLine
}

// Key returns the document's key.
func (wr Write) Key() string { return wr.key }

// Lines returns the lines to merge.
func (wr Write) Lines() []wire.BillLine { return wr.lines }

// Ack is the acknowledgement to a peer that its lines are durable, or only that the writer has them
// in memory.
type Ack struct {
	peer    string
	lines   []wire.BillLine
	durable bool
}

// Durable reports whether the lines are in the store.
func (ac Ack) Durable() bool { return ac.durable }

// Peer returns the peer that sent the lines.
func (ac Ack) Peer() string { return ac.peer }

// Lines returns the acknowledged lines with only their request, step and box.
func (ac Ack) Lines() []wire.BillLine { return ac.lines }

// batch holds the lines to be written to one document.
type batch struct {
	// lines holds each line once.
	lines []wire.BillLine
	// senders holds the peers that sent each line, each peer once.
	senders map[lineKey][]string
	// firstAt is when the first line arrived.
	firstAt time.Time
}

// add adds a line from a peer and reports whether the line is new.
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

// Writer batches the lines of many peers into few writes. Its exported fields are set before use;
// it is not safe for concurrent use.
type Writer struct {
	// FlushInterval is the time from the first line of a batch until the batch is written.
	FlushInterval time.Duration
	// Capacity is the maximum number of lines in memory. Further lines are dropped; their senders
	// send them again later.
	Capacity int

	// pending holds the next batch of each document, inFlight the one that is being written.
	pending  map[string]*batch
	inFlight map[string]*batch
	// size is the number of lines in pending and inFlight.
	size int
}

// Enqueue adds lines from a peer. Lines with a malformed request id, which no peer of this system
// sends, are dropped.
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

// reference returns the fields of a line that its senders need to find it.
func reference(li *wire.BillLine) wire.BillLine {
	return wire.BillLine{Request: li.Request, Step: li.Step, Box: li.Box}
}

// NextWrite returns the write of the first document, in the order of keys, whose batch is
// FlushInterval old, or of any age if all is set. A document that is being written is skipped.
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

// HandleWrite processes the outcome of a write and returns the acknowledgements to the senders of
// its lines. After a failure the lines are enqueued again, and acknowledged as not durable.
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

// Idle reports whether no line is pending or being written.
func (wr *Writer) Idle() bool { return wr.size == 0 }
