// Package timeline keeps a bounded ring of events with hybrid logical stamps,
// so that the rings of many processes can be merged in causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

// Stamp is a hybrid logical time: wall milliseconds and a counter that
// orders events within one millisecond and across clocks that differ.
type Stamp struct {
	// Wall is in milliseconds since 1970 and never goes back in one process.
	Wall int64 `cbor:"1,keyasint" json:"wall_ms"`
	// Count orders stamps with the same wall time.
	Count uint32 `cbor:"2,keyasint,omitempty" json:"count,omitempty"`
}

// Compare orders two stamps.
func (st Stamp) Compare(ot Stamp) int {
	return cmp.Or(cmp.Compare(st.Wall, ot.Wall), cmp.Compare(st.Count, ot.Count))
}

// Entry is one event as it is served and merged.
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

// DefaultSize is how many events a process keeps.
const DefaultSize = 4096

// Ring keeps the newest events. Its methods may be called concurrently.
type Ring struct {
	// Box and DataCentre are set before use and put into each entry.
	Box, DataCentre string
	// Size bounds the ring; zero means DefaultSize.
	Size int

	mu   sync.Mutex
	last Stamp
	// entries is at most Size long; next is where the next one goes once full.
	entries []Entry
	next    int
}

// Add stamps an entry and keeps it.
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

// Now returns a fresh stamp to send with a message.
func (ri *Ring) Now(now time.Time) Stamp {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return ri.tick(now)
}

// Observe moves the clock past a stamp that came with a message.
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

// Entries returns a copy in the order of the stamps.
func (ri *Ring) Entries() []Entry {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return Merge(ri.entries)
}

// Merge puts the entries of several processes into causal order.
func Merge(lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Box, b.Box))
	})
	return all
}
