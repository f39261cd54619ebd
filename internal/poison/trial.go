package poison

import "time"

const (
	// FreshDuration is how long a block may be lifted by an answer that was in flight when it began.
	FreshDuration = time.Second
	// retryDelay is the Retry-After of a request that waits for a trial's result.
	retryDelay = time.Second
	// trialDelay is how long after a trial has become due it is usually made.
	trialDelay = 2 * time.Second
)

// trials are the spans, from the beginning of a block on, in each of which one copy of the request is
// sent to a server. If the server answers and does not end, the block is lifted.
var trials = []struct{ from, until time.Duration }{
	{600 * time.Millisecond, 3 * time.Second},
	{10 * time.Second, time.Minute},
}

// age returns how long ago a block with the first term began. It is negative for most of a longer
// block, which gets no trials then.
func (he *held) age(now time.Time) time.Duration { return FirstBlockDuration - he.until.Sub(now) }

// FreshFor returns how long a block stays fresh, zero if it is not or if there is none.
func (bs *Blocks) FreshFor(pr Fingerprint, now time.Time) time.Duration {
	he := bs.held[pr]
	if he == nil || he.age(now) < 0 {
		return 0
	}
	return max(0, FreshDuration-he.age(now))
}

// DueTrial returns the number of the trial that is due for a blocked request, counted from one, and for
// how long it has been due; zero for none.
func (bs *Blocks) DueTrial(pr Fingerprint, now time.Time) (trial int, due time.Duration) {
	he := bs.held[pr]
	if he == nil {
		return 0, 0
	}
	age := he.age(now)
	for i, tr := range trials {
		if i >= he.block.LastTrial && age >= tr.from && age < tr.until {
			return i + 1, age - tr.from
		}
	}
	return 0, 0
}

// RecordTrial records that a trial is made. It is propagated and stored, so that gateways that start later do
// not repeat it.
func (bs *Blocks) RecordTrial(pr Fingerprint, trial int, now time.Time) {
	if he := bs.held[pr]; he != nil {
		he.take(trial, now)
		he.unsaved = true
	}
}

// take records the number of a trial that was made.
func (he *held) take(tried int, now time.Time) {
	if tried > he.block.LastTrial {
		he.block.LastTrial, he.since, he.unsaved = tried, now, false
	}
}

// RetryAfter returns the Retry-After of a blocked request: until the result of the next trial, or the end
// of the block; zero if it is not blocked.
func (bs *Blocks) RetryAfter(pr Fingerprint, now time.Time) time.Duration {
	left := bs.Remaining(pr, now)
	if left == 0 {
		return 0
	}
	age := bs.held[pr].age(now)
	for _, tr := range trials {
		back := max(tr.from, age) + retryDelay - age
		if age >= 0 && age < tr.from+trialDelay && back < left {
			return back
		}
	}
	return left
}
