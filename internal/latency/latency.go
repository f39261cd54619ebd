// Package latency estimates the usual, lowest and smoothed latencies of responses, so that an
// attempt is not abandoned only because all responses are slow. It does no I/O and reads no clock.
package latency

import "time"

// smoothingFactor is the weight of the latest sample in the moving average.
const smoothingFactor = 0.1

// Meter holds an exponential moving average of the time to the response header by name. The zero
// value is empty. It is not safe for concurrent use.
type Meter struct{ means map[string]time.Duration }

// Observe records the time to a response header.
func (me *Meter) Observe(name string, took time.Duration) {
	if me.means == nil {
		me.means = map[string]time.Duration{}
	}
	mean, ok := me.means[name]
	if !ok {
		mean = took
	}
	me.means[name] = mean + time.Duration(smoothingFactor*float64(took-mean))
}

const (
	// baselineQuantile is the quantile of the latencies that the baseline estimates.
	baselineQuantile = 0.01
	// baselineStep is the relative step size of the estimate: it rises by 0.1 % with each slower
	// response, so that a few seconds of load do not shift it.
	baselineStep = 0.1
)

// Baseline estimates a low quantile of the latencies by name: the latency of an unloaded server.
// The zero value is empty. It is not safe for concurrent use.
type Baseline struct{ estimates map[string]float64 }

// Observe records a latency.
func (ba *Baseline) Observe(name string, took time.Duration) {
	if ba.estimates == nil {
		ba.estimates = map[string]float64{}
	}
	estimate, ok := ba.estimates[name]
	switch {
	case !ok:
		estimate = float64(took)
	case float64(took) < estimate:
		estimate *= 1 - baselineStep*(1-baselineQuantile)
		estimate = max(estimate, float64(took))
	default:
		estimate *= 1 + baselineStep*baselineQuantile
	}
	ba.estimates[name] = estimate
}

// Latency returns the baseline, zero if there are no samples.
func (ba *Baseline) Latency(name string) time.Duration { return time.Duration(ba.estimates[name]) }

// Usual returns the moving average, zero if there are no samples.
func (me *Meter) Usual(name string) time.Duration { return me.means[name] }
