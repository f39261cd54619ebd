package usage

import (
	"container/list"
	"time"
)

const (
	// retainedWindows is the number of windows before the newest one whose counts are kept. Counts
	// are needed until their window is reported, which an outage of the key-value service delays.
	retainedWindows = 12
	// maxEntriesPerMessage bounds the entries in one message to another process, at some 25 B each.
	maxEntriesPerMessage = 512
)

// Window is the number of a reporting window. Window k begins k window lengths after the Unix epoch.
type Window uint64

// WindowAt returns the window of a point in time.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the end of a window.
func (wi Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(wi)+1)*int64(length))
}

// Entry is the number of a team's requests that one process counted in a window. Its fields are
// exported because the codec needs them.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Process identifies the process that counted the requests. A restarted process has another one.
	Process uint64
	Window  Window
	Team    string
	Count   uint32
}

type entryKey struct {
	process uint64
	window  Window
	team    string
}

// cell holds an entry and the sequence number of its last change.
type cell struct {
	entry    Entry
	sequence uint64
	// source is the process that the entry was received from, zero if it was counted here.
	source uint64
}

// Ledger holds the counts of this and other processes by process, window and team. A count only
// grows, so the larger of two counts for the same key is the newer one, and entries may be merged
// repeatedly and in any order. The zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	cells map[entryKey]*list.Element
	// changes holds the cells in the order of their last change.
	changes list.List
	// sequence is the sequence number of the last change.
	sequence uint64
	// latest holds the newest window that each process counted in.
	latest map[uint64]Window
	// newest is the newest window of any entry, first the oldest window that a process counted in.
	newest, first Window
}

// Add counts one request.
func (le *Ledger) Add(process uint64, window Window, team string) {
	en := Entry{Process: process, Window: window, Team: team, Count: 1}
	if el := le.cells[entryKey{process, window, team}]; el != nil {
		en.Count += el.Value.(*cell).entry.Count
	}
	le.put(en, 0)
}

// Merge adds the entries that another process sent.
func (le *Ledger) Merge(entries []Entry, source uint64) {
	for _, en := range entries {
		le.put(en, source)
	}
}

func (le *Ledger) put(en Entry, source uint64) {
	if en.Window+retainedWindows < le.newest {
		return
	}
	if le.cells == nil {
		le.cells, le.latest, le.first = map[entryKey]*list.Element{}, map[uint64]Window{}, en.Window
	}
	le.first, le.latest[en.Process] = min(le.first, en.Window), max(le.latest[en.Process], en.Window)
	key := entryKey{en.Process, en.Window, en.Team}
	el := le.cells[key]
	switch {
	case el == nil:
		el = le.changes.PushBack(&cell{})
		le.cells[key] = el
	case el.Value.(*cell).entry.Count >= en.Count:
		return
	}
	le.sequence++
	*el.Value.(*cell) = cell{entry: en, sequence: le.sequence, source: source}
	le.changes.MoveToBack(el)
	if en.Window > le.newest {
		le.newest = en.Window
		le.expire()
	}
}

// expire removes the windows that are no longer retained.
func (le *Ledger) expire() {
	for key, el := range le.cells {
		if key.window+retainedWindows < le.newest {
			le.changes.Remove(el)
			delete(le.cells, key)
		}
	}
	for process, window := range le.latest {
		if window+retainedWindows < le.newest {
			delete(le.latest, process)
		}
	}
}

// Complete reports whether every process that counted requests in a window or the one before has
// counted any in a later one. Entries arrive in the order of their changes, so that none of the
// window is missing then.
func (le *Ledger) Complete(window Window) bool {
	for _, latest := range le.latest {
		if latest <= window && latest+1 >= window {
			return false
		}
	}
	return true
}

// Since returns the entries that changed after a sequence number, oldest change first, and the
// sequence number to continue from. It leaves out those that the receiver sent itself.
func (le *Ledger) Since(sequence, receiver uint64) (entries []Entry, next uint64) {
	from := le.changes.Back()
	for from != nil && from.Value.(*cell).sequence > sequence {
		from = from.Prev()
	}
	el := le.changes.Front()
	if from != nil {
		el = from.Next()
	}
	next = sequence
	for ; el != nil && len(entries) < maxEntriesPerMessage; el = el.Next() {
		ce := el.Value.(*cell)
		if ce.source == 0 || ce.source != receiver {
			entries = append(entries, ce.entry)
		}
		next = ce.sequence
	}
	return entries, next
}

// Totals returns the requests of each team that all processes counted in a window.
func (le *Ledger) Totals(window Window) map[string]int {
	totals := map[string]int{}
	for key, el := range le.cells {
		if key.window == window {
			totals[key.team] += int(el.Value.(*cell).entry.Count)
		}
	}
	return totals
}

// First returns the oldest window that any request was counted in, false if there is none.
func (le *Ledger) First() (Window, bool) { return le.first, le.cells != nil }
