package gateway

import (
	"strconv"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/quota"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/warmup"
)

// maxUnusableIDs bounds the ids of unusable entries that are remembered, so that a writer of many
// such entries fills neither the memory nor the log.
const maxUnusableIDs = 256

// putServer applies a server's entry. The lock is held.
func (ga *Gateway) putServer(se directory.Server, now time.Time) {
	var old directory.Server
	known := ga.servers.Get(se.ID)
	if known != nil {
		old = *known
	}
	if !ga.servers.Put(se) {
		return
	}
	delete(ga.unusable, se.ID)
	switch {
	case known == nil:
		ga.logServer(event.ServerListed, se.ID, se.Service+" "+se.Version+" "+se.Address)
	case se.Born != old.Born:
		ga.applyServerCrash(old.Key(), "the server has restarted", now)
		ga.pool.ForgetInstance(old.Key())
		ga.choices.Forget(old.Key())
		ga.logServer(event.ServerRestarted, se.ID, se.Service+" "+se.Version+" "+se.Address)
	case se.Draining && !old.Draining:
		ga.logDeparture(event.ServerDraining, se.Key(), se.Service, ga.freshness.Source(), now)
	}
	ga.trackDeparture(&se, known != nil && old.Draining)
	ga.markCold(&se, se.ColdFor, now)
}

// removeServer removes a server whose entry ended. The lock is held.
func (ga *Gateway) removeServer(id string, now time.Time) {
	key := ga.serverKey(id)
	if se := ga.servers.Get(id); se != nil && !ga.servers.IsDraining(se) {
		if ga.runs.IsDisconnected(key, now) {
			// If the box has failed together with the server, nothing refuses a connection.
			ga.applyServerCrash(key, "a connection was lost and the server's entry ended", now)
		} else if ga.runs.HasIncomplete(key) {
			ga.unexplainedEnds = append(ga.unexplainedEnds, *se)
		}
	}
	ga.servers.Remove(id, now)
	if ga.servers.Get(id) == nil {
		ga.pool.Forget(key)
		ga.logDeparture(event.ServerGone, key, "entry ended", ga.freshness.Source(), now)
		ga.choices.Forget(key)
		ga.departed = append(ga.departed, key)
	}
}

// dropUnusableServer takes a server out of use because its entry is no longer valid. If the
// server still runs, it writes its entry again within seconds. The lock is held.
func (ga *Gateway) dropUnusableServer(un UnusableServer) {
	unusableEntries.Inc()
	key, listed := ga.serverKey(un.ID), ga.servers.Get(un.ID) != nil
	ga.servers.Drop(un.ID)
	ga.pool.Forget(key)
	ga.choices.Forget(key)
	if !listed && (ga.unusable[un.ID] || len(ga.unusable) >= maxUnusableIDs) {
		return
	}
	ga.unusable[un.ID] = true
	ga.logServer(event.ServerUnusable, un.ID, un.Reason)
}

// reconcileServers removes the servers that a complete state does not list, at once unless a
// restored key-value service may have lost their entries. The lock is held.
func (ga *Gateway) reconcileServers(listed map[string]bool, restored bool, now time.Time) {
	for _, se := range ga.servers.Listed() {
		switch {
		case listed[se.ID]:
		case restored:
			ga.servers.MarkLost(se.ID, now)
		default:
			ga.removeServer(se.ID, now)
		}
	}
}

// deferRevived reports whether a restored key-value service lists a server whose entry had ended,
// and keeps such a server out of use for a while. The lock is held.
func (ga *Gateway) deferRevived(se directory.Server, now time.Time) bool {
	if !ga.servers.Quarantine(se, now) {
		return false
	}
	ga.logServer(event.ServerRevived, se.ID, se.Service)
	return true
}

// evacuate takes a data centre's servers out of use. From now on all attempts, first and later
// ones, go to other data centres. Attempts in progress there are not interrupted. The lock is held.
func (ga *Gateway) evacuate(dataCentre string) {
	if ga.servers.Evacuate(dataCentre) {
		ga.logDataCentre(event.DataCentreEvacuated, dataCentre)
	}
}

// endEvacuation puts a data centre's servers back into use. They count as cold at first, since they
// may have become cold shortly before without their entries having arrived yet. The lock is held.
func (ga *Gateway) endEvacuation(dataCentre string, now time.Time) {
	if !ga.servers.IsEvacuated(dataCentre) {
		return
	}
	for _, se := range ga.servers.Restore(dataCentre) {
		ga.markCold(se, ga.coldFor(se.Service), now)
	}
	ga.logDataCentre(event.DataCentreRestored, dataCentre)
}

// reconcileEvacuations ends the evacuations that a complete state does not contain. If a restored
// key-value service may have lost one, its operator gets time to write it again. The lock is held.
func (ga *Gateway) reconcileEvacuations(evacuated map[string]bool, restored bool, now time.Time) {
	for _, dataCentre := range ga.servers.Evacuated() {
		switch {
		case evacuated[dataCentre]:
		case restored:
			ga.missingDataCentres.Add(dataCentre, now.Add(rewriteGrace))
		case !ga.missingDataCentres.Contains(dataCentre):
			ga.endEvacuation(dataCentre, now)
		}
	}
}

// markCold records for how long a server is cold. The lock is held.
func (ga *Gateway) markCold(se *directory.Server, left time.Duration, now time.Time) {
	if ga.pool.Warmup.MarkCold(se.Key(), left, now) {
		ga.logServer(event.ServerCold, se.Key(), strconv.FormatInt(left.Milliseconds(), 10)+" ms")
	}
}

// coldLimit returns the request limit of a service's cold servers. The lock is held.
func (ga *Gateway) coldLimit(service string) quota.Limit {
	sv := ga.serviceConfig(service)
	if sv == nil {
		return quota.Limit{}
	}
	return quota.Limit{
		PerSecond: sv.ColdPerSecond, MaxInWindow: sv.ColdPerSecond*ga.Bounds.ColdRatio + ga.Bounds.ColdExtra, Window: warmup.Window,
	}
}

// coldFor returns how long a server of a service is cold after its start. The lock is held.
func (ga *Gateway) coldFor(service string) time.Duration {
	if sv := ga.serviceConfig(service); sv != nil {
		return sv.ColdFor
	}
	return 0
}

// serviceConfig returns a service of the configuration in force, nil if it does not contain the
// service.
func (ga *Gateway) serviceConfig(service string) *routing.Service {
	ta := ga.table.Load()
	if ta == nil {
		return nil
	}
	return ta.Service(service)
}

// tickServers updates the time-dependent state of servers: warm-up, pauses, notices to propagate and
// the number of gateways among which the limits of cold servers are divided.
func (ga *Gateway) tickServers(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, key := range ga.pool.Warmup.Tick(now) {
		ga.logServer(event.ServerWarm, key, "")
	}
	ga.pool.Tick(now)
	ga.expirePauses(now)
	ga.leavingGossip.Tick(now)
	ga.pauseGossip.Tick(now)
	ga.crashes.Expire(now)
	ga.updateFleet(now)
}

// updateFleet updates the estimate of the highest number of gateways. The lock is held.
func (ga *Gateway) updateFleet(now time.Time) {
	ga.fleet.Observe(ga.gatewayCount, now)
	ga.pool.MaxMembers = ga.fleet.Estimate(now)
}

// dropMissing drops the servers whose entries did not return in time, and lists those whose entries
// remained after a restored key-value service listed them again.
func (ga *Gateway) dropMissing(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, se := range ga.servers.ReleaseQuarantined(now) {
		ga.putServer(se, now)
	}
	for _, se := range ga.servers.Tick(now) {
		ga.pool.Forget(se.Key())
		ga.choices.Forget(se.Key())
		ga.logServer(event.ServerGone, se.ID, "entry did not return")
	}
}

// serverKey returns the key of a server's current instance, or that of its first instance if the
// server is not listed. The lock is held.
func (ga *Gateway) serverKey(id string) string {
	if se := ga.servers.Get(id); se != nil {
		return se.Key()
	}
	return id
}

func (ga *Gateway) logServer(id event.ID, server, detail string) {
	ga.Log.Info().Int("event", int(id)).Str("server", server).Str("detail", detail).Msg(event.Name(id))
}

func (ga *Gateway) logDataCentre(id event.ID, dataCentre string) {
	ga.Log.Info().Int("event", int(id)).Str("of", dataCentre).Msg(event.Name(id))
}
