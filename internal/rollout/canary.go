package rollout

import (
	"slices"
	"time"
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
	// tryingPart is the part of the most that a bad version may get that is used
	// for sessions while the version is tried; singlePart that for requests that
	// belong to no session, which may go either way at any time. More would leave
	// no time between the shift and the deadline.
	tryingPart = 1.0 / 3
	singlePart = 0.6
	// shareMargin is left of that bound when everything moves, since requests do
	// not come evenly.
	shareMargin = 0.01
	// finishBefore is how long before its deadline a roll-out is finished. A process
	// may learn of an order 0.4 s late, a write may take a quarter of a second, and
	// operators look at the status now and then: 0.16 s before was too late.
	finishBefore = 1200 * time.Millisecond
	// hearing is how long a version must count as bad before it is left: the other
	// gateways are told of bad answers first, and tell theirs in return.
	hearing = 800 * time.Millisecond
	// settle is the least time between the shift and the end, in which every
	// process learns of the shift and short requests come to their end.
	settle = 500 * time.Millisecond
)

// Plan is an order to move a service to a version within a time.
type Plan struct {
	Service string
	Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
	// MostShare is the part of all requests in that time that a bad version may
	// get. A version may be bad only under load, so that the bound is kept by a
	// version of which nothing bad is known as well: everything moves late.
	MostShare float64
	// SessionGap is the longest pause within a session.
	SessionGap time.Duration
}

// tryingShare returns the part of new sessions that the version gets at first,
// singleShare that of requests that belong to no session.
func (pl Plan) tryingShare() float64 { return pl.MostShare * tryingPart }
func (pl Plan) singleShare() float64 { return pl.MostShare * singlePart }

// shiftAfter returns when everything moves, if the version got a share until
// then: so late that it stays within its bound however bad it turns out.
func (pl Plan) shiftAfter(share float64) time.Duration {
	rest := (pl.MostShare - share - shareMargin) / (1 - share)
	return time.Duration(float64(pl.Within) * (1 - rest))
}

// Withdraw returns the versions of a service that get nothing any more once a newer
// order for a target comes: those that got nothing before, the version of the order
// before unless everything had moved to it, and otherwise those it had moved from,
// which are among the listed ones. Their servers may be listed for some seconds more.
func Withdraw(before []string, version string, ph Phase, listed []string, target string) []string {
	gone := slices.Clone(before)
	switch {
	case version == "":
	case ph == Shifting || ph == Complete:
		for _, ve := range listed {
			if ve != version {
				gone = append(gone, ve)
			}
		}
	default:
		gone = append(gone, version)
	}
	slices.Sort(gone)
	return slices.DeleteFunc(slices.Compact(gone), func(ve string) bool { return ve == target })
}

// Canary is one gateway's view of a timed roll-out. Its exported fields are
// set before use; it is not safe for concurrent use.
type Canary struct {
	Plan Plan
	// Began is when this process first saw the order.
	Began time.Time

	phase Phase
	// routes holds the tests of failures, one for each route, since a version may
	// be bad on one only.
	routes map[string]*failures
	// slow is the cumulative test of slow answers; it is never below zero.
	slow float64
	// tried and bad count the new version's outcomes here.
	tried, bad int
	// own counts them by route.
	own Outcomes
	// peers holds what other gateways have told of theirs.
	peers map[string]Outcomes
	// suspect is since when the version counts as bad, zero if it does not.
	suspect time.Time
	// shifted is when this process first looked after the shift.
	shifted time.Time
	// singles is set once a request of no session came.
	singles bool
	// sessions holds the sessions seen while the version is tried; swept is when
	// those that are over were last forgotten.
	sessions map[string]seen
	swept    time.Time
	// servers counts the outcomes of each server of the new version.
	servers map[string]serverOutcomes
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

// Counts returns the new version's outcomes here; a slow one counts as bad.
func (ca *Canary) Counts() (tried, bad int) { return ca.tried, ca.bad + ca.own.Slow }

// Settle enters Failed once the version has counted as bad for a while, in which
// the other gateways tell what speaks for it. It reports whether it did.
func (ca *Canary) Settle(now time.Time) bool {
	if ph := ca.Phase(); ph == Complete || ph == Failed {
		return false
	}
	if !ca.Bad() {
		ca.suspect = time.Time{}
		return false
	}
	if ca.suspect.IsZero() {
		ca.suspect = now
	}
	if now.Sub(ca.suspect) < hearing {
		return false
	}
	ca.Enter(Failed)
	return true
}

// settled reports whether the shift has been in force for a while.
func (ca *Canary) settled(now time.Time) bool { return now.Sub(ca.shifted) >= settle }

// share returns the part of the requests that the version gets while it is tried.
func (ca *Canary) share() float64 {
	if ca.singles {
		return ca.Plan.singleShare()
	}
	return ca.Plan.tryingShare()
}

// Due returns the phase that should be stored now, or false if the present one
// holds. Failed is entered by Settle.
func (ca *Canary) Due(now time.Time) (Phase, bool) {
	elapsed := now.Sub(ca.Began)
	switch ph := ca.Phase(); {
	case ph == Failed || ph == Complete:
		return "", false
	case ph == Shifting && ca.shifted.IsZero():
		ca.shifted = now
		return "", false
	case ph == Trying && elapsed >= ca.Plan.shiftAfter(ca.share()) && ca.worst() <= shiftSum:
		return Shifting, true
	case ph == Shifting && elapsed >= ca.Plan.Within-finishBefore && ca.settled(now):
		return Complete, true
	}
	return "", false
}
