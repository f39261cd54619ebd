// Package timeline records events with hybrid logical timestamps in a bounded ring buffer, so that
// the events of many processes can be merged in causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

// Stamp is a hybrid logical timestamp: wall-clock time in milliseconds and a counter that orders
// events within one millisecond and across processes whose clocks differ.
type Stamp struct {
	// Wall is the Unix time in milliseconds. It never decreases within a process.
	Wall int64 `cbor:"1,keyasint" json:"wall_ms"`
	// Count orders timestamps with the same wall-clock time.
	Count uint32 `cbor:"2,keyasint,omitempty" json:"count,omitempty"`
}

// Compare returns -1, 0 or 1 if st is before, equal to or after ot.
func (st Stamp) Compare(ot Stamp) int {
	return cmp.Or(cmp.Compare(st.Wall, ot.Wall), cmp.Compare(st.Count, ot.Count))
}

// Entry is an event as served by the admin API and merged across processes.
type Entry struct {
	Stamp      Stamp    `json:"stamp"`
	Box        string   `json:"box"`
	DataCentre string   `json:"data_centre"`
	Event      event.ID `json:"event"`
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision,omitempty"`
	Request    string   `json:"request,omitempty"`
	Team       string   `json:"team,omitempty"`
	Version    string   `json:"version,omitempty"`
	Detail     string   `json:"detail,omitempty"`
}

// DefaultSize is the default capacity of a Ring.
const DefaultSize = 4096

// Ring is a ring buffer of the newest events. Its methods may be called concurrently.
type Ring struct {
	// Box and DataCentre are set before use and copied into each entry.
	Box, DataCentre string
	// Size is the capacity of the ring; zero means DefaultSize.
	Size int

	mu   sync.Mutex
	last Stamp
	// entries holds at most Size entries. Once it is full, next is the index of the oldest entry, which
	// is overwritten next.
	entries []Entry
	next    int
}

// Add sets the timestamp, box, data centre and event name of an entry, stores the entry and returns
// it.
func (ri *Ring) Add(en Entry, now time.Time) Entry {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	en.Stamp = ri.tick(now)
	en.Box = ri.Box
	en.DataCentre = ri.DataCentre
	en.Name = event.Name(en.Event)
	size := ri.Size
	if size == 0 {
		size = DefaultSize
	}
	if len(ri.entries) < size {
		ri.entries = append(ri.entries, en)
		return en
	}
	ri.entries[ri.next] = en
	ri.next = (ri.next + 1) % size
	return en
}

// Now advances the clock and returns a timestamp to send with a message.
func (ri *Ring) Now(now time.Time) Stamp {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return ri.tick(now)
}

// Observe advances the clock to a timestamp received with a message, so that later events are ordered
// after it.
func (ri *Ring) Observe(st Stamp) {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	if ri.last.Compare(st) < 0 {
		ri.last = st
	}
}

func (ri *Ring) tick(now time.Time) Stamp {
	wall := now.UnixMilli()
	if wall > ri.last.Wall {
		ri.last = Stamp{Wall: wall}
		return ri.last
	}
	ri.last.Count++
	return ri.last
}

// Entries returns a copy of the entries, ordered by timestamp.
func (ri *Ring) Entries() []Entry {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return Merge(ri.entries)
}

// Merge returns the entries of several processes in causal order.
func Merge(lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Box, b.Box))
	})
	return all
}
