package keyvalue

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// Copy is what the service held at some moment.
type Snapshot struct {
	items       map[string]Item
	events      []Item
	revision    uint64
	compactedAt uint64
	leases      map[int64]bool
}

// Copy returns a copy of what the service holds.
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

// Restore goes back to a copy: what was written since is gone, leases too, and revisions are
// given out again. Watches are broken off.
func (st *Store) Restore(co Snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.items, st.events, st.revision, st.compactedAt = maps.Clone(co.items), slices.Clone(co.events), co.revision, co.compactedAt
	for le, ti := range st.leases {
		if !co.leases[le] {
			ti.Stop()
			delete(st.leases, le)
		}
	}
	for key, it := range st.items {
		if it.Lease != 0 && st.leases[it.Lease] == nil {
			delete(st.items, key)
		}
	}
	st.era++
	st.notify()
}

// nameEra sets the header that names the era.
func setEraHeader(w http.ResponseWriter, text string, era uint64) {
	switch text {
	case "":
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	case "none":
	default:
		w.Header().Set("Store-Era", text)
	}
}
