package poison

import "time"

const (
	// FreshTerm is how long a block is fresh: an answer in flight when it begins has come to
	// its end by then, and its server lived on or not (livesOn).
	FreshTerm = time.Second
	// comeBack is how long after the beginning of a trial it is worth coming back: an answer, the
	// time for which its server must live on, and the way of the word to all gateways.
	comeBack = time.Second
	// trialTakes is how long after its beginning a trial is made as a rule, where a copy comes
	// several times a second.
	trialTakes = 2 * time.Second
)

// trials are the spans, from the beginning of a block on, in each of which one copy of the
// request is sent: one that is blocked wrongly is answered then, and the block lifted. The first
// lies within the time in which gateways need not know of the third end yet, the second is one of
// the three sends that the users bear after that; a deadly request costs a server with each.
var trials = []struct{ from, until time.Duration }{
	{600 * time.Millisecond, 3 * time.Second},
	{10 * time.Second, time.Minute},
}

// age returns how old a block is that began with the first term; blocks for longer get no trial
// before their last part.
func (he *held) age(now time.Time) time.Duration { return FirstTerm - he.until.Sub(now) }

// Fresh returns for how long a block may still turn out to be wrong at once, zero if it does
// not or if there is none.
func (bs *Blocks) Fresh(pr Print, now time.Time) time.Duration {
	he := bs.held[pr]
	if he == nil || he.age(now) < 0 {
		return 0
	}
	return max(0, FreshTerm-he.age(now))
}

// Trial returns the number of the trial that a blocked request may get now, counted from one,
// and for how long it has been due; zero for none. It has not been made as far as is known.
func (bs *Blocks) Trial(pr Print, now time.Time) (trial int, due time.Duration) {
	he := bs.held[pr]
	if he == nil {
		return 0, 0
	}
	age := he.age(now)
	for i, tr := range trials {
		if i >= he.block.Tried && age >= tr.from && age < tr.until {
			return i + 1, age - tr.from
		}
	}
	return 0, 0
}

// Try notes that a trial is made. Others are told, and the key-value service is to hold it: where
// gateways that had just started could not know of it, up to 31 copies of a deadly request were
// sent too late in 40 s.
func (bs *Blocks) Try(pr Print, trial int, now time.Time) {
	if he := bs.held[pr]; he != nil {
		he.take(trial, now)
		he.unsaved = true
	}
}

// take takes the number of a trial that was made.
func (he *held) take(tried int, now time.Time) {
	if tried > he.block.Tried {
		he.block.Tried, he.since, he.unsaved = tried, now, false
	}
}

// Return returns when it is worth coming back with a blocked request: after the next trial, or
// when the block ends; zero if it is not blocked.
func (bs *Blocks) Return(pr Print, now time.Time) time.Duration {
	left := bs.Left(pr, now)
	if left == 0 {
		return 0
	}
	age := bs.held[pr].age(now)
	for _, tr := range trials {
		back := max(tr.from, age) + comeBack - age
		if age >= 0 && age < tr.from+trialTakes && back < left {
			return back
		}
	}
	return left
}
