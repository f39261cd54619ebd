package rollout

import "time"

// Phase is the phase of a timed roll-out as seen by a gateway. It is stored in the key-value
// service, so that all gateways compute the same share.
type Phase string

// The phases, in order. Failed may follow any phase except Complete, after which the old version's
// servers are stopped and a return is impossible.
const (
	// Waiting sends nothing to the new version. No session may move to it in the first half of a
	// roll-out, and only the gateway that served a session's last request knows that the session is
	// not new.
	Waiting Phase = "waiting"
	// Trying sends a small share of the sessions to the new version.
	Trying Phase = "trying"
	// Shifting sends everything to the new version while requests on the old version complete.
	Shifting Phase = "shifting"
	// Complete means that the old version receives no requests and may be stopped.
	Complete Phase = "complete"
	// Failed means that the new version receives no requests.
	Failed Phase = "failed"
)

const (
	// badConfirmTime is how long a version must count as bad before it fails. Within it the
	// gateways exchange their outcomes: they report bad responses first and receive the outcomes of
	// the others in return.
	badConfirmTime = 800 * time.Millisecond
	// minTrialTime is the minimum duration of the trial, even if the store was unavailable when the
	// trial was due. A late roll-out costs less than one that sends everything to an untested
	// version.
	minTrialTime = 2 * time.Second
	// maxOverrun is how long after its deadline a roll-out completes even if the evidence is
	// insufficient: the request rate is then too low to collect more.
	maxOverrun = 5 * time.Second
	// exchangeLead is how long before the shift gateways start to exchange their outcomes, so that
	// the first gateway that may store the shift decides on all of them.
	exchangeLead = 1500 * time.Millisecond
)

// Canary is one gateway's view of a timed roll-out. Its exported fields are set before use. It is
// not safe for concurrent use.
type Canary struct {
	Plan Plan
	// OrderedAt is when the roll-out was ordered, as far as this process knows: when it first saw
	// the order, or earlier.
	OrderedAt time.Time

	phase Phase
	// shares holds the trial share of each route; nil until it is known.
	shares Shares
	// burst is the additional share of each route in the last part of the trial.
	burst float64
	// routes holds a failure test for each route, since a version may be bad on one route only.
	routes map[string]*failureTest
	// slow is the test for slow responses.
	slow latencyTest
	// own holds the outcomes of the new version on this gateway.
	own Outcomes
	// peers holds the outcomes that other gateways reported.
	peers map[string]Outcomes
	// badSince is when the version began to count as bad, zero if it does not.
	badSince time.Time
	// phaseSince is when this process first evaluated trackedPhase, the present phase.
	phaseSince   time.Time
	trackedPhase Phase
	// exposure counts the requests sent to either version.
	exposure exposure
}

// Phase returns the current phase.
func (ca *Canary) Phase() Phase {
	if ca.phase == "" {
		return Waiting
	}
	return ca.phase
}

// Enter moves to a stored phase. It ignores a phase that precedes the current one.
func (ca *Canary) Enter(ph Phase) {
	if phaseRank[ph] > phaseRank[ca.Phase()] {
		ca.phase = ph
	}
}

// phaseRank orders the phases. Complete ranks above Failed, so that a stored Complete overrides a
// gateway's own decision that the version failed.
var phaseRank = map[Phase]int{Waiting: 0, Trying: 1, Shifting: 2, Failed: 3, Complete: 4}

// Shares returns the trial share of each route, nil if it is unknown.
func (ca *Canary) Shares() Shares { return ca.shares }

// Burst returns the additional share of each route in the last part of the trial.
func (ca *Canary) Burst() float64 { return ca.burst }

// SetShares sets the trial share of each route and the additional share in the last part of the
// trial. Only the first known values take effect.
func (ca *Canary) SetShares(shares Shares, burst float64) {
	if ca.shares == nil && len(shares) > 0 {
		ca.shares, ca.burst = shares, burst
	}
}

// RecordSent records an attempt for a route on a server of one of the versions.
func (ca *Canary) RecordSent(route string, isNew bool, now time.Time) {
	if ca.Phase() == Trying {
		ca.exposure.countTrial(ca.shareOf(route, now), ca.shares.Of(route))
	}
	ca.exposure.count(isNew, now)
}

// OrderedNoLaterThan moves the time of the order back to a time by which it is known to have
// existed.
func (ca *Canary) OrderedNoLaterThan(at time.Time) {
	if at.Before(ca.OrderedAt) {
		ca.OrderedAt = at
	}
}

// FailIfBad enters Failed once the version has counted as bad for badConfirmTime, in which other
// gateways may report good outcomes. It reports whether it did.
func (ca *Canary) FailIfBad(now time.Time) bool {
	if ph := ca.Phase(); ph == Complete || ph == Failed {
		return false
	}
	if !ca.Bad() {
		ca.badSince = time.Time{}
		return false
	}
	if ca.badSince.IsZero() {
		ca.badSince = now
	}
	if now.Sub(ca.badSince) < badConfirmTime {
		return false
	}
	ca.Enter(Failed)
	return true
}

// phaseAge returns for how long this process has evaluated the present phase.
func (ca *Canary) phaseAge(now time.Time) time.Duration {
	if ph := ca.Phase(); ph != ca.trackedPhase {
		ca.trackedPhase, ca.phaseSince = ph, now
	}
	return now.Sub(ca.phaseSince)
}

// DecisionImminent reports whether the next decision is near, for which the outcomes of all
// gateways are needed.
func (ca *Canary) DecisionImminent(now time.Time) bool {
	elapsed := now.Sub(ca.OrderedAt)
	ph := ca.Phase()
	return ph == Shifting || ph == Trying && ca.Plan.Within-elapsed <= ca.exposure.shiftLead(ca.Plan, elapsed)+exchangeLead
}

// Due returns the phase that should be stored now, or false if the present one remains. Failed is
// entered by FailIfBad only.
func (ca *Canary) Due(now time.Time) (Phase, bool) {
	elapsed := now.Sub(ca.OrderedAt)
	left := ca.Plan.Within - elapsed
	age := ca.phaseAge(now)
	switch ph := ca.Phase(); {
	case ph == Failed || ph == Complete:
		return "", false
	case ph == Waiting:
		return Trying, elapsed >= ca.Plan.trialStart()
	case ca.suspicious():
		return "", false
	case ph == Trying:
		return Shifting, left <= ca.exposure.shiftLead(ca.Plan, elapsed) && age >= minTrialTime &&
			ca.exposure.allowsShift(ca.Plan, left, now) && (ca.slow.isClear() || left <= -maxOverrun)
	default:
		return Complete, left <= finishLead && age >= minShiftTime && (ca.cleared() || left <= -maxOverrun)
	}
}
