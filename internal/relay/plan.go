package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchers is how many gateways of a data centre watch the key-value service, so that one
	// may fail.
	watchers = 2
	// fewWatchers is up to how many watchers of all data centres call the service directly. Of
	// more only the roots do, each of another data centre, and the other watchers ask a root.
	fewWatchers = 4
	roots       = 3
	// avoidFor is how long a watcher that failed is not asked again.
	avoidFor = 5 * time.Second
	// serviceEvery is the least time between two calls of a gateway that does not watch to a
	// service that does not answer. Its watchers call more often and report its return.
	serviceEvery = time.Second
	// serviceSeldom is that time after enoughOld watchers have answered within it that the
	// service does not answer them either.
	serviceSeldom = 5 * time.Second
	enoughOld     = 3
	// catchUpEvery is the least time between two calls to the service by a gateway whose
	// revision its watcher does not know.
	catchUpEvery = time.Second
)

// Member is a gateway that may watch for others.
type Member struct {
	Box, DataCentre string
	// Address is where it answers requests; empty if it does not.
	Address string
	// LinkMbps is the capacity of its box's link in Mbit/s.
	LinkMbps int
}

// Plan decides from where a gateway gets changes. Its exported fields are set
// before use; it is not safe for concurrent use.
type Plan struct {
	// Box and DataCentre are the gateway's own.
	Box, DataCentre string

	// failed holds when each watcher failed last, by box, old when each last answered that its
	// state is out of date.
	failed, old map[string]time.Time
	// serviceFailed is when the key-value service failed to answer this gateway last.
	serviceFailed time.Time
	// caughtUp is when CatchUp last allowed a call.
	caughtUp time.Time
}

// Watcher returns the member to ask, or false if the gateway watches the key-value service
// itself, as a root or because all its watchers failed. If the service fails as well, watchers of
// other data centres are asked, and once these failed its own again. Gateways that know the same
// members choose the same watchers, those with the largest links.
func (pl *Plan) Watcher(members []Member, now time.Time) (Member, bool) {
	own := watchersOf(members, pl.DataCentre)
	if !pl.among(own) {
		return pl.choose(own, watchersElsewhere(members, pl.DataCentre), now)
	}
	first := rootsOf(members)
	if len(first) == 0 || pl.among(first) {
		return Member{}, false
	}
	return pl.choose(first, nil, now)
}

// choose returns a watcher that has not failed recently; once the service has failed as well, one
// of another data centre or any of its own.
func (pl *Plan) choose(own, elsewhere []Member, now time.Time) (Member, bool) {
	left := pl.leftOf(own, now)
	if len(left) == 0 && now.Sub(pl.serviceFailed) < pl.servicePause(now) {
		left = pl.leftOf(elsewhere, now)
		if len(left) == 0 {
			left = own
		}
	}
	if len(left) == 0 {
		return Member{}, false
	}
	return left[xxhash.Sum64String(pl.Box)%uint64(len(left))], true
}

// IsRoot reports whether this gateway calls the service for other watchers.
func (pl *Plan) IsRoot(members []Member) bool { return pl.among(rootsOf(members)) }

// leftOf returns the watchers that have not failed recently.
func (pl *Plan) leftOf(list []Member, now time.Time) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(me Member) bool { return pl.avoided(me.Box, now) })
}

// servicePause returns the least time between two calls to a service that fails.
func (pl *Plan) servicePause(now time.Time) time.Duration {
	old := 0
	for _, at := range pl.old {
		if now.Sub(at) < serviceSeldom {
			old++
		}
	}
	if old >= enoughOld {
		return serviceSeldom
	}
	return serviceEvery
}

// ShouldJoin reports whether a gateway should be a member: it is a watcher already, as after a
// restart, or there are too few members with links as large as its own.
func (pl *Plan) ShouldJoin(members []Member, linkMbps int) bool {
	if pl.among(watchersOf(members, pl.DataCentre)) {
		return true
	}
	others := 0
	for _, me := range members {
		if me.DataCentre == pl.DataCentre && me.Box != pl.Box && me.LinkMbps >= linkMbps {
			others++
		}
	}
	return others < watchers
}

// IsWatcher reports whether this gateway is one of the watchers of its data centre, or knows
// of none.
func (pl *Plan) IsWatcher(members []Member) bool {
	own := watchersOf(members, pl.DataCentre)
	return len(own) == 0 || pl.among(own)
}

// Serves reports whether other members may ask this gateway for changes: it is a watcher, and
// its data centre has other members.
func (pl *Plan) Serves(members []Member) bool {
	own := 0
	for _, me := range members {
		if me.DataCentre == pl.DataCentre {
			own++
		}
	}
	return own > watchers && pl.among(watchersOf(members, pl.DataCentre))
}

// Peers returns the members to which this gateway reports its load, and whether it does so as a
// collector. The watchers are the collectors. Of two collectors the one whose box's name sorts
// first reports to the other, which answers with its own report.
func (pl *Plan) Peers(members []Member, now time.Time) (peers []Member, collector bool) {
	if !pl.among(watchersOf(members, pl.DataCentre)) {
		if wa, ok := pl.Watcher(members, now); ok {
			peers = append(peers, wa)
		}
		return peers, false
	}
	for _, wa := range allWatchers(members) {
		if wa.Box > pl.Box && !pl.avoided(wa.Box, now) {
			peers = append(peers, wa)
		}
	}
	return peers, true
}

// among reports whether this gateway is one of the watchers.
func (pl *Plan) among(list []Member) bool {
	return slices.ContainsFunc(list, func(me Member) bool { return me.Box == pl.Box })
}

// Stale records that a watcher answered with a state that is out of date.
func (pl *Plan) Stale(box string, now time.Time) {
	if pl.old == nil {
		pl.old = map[string]time.Time{}
	}
	pl.old[box] = now
	pl.Failed(box, now)
}

// Failed records that a watcher did not answer this gateway.
func (pl *Plan) Failed(box string, now time.Time) {
	if pl.failed == nil {
		pl.failed = map[string]time.Time{}
	}
	pl.failed[box] = now
}

// ServiceFailed records that the key-value service did not answer this gateway.
func (pl *Plan) ServiceFailed(now time.Time) { pl.serviceFailed = now }

// AllowCatchUp reports whether a gateway whose watcher does not know its revision may call the service
// now, and records the call.
func (pl *Plan) AllowCatchUp(now time.Time) bool {
	if now.Sub(pl.caughtUp) < catchUpEvery {
		return false
	}
	pl.caughtUp = now
	return true
}

func (pl *Plan) avoided(box string, now time.Time) bool {
	at, ok := pl.failed[box]
	return ok && now.Sub(at) < avoidFor
}
