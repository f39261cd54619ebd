// Package duty decides which process performs a duty that only one may perform at a time. The
// holder is stored in the key-value service under a lease, and its calls carry a fencing number that
// rises with each new holder. The package does no I/O and reads no clock.
package duty

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

const (
	// renewFraction is the fraction of the lease's duration after which it is renewed, so that two
	// renewals may fail.
	renewFraction = 0.3
	// safetyFraction is the fraction of the lease's duration before its end from which the holder no
	// longer acts: a call that is in transit must arrive before the next holder's first one.
	safetyFraction = 0.2
	// takeoverFraction is the fraction of the lease's duration for which a new holder waits before
	// its first call, for the same reason.
	takeoverFraction = 0.1
	// rankDelay is the time for which each candidate leaves a vacant duty to the one ranked before
	// it.
	rankDelay = 300 * time.Millisecond
	// retryDelay is the least time between two attempts to acquire a duty.
	retryDelay = 500 * time.Millisecond
	// eraShift is the position of the era in a fencing number. Numbers stay exact as a 64-bit floating
	// point number up to 2^13 eras of 2^40 revisions each.
	eraShift = 40
)

// Holder is the process that holds a duty, as stored in the key-value service. The fields are
// exported because codecs need them.
type Holder struct {
	// Box is the holder's box. Process distinguishes successive processes on the same box.
	Box     string
	Process uint64
	// Acquired is the revision at which the holder acquired the duty.
	Acquired revision.Revision
}

// FencingNumber returns the number that identifies the holder's tenure. A later holder has a higher
// number, also after the key-value service was restored from an older copy.
func (ho Holder) FencingNumber() uint64 { return ho.Acquired.Era<<eraShift | ho.Acquired.Number }

// IsZero reports whether nobody holds the duty.
func (ho Holder) IsZero() bool { return ho.Process == 0 }

// Action is what a process has to do next for a duty.
type Action string

// The actions.
const (
	Wait    Action = "wait"
	Acquire Action = "acquire"
	Renew   Action = "renew"
)

// Election is one process's view of a duty. Its exported fields are set before use. It is not safe
// for concurrent use.
type Election struct {
	// Process identifies this process.
	Process uint64
	// TTL is the duration of the lease.
	TTL time.Duration

	holder Holder
	// vacantSince is when the duty was last seen to become vacant, zero while it is held or if that
	// is not known.
	vacantSince time.Time
	// heldSince is when this process learned that it holds the duty, zero if it does not.
	heldSince time.Time
	// resigned is the holder from which this process resigned last. It is never taken up again.
	resigned Holder
	// leaseSent is when the last successful call to create or renew the lease was sent. The service
	// counts the lease's duration from a later time.
	leaseSent time.Time
	// lastAttempt is when this process last tried to acquire the duty or renew its lease.
	lastAttempt time.Time
}

// Holder returns the holder.
func (el *Election) Holder() Holder { return el.holder }

// SetHolder applies the stored holder, the zero value if there is none.
func (el *Election) SetHolder(ho Holder, now time.Time) {
	if !ho.IsZero() && !el.holder.IsZero() && el.holder.Acquired.After(ho.Acquired) {
		return // an older state, for instance of a peer that is behind
	}
	el.holder = ho
	switch {
	case ho.IsZero():
		el.vacantSince, el.heldSince = now, time.Time{}
	case ho == el.resigned:
		el.vacantSince, el.heldSince = time.Time{}, time.Time{}
	case ho.Process == el.Process:
		el.vacantSince = time.Time{}
		if el.heldSince.IsZero() {
			el.heldSince = now
		}
	default:
		el.vacantSince, el.heldSince = time.Time{}, time.Time{}
	}
}

// Next returns what to do now. rank is this process's position among the candidates, negative if it
// is none. A holder that is no longer a candidate resigns, since the others send it nothing any more.
// Only the action that Next returned last may be in progress.
func (el *Election) Next(rank int, now time.Time) Action {
	switch {
	case el.isHolder() && rank < 0:
		el.Resign()
	case el.isHolder():
		if now.Sub(el.leaseSent) >= el.fraction(renewFraction) && now.Sub(el.lastAttempt) >= retryDelay {
			return Renew
		}
	case el.holder.IsZero() && rank >= 0 && now.Sub(el.lastAttempt) >= retryDelay &&
		!el.vacantSince.IsZero() && now.Sub(el.vacantSince) >= time.Duration(rank)*rankDelay:
		return Acquire
	}
	return Wait
}

// CallSent records that a call to acquire the duty or to renew its lease is being sent.
func (el *Election) CallSent(now time.Time) { el.lastAttempt = now }

// LeaseConfirmed records that a call to create or renew the lease, sent at the given time, succeeded.
func (el *Election) LeaseConfirmed(sent time.Time) {
	if sent.After(el.leaseSent) {
		el.leaseSent = sent
	}
}

// LeaseExpired records that the service no longer has the lease.
func (el *Election) LeaseExpired(now time.Time) {
	if el.isHolder() {
		el.SetHolder(Holder{}, now)
	}
}

// Resign makes this process stop acting, for instance because its fencing number was rejected. It
// renews the lease no longer, so that the duty becomes vacant.
func (el *Election) Resign() {
	el.resigned, el.heldSince, el.leaseSent = el.holder, time.Time{}, time.Time{}
}

// ActsUntil returns the time until which this process may make calls as the holder, the zero time if
// it may not make any now.
func (el *Election) ActsUntil(now time.Time) time.Time {
	end := el.leaseSent.Add(el.TTL - el.fraction(safetyFraction))
	if !el.isHolder() || now.Sub(el.heldSince) < el.fraction(takeoverFraction) || !now.Before(end) {
		return time.Time{}
	}
	return end
}

// HeldFor returns for how long this process has known that it holds the duty, zero if it does not.
func (el *Election) HeldFor(now time.Time) time.Duration {
	if !el.isHolder() {
		return 0
	}
	return now.Sub(el.heldSince)
}

func (el *Election) isHolder() bool { return !el.heldSince.IsZero() }

func (el *Election) fraction(part float64) time.Duration {
	return time.Duration(part * float64(el.TTL))
}
