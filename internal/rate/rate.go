// Package rate measures the rates of named events. It does no I/O and reads no clock.
package rate

import (
	"math"
	"time"
)

// Meter measures rates by name. Its exported fields are set before use. It is not safe for
// concurrent use.
type Meter struct {
	// TimeConstant is the time constant of the exponential decay: an event has the weight
	// exp(-age/TimeConstant). It must be positive.
	TimeConstant time.Duration

	// first is when the first event was counted.
	first  time.Time
	counts map[string]*count
}

// count is an exponentially decayed number of events.
type count struct {
	events float64
	at     time.Time
}

// decayed returns the decayed number of events at a time.
func (co *count) decayed(timeConstant time.Duration, now time.Time) float64 {
	return co.events * math.Exp(-now.Sub(co.at).Seconds()/timeConstant.Seconds())
}

// Count records an event.
func (me *Meter) Count(name string, now time.Time) {
	if me.counts == nil {
		me.counts = map[string]*count{}
		me.first = now
	}
	co := me.counts[name]
	if co == nil {
		co = &count{at: now}
		me.counts[name] = co
	}
	co.events = co.decayed(me.TimeConstant, now) + 1
	co.at = now
}

// PerSecond returns the rate of a name's events per second.
func (me *Meter) PerSecond(name string, now time.Time) float64 {
	co := me.counts[name]
	if co == nil {
		return 0
	}
	return co.decayed(me.TimeConstant, now) / me.span(now)
}

// All returns the rates of all names.
func (me *Meter) All(now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(me.counts))
	for name := range me.counts {
		rates[name] = me.PerSecond(name, now)
	}
	return rates
}

// minSpan is the minimum span in seconds; it prevents a high rate for the first events.
const minSpan = 0.5

// span returns the time in seconds that the decayed counts represent.
func (me *Meter) span(now time.Time) float64 {
	elapsed, timeConstant := now.Sub(me.first).Seconds(), me.TimeConstant.Seconds()
	return max(minSpan, timeConstant*(1-math.Exp(-elapsed/timeConstant)))
}
