// Package directory knows the backend servers: those that are ready, those
// that leave, and those whose entries may be missing only because the
// key-value service was away. It does no I/O and reads no clock.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is one life of a backend server as it is listed. Its fields are
// exported because it is data without behaviour.
type Server struct {
	// ID names the server. One that starts again may have the id that it had.
	ID string
	// Born is when this life began, in Unix milliseconds by the server's clock; zero if
	// it did not say.
	Born int64 `cbor:",omitempty"`
	// Seq counts the entries that the server has written in this life.
	Seq     int64 `cbor:",omitempty"`
	Service string
	// Address is an IP number and a port; another server may get it later.
	Address    string
	DataCentre string
	// Version is the version of the software or weights that it runs.
	Version string
	// Draining servers take nothing new.
	Draining bool `cbor:",omitempty"`
	// ColdFor is how long the server was still to be cold when it said so.
	ColdFor time.Duration `cbor:",omitempty"`

	// hash is that of ID, key the name of this life, once the server is listed.
	hash uint64
	key  string
}

// Key names the server's present life: what is known of one says nothing of the next.
func (se *Server) Key() string {
	if se.key == "" {
		return se.life()
	}
	return se.key
}

func (se *Server) life() string {
	if se.Born == 0 {
		return se.ID
	}
	return se.ID + "@" + strconv.FormatInt(se.Born, 36)
}

// ByKey returns the listed server that has the key, nil if there is none: a later life of it has
// another one.
func (di *Directory) ByKey(key string) *Server {
	id := key
	if at := strings.LastIndexByte(key, '@'); at >= 0 {
		id = key[:at]
	}
	for _, id := range []string{key, id} {
		if se := di.servers[id]; se != nil && se.Key() == key {
			return se
		}
	}
	return nil
}

// Hash returns a hash of the id of a listed server, for ranking servers by key.
func (se *Server) Hash() uint64 { return se.hash }

// returnGrace is how long a server whose entry lapsed while the key-value
// service was away is still used after the service is back. Servers that live
// write their entries again within about two seconds (the users' letter).
const returnGrace = 2 * time.Second

// leavingKept is how long the announcement of an unlisted server is kept: its entry may reappear while
// it drains.
const leavingKept = 10 * time.Minute

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
	// leaving holds when servers announced their shutdown, by the key of their life.
	leaving map[string]time.Time
	// past holds the lives that are known to leave or to have ended, by their key.
	past map[string]pastLife
	// revived holds the entries of ended lives that a restored service lists again.
	revived map[string]revivedServer
	// evacuated holds the data centres whose servers are to get nothing.
	evacuated map[string]bool
	// byService holds those that may take new work; nil after a change, until it is
	// asked for: thousands of entries come together at a start.
	byService map[string][]*Server
}

// Put takes a server's entry. It reports whether it did: one of an earlier life than the
// one that is known, or an earlier one of this life, came late and says nothing.
func (di *Directory) Put(se Server) bool {
	if di.servers == nil {
		di.servers = map[string]*Server{}
		di.missing = map[string]time.Time{}
	}
	old := di.servers[se.ID]
	if old != nil && se.Born < old.Born {
		return false
	}
	delete(di.missing, se.ID)
	if old != nil && se.Born == old.Born && se.Seq < old.Seq {
		return false
	}
	se.hash, se.key = xxhash.Sum64String(se.ID), se.life()
	di.noteLife(&se)
	if old != nil && old.Service == se.Service && old.Draining == se.Draining && old.DataCentre == se.DataCentre {
		*old = se // a heartbeat: the lists stay as they are
		return true
	}
	di.servers[se.ID] = &se
	di.byService = nil
	return true
}

// Drop takes a server out at once.
func (di *Directory) Drop(id string) {
	delete(di.revived, id)
	if di.servers[id] == nil {
		return
	}
	delete(di.missing, id)
	delete(di.servers, id)
	di.byService = nil
}

// MarkLeaving records that a server announced its shutdown. It gets no new requests for the rest of its life,
// whatever its entry says: the entry can't be written while the key-value service is away, and may
// lapse and reappear. MarkLeaving reports whether that is news.
func (di *Directory) MarkLeaving(key string, at time.Time) bool {
	if _, known := di.leaving[key]; known {
		return false
	}
	if di.leaving == nil {
		di.leaving = map[string]time.Time{}
	}
	di.leaving[key] = at
	di.byService = nil
	return true
}

// LeavingSince returns when a server announced its shutdown, false if it did not.
func (di *Directory) LeavingSince(key string) (time.Time, bool) {
	at, ok := di.leaving[key]
	return at, ok
}

// Leaving returns the servers that announced their shutdown, by the key of their life.
func (di *Directory) Leaving() []string { return slices.Sorted(maps.Keys(di.leaving)) }

// IsDraining reports whether a server gets no new requests, by its entry or its announcement.
func (di *Directory) IsDraining(se *Server) bool {
	_, leaving := di.leaving[se.Key()]
	return se.Draining || leaving
}

// Evacuate takes the servers of a data centre out of use until Restore. It reports whether
// they were in use.
func (di *Directory) Evacuate(dataCentre string) bool {
	if di.evacuated[dataCentre] {
		return false
	}
	if di.evacuated == nil {
		di.evacuated = map[string]bool{}
	}
	di.evacuated[dataCentre] = true
	di.byService = nil
	return true
}

// Restore takes the servers of a data centre into use again. It returns them, none if they
// were in use.
func (di *Directory) Restore(dataCentre string) []*Server {
	if !di.evacuated[dataCentre] {
		return nil
	}
	delete(di.evacuated, dataCentre)
	di.byService = nil
	var back []*Server
	for _, se := range di.servers {
		if se.DataCentre == dataCentre {
			back = append(back, se)
		}
	}
	return back
}

// IsEvacuated reports whether the servers of a data centre are out of use.
func (di *Directory) IsEvacuated(dataCentre string) bool { return di.evacuated[dataCentre] }

// Evacuated returns the data centres that are evacuated, in order.
func (di *Directory) Evacuated() []string { return slices.Sorted(maps.Keys(di.evacuated)) }

// Remove takes the end of a server's entry.
func (di *Directory) Remove(id string, now time.Time) {
	delete(di.revived, id)
	se := di.servers[id]
	if se == nil {
		return
	}
	if di.doubtful(now) && !di.IsDraining(se) {
		if _, ok := di.missing[id]; !ok {
			di.missing[id] = di.dropAt(now)
		}
		return
	}
	di.end(se, now)
}

// StoreUnavailable notes that the key-value service gives no answers.
func (di *Directory) StoreUnavailable() { di.away = true }

// StoreAvailable notes that the service answers again.
func (di *Directory) StoreAvailable(now time.Time) {
	if !di.away {
		return
	}
	di.away = false
	di.settled = now.Add(returnGrace)
}

// Tick drops the servers whose entries did not come back and returns them.
func (di *Directory) Tick(now time.Time) []*Server {
	var dropped []*Server
	for id, at := range di.missing {
		if di.away || now.Before(at) {
			continue
		}
		dropped = append(dropped, di.servers[id])
		di.end(di.servers[id], now)
	}
	di.forgetLives(now)
	maps.DeleteFunc(di.leaving, func(key string, at time.Time) bool {
		return now.Sub(at) >= leavingKept && di.ByKey(key) == nil
	})
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
		if !di.IsDraining(se) && !di.evacuated[se.DataCentre] {
			di.byService[se.Service] = append(di.byService[se.Service], se)
		}
	}
	for _, list := range di.byService {
		slices.SortFunc(list, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), strings.Compare(a.ID, b.ID))
		})
	}
}
