package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// rewriteGrace is how long evacuations and memberships that a restored key-value service has lost
// stay in force, so that operators and gateways can write them again.
const rewriteGrace = 5 * time.Second

// restoredSince reports whether the key-value service was restored since this gateway last read the
// complete state. The lock is held.
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

// endedServersTTL is how long a complete state includes the servers whose entries ended. A gateway
// whose state is of an older era could otherwise not distinguish them from servers whose entries
// were lost.
const endedServersTTL = 30 * time.Second

// endedServersSince returns the time from which on ended servers are included in a complete state.
// Servers that ended before a restore are left out, since the restored service may list them again.
// The lock is held.
func (ga *Gateway) endedServersSince(now time.Time) time.Time {
	if from := now.Add(-endedServersTTL); from.After(ga.eraSince) {
		return from
	}
	return ga.eraSince
}

// markPhasesLost marks the phases that a restored key-value service does not contain, so that they
// are stored again. The lock is held.
func (ga *Gateway) markPhasesLost(st State) {
	stored := map[string]bool{}
	for _, ch := range st.Changes {
		if ch.Phase != nil {
			stored[ch.Phase.Service] = true
		}
	}
	for service, ph := range ga.phases {
		if !stored[service] {
			ph.Revision = revision.Revision{Era: st.Revision.Era}
			ga.phases[service] = ph
		}
	}
}

// expireLost ends the evacuations and memberships that a restored key-value service has lost and
// that were not written again within rewriteGrace.
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
