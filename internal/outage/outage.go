// Package outage decides, from the calls to a service and their results, whether the service is away or
// only a single call has failed. It does no I/O and reads no clock.
package outage

import "time"

// State is what is known of a service.
type State string

// The states.
const (
	// Connected means that no call has failed since the service last answered.
	Connected State = "connected"
	// Interrupted means that calls have failed for less than minDuration. A connection may have ended, or one
	// call may have been rejected.
	Interrupted State = "interrupted"
	// Away means that the service has not been known to answer for minDuration or longer.
	Away State = "away"
)

const (
	// minDuration is the time without an answer from which on a service is away. A shorter one has no effect
	// on what others keep in the service: entries are renewed several times before they lapse.
	minDuration = time.Second
	// maxSilence is the longest time between two answers of a service that is not away, if a call of this
	// process has failed since the first: a watch that waits for changes is answered sooner.
	maxSilence = 2 * time.Second
	// maxIndirectSilence is the same if none has failed. A process that follows one which is turned away calls
	// the service itself after up to 2.4 s, and entries that are renewed live longer without the service.
	maxIndirectSilence = 3 * time.Second
	// repeatDuration is how long failed calls are repeated without an interval if the service answered this
	// process within recentAnswer before.
	repeatDuration = 500 * time.Millisecond
	recentAnswer   = 4 * time.Second
)

// Tracker follows one service. The zero value is that of a service that has never answered. It is not safe
// for concurrent use.
type Tracker struct {
	// answered is the latest time at which the service is known to have answered any process, answeredHere
	// when it last answered this one.
	answered, answeredHere time.Time
	// failingSince is the earliest time since answered from which on the service may not have answered, zero
	// while no call has failed.
	failingSince time.Time
	// firstFailed and failed are when calls of this process first and last failed since answeredHere; both
	// are zero if none has.
	firstFailed, failed time.Time
	// lost is set from the failed call that showed that the service is away until it answers.
	lost bool
	// ended is when the last outage ended, zero if there was none.
	ended time.Time
}

// HandleFailure records that a call of this process was not answered. began is the earliest time from which
// on the service may not have answered: when the call was sent if there was no response at all, now if its
// connection ended or it was rejected. It reports whether the service is known to be away since this call.
func (tr *Tracker) HandleFailure(began, now time.Time) (lost bool) {
	if tr.failingSince.IsZero() {
		tr.failingSince = latest(began, tr.answered)
	}
	if tr.firstFailed.IsZero() {
		tr.firstFailed = now
	}
	tr.failed = now
	lost = !tr.lost && tr.InOutage(now)
	tr.lost = tr.lost || lost
	return lost
}

// HandleAnswer records that the service answered a call of this process that was sent at the given time. It
// reports whether the service was away before, as far as this process knew.
func (tr *Tracker) HandleAnswer(sent, now time.Time) (regained bool) {
	tr.answeredHere, tr.firstFailed = now, time.Time{}
	regained = tr.confirm(sent, now)
	tr.answered = now // a watch is answered at the end of its wait
	return regained
}

// HandleOther records that the service answered another process at the given time. It reports whether the
// service was away before.
func (tr *Tracker) HandleOther(at, now time.Time) (regained bool) {
	if !tr.failingSince.IsZero() && at.Before(tr.failed) {
		tr.failingSince = latest(tr.failingSince, at)
		tr.answered = latest(tr.answered, at)
		return false
	}
	return tr.confirm(at, now)
}

func (tr *Tracker) confirm(at, now time.Time) (regained bool) {
	known, failing, silence := !tr.answered.IsZero(), !tr.failingSince.IsZero(), at.Sub(tr.answered)
	switch {
	case known && (failing && silence >= maxSilence || silence >= maxIndirectSilence):
		tr.ended = now
	case known && failing && at.Sub(tr.failingSince) >= minDuration:
		tr.ended = at
	}
	regained = tr.lost || !known
	tr.answered = latest(tr.answered, at)
	tr.failingSince, tr.lost = time.Time{}, false
	return regained
}

// State returns what is known of the service.
func (tr *Tracker) State(now time.Time) State {
	switch {
	case tr.failingSince.IsZero() && !tr.answered.IsZero():
		return Connected
	case tr.answered.IsZero() || now.Sub(tr.failingSince) >= minDuration:
		return Away
	}
	return Interrupted
}

// InOutage reports whether the service is away and has answered before.
func (tr *Tracker) InOutage(now time.Time) bool {
	return !tr.answered.IsZero() && tr.State(now) == Away
}

// Failing reports whether a call of this process has failed since the service is known to have answered.
func (tr *Tracker) Failing() bool { return !tr.failingSince.IsZero() }

// MayCall reports whether to call the service now. While it does not answer, calls are made at an interval,
// except at first if it has just answered this process.
func (tr *Tracker) MayCall(interval time.Duration, now time.Time) bool {
	switch {
	case tr.firstFailed.IsZero():
		return true
	case tr.firstFailed.Sub(tr.answeredHere) < recentAnswer && now.Sub(tr.firstFailed) < repeatDuration:
		return true
	}
	return now.Sub(tr.failed) >= interval
}

// FailedAt returns when a call of this process last failed, zero if none has.
func (tr *Tracker) FailedAt() time.Time { return tr.failed }

// Ended returns when the last outage ended, zero if there was none. It is no earlier than the return of the
// service.
func (tr *Tracker) Ended() time.Time { return tr.ended }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
