package rollout

import "time"

// Phase is where a timed roll-out of a gateway stands. It is kept in the
// key-value service, so that all gateways compute the same share.
type Phase string

// The phases, in order. Failed may follow each but Complete, after which the
// old version's servers are stopped and nothing can go back.
const (
	// Waiting gives nothing to the new version: in the first half of a roll-out no
	// session may move to it, and which sessions are new only the gateway knows that had
	// their last request.
	Waiting Phase = "waiting"
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
	// hearing is how long a version must count as bad before it is left: the other
	// gateways are told of bad answers first, and tell theirs in return.
	hearing = 800 * time.Millisecond
	// leastTrial is the least time that a version is tried, also if the store could
	// not be reached when the trial was to begin: a roll-out that is late costs less
	// than one that gives everything to a version of which nothing is known.
	leastTrial = 2 * time.Second
	// longestDoubt is how long after its deadline a roll-out is finished all the same if
	// not enough is known of the version: too few requests come then to know more.
	longestDoubt = 5 * time.Second
	// revealing is how long before everything moves gateways tell each other what they
	// have, so that the first one to be due decides by all of it.
	revealing = 1500 * time.Millisecond
)

// Canary is one gateway's view of a timed roll-out. Its exported fields are
// set before use; it is not safe for concurrent use.
type Canary struct {
	Plan Plan
	// OrderedAt is when the roll-out was ordered, as far as this process knows: when it
	// first saw the order, or before.
	OrderedAt time.Time

	phase Phase
	// shares is what is tried of each route; nothing is until it is known.
	shares Shares
	// burst is what is tried besides of each route in the last part of the trial.
	burst float64
	// routes holds the tests of failures, one for each route, since a version may
	// be bad on one only.
	routes map[string]*failures
	// slow is the test of slow answers.
	slow slowness
	// own is what this gateway has seen of the version.
	own Outcomes
	// peers holds what other gateways have told of theirs.
	peers map[string]Outcomes
	// suspect is since when the version counts as bad, zero if it does not.
	suspect time.Time
	// since is when this process first looked in the present phase, entered which one
	// that is.
	since   time.Time
	entered Phase
	// sent counts what was sent to either version.
	sent exposure
}

// Phase returns the phase in force.
func (ca *Canary) Phase() Phase {
	if ca.phase == "" {
		return Waiting
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
var order = map[Phase]int{Waiting: 0, Trying: 1, Shifting: 2, Failed: 3, Complete: 4}

// Shares returns what is tried of each route, nil if that is not known.
func (ca *Canary) Shares() Shares { return ca.shares }

// Burst returns what is tried besides of each route in the last part of the trial.
func (ca *Canary) Burst() float64 { return ca.burst }

// SetShares takes what is tried of each route, and what besides in the last part of the trial; the
// first that is known holds.
func (ca *Canary) SetShares(shares Shares, burst float64) {
	if ca.shares == nil && len(shares) > 0 {
		ca.shares, ca.burst = shares, burst
	}
}

// RecordSent notes an attempt of a route at a server of one of the versions.
func (ca *Canary) RecordSent(route string, isNew bool, now time.Time) {
	if ca.Phase() == Trying {
		ca.sent.countTrial(ca.shareOf(route, now), ca.shares.Of(route))
	}
	ca.sent.count(isNew, now)
}

// OrderedNoLaterThan takes that the order is at least so old.
func (ca *Canary) OrderedNoLaterThan(at time.Time) {
	if at.Before(ca.OrderedAt) {
		ca.OrderedAt = at
	}
}

// FailIfBad enters Failed once the version has counted as bad for a while, in which
// the other gateways tell what speaks for it. It reports whether it did.
func (ca *Canary) FailIfBad(now time.Time) bool {
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

// in returns how long the present phase has been in force, as far as Due was asked.
func (ca *Canary) in(now time.Time) time.Duration {
	if ph := ca.Phase(); ph != ca.entered {
		ca.entered, ca.since = ph, now
	}
	return now.Sub(ca.since)
}

// DecisionImminent reports whether the next decision is near, for which the outcomes of all
// gateways count.
func (ca *Canary) DecisionImminent(now time.Time) bool {
	elapsed := now.Sub(ca.OrderedAt)
	ph := ca.Phase()
	return ph == Shifting || ph == Trying && ca.Plan.Within-elapsed <= ca.sent.tail(ca.Plan, elapsed)+revealing
}

// Due returns the phase that should be stored now, or false if the present one
// holds. Failed is entered by Settle.
func (ca *Canary) Due(now time.Time) (Phase, bool) {
	elapsed := now.Sub(ca.OrderedAt)
	left := ca.Plan.Within - elapsed
	in := ca.in(now)
	switch ph := ca.Phase(); {
	case ph == Failed || ph == Complete:
		return "", false
	case ph == Waiting:
		return Trying, elapsed >= ca.Plan.wait()
	case ca.suspicious():
		return "", false
	case ph == Trying:
		return Shifting, left <= ca.sent.tail(ca.Plan, elapsed) && in >= leastTrial && ca.sent.allows(ca.Plan, left, now)
	default:
		return Complete, left <= finishBefore && in >= settle && (ca.cleared() || left <= -longestDoubt)
	}
}
