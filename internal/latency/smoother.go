package latency

import (
	"math"
	"time"
)

// smootherTimeConstant is the time constant of the moving average. The results with 3 s and 6 s
// differ by less than the noise.
const smootherTimeConstant = 6 * time.Second

// Smoother is an exponential moving average over time of an irregularly sampled duration. It starts
// with the first sample. The zero value is empty. It is not safe for concurrent use.
type Smoother struct {
	at    time.Time
	value float64
}

// Update adds a sample and returns the average.
func (sm *Smoother) Update(sample time.Duration, now time.Time) time.Duration {
	if sm.at.IsZero() {
		sm.at, sm.value = now, float64(sample)
	}
	weight := 1 - math.Exp(-now.Sub(sm.at).Seconds()/smootherTimeConstant.Seconds())
	sm.value += weight * (float64(sample) - sm.value)
	sm.at = now
	return time.Duration(sm.value)
}
