package latency

import (
	"math"
	"time"
)

// trendMemory is how far back a trend looks. 3 and 6 s differ by less than the noise.
const trendMemory = 6 * time.Second

// Smoother follows a time that is looked at now and then, smoothed by the clock. The zero
// value begins with what it is given first. It is not safe for concurrent use.
type Smoother struct {
	at    time.Time
	value float64
}

// Update takes the present value and returns the smoothed one.
func (tr *Smoother) Update(present time.Duration, now time.Time) time.Duration {
	if tr.at.IsZero() {
		tr.at, tr.value = now, float64(present)
	}
	weight := 1 - math.Exp(-now.Sub(tr.at).Seconds()/trendMemory.Seconds())
	tr.value += weight * (float64(present) - tr.value)
	tr.at = now
	return time.Duration(tr.value)
}
