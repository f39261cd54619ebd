// Package freshness knows up to which moment a process has heard of every change
// in the key-value service, so that it can tell how old its configuration may be
// at the most. Only the steady clock counts. It does no I/O and reads no clock.
//
// A whole read confirms a moment, the answer to a watch, and another process's word.
// A watch that still waits confirms nothing, whatever other calls are answered
// meanwhile: it may have missed changes (docs/design/platform.md).
package freshness

import "time"

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 100 * time.Millisecond
	// stallThreshold is the time between two ticks after which the process is taken to
	// have been stopped; a busy processor delays a tick by less.
	stallThreshold = 4 * TickInterval
)

// Tracker is what one process knows. The zero value knows nothing. It is not safe
// for concurrent use.
type Tracker struct {
	// confirmed is the time up to which all changes are known. It never goes back.
	confirmed time.Time
	// lastTick is the time of the newest tick, lastStall that of the newest one that
	// came so late that the process must have been stopped before.
	lastTick, lastStall time.Time
	// connected is set while the service answers.
	connected bool
	// failing is set while it does not, once a call has failed.
	failing bool
}

// Age returns how old what is known may be at the most.
func (re *Tracker) Age(now time.Time) time.Duration { return now.Sub(re.confirmed) }

// ConfirmedAt returns the moment up to which all changes are known.
func (re *Tracker) ConfirmedAt() time.Time { return re.confirmed }

// Tick notes that the process runs.
func (re *Tracker) Tick(now time.Time) {
	if !re.lastTick.IsZero() && now.Sub(re.lastTick) > stallThreshold {
		re.lastStall = now
	}
	re.lastTick = now
}

// HandleRead takes the answer to a read of everything. It reports whether the service
// had been lost before.
func (re *Tracker) HandleRead(sent time.Time) (regained bool) { return re.confirm(sent) }

// HandleWatch takes the answer to a watch, empty if there was no change within the
// wait. It reports whether the service had been lost before.
func (re *Tracker) HandleWatch(sent time.Time, wait time.Duration, empty bool, now time.Time) (regained bool) {
	return re.confirm(re.earliestAnswer(sent, wait, empty, now))
}

// earliestAnswer returns a time at which the answer to a watch was surely not given
// yet, as late as can be said: an empty one is given when the wait is over, any
// other one when it came, unless this process was stopped meanwhile and the
// answer may have lain there.
func (re *Tracker) earliestAnswer(sent time.Time, wait time.Duration, empty bool, now time.Time) time.Time {
	if empty && now.Sub(sent) >= wait {
		return sent.Add(wait)
	}
	if now.Sub(re.lastTick) > stallThreshold || re.lastStall.After(sent) {
		return sent
	}
	return now
}

// HandleRelay takes the answer to a question that was sent to another process, which
// said how old what it knows may be. It reports whether the service had been lost
// before.
func (re *Tracker) HandleRelay(sent time.Time, age time.Duration) (regained bool) {
	return re.confirm(sent.Add(-max(0, age)))
}

// HandleFailure notes a call without a good answer. It reports whether the service
// answered before.
func (re *Tracker) HandleFailure() (lost bool) {
	lost = re.connected
	re.connected, re.failing = false, true
	return lost
}

// EverConfirmed reports whether the state was ever known to hold every change up to some moment.
func (re *Tracker) EverConfirmed() bool { return !re.confirmed.IsZero() }

// Failing reports whether the newest call was not answered.
func (re *Tracker) Failing() bool { return re.failing }

func (re *Tracker) confirm(at time.Time) (regained bool) {
	if at.After(re.confirmed) {
		re.confirmed = at
	}
	regained = !re.connected
	re.connected, re.failing = true, false
	return regained
}
