// Package directory maintains the list of backend servers: which of them accept new requests, which
// are shutting down, and which are retained although their entries disappeared during an outage of
// the key-value service. It does no I/O and reads no clock.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// Server is the entry of a server instance, that is, of one run of a backend server between its
// start and its end. Its fields are exported because it is encoded.
type Server struct {
	// ID identifies the server. A server that restarts may keep its id.
	ID string
	// Born is the start time of the instance in Unix milliseconds by the server's clock, zero if
	// it was not reported.
	Born int64 `cbor:",omitempty"`
	// Seq is the sequence number of the entry among those written by this instance. It is not negative.
	Seq     int64 `cbor:",omitempty"`
	Service string
	// Address is an IP address and a port. Another server may get the same address later.
	Address    string
	DataCentre string
	// Version is the version of the server's software or model weights.
	Version string
	// Draining is set if the server accepts no new requests.
	Draining bool `cbor:",omitempty"`
	// ColdFor is how long the server expected to remain cold when it wrote the entry.
	ColdFor time.Duration `cbor:",omitempty"`

	// hash is the hash of ID, key the key of the instance. They are set by Put.
	hash uint64
	key  string
}

// Key identifies the server instance. Observations of one instance do not apply to the next.
func (se *Server) Key() string {
	if se.key == "" {
		return se.instanceKey()
	}
	return se.key
}

func (se *Server) instanceKey() string {
	if se.Born == 0 {
		return se.ID
	}
	return se.ID + "@" + strconv.FormatInt(se.Born, 36)
}

// ByKey returns the listed server instance with this key, nil if there is none. A later instance of
// the same server has another key.
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

// reregistrationGrace is how long a server whose entry disappeared during an outage of the
// key-value service remains in use after the outage. Running servers write their entries again
// within about two seconds, as stated by the users.
const reregistrationGrace = 2 * time.Second

// maxSeqLag is how many entries of an instance may have been written after one that still arrives. A sequence number
// that is lower by more shows that another writer chose the higher one.
const maxSeqLag = 1000

// departureRetention is how long the announced shutdown of an unlisted server is remembered: its
// entry may reappear while it drains.
const departureRetention = 10 * time.Minute

// Service tells when the key-value service was away.
type Service interface {
	InOutage(now time.Time) bool
	// Ended returns when the last outage ended, zero if there was none.
	Ended() time.Time
}

// Directory is a process's list of servers. The zero value is empty. It is not safe for concurrent
// use.
type Directory struct {
	// Service is set before use. Without it, the key-value service is never away.
	Service Service

	servers map[string]*Server
	// missingUntil holds the servers whose entries disappeared and when they are removed, at the earliest
	// once the time to write them again after an outage is over.
	missingUntil map[string]time.Time
	// leaving holds when servers announced their shutdown, by instance key.
	leaving map[string]time.Time
	// excluded holds the instances whose departure another process reported, by key, with the revision
	// from which on the entries say so themselves.
	excluded map[string]revision.Revision
	// departed holds the instances known to be shutting down or to have ended, by key.
	departed map[string]departedInstance
	// quarantined holds entries of ended instances that a restored key-value service lists again.
	quarantined map[string]quarantinedEntry
	// evacuated holds the data centres whose servers get no requests.
	evacuated map[string]bool
	// byService holds the servers that accept new requests. It is nil after a change and rebuilt
	// when it is next needed, since thousands of entries arrive together at startup.
	byService map[string][]*Server
}

// Put adds or updates an entry. It returns false if the entry is outdated: of an earlier instance
// than the known one, or an earlier entry of the same instance.
func (di *Directory) Put(se Server) bool {
	if di.servers == nil {
		di.servers = map[string]*Server{}
		di.missingUntil = map[string]time.Time{}
	}
	old := di.servers[se.ID]
	if old != nil && se.Born < old.Born {
		return false
	}
	delete(di.missingUntil, se.ID)
	if old != nil && se.Born == old.Born && se.Seq < old.Seq && old.Seq-se.Seq <= maxSeqLag {
		return false
	}
	se.hash, se.key = xxhash.Sum64String(se.ID), se.instanceKey()
	di.trackDraining(&se)
	if old != nil && old.Service == se.Service && old.Draining == se.Draining && old.DataCentre == se.DataCentre {
		*old = se // a heartbeat: the order of the lists does not change
		return true
	}
	di.servers[se.ID] = &se
	di.byService = nil
	return true
}

// Drop removes a server immediately.
func (di *Directory) Drop(id string) {
	delete(di.quarantined, id)
	if di.servers[id] == nil {
		return
	}
	delete(di.missingUntil, id)
	delete(di.servers, id)
	di.byService = nil
}

// MarkLeaving records that a server instance announced its shutdown. It gets no new requests from
// then on, whatever its entry says: the entry can't be updated during an outage of the key-value
// service, and may expire and reappear. MarkLeaving returns false if the shutdown was already
// known.
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

// LeavingSince returns when a server instance announced its shutdown, false if it did not.
func (di *Directory) LeavingSince(key string) (time.Time, bool) {
	at, ok := di.leaving[key]
	return at, ok
}

// Leaving returns the keys of the server instances that announced their shutdown, sorted.
func (di *Directory) Leaving() []string { return slices.Sorted(maps.Keys(di.leaving)) }

// IsDraining reports whether a server gets no new requests, according to its entry or because it
// announced its shutdown.
func (di *Directory) IsDraining(se *Server) bool {
	_, leaving := di.leaving[se.Key()]
	return se.Draining || leaving
}

// Exclude takes a server instance out of use until StateReached is called with a revision, whether its
// entry is known or not. It returns false if the instance is not in use.
func (di *Directory) Exclude(key string, until revision.Revision) bool {
	if se := di.ByKey(key); se != nil && di.IsDraining(se) {
		return false
	}
	if at, ok := di.excluded[key]; ok && !until.After(at) {
		return false
	}
	if di.excluded == nil {
		di.excluded = map[string]revision.Revision{}
	}
	di.excluded[key] = until
	di.byService = nil
	return true
}

// StateReached ends the exclusions up to a revision of the key-value service: the entries are known up to
// that revision.
func (di *Directory) StateReached(to revision.Revision) {
	for key, until := range di.excluded {
		if !until.After(to) {
			delete(di.excluded, key)
			di.byService = nil
		}
	}
}

// Evacuate excludes the servers of a data centre from use until Restore is called. It returns false
// if they were already excluded.
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

// Restore includes the servers of an evacuated data centre again and returns them. It returns none
// if the data centre was not evacuated.
func (di *Directory) Restore(dataCentre string) []*Server {
	if !di.evacuated[dataCentre] {
		return nil
	}
	delete(di.evacuated, dataCentre)
	di.byService = nil
	var restored []*Server
	for _, se := range di.servers {
		if se.DataCentre == dataCentre {
			restored = append(restored, se)
		}
	}
	return restored
}

// IsEvacuated reports whether a data centre is evacuated.
func (di *Directory) IsEvacuated(dataCentre string) bool { return di.evacuated[dataCentre] }

// Evacuated returns the evacuated data centres, sorted.
func (di *Directory) Evacuated() []string { return slices.Sorted(maps.Keys(di.evacuated)) }

// Remove handles the removal of a server's entry from the key-value service.
func (di *Directory) Remove(id string, now time.Time) {
	delete(di.quarantined, id)
	se := di.servers[id]
	if se == nil {
		return
	}
	if di.mayReappear(now) && !di.IsDraining(se) {
		if _, ok := di.missingUntil[id]; !ok {
			di.missingUntil[id] = now
		}
		return
	}
	di.end(se, now)
}

// Tick removes the servers whose entries did not reappear in time and returns them.
func (di *Directory) Tick(now time.Time) []*Server {
	var dropped []*Server
	for id, at := range di.missingUntil {
		if di.mayReappear(now) || now.Before(at) {
			continue
		}
		dropped = append(dropped, di.servers[id])
		di.end(di.servers[id], now)
	}
	di.expireDeparted(now)
	maps.DeleteFunc(di.leaving, func(key string, at time.Time) bool {
		return now.Sub(at) >= departureRetention && di.ByKey(key) == nil
	})
	return dropped
}

// Servers returns the servers of a service that accept new requests, ordered by the hash of their
// ids, which is the same order in all processes. The list must not be modified.
func (di *Directory) Servers(service string) []*Server {
	if di.byService == nil {
		di.rebuild()
	}
	return di.byService[service]
}

// Listed returns the servers whose entries exist, in no particular order.
func (di *Directory) Listed() []*Server {
	list := make([]*Server, 0, len(di.servers))
	for id, se := range di.servers {
		if _, gone := di.missingUntil[id]; !gone {
			list = append(list, se)
		}
	}
	return list
}

// Get returns the server with this id, or nil.
func (di *Directory) Get(id string) *Server { return di.servers[id] }

// Len returns the number of known servers.
func (di *Directory) Len() int { return len(di.servers) }

// mayReappear reports whether an entry may be missing although its server is running: it may have lapsed
// in an outage of the key-value service.
func (di *Directory) mayReappear(now time.Time) bool {
	if di.Service == nil {
		return false
	}
	return di.Service.InOutage(now) || now.Before(di.Service.Ended().Add(reregistrationGrace))
}

func (di *Directory) rebuild() {
	di.byService = map[string][]*Server{}
	for _, se := range di.servers {
		if _, excluded := di.excluded[se.Key()]; !excluded && !di.IsDraining(se) && !di.evacuated[se.DataCentre] {
			di.byService[se.Service] = append(di.byService[se.Service], se)
		}
	}
	for _, list := range di.byService {
		slices.SortFunc(list, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), strings.Compare(a.ID, b.ID))
		})
	}
}
