package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// rewriteGrace is how long what a restored service has lost stays in force until whoever wrote it
// has written it again.
const rewriteGrace = 5 * time.Second

// restoredSince reports whether the service was restored since this gateway has read the whole
// state last. The lock is held.
func (ga *Gateway) restoredSince(to revision.Revision, now time.Time) bool {
	storeEra.Set(float64(to.Era))
	before := ga.history.Revision()
	if ga.stateRead && to.Era == before.Era {
		return false
	}
	ga.eraSince = now
	if !ga.stateRead {
		return false
	}
	ga.Log.Warn().Int("event", int(event.StoreRestored)).Stringer("revision", to).Stringer("before", before).
		Msg(event.Name(event.StoreRestored))
	return true
}

// endedReported is how long a whole state names the servers that have ended: for a gateway that comes
// from an older era, others that are not listed may have been lost.
const endedServersTTL = 30 * time.Second

// endedFrom returns the moment from which on ended servers are named to others: what ended before
// the restore may be listed again. The lock is held.
func (ga *Gateway) endedServersSince(now time.Time) time.Time {
	if from := now.Add(-endedServersTTL); from.After(ga.eraSince) {
		return from
	}
	return ga.eraSince
}

// losePhases notes the phases that a restored service does not hold, so that they are stored
// again. The lock is held.
func (ga *Gateway) markPhasesLost(st State) {
	held := map[string]bool{}
	for _, ch := range st.Changes {
		if ch.Phase != nil {
			held[ch.Phase.Service] = true
		}
	}
	for service, ph := range ga.phases {
		if !held[service] {
			ph.Revision = revision.Revision{Era: st.Revision.Era}
			ga.phases[service] = ph
		}
	}
}

// dropLost drops what a restored service has lost and nobody has written again.
func (ga *Gateway) expireLost(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, dataCentre := range ga.missingDataCentres.Expire(now) {
		ga.endEvacuation(dataCentre, now)
	}
	for _, box := range ga.missingMembers.Expire(now) {
		ga.memberLeft(box)
	}
}
