package poison

import "time"

const (
	// FreshDuration is how long a block may be lifted by a response that was in flight when it
	// began.
	FreshDuration = time.Second
	// resultDelay is the Retry-After of a request that waits for a trial's result.
	resultDelay = time.Second
	// trialDelay is how long after a trial has become due it is usually made.
	trialDelay = 2 * time.Second
)

// trials are the intervals, from the beginning of a block on, in each of which one copy of the
// request is sent to a server. If the server responds and does not crash, the block is lifted.
var trials = []struct{ from, until time.Duration }{
	{600 * time.Millisecond, 3 * time.Second},
	{10 * time.Second, time.Minute},
}

// age returns how long ago a block of FirstBlockDuration began. For a longer block it is negative
// most of the time, so that no trials are due then.
func (ab *activeBlock) age(now time.Time) time.Duration {
	return FirstBlockDuration - ab.until.Sub(now)
}

// FreshFor returns how long a block stays fresh, zero if it is not or if there is none.
func (bs *Blocks) FreshFor(fp Fingerprint, now time.Time) time.Duration {
	ab := bs.active[fp]
	if ab == nil || ab.age(now) < 0 {
		return 0
	}
	return max(0, FreshDuration-ab.age(now))
}

// DueTrial returns the number of the trial that is due for a blocked request, counted from one, and
// for how long it has been due; zero for none.
func (bs *Blocks) DueTrial(fp Fingerprint, now time.Time) (trial int, due time.Duration) {
	ab := bs.active[fp]
	if ab == nil {
		return 0, 0
	}
	age := ab.age(now)
	for i, tr := range trials {
		if i >= ab.block.LastTrial && age >= tr.from && age < tr.until {
			return i + 1, age - tr.from
		}
	}
	return 0, 0
}

// RecordTrial records that a trial is made. It is propagated and stored, so that gateways that
// start later do not repeat it.
func (bs *Blocks) RecordTrial(fp Fingerprint, trial int, now time.Time) {
	if ab := bs.active[fp]; ab != nil {
		ab.recordTrial(trial, now)
		ab.outdated = true
	}
}

// recordTrial records the number of a trial that was made.
func (ab *activeBlock) recordTrial(trial int, now time.Time) {
	if trial > ab.block.LastTrial {
		ab.block.LastTrial, ab.updated, ab.outdated = trial, now, false
	}
}

// RetryAfter returns the Retry-After of a blocked request: until the result of the next trial, or
// the end of the block; zero if it is not blocked.
func (bs *Blocks) RetryAfter(fp Fingerprint, now time.Time) time.Duration {
	remaining := bs.Remaining(fp, now)
	if remaining == 0 {
		return 0
	}
	age := bs.active[fp].age(now)
	for _, tr := range trials {
		delay := max(tr.from, age) + resultDelay - age
		if age >= 0 && age < tr.from+trialDelay && delay < remaining {
			return delay
		}
	}
	return remaining
}
