// Package pace knows how long the head of an answer usually takes, so that an
// attempt is not given up as dead only because everything is slow. It does no
// I/O and reads no clock.
package pace

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

// Usual returns the usual time, zero if none is known.
func (me *Meter) Usual(name string) time.Duration { return me.usual[name] }
