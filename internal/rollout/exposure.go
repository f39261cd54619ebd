package rollout

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/rate"
)

const (
	// minArrivals is how many requests a gateway must have seen before its own counts are
	// representative.
	minArrivals = 50
	// rateTimeConstant is short, so that a burst in the last seconds of a roll-out affects the
	// request rate at once.
	rateTimeConstant = time.Second
)

// exposure counts the requests that one gateway sent to the servers of a service since an order. It
// keeps a bad version within its share even if many more requests arrive after the shift than
// before. The zero value is empty.
type exposure struct {
	total, toNew int
	// planned is the expected number of requests to the new version, by the trial shares of their
	// routes. The actual number on one gateway may be lower by chance.
	planned float64
	// trialRequests counts the requests that arrived during the trial, steadyTrials how many of
	// them the trial shares without the burst would have selected.
	trialRequests int
	steadyTrials  float64
	arrivals      rate.Meter
}

func (ex *exposure) count(isNew bool, now time.Time) {
	ex.total++
	if isNew {
		ex.toNew++
	}
	ex.arrivals.TimeConstant = rateTimeConstant
	ex.arrivals.Count("", now)
}

// countTrial counts a request with a trial share, of which steady is the share without the burst.
func (ex *exposure) countTrial(share, steady float64) {
	ex.trialRequests++
	ex.planned += share
	ex.steadyTrials += steady
}

// trialShare returns the mean trial share without the burst.
func (ex *exposure) trialShare() float64 {
	if ex.trialRequests == 0 {
		return 0
	}
	return ex.steadyTrials / float64(ex.trialRequests)
}

// used returns the number of requests that the version received before the shift.
func (ex *exposure) used() float64 { return max(ex.planned, float64(ex.toNew)) }

// allowsShift reports whether the version may receive everything from now until the deadline, given
// the time left and the present request rate.
func (ex *exposure) allowsShift(pl Plan, left time.Duration, now time.Time) bool {
	if ex.total < minArrivals {
		return true
	}
	rest := ex.arrivals.PerSecond("", now) * max(0, left.Seconds())
	return ex.used()+rest <= (pl.MostShare-shareMargin/2)*(float64(ex.total)+rest)+plannedExtraFraction*pl.MostExtra
}

// shiftLead returns how long before the deadline everything may go to the version, assuming the
// mean request rate since the order.
func (ex *exposure) shiftLead(pl Plan, elapsed time.Duration) time.Duration {
	if ex.total < minArrivals {
		return pl.minShiftLead()
	}
	perSecond := float64(ex.total) / elapsed.Seconds()
	rest := pl.share()*pl.Within.Seconds() - ex.used()/perSecond
	limit := time.Duration(maxShiftLeadFraction * float64(pl.Within))
	return max(pl.minShiftLead(), min(limit, time.Duration(rest*float64(time.Second))))
}
