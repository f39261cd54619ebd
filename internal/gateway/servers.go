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

// mostUnusable is how many ids of unusable entries are kept: who writes more of them fills
// neither the memory nor the log.
const maxUnusableIDs = 256

// putServer takes a server's entry; the lock is held.
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
		ga.applyServerEnd(old.Key(), "it has started again", now)
		ga.pool.ForgetInstance(old.Key())
		ga.logServer(event.ServerRestarted, se.ID, se.Service+" "+se.Version+" "+se.Address)
	case se.Draining && !old.Draining:
		ga.logServer(event.ServerDraining, se.ID, se.Service)
	}
	ga.markCold(&se, se.ColdFor, now)
}

// serverGone takes the end of a server's entry; the lock is held.
func (ga *Gateway) removeServer(id string, now time.Time) {
	key := ga.serverKey(id)
	if se := ga.servers.Get(id); se != nil && !ga.servers.IsDraining(se) && ga.runs.IsDisconnected(key, now) {
		// A machine that is gone with its server refuses no connection.
		ga.applyServerEnd(key, "it broke off and its entry ended", now)
	}
	ga.servers.Remove(id, now)
	if ga.servers.Get(id) == nil {
		ga.pool.Forget(key)
		ga.logServer(event.ServerGone, id, "its entry ended")
	}
}

// entryUnusable takes a server out of use whose entry does not name one any more. The
// server writes its own again within seconds if it lives. The lock is held.
func (ga *Gateway) dropUnusableServer(un UnusableServer) {
	unusableEntries.Inc()
	key, listed := ga.serverKey(un.ID), ga.servers.Get(un.ID) != nil
	ga.servers.Drop(un.ID)
	ga.pool.Forget(key)
	if !listed && (ga.unusable[un.ID] || len(ga.unusable) >= maxUnusableIDs) {
		return
	}
	ga.unusable[un.ID] = true
	ga.logServer(event.ServerUnusable, un.ID, un.Reason)
}

// keepServers removes the servers that a whole state does not list, at once unless a restored
// service may have lost their entries. The lock is held.
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

// revives reports whether a restored service lists a server that has ended, which is not used for
// a while. The lock is held.
func (ga *Gateway) isRevived(se directory.Server, now time.Time) bool {
	if !ga.servers.Quarantine(se, now) {
		return false
	}
	ga.logServer(event.ServerRevived, se.ID, se.Service)
	return true
}

// evacuate takes a data centre's servers out of use: whatever is sent from now on, a first
// attempt or a later one, goes elsewhere, and what runs there comes to its end. The lock is
// held.
func (ga *Gateway) evacuate(dataCentre string) {
	if ga.servers.Evacuate(dataCentre) {
		ga.logDataCentre(event.CentreEvacuated, dataCentre)
	}
}

// restore takes a data centre's servers into use again, at first as cold ones: they may
// have become cold shortly before, and what they said of it may not have come yet. The lock
// is held.
func (ga *Gateway) endEvacuation(dataCentre string, now time.Time) {
	if !ga.servers.IsEvacuated(dataCentre) {
		return
	}
	for _, se := range ga.servers.Restore(dataCentre) {
		ga.markCold(se, ga.coldFor(se.Service), now)
	}
	ga.logDataCentre(event.CentreRestored, dataCentre)
}

// keepEvacuated gives the data centres back that a whole state does not name. Where a restored
// service may have lost the evacuation, its operator gets time to write it again. The lock is held.
func (ga *Gateway) reconcileEvacuations(evacuated map[string]bool, restored bool, now time.Time) {
	for _, dataCentre := range ga.servers.Evacuated() {
		switch {
		case evacuated[dataCentre]:
		case restored:
			ga.missingDataCentres.Hold(dataCentre, now.Add(rewriteGrace))
		case !ga.missingDataCentres.Has(dataCentre):
			ga.endEvacuation(dataCentre, now)
		}
	}
}

// cool notes for how long a server is cold; the lock is held.
func (ga *Gateway) markCold(se *directory.Server, left time.Duration, now time.Time) {
	if ga.pool.Warmup.MarkCold(se.Key(), left, now) {
		ga.logServer(event.ServerCold, se.Key(), strconv.FormatInt(left.Milliseconds(), 10)+" ms")
	}
}

// coldLimit returns what a cold server of a service bears, coldFor how long it is cold after a
// start; the lock is held.
func (ga *Gateway) coldLimit(service string) quota.Limit {
	sv := ga.serviceConfig(service)
	if sv == nil {
		return quota.Limit{}
	}
	return quota.Limit{
		PerSecond: sv.ColdPerSecond, MaxInWindow: sv.ColdPerSecond*ga.Bounds.ColdRatio + ga.Bounds.ColdExtra, Window: warmup.Window,
	}
}

func (ga *Gateway) coldFor(service string) time.Duration {
	if sv := ga.serviceConfig(service); sv != nil {
		return sv.ColdFor
	}
	return 0
}

// configured returns a service of the configuration in force, nil if it has none of the name.
func (ga *Gateway) serviceConfig(service string) *routing.Service {
	ta := ga.table.Load()
	if ta == nil {
		return nil
	}
	return ta.Service(service)
}

// watchServers notes which servers are warm again and how many gateways may send to those
// that are not.
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
	ga.updateFleet(now)
}

// countFleet takes how many gateways there may be; the lock is held.
func (ga *Gateway) updateFleet(now time.Time) {
	ga.fleet.Observe(ga.gatewayCount, now)
	ga.pool.MaxMembers = ga.fleet.Estimate(now)
}

// dropMissing drops the servers whose entries did not come back, and lists those whose entries
// stayed after a restored service had listed them again.
func (ga *Gateway) dropMissing(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, se := range ga.servers.ReleaseQuarantined(now) {
		ga.putServer(se, now)
	}
	for _, se := range ga.servers.Tick(now) {
		ga.pool.Forget(se.Key())
		ga.logServer(event.ServerGone, se.ID, "its entry did not come back")
	}
}

// keyOf returns the name of a server's present life, that of one that never started again
// if it is not listed. The lock is held.
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
