package directory

import (
	"slices"
	"time"
)

// quarantineTime is how long the entry of an ended instance that a restored key-value service lists
// again is not used. A running server keeps writing its entry; the entry of an ended one expires.
const quarantineTime = 5 * time.Second

// departedInstance describes a server instance that is shutting down or has ended.
type departedInstance struct {
	id string
	// seq is the sequence number of the newest entry that is marked as draining, zero if there is
	// none.
	seq int64
	// ended is when the entry ended, zero while it is listed.
	ended time.Time
}

// quarantinedEntry is the entry of an ended instance, which is not used until a time.
type quarantinedEntry struct {
	entry Server
	until time.Time
}

// MarkLost records that a restored key-value service does not list a server's entry, which it may
// have lost. The server remains in use until it has had time to write the entry again, unless it is
// shutting down.
func (di *Directory) MarkLost(id string, now time.Time) {
	se := di.servers[id]
	switch _, missing := di.missingUntil[id]; {
	case se == nil || missing:
	case di.IsDraining(se):
		di.end(se, now)
	default:
		di.missingUntil[id] = now.Add(reregistrationGrace)
	}
}

// Quarantine checks an entry that a restored key-value service lists. It returns true if the
// instance has ended: such a server is not used unless its entry still exists after quarantineTime.
func (di *Directory) Quarantine(se Server, now time.Time) bool {
	if di.departed[se.instanceKey()].ended.IsZero() {
		return false
	}
	if di.quarantined == nil {
		di.quarantined = map[string]quarantinedEntry{}
	}
	if _, ok := di.quarantined[se.ID]; !ok {
		di.quarantined[se.ID] = quarantinedEntry{entry: se, until: now.Add(quarantineTime)}
	}
	return true
}

// ReleaseQuarantined returns the entries whose quarantine has elapsed and that still exist.
func (di *Directory) ReleaseQuarantined(now time.Time) []Server {
	var list []Server
	for id, re := range di.quarantined {
		if !now.Before(re.until) {
			list = append(list, re.entry)
			delete(di.quarantined, id)
		}
	}
	return list
}

// EndedSince returns the ids, sorted, of the servers whose entries ended after a time and that are
// not listed again.
func (di *Directory) EndedSince(at time.Time) []string {
	var ids []string
	for _, dep := range di.departed {
		if dep.ended.After(at) && di.servers[dep.id] == nil {
			ids = append(ids, dep.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// trackDraining updates departed from a listed entry. An entry that is older than the newest
// draining entry of its instance is treated as draining.
func (di *Directory) trackDraining(se *Server) {
	delete(di.quarantined, se.ID)
	dep, known := di.departed[se.key]
	switch {
	case se.Draining:
		di.setDeparted(se.key, departedInstance{id: se.ID, seq: max(dep.seq, se.Seq)})
	case !known:
	case se.Seq < dep.seq:
		se.Draining = true
		di.setDeparted(se.key, departedInstance{id: se.ID, seq: dep.seq})
	default:
		delete(di.departed, se.key)
	}
}

// end removes a server whose entry ended.
func (di *Directory) end(se *Server, now time.Time) {
	delete(di.missingUntil, se.ID)
	delete(di.servers, se.ID)
	di.byService = nil
	di.setDeparted(se.Key(), departedInstance{id: se.ID, seq: di.departed[se.Key()].seq, ended: now})
}

func (di *Directory) setDeparted(key string, dep departedInstance) {
	if di.departed == nil {
		di.departed = map[string]departedInstance{}
	}
	di.departed[key] = dep
}

// expireDeparted removes the instances that ended long ago.
func (di *Directory) expireDeparted(now time.Time) {
	for key, dep := range di.departed {
		if !dep.ended.IsZero() && now.Sub(dep.ended) >= departureRetention {
			delete(di.departed, key)
		}
	}
}
