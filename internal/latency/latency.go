// Package pace knows how long the head of an answer usually takes, so that an
// attempt is not given up as dead only because everything is slow. It does no
// I/O and reads no clock.
package latency

import "time"

// smoothing is the weight of the newest answer in the usual time.
const smoothing = 0.1

// Meter holds the usual time by name. The zero value knows none. It is not safe
// for concurrent use.
type Meter struct{ usual map[string]time.Duration }

// Observe notes the time to the head of an answer.
func (me *Meter) Observe(name string, took time.Duration) {
	if me.usual == nil {
		me.usual = map[string]time.Duration{}
	}
	old, ok := me.usual[name]
	if !ok {
		old = took
	}
	me.usual[name] = old + time.Duration(smoothing*float64(took-old))
}

const (
	// floorPart is the part of the times that are below the floor.
	floorPart = 0.01
	// floorStep is how fast the floor follows, as a part of itself: it rises by a
	// thousandth with each slower answer, so that some seconds of load don't move it.
	floorStep = 0.1
)

// Baseline follows the time that only the quickest answers stay below, by name: how
// long an answer takes when nothing is in its way. The zero value knows none. It
// is not safe for concurrent use.
type Baseline struct{ floor map[string]float64 }

// Observe notes a time.
func (fl *Baseline) Observe(name string, took time.Duration) {
	if fl.floor == nil {
		fl.floor = map[string]float64{}
	}
	at, ok := fl.floor[name]
	switch {
	case !ok:
		at = float64(took)
	case float64(took) < at:
		at *= 1 - floorStep*(1-floorPart)
		at = max(at, float64(took))
	default:
		at *= 1 + floorStep*floorPart
	}
	fl.floor[name] = at
}

// Latency returns the time, zero if none is known.
func (fl *Baseline) Latency(name string) time.Duration { return time.Duration(fl.floor[name]) }

// Usual returns the usual time, zero if none is known.
func (me *Meter) Usual(name string) time.Duration { return me.usual[name] }
