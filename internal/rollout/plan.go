package rollout

import (
	"slices"
	"time"
)

const (
	// shareMargin is reserved from the share that a bad version may receive, since the request rate
	// varies.
	shareMargin = 0.01
	// plannedExtraFraction is the fraction of Plan.MostExtra that is planned for. The total number
	// of requests is an estimate from what one gateway sees.
	plannedExtraFraction = 0.5
	// finishLead is how long before its deadline a roll-out completes. Processes may learn of an
	// order 0.9 s late when their watches receive no events for a second, a write may take 0.25 s,
	// and operators poll the status. A lead of 0.09 s was too short.
	finishLead = 1400 * time.Millisecond
	// minShiftTime is the minimum time between the shift and the completion, in which every process
	// learns of the shift and short requests complete.
	minShiftTime = 500 * time.Millisecond
	// shiftBudgetFraction limits the fraction of a bad version's share that the time after the
	// shift may use; the remainder is for the trial.
	shiftBudgetFraction = 2.0 / 3
	// burstTime is the last part of the trial, in which more requests are tried to give the trial
	// servers their future load. It suffices to detect a bad version: about ten bad responses,
	// 0.5 s for their exchange, and badConfirmTime.
	burstTime = 3 * time.Second
	// burstBudgetFraction limits the fraction of the trial budget that is reserved for the burst.
	// The remainder serves to detect versions that are bad at once or on a route with few requests.
	burstBudgetFraction = 0.4
	// maxShiftLeadFraction limits the fraction of a roll-out's time that may follow the shift. It
	// must be long enough for a version that is bad only under load to show its failures, but
	// responses are slower in it while the version's servers have no prompts cached yet.
	maxShiftLeadFraction = 0.1
)

// Plan is an order to move a service to a version by a deadline.
type Plan struct {
	Service string
	Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
	// MostShare is the maximum fraction of all requests before the deadline that a bad version may
	// receive. MostExtra is this gateway's share of the requests allowed in addition. A version may
	// be bad only under load, so the bound also applies to a version without known failures: the
	// shift happens late.
	MostShare float64
	MostExtra float64
	// Servers is the number of servers of the version, zero if unknown.
	Servers int
}

// share returns the fraction of all requests that may go to the version before the deadline.
func (pl Plan) share() float64 { return max(0, pl.MostShare-shareMargin) }

// minShiftLead returns the minimum time between the shift and the deadline.
func (pl Plan) minShiftLead() time.Duration {
	limit := time.Duration(shiftBudgetFraction * pl.share() * float64(pl.Within))
	return min(finishLead+minShiftTime, limit)
}

// trialStart returns the time from the order to the trial.
func (pl Plan) trialStart() time.Duration { return pl.Within / 2 }

// trialTime returns the duration of the trial.
func (pl Plan) trialTime() time.Duration { return pl.Within - pl.trialStart() - pl.minShiftLead() }

// burstStart returns the time from the order to the burst of the trial, which ends with the
// earliest possible shift.
func (pl Plan) burstStart() time.Duration {
	return max(pl.trialStart(), pl.Within-time.Duration(maxShiftLeadFraction*float64(pl.Within))-burstTime)
}

// WithdrawnVersions returns the versions of a service that receive no more requests after a new
// order for a target. These are the ones withdrawn before and the version of the previous order,
// or, if everything had shifted to that version, the other listed versions. Their servers may
// remain listed for some seconds.
func WithdrawnVersions(withdrawn []string, version string, ph Phase, listed []string, target string) []string {
	versions := slices.Clone(withdrawn)
	switch {
	case version == "":
	case ph == Shifting || ph == Complete:
		for _, ve := range listed {
			if ve != version {
				versions = append(versions, ve)
			}
		}
	default:
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return slices.DeleteFunc(slices.Compact(versions), func(ve string) bool { return ve == target })
}
