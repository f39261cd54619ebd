package directory

import (
	"slices"
	"time"
)

// revivedHold is how long the entry of an ended life is not used that a restored service lists
// again. A server that lives goes on writing; the entry of one that has ended lapses.
const revivedHold = 5 * time.Second

// pastLife is what is known of a life that leaves or has ended.
type pastLife struct {
	id string
	// seq is that of the newest entry that says that it leaves, zero if none does.
	seq int64
	// ended is when its entry ended, zero while it is listed.
	ended time.Time
}

// revivedServer is an entry of an ended life.
type revivedServer struct {
	entry Server
	until time.Time
}

// MarkLost takes that a restored service does not hold a server's entry, which it may have lost: the
// server is used until it had time to write it again. One that leaves is dropped at once.
func (di *Directory) MarkLost(id string, now time.Time) {
	se := di.servers[id]
	switch _, missing := di.missing[id]; {
	case se == nil || missing:
	case di.IsDraining(se):
		di.end(se, now)
	default:
		di.missing[id] = now.Add(returnGrace)
	}
}

// Quarantine takes an entry that a restored service lists. It reports whether the life has ended: such
// a server is not used, unless its entry is still there after a while.
func (di *Directory) Quarantine(se Server, now time.Time) bool {
	if di.past[se.life()].ended.IsZero() {
		return false
	}
	if di.revived == nil {
		di.revived = map[string]revivedServer{}
	}
	if _, ok := di.revived[se.ID]; !ok {
		di.revived[se.ID] = revivedServer{entry: se, until: now.Add(revivedHold)}
	}
	return true
}

// ReleaseQuarantined returns the entries of ended lives that are still there after a while.
func (di *Directory) ReleaseQuarantined(now time.Time) []Server {
	var list []Server
	for id, re := range di.revived {
		if !now.Before(re.until) {
			list = append(list, re.entry)
			delete(di.revived, id)
		}
	}
	return list
}

// EndedSince returns the ids of the servers whose entries ended after a moment and that are not
// listed again, in order.
func (di *Directory) EndedSince(at time.Time) []string {
	var ids []string
	for _, pa := range di.past {
		if pa.ended.After(at) && di.servers[pa.id] == nil {
			ids = append(ids, pa.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// noteLife keeps whether a listed life leaves: an older entry of it does not say so.
func (di *Directory) noteLife(se *Server) {
	delete(di.revived, se.ID)
	pa, known := di.past[se.key]
	switch {
	case se.Draining:
		di.setPast(se.key, pastLife{id: se.ID, seq: max(pa.seq, se.Seq)})
	case !known:
	case se.Seq < pa.seq:
		se.Draining = true
		di.setPast(se.key, pastLife{id: se.ID, seq: pa.seq})
	default:
		delete(di.past, se.key)
	}
}

// end drops a server whose entry ended.
func (di *Directory) end(se *Server, now time.Time) {
	delete(di.missing, se.ID)
	delete(di.servers, se.ID)
	di.byService = nil
	di.setPast(se.Key(), pastLife{id: se.ID, seq: di.past[se.Key()].seq, ended: now})
}

func (di *Directory) setPast(key string, pa pastLife) {
	if di.past == nil {
		di.past = map[string]pastLife{}
	}
	di.past[key] = pa
}

// forgetLives forgets the lives that ended long ago.
func (di *Directory) forgetLives(now time.Time) {
	for key, pa := range di.past {
		if !pa.ended.IsZero() && now.Sub(pa.ended) >= leavingKept {
			delete(di.past, key)
		}
	}
}
