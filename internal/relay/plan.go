package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/outage"
)

const (
	// watchersPerCentre is the number of gateways in each data centre that watch the key-value
	// service. There are two, so that one may fail.
	watchersPerCentre = 2
	// maxDirectWatchers is the number of watchers in all data centres up to which each of them
	// calls the service. If there are more, only maxRoots of them do, the roots, each in another
	// data centre; the other watchers ask a root.
	maxDirectWatchers = 4
	maxRoots          = 3
	// maxFailedRoots is the number of failed roots from which on a watcher calls the service.
	maxFailedRoots = 2
	// avoidDuration is how long a watcher that failed is not asked again.
	avoidDuration = 5 * time.Second
	// serviceInterval is the minimum time between two calls to a service that does not answer, by a
	// gateway that is not a watcher. The watchers call more often and propagate the recovery of the
	// service.
	serviceInterval = time.Second
	// longServiceInterval replaces serviceInterval if at least minStaleWatchers watchers have
	// answered within it that the service does not answer them either. It is shortened so that the call
	// after one failed call is answered, callSlack later, within the bound on propagation.
	longServiceInterval = 5 * time.Second
	minStaleWatchers    = 3
	callSlack           = time.Second
	// minStaleWait and maxStaleWait bound the time for which a gateway asks watchers with an outdated
	// state again before it calls the service.
	minStaleWait = 200 * time.Millisecond
	maxStaleWait = 400 * time.Millisecond
	// catchUpInterval is the minimum time between two calls to the service by a gateway whose
	// revision is not in its watcher's history.
	catchUpInterval = time.Second
)

// Member is a gateway that can be a watcher.
type Member struct {
	Box, DataCentre string
	// Address is where it answers requests, empty if it answers none.
	Address string
	// LinkMbps is the capacity of its box's link in Mbit/s.
	LinkMbps int
}

// Plan selects the source from which a gateway gets changes. Its exported fields are set before
// use; it is not safe for concurrent use.
type Plan struct {
	// Box and DataCentre are the gateway's own.
	Box, DataCentre string
	// Service tells how this gateway's calls to the key-value service went.
	Service *outage.Tracker
	// MaxPropagation is the time within which changes of the configuration must be in force, zero for no
	// bound.
	MaxPropagation time.Duration

	// failed holds the time of each watcher's last failure, by box; stale holds the time at which
	// each last answered that its state is out of date.
	failed, stale map[string]time.Time
	// asked is the watcher that Watcher returned last, empty once it has failed.
	asked string
	// staleSince is when a watcher first answered in the present outage that its state is out of date.
	staleSince time.Time
	// lastCatchUp is when AllowCatchUp last allowed a call.
	lastCatchUp time.Time
}

// Watcher returns the member to ask, or false if the gateway calls the key-value service itself: as
// a root, as a watcher where there are no roots, or because all the members that it would ask have
// failed. If the service fails as well, a gateway that is not a watcher asks the watchers of other
// data centres, and if these fail too, those of its own data centre again. Gateways that know the
// same members select the same watchers, those with the largest links.
//
// A watcher that is not reported as failed or stale before the next call counts as having answered.
func (pl *Plan) Watcher(members []Member, now time.Time) (Member, bool) {
	delete(pl.failed, pl.asked)
	delete(pl.stale, pl.asked)
	wa, ok := pl.selectWatcher(members, now)
	pl.asked = wa.Box
	return wa, ok
}

func (pl *Plan) selectWatcher(members []Member, now time.Time) (Member, bool) {
	own := watchersOf(members, pl.DataCentre)
	if !pl.isOneOf(own) {
		if len(pl.available(own, now)) == 0 && pl.waitsForWatchers(now) {
			if outdated := pl.outdated(own, now); len(outdated) > 0 {
				return pl.pick(outdated), true
			}
		}
		return pl.choose(own, watchersOutside(members, pl.DataCentre), now)
	}
	roots := rootsOf(members)
	if len(roots) == 0 || pl.isOneOf(roots) || pl.hasFailedRoots(roots, now) {
		return Member{}, false
	}
	return pl.choose(roots, nil, now)
}

// hasFailedRoots reports whether so many roots have failed recently that a watcher calls the service
// instead of the remaining one, which may take its whole timeout as well while others wait for this
// watcher.
func (pl *Plan) hasFailedRoots(roots []Member, now time.Time) bool {
	failed := len(roots) - len(pl.available(roots, now))
	return failed >= maxFailedRoots && pl.mayCallService(now)
}

// choose returns one of the preferred watchers that has not failed recently. If there is none and
// the service does not answer either, it returns one of the others, or any preferred one.
func (pl *Plan) choose(preferred, others []Member, now time.Time) (Member, bool) {
	available := pl.available(preferred, now)
	if len(available) == 0 && !pl.mayCallService(now) {
		available = pl.available(others, now)
		if len(available) == 0 {
			available = preferred
		}
	}
	if len(available) == 0 {
		return Member{}, false
	}
	return pl.pick(available), true
}

// pick returns one of the members, another one for other gateways.
func (pl *Plan) pick(list []Member) Member {
	return list[xxhash.Sum64String(pl.Box)%uint64(len(list))]
}

// Fallback returns another gateway to request changes from while the key-value service does not answer
// this one, which calls the service as a root, or as a watcher where there are no roots. The service may
// turn only this gateway away.
func (pl *Plan) Fallback(members []Member, now time.Time) (Member, bool) {
	callers := rootsOf(members)
	if len(callers) == 0 {
		callers = allWatchers(members)
	}
	if !pl.isOneOf(callers) {
		return Member{}, false
	}
	others := slices.DeleteFunc(pl.available(callers, now), func(me Member) bool { return me.Box == pl.Box })
	if len(others) == 0 {
		return Member{}, false
	}
	return pl.pick(others), true
}

// waitsForWatchers reports whether this gateway, which is not a watcher, asks watchers with an
// outdated state again before it calls the service: the states of all watchers of a data centre become
// out of date at the same moment, and often only for some tenths of a second. The time differs by box,
// so that the gateways do not call the service together.
func (pl *Plan) waitsForWatchers(now time.Time) bool {
	spread := time.Duration(xxhash.Sum64String(pl.Box) % uint64(maxStaleWait-minStaleWait))
	return now.Sub(pl.staleSince) < minStaleWait+spread
}

// IsRoot reports whether this gateway calls the service for other watchers.
func (pl *Plan) IsRoot(members []Member) bool { return pl.isOneOf(rootsOf(members)) }

// available returns the watchers that have not failed recently.
func (pl *Plan) available(list []Member, now time.Time) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(me Member) bool { return pl.Avoided(me.Box, now) })
}

// outdated returns the watchers that recently answered that their state is out of date.
func (pl *Plan) outdated(list []Member, now time.Time) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(me Member) bool {
		at, ok := pl.stale[me.Box]
		return !ok || now.Sub(at) >= maxStaleWait
	})
}

// mayCallService reports whether this gateway may call the service now.
func (pl *Plan) mayCallService(now time.Time) bool {
	return pl.Service.MayCall(pl.serviceDelay(now), now)
}

// serviceDelay returns the minimum time between two calls to a service that does not answer.
func (pl *Plan) serviceDelay(now time.Time) time.Duration {
	stale := 0
	for _, at := range pl.stale {
		if now.Sub(at) < longServiceInterval {
			stale++
		}
	}
	switch {
	case stale < minStaleWatchers:
		return serviceInterval
	case pl.MaxPropagation == 0:
		return longServiceInterval
	}
	return max(serviceInterval, min(longServiceInterval, pl.MaxPropagation-callSlack))
}

// ShouldJoin reports whether a gateway should register as a member: it is still listed as a
// watcher after a restart, or there are too few members with links as large as its own.
func (pl *Plan) ShouldJoin(members []Member, linkMbps int) bool {
	if pl.isOneOf(watchersOf(members, pl.DataCentre)) {
		return true
	}
	others := 0
	for _, me := range members {
		if me.DataCentre == pl.DataCentre && me.Box != pl.Box && me.LinkMbps >= linkMbps {
			others++
		}
	}
	return others < watchersPerCentre
}

// HasWatchers reports whether any watcher of this gateway's data centre is known.
func (pl *Plan) HasWatchers(members []Member) bool {
	return len(watchersOf(members, pl.DataCentre)) > 0
}

// IsWatcher reports whether this gateway is one of the watchers of its data centre, or knows none.
func (pl *Plan) IsWatcher(members []Member) bool {
	own := watchersOf(members, pl.DataCentre)
	return len(own) == 0 || pl.isOneOf(own)
}

// Serves reports whether other members may ask this gateway for changes: it is a watcher, and its
// data centre has members that are not watchers.
func (pl *Plan) Serves(members []Member) bool {
	own := 0
	for _, me := range members {
		if me.DataCentre == pl.DataCentre {
			own++
		}
	}
	return own > watchersPerCentre && pl.isOneOf(watchersOf(members, pl.DataCentre))
}

// Peers returns the members to which this gateway reports its load, and whether it does so as a
// collector. The watchers are the collectors. Of two collectors, the one whose box name sorts first
// reports to the other, which replies with its own report.
func (pl *Plan) Peers(members []Member, now time.Time) (peers []Member, collector bool) {
	if !pl.isOneOf(watchersOf(members, pl.DataCentre)) {
		if wa, ok := pl.collector(members, now); ok {
			peers = append(peers, wa)
		}
		return peers, false
	}
	for _, wa := range allWatchers(members) {
		if wa.Box > pl.Box && !pl.Avoided(wa.Box, now) {
			peers = append(peers, wa)
		}
	}
	return peers, true
}

// collector returns the collector that a gateway reports to: one of its data centre, or of another one
// while those of its own have failed recently. There is none until one of its data centre is known: a
// gateway that changes its collector is counted twice for a moment.
func (pl *Plan) collector(members []Member, now time.Time) (Member, bool) {
	delete(pl.failed, pl.asked)
	own := watchersOf(members, pl.DataCentre)
	if len(own) == 0 {
		return Member{}, false
	}
	for _, list := range [][]Member{pl.available(own, now), pl.available(watchersOutside(members, pl.DataCentre), now), own} {
		if len(list) > 0 {
			pl.asked = pl.pick(list).Box
			return pl.pick(list), true
		}
	}
	return Member{}, false
}

// CollectorRank returns this gateway's position among the collectors of all data centres, negative if
// it is none.
func (pl *Plan) CollectorRank(members []Member) int {
	return slices.IndexFunc(sortByLink(allWatchers(members)), func(me Member) bool { return me.Box == pl.Box })
}

// FirstOtherCollector returns the box of the collector that ranks first of the others that have not
// failed recently, empty if there is none.
func (pl *Plan) FirstOtherCollector(members []Member, now time.Time) string {
	for _, me := range sortByLink(allWatchers(members)) {
		if me.Box != pl.Box && !pl.Avoided(me.Box, now) {
			return me.Box
		}
	}
	return ""
}

// isOneOf reports whether this gateway is in the list.
func (pl *Plan) isOneOf(list []Member) bool {
	return slices.ContainsFunc(list, func(me Member) bool { return me.Box == pl.Box })
}

// Stale records that a watcher answered with a state that is out of date.
func (pl *Plan) Stale(box string, now time.Time) {
	if now.Sub(pl.staleSince) >= 2*longServiceInterval {
		pl.staleSince = now
	}
	if pl.stale == nil {
		pl.stale = map[string]time.Time{}
	}
	pl.stale[box] = now
	pl.Failed(box, now)
}

// Failed records that a watcher did not answer this gateway.
func (pl *Plan) Failed(box string, now time.Time) {
	if pl.failed == nil {
		pl.failed = map[string]time.Time{}
	}
	if pl.asked == box {
		pl.asked = ""
	}
	pl.failed[box] = now
}

// AllowCatchUp reports whether a gateway whose revision is not in its watcher's history may call
// the service now, and records the call.
func (pl *Plan) AllowCatchUp(now time.Time) bool {
	if now.Sub(pl.lastCatchUp) < catchUpInterval {
		return false
	}
	pl.lastCatchUp = now
	return true
}

// Avoided reports whether a gateway failed recently.
func (pl *Plan) Avoided(box string, now time.Time) bool {
	at, ok := pl.failed[box]
	return ok && now.Sub(at) < avoidDuration
}
