package keyvalue

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// Snapshot is the state of the service at one time.
type Snapshot struct {
	items       map[string]Item
	events      []Item
	revision    uint64
	compactedAt uint64
	leases      map[int64]bool
}

// Snapshot returns a copy of the service's state.
func (st *Store) Snapshot() Snapshot {
	st.mu.Lock()
	defer st.mu.Unlock()
	leases := map[int64]bool{}
	for le := range st.leases {
		leases[le] = true
	}
	return Snapshot{
		items: maps.Clone(st.items), events: slices.Clone(st.events), revision: st.revision, compactedAt: st.compactedAt, leases: leases,
	}
}

// Restore reverts the service to a snapshot: later writes and leases are lost, and later revisions are
// issued again. It starts a new era and aborts running watches.
func (st *Store) Restore(sn Snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.items, st.events, st.revision, st.compactedAt = maps.Clone(sn.items), slices.Clone(sn.events), sn.revision, sn.compactedAt
	for le, gl := range st.leases {
		if !sn.leases[le] {
			gl.expiry.Stop()
			delete(st.leases, le)
		}
	}
	for key, it := range st.items {
		if it.Lease != 0 && st.leases[it.Lease].expiry == nil {
			delete(st.items, key)
		}
	}
	st.era++
	st.notify()
}

// setEraHeader sets the header with the era, or with the text of Faults.Era in its place.
func setEraHeader(w http.ResponseWriter, text string, era uint64) {
	switch text {
	case "":
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	case "none":
	default:
		w.Header().Set("Store-Era", text)
	}
}
