package rollout

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/rate"
)

const (
	// fewestArrivals is how many requests a gateway must have seen for its own counts
	// to say something of all of them.
	fewestArrivals = 50
	// rateMemory is how far back the rate looks at which requests come: a burst in the
	// last seconds of a roll-out counts at once.
	rateMemory = time.Second
)

// exposure counts the requests that one gateway sent to the servers of a service
// since an order, so that a bad version stays within its share also if many more
// requests come after the shift than before. The zero value has counted nothing.
type exposure struct {
	all, toNew int
	// planned is how many would have gone to the version by what is tried of each
	// route; one gateway's own may be fewer by chance.
	planned float64
	// tried counts the requests that came while a share of them was tried, steady how many
	// of them that would have been without the burst.
	tried    int
	steady   float64
	arrivals rate.Meter
}

func (ex *exposure) count(isNew bool, now time.Time) {
	ex.all++
	if isNew {
		ex.toNew++
	}
	ex.arrivals.TimeConstant = rateMemory
	ex.arrivals.Count("", now)
}

// countTrial counts a request of which a share is tried, steady of it without the burst.
func (ex *exposure) countTrial(share, steady float64) {
	ex.tried++
	ex.planned += share
	ex.steady += steady
}

// trialShare returns the part of the requests that are tried without the burst.
func (ex *exposure) trialShare() float64 {
	if ex.tried == 0 {
		return 0
	}
	return ex.steady / float64(ex.tried)
}

// spent returns the requests that the version got until the shift.
func (ex *exposure) spent() float64 { return max(ex.planned, float64(ex.toNew)) }

// allows reports whether everything may go to the version from now on until the
// deadline, which is so far away, if requests come as they do now.
func (ex *exposure) allows(pl Plan, left time.Duration, now time.Time) bool {
	if ex.all < fewestArrivals {
		return true
	}
	rest := ex.arrivals.PerSecond("", now) * max(0, left.Seconds())
	return ex.spent()+rest <= (pl.MostShare-shareMargin/2)*(float64(ex.all)+rest)+extraPart*pl.MostExtra
}

// tail returns how long before the deadline everything may go to the version, if
// requests come as they did since the order.
func (ex *exposure) tail(pl Plan, elapsed time.Duration) time.Duration {
	if ex.all < fewestArrivals {
		return pl.leastTail()
	}
	perSecond := float64(ex.all) / elapsed.Seconds()
	rest := pl.share()*pl.Within.Seconds() - ex.spent()/perSecond
	longest := time.Duration(longestTail * float64(pl.Within))
	return max(pl.leastTail(), min(longest, time.Duration(rest*float64(time.Second))))
}
