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

// window is an interval of a block's age in which one trial is made.
type window struct{ from, until time.Duration }

// requestTrials are the intervals in each of which one copy of a blocked request is sent to a server. If
// the server responds and does not crash, the block is lifted.
var requestTrials = []window{
	{600 * time.Millisecond, 3 * time.Second},
	{10 * time.Second, time.Minute},
}

// partTrials are the intervals for one request with a blocked part. The first ones are for parts on weak
// evidence and for those with rivals, and begin when crashes by requests that were in progress are known.
// The last one is for all: a part that still crashes servers costs one of them then, and not as many as
// after the block's end.
var partTrials = []window{
	{time.Second, 3 * time.Second},
	{10 * time.Second, time.Minute},
	{FirstBlockDuration - 30*time.Second, FirstBlockDuration},
}

// strongEvidence is the number of crashes from which on a part gets only the last trial.
const strongEvidence = 4

// trials returns the intervals in which trials are made.
func (ab *activeBlock) trials() []window {
	if ab.block.Part == nil {
		return requestTrials
	}
	return partTrials
}

// hasTrial reports whether the trial with an index is made.
func (ab *activeBlock) hasTrial(i int) bool {
	return ab.block.Part == nil || ab.block.Crashes < strongEvidence || len(ab.block.Rivals) > 0 || i == len(partTrials)-1
}

// age returns how long ago a block of FirstBlockDuration began. For a longer block it is negative
// most of the time, so that no trials are due then.
func (ab *activeBlock) age(now time.Time) time.Duration {
	return FirstBlockDuration - ab.until.Sub(now)
}

// FreshFor returns how long a block stays fresh, zero if it is not or if there is none.
func (bs *Blocks) FreshFor(fp Fingerprint, now time.Time) time.Duration {
	ab := bs.active[fp]
	if ab == nil || ab.age(now) < 0 || !ab.hasTrial(0) {
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
	for i, tr := range ab.trials() {
		if ab.hasTrial(i) && i >= ab.block.LastTrial && age >= tr.from && age < tr.until {
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
	ab := bs.active[fp]
	age := ab.age(now)
	for i, tr := range ab.trials() {
		delay := max(tr.from, age) + resultDelay - age
		if ab.hasTrial(i) && age >= 0 && age < tr.from+trialDelay && delay < remaining {
			return delay
		}
	}
	return remaining
}
