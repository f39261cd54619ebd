package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchers is how many gateways of a data centre watch the key-value service:
	// one may fail without the others having to.
	watchers = 2
	// fewWatchers is how many watchers of all data centres call the service, each for
	// itself. Where there are more, only roots of them do, of unlike data centres, and the
	// others ask these: calls do not grow with the data centres then, and what is known is
	// a quarter of a second older. With 32 gateways in three data centres 150 to 250 calls
	// of 810 to 1,200 a day less than with six.
	fewWatchers = 4
	roots       = 3
	// avoidFor is how long a watcher that failed is not asked again.
	avoidFor = 5 * time.Second
	// serviceEvery is the least time between two calls of a gateway that does not
	// watch to a service that does not answer: its watchers call several times a
	// second and tell it as soon as the service is back.
	serviceEvery = time.Second
	// serviceSeldom is that time where enoughOld watchers, which are called by others and
	// call the service all the while, have said within it that the service does not answer
	// them either: in 11 s without the service 93 gateways of 103 made 1,400 calls.
	serviceSeldom = 5 * time.Second
	enoughOld     = 3
	// catchUpEvery is the least time between two calls to the service by a gateway whose
	// watcher does not know its revision: one is enough, unless the watcher fails.
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

// Plan decides where a gateway hears of changes. Its exported fields are set
// before use; it is not safe for concurrent use.
type Plan struct {
	// Box and DataCentre are the gateway's own.
	Box, DataCentre string

	// failed holds when each watcher failed last, by box, old when each last said that
	// what it knows is old.
	failed, old map[string]time.Time
	// serviceFailed is when the key-value service failed to answer this gateway last.
	serviceFailed time.Time
	// caughtUp is when CatchUp last allowed a call.
	caughtUp time.Time
}

// Watcher returns the member to ask, or false if the gateway is to watch the
// key-value service itself: since it is one of the watchers that do, or since none of
// them serves it and the service has not just failed either. After that the watchers of
// other data centres are asked, which the service may answer, and once none of these serves
// it either its own again. All gateways that know the same members choose the same
// watchers, those with the largest links.
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

// choose returns one of the watchers that has not just failed; once the service has failed
// as well one of those elsewhere, or any of the first again.
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

// Root reports whether this gateway calls the service for other watchers.
func (pl *Plan) Root(members []Member) bool { return pl.among(rootsOf(members)) }

// leftOf returns the watchers that have not just failed.
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

// Needed reports whether a gateway should be among those that may watch: it is one of the
// watchers, as after a restart, or fewer than these are there with links as large as its
// own.
func (pl *Plan) Needed(members []Member, linkMbps int) bool {
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

// Watches reports whether this gateway is one of the watchers of its data centre, or knows
// of none.
func (pl *Plan) Watches(members []Member) bool {
	own := watchersOf(members, pl.DataCentre)
	return len(own) == 0 || pl.among(own)
}

// Serves reports whether other members may ask this gateway for changes: it is one of
// the watchers, and not everybody in its data centre is.
func (pl *Plan) Serves(members []Member) bool {
	own := 0
	for _, me := range members {
		if me.DataCentre == pl.DataCentre {
			own++
		}
	}
	return own > watchers && pl.among(watchersOf(members, pl.DataCentre))
}

// Peers returns the members to which this gateway reports its load, and whether it
// does so as a collector. A gateway reports to its watcher; the watchers are the
// collectors, and of two of them the one whose box's name comes first reports to the
// other, which answers with its own. A gateway whose watchers all failed reports to
// nobody.
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

// Old notes that a watcher answered, and that the service does not answer it.
func (pl *Plan) Old(box string, now time.Time) {
	if pl.old == nil {
		pl.old = map[string]time.Time{}
	}
	pl.old[box] = now
	pl.Failed(box, now)
}

// Failed notes that a watcher did not serve this gateway.
func (pl *Plan) Failed(box string, now time.Time) {
	if pl.failed == nil {
		pl.failed = map[string]time.Time{}
	}
	pl.failed[box] = now
}

// ServiceFailed notes that the key-value service did not answer this gateway.
func (pl *Plan) ServiceFailed(now time.Time) { pl.serviceFailed = now }

// CatchUp reports whether a gateway whose watcher does not know its revision calls the
// service once, and takes it that it does.
func (pl *Plan) CatchUp(now time.Time) bool {
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
