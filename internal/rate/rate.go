// Package rate measures how many events of several names come a second. It does no
// I/O and reads no clock.
package rate

import (
	"math"
	"time"
)

// Meter measures rates by name. Its exported fields are set before use; it is not safe
// for concurrent use.
type Meter struct {
	// TimeConstant is how far back a rate looks: an event counts by e to the power of minus
	// its age over TimeConstant. It is above zero.
	TimeConstant time.Duration

	// first is when counting began.
	first  time.Time
	counts map[string]*count
}

// count is a decayed number of events.
type count struct {
	events float64
	at     time.Time
}

// decayed returns the number as it stands at a time.
func (co *count) decayed(memory time.Duration, now time.Time) float64 {
	return co.events * math.Exp(-now.Sub(co.at).Seconds()/memory.Seconds())
}

// Count notes an event.
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

// PerSecond returns the rate of a name's events.
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

// leastSpan keeps the first events from looking like a high rate, in seconds.
const leastSpan = 0.5

// span returns the seconds that the decayed counts stand for.
func (me *Meter) span(now time.Time) float64 {
	counted, memory := now.Sub(me.first).Seconds(), me.TimeConstant.Seconds()
	return max(leastSpan, memory*(1-math.Exp(-counted/memory)))
}
