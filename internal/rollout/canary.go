package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is where a timed roll-out of a gateway stands. It is kept in the
// key-value service, so that all gateways compute the same share.
type Phase string

// The phases, in order. Failed may follow each but Complete, after which the
// old version's servers are stopped and nothing can go back.
const (
	// Trying gives a small share of the sessions to the new version.
	Trying Phase = "trying"
	// Shifting gives everything to the new version, while requests that the
	// old version runs come to their end.
	Shifting Phase = "shifting"
	// Complete means that the old version gets nothing and may be stopped.
	Complete Phase = "complete"
	// Failed means that the new version gets nothing.
	Failed Phase = "failed"
)

const (
	// TryingShare is the part of the sessions that the new version gets while it
	// is tried. A bad version may have 0.15 of all requests (canary_share of the
	// users' bounds); less leaves room for uneven sessions.
	TryingShare = 0.08
	// shiftPart is the part of the time given to the roll-out after which
	// everything moves; sessions must keep the old version through the first
	// half (the users' rule on sessions).
	shiftPart = 0.56
	// finishPart is the part of the time given after which the roll-out is
	// finished, so that requests begun on the old version can end.
	finishPart = 0.85
	// fewestTried is the least outcomes of the new version that speak for it.
	fewestTried = 10
	// normalRate is the rate of bad answers that is taken for normal when
	// nothing is known, badRate the least that must be caught.
	normalRate = 0.02
	badRate    = 0.15
	// badServers is the part of the servers tried that must have given bad
	// answers: a bad version is bad everywhere, while a failing server of a good
	// one is alone or with few (the users' disruptions strike up to a fifth).
	badServers = 0.3
	// fewestBad is the least number of such servers, if there are so many.
	fewestBad = 2
	// alarmSum is the cumulative log likelihood ratio at which a version counts
	// as bad; a good one that fails as often as the old one, 0.14, gets there in
	// one of a hundred roll-outs of 60 outcomes (see the tests).
	alarmSum = 7
)

// Plan is an order to move a service to a version within a time.
type Plan struct {
	Service string
	Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
}

// Canary is one gateway's view of a timed roll-out. Its exported fields are
// set before use; it is not safe for concurrent use.
type Canary struct {
	Plan Plan
	// Began is when this process first saw the order.
	Began time.Time

	phase Phase
	// sum is the cumulative test of bad answers; it is never below zero.
	sum float64
	// tried and bad count the new version's outcomes, oldTried and oldBad the
	// old version's.
	tried, bad, oldTried, oldBad int
	// servers holds whether each server of the new version gave a bad answer.
	servers map[string]bool
}

// Phase returns the phase in force.
func (ca *Canary) Phase() Phase {
	if ca.phase == "" {
		return Trying
	}
	return ca.phase
}

// Enter takes a phase that was stored. A phase never goes back.
func (ca *Canary) Enter(ph Phase) {
	if order[ph] > order[ca.Phase()] {
		ca.phase = ph
	}
}

// order ranks the phases; what is stored as complete overrules a gateway that
// took the version for bad on its own.
var order = map[Phase]int{Trying: 0, Shifting: 1, Failed: 2, Complete: 3}

// New reports whether a session's request goes to the new version. Every
// gateway computes the same from the stored phase.
func (ca *Canary) New(session string) bool {
	switch ca.Phase() {
	case Trying:
		return place(ca.Plan.Version, session) < TryingShare
	case Shifting, Complete:
		return true
	}
	return false
}

// place maps a session evenly to [0, 1).
func place(version, session string) float64 {
	return float64(xxhash.Sum64String(version+"\x00"+session)>>11) / (1 << 53)
}

// Observe takes the outcome of a request that a server of one of the versions
// answered. It reports whether the new version now counts as bad.
func (ca *Canary) Observe(server string, isNew, bad bool) bool {
	if !isNew {
		ca.oldTried++
		if bad {
			ca.oldBad++
		}
		return false
	}
	ca.tried++
	if ca.servers == nil {
		ca.servers = map[string]bool{}
	}
	ca.servers[server] = ca.servers[server] || bad
	count := 0.0
	if bad {
		ca.bad++
		count = 1
	}
	normal := max(normalRate, smooth(float64(ca.oldBad), float64(ca.oldTried), normalRate))
	normal = min(normal, 0.5)
	ca.sum = sum(ca.sum, count, 1, normal, min(0.9, max(badRate, worse*normal)))
	return ca.Bad()
}

// Bad reports whether the new version counts as bad.
func (ca *Canary) Bad() bool { return ca.sum >= alarmSum && ca.widespread() }

// widespread reports whether bad answers came from enough of the servers.
func (ca *Canary) widespread() bool {
	bad := 0
	for _, was := range ca.servers {
		if was {
			bad++
		}
	}
	seen := len(ca.servers)
	return bad >= min(fewestBad, seen) && float64(bad) >= badServers*float64(seen)
}

// Counts returns the new version's outcomes.
func (ca *Canary) Counts() (tried, bad int) { return ca.tried, ca.bad }

// Due returns the phase that should be stored now, or false if the present one
// holds.
func (ca *Canary) Due(now time.Time) (Phase, bool) {
	elapsed := now.Sub(ca.Began)
	within := float64(ca.Plan.Within)
	switch ph := ca.Phase(); {
	case ph == Failed || ph == Complete:
		return "", false
	case ca.Bad():
		return Failed, true
	case ph == Trying && float64(elapsed) >= shiftPart*within && ca.cleared(elapsed):
		return Shifting, true
	case ph == Shifting && float64(elapsed) >= finishPart*within:
		return Complete, true
	}
	return "", false
}

// cleared reports whether enough speaks for the new version. Towards the end
// of the time, a version of which nothing bad is known is let through.
func (ca *Canary) cleared(elapsed time.Duration) bool {
	if ca.sum > alarmSum/2 {
		return false
	}
	return ca.tried >= fewestTried || float64(elapsed) >= (shiftPart+finishPart)/2*float64(ca.Plan.Within)
}
