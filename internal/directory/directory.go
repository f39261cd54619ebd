// Package directory knows the backend servers: those that are ready, those
// that leave, and those whose entries may be missing only because the
// key-value service was away. It does no I/O and reads no clock.
package directory

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is one life of a backend server as it is listed. Its fields are
// exported because it is data without behaviour.
type Server struct {
	// ID is unique for each start of a server.
	ID      string
	Service string
	// Address is an IP number and a port; another server may get it later.
	Address    string
	DataCentre string
	// Version is the version of the software or weights that it runs.
	Version string
	// Draining servers take nothing new.
	Draining bool

	// hash is that of ID once the server is listed.
	hash uint64
}

// Hash returns a hash of the id of a listed server, for ranking servers by key.
func (se *Server) Hash() uint64 { return se.hash }

// returnGrace is how long a server whose entry lapsed while the key-value
// service was away is still used after the service is back. Servers that live
// write their entries again within about two seconds (the users' letter).
const returnGrace = 2 * time.Second

// Directory is one process's list. The zero value is empty. It is not safe for
// concurrent use.
type Directory struct {
	servers map[string]*Server
	// missing holds when each server whose entry is gone is to be dropped.
	missing map[string]time.Time
	// away is true while the key-value service gives no answers.
	away bool
	// settled is when entries that are gone mean gone again.
	settled time.Time
	// byService holds those that may take new work; nil after a change, until it is
	// asked for: thousands of entries come together at a start.
	byService map[string][]*Server
}

// Put takes a server's entry.
func (di *Directory) Put(se Server) {
	if di.servers == nil {
		di.servers = map[string]*Server{}
		di.missing = map[string]time.Time{}
	}
	delete(di.missing, se.ID)
	se.hash = xxhash.Sum64String(se.ID)
	if old := di.servers[se.ID]; old != nil && old.Service == se.Service && old.Draining == se.Draining {
		*old = se // a heartbeat: the lists stay as they are
		return
	}
	di.servers[se.ID] = &se
	di.byService = nil
}

// Remove takes the end of a server's entry.
func (di *Directory) Remove(id string, now time.Time) {
	se := di.servers[id]
	if se == nil {
		return
	}
	if di.doubtful(now) && !se.Draining {
		if _, ok := di.missing[id]; !ok {
			di.missing[id] = di.dropAt(now)
		}
		return
	}
	delete(di.servers, id)
	di.byService = nil
}

// Replace takes a whole list, read after events were missed.
func (di *Directory) Replace(list []Server, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, se := range list {
		listed[se.ID] = true
		di.Put(se)
	}
	for id := range di.servers {
		if !listed[id] {
			di.Remove(id, now)
		}
	}
}

// StoreLost notes that the key-value service gives no answers.
func (di *Directory) StoreLost() { di.away = true }

// StoreBack notes that the service answers again.
func (di *Directory) StoreBack(now time.Time) {
	if !di.away {
		return
	}
	di.away = false
	di.settled = now.Add(returnGrace)
}

// Tick drops the servers whose entries did not come back. It returns their
// ids.
func (di *Directory) Tick(now time.Time) []string {
	var dropped []string
	for id, at := range di.missing {
		if di.away || now.Before(at) {
			continue
		}
		delete(di.missing, id)
		delete(di.servers, id)
		dropped = append(dropped, id)
	}
	if dropped != nil {
		di.byService = nil
	}
	return dropped
}

// Servers returns the servers of a service that may take new work, in an order by
// the hash of their ids: the same in every process, and else without meaning. The
// list must not be changed.
func (di *Directory) Servers(service string) []*Server {
	if di.byService == nil {
		di.rebuild()
	}
	return di.byService[service]
}

// Listed returns the servers whose entries are there, in no order.
func (di *Directory) Listed() []*Server {
	list := make([]*Server, 0, len(di.servers))
	for id, se := range di.servers {
		if _, gone := di.missing[id]; !gone {
			list = append(list, se)
		}
	}
	return list
}

// Get returns a server by id, or nil.
func (di *Directory) Get(id string) *Server { return di.servers[id] }

// Len returns how many servers are known.
func (di *Directory) Len() int { return len(di.servers) }

// doubtful reports whether an entry may be gone although its server lives.
func (di *Directory) doubtful(now time.Time) bool { return di.away || now.Before(di.settled) }

func (di *Directory) dropAt(now time.Time) time.Time {
	if di.away {
		return now.Add(returnGrace)
	}
	return di.settled
}

func (di *Directory) rebuild() {
	di.byService = map[string][]*Server{}
	for _, se := range di.servers {
		if !se.Draining {
			di.byService[se.Service] = append(di.byService[se.Service], se)
		}
	}
	for _, list := range di.byService {
		slices.SortFunc(list, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), strings.Compare(a.ID, b.ID))
		})
	}
}
