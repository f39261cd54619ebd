package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchers is how many gateways of a data centre watch the key-value service:
	// one may fail without the others having to.
	watchers = 2
	// avoidFor is how long a watcher that failed is not asked again.
	avoidFor = 5 * time.Second
	// serviceEvery is the least time between two calls of a gateway that does not
	// watch to a service that does not answer: its watchers call several times a
	// second and tell it as soon as the service is back.
	serviceEvery = time.Second
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

	// failed holds when each watcher failed last, by box.
	failed map[string]time.Time
	// serviceFailed is when the key-value service failed to answer this gateway last.
	serviceFailed time.Time
	// caughtUp is when CatchUp last allowed a call.
	caughtUp time.Time
}

// Watcher returns the member to ask, or false if the gateway is to watch the
// key-value service itself: since it is one of the watchers, or since none of
// them serves it and the service has not just failed either. All gateways that know
// the same members choose the same watchers, those with the largest links.
func (pl *Plan) Watcher(members []Member, now time.Time) (Member, bool) {
	own := watchersOf(members, pl.DataCentre)
	if pl.among(own) {
		return Member{}, false
	}
	left := slices.DeleteFunc(slices.Clone(own), func(me Member) bool { return pl.avoided(me.Box, now) })
	if len(left) == 0 && now.Sub(pl.serviceFailed) < serviceEvery {
		left = own
	}
	if len(left) == 0 {
		return Member{}, false
	}
	return left[xxhash.Sum64String(pl.Box)%uint64(len(left))], true
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
	centres := map[string]bool{}
	for _, me := range members {
		if centres[me.DataCentre] {
			continue
		}
		centres[me.DataCentre] = true
		for _, wa := range watchersOf(members, me.DataCentre) {
			if wa.Box > pl.Box && !pl.avoided(wa.Box, now) {
				peers = append(peers, wa)
			}
		}
	}
	return peers, true
}

// among reports whether this gateway is one of the watchers.
func (pl *Plan) among(list []Member) bool {
	return slices.ContainsFunc(list, func(me Member) bool { return me.Box == pl.Box })
}

// watchersOf returns the watchers of a data centre.
func watchersOf(members []Member, dataCentre string) []Member {
	var own []Member
	for _, me := range members {
		if me.DataCentre == dataCentre && me.Address != "" {
			own = append(own, me)
		}
	}
	slices.SortFunc(own, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), strings.Compare(a.Box, b.Box))
	})
	return own[:min(watchers, len(own))]
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
