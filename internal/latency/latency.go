// Package latency estimates the usual and smoothed latencies of responses and the pace of streams, so that an
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

// Usual returns the moving average, zero if there are no samples.
func (me *Meter) Usual(name string) time.Duration { return me.means[name] }
