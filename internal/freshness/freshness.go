// Package freshness tracks the time up to which a process knows every change in the key-value
// service, and so the maximum age of its configuration. All times are monotonic clock readings. It
// does no I/O and reads no clock.
//
// That time is advanced by a full read, by the answer to a watch, and by the age that another
// process reports. A watch without an answer yet advances nothing, even if other calls are answered
// meanwhile: it may have missed changes (docs/design/platform.md).
package freshness

import "time"

const (
	// answerTimeout is how long the answer to a call may take beyond the wait that the call asks for.
	// longAnswerTimeout replaces it after a failed call until an answer arrives within promptAnswer,
	// since the service may be slow. It answers in 4 ms, up to 60 times slower in bad conditions.
	answerTimeout     = 500 * time.Millisecond
	longAnswerTimeout = time.Second
	promptAnswer      = answerTimeout / 2
)

// Tracker is the state of one process. The zero value has no confirmed time. It is not safe for
// concurrent use.
type Tracker struct {
	// confirmed is the time up to which all changes are known. It never decreases.
	confirmed time.Time
	// slow is set from a failed call until an answer arrives within promptAnswer.
	slow bool
	// source is the process that confirmed the time, Service or the box of another gateway.
	source string
}

// Service is the source of times that the key-value service confirmed to this process.
const Service = "service"

// Age returns the maximum age of the known state.
func (tr *Tracker) Age(now time.Time) time.Duration { return now.Sub(tr.confirmed) }

// Source returns which process confirmed the time up to which all changes are known: Service, or the
// box of another gateway.
func (tr *Tracker) Source() string { return tr.source }

// ConfirmedAt returns the time up to which all changes are known.
func (tr *Tracker) ConfirmedAt() time.Time { return tr.confirmed }

// HandleRead processes the answer to a full read that was sent at the given time.
func (tr *Tracker) HandleRead(sent time.Time) { tr.confirm(sent, Service) }

// HandleWatch processes the answer to a watch, which is empty if there was no change within the wait.
func (tr *Tracker) HandleWatch(sent time.Time, wait time.Duration, empty bool, now time.Time) {
	if now.Sub(sent) < wait+promptAnswer {
		tr.slow = false
	}
	tr.confirm(earliestAnswer(sent, wait, empty, now), Service)
}

// earliestAnswer returns a lower bound, as late as possible, of the time at which a watch was
// answered. An empty answer is given at the end of the wait. Any other answer may have been given at
// once and delayed since, by the network or because this process was stopped.
func earliestAnswer(sent time.Time, wait time.Duration, empty bool, now time.Time) time.Time {
	if empty && now.Sub(sent) >= wait {
		return sent.Add(wait)
	}
	return sent
}

// HandleRelay processes the answer of another gateway's box to a request that was sent at the given
// time. age is the maximum age that the other gateway's state had when it received the request, negative
// if that state was confirmed later.
func (tr *Tracker) HandleRelay(box string, sent time.Time, age time.Duration) {
	tr.confirm(sent.Add(-age), box)
}

// HandleFailure records a failed call.
func (tr *Tracker) HandleFailure() { tr.slow = true }

// AnswerTimeout returns how long the answer to a call may take beyond the wait that the call asks for.
func (tr *Tracker) AnswerTimeout() time.Duration {
	if tr.slow {
		return longAnswerTimeout
	}
	return answerTimeout
}

// EverConfirmed reports whether any time has been confirmed since the start.
func (tr *Tracker) EverConfirmed() bool { return !tr.confirmed.IsZero() }

func (tr *Tracker) confirm(at time.Time, source string) {
	if at.After(tr.confirmed) {
		tr.confirmed, tr.source = at, source
	}
}
