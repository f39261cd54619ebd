package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// FirstBlockDuration is how long a request is not sent at first: one that is blocked wrongly, as a
	// common one may be just after a start, when nothing speaks for it yet, is served again.
	FirstBlockDuration = 5 * time.Minute
	// RepeatBlockDuration is how long it is if a server ends with it again after that: a caller who goes on
	// asking costs four servers an hour at the most, and a mended engine serves him again
	// without an operator.
	RepeatBlockDuration = time.Hour
	// blockNews is how long a block is told to others with reports: they come ten times a
	// second, and the key-value service keeps it for those that start later.
	blockNews = 3 * time.Second
	// mostBlocks bounds the blocks that are held. Each has cost three servers.
	mostBlocks = 1024
)

// Block says that a request is not to be sent to backend servers for a while. Its fields are
// exported because it is data without behaviour.
type Block struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"print"`
	// UntilMS is its end in Unix milliseconds: processes that start later know no other
	// clock in common.
	UntilMS int64 `cbor:"2,keyasint" json:"until_ms"`
	// LastTrial is the number of the newest trial that was made, zero before the first.
	LastTrial int `cbor:"3,keyasint,omitempty" json:"tried,omitempty"`
}

// NewBlock returns a block that begins at a time of day.
func NewBlock(pr Fingerprint, term time.Duration, day time.Time) Block {
	return Block{Fingerprint: pr, UntilMS: day.Add(term).UnixMilli()}
}

// Remaining returns how long a block lasts from a time of day on; a clock that is wrong makes it no
// longer than any.
func (bl Block) Remaining(day time.Time) time.Duration {
	return min(RepeatBlockDuration, time.UnixMilli(bl.UntilMS).Sub(day))
}

// held is a block that is in force.
type held struct {
	block Block
	// until is its end by the own steady clock, since when it or its newest trial was heard of.
	until, since time.Time
	// stored is set once the key-value service is known to hold it, unsaved if it holds it
	// without the newest trial.
	stored, unsaved bool
}

// Blocks holds the blocks in force. The zero value holds none. It is not safe for concurrent
// use.
type Blocks struct{ held map[Fingerprint]*held }

// Add takes a block that lasts for a while yet; stored is set if the key-value service holds
// it. It reports whether it is new.
func (bs *Blocks) Add(bl Block, left time.Duration, stored bool, now time.Time) bool {
	if he := bs.held[bl.Fingerprint]; he != nil {
		he.stored = he.stored || stored
		he.take(bl.LastTrial, now)
		if stored && bl.LastTrial == he.block.LastTrial {
			he.unsaved = false
		}
		return false
	}
	if left <= 0 || len(bs.held) >= mostBlocks {
		return false
	}
	if bs.held == nil {
		bs.held = map[Fingerprint]*held{}
	}
	bs.held[bl.Fingerprint] = &held{block: bl, until: now.Add(left), since: now, stored: stored}
	return true
}

// Lift ends a block. It reports whether there was one.
func (bs *Blocks) Lift(pr Fingerprint) bool {
	_, ok := bs.held[pr]
	delete(bs.held, pr)
	return ok
}

// Remaining returns how long a request is not to be sent, zero if it may be.
func (bs *Blocks) Remaining(pr Fingerprint, now time.Time) time.Duration {
	he := bs.held[pr]
	if he == nil {
		return 0
	}
	return max(0, he.until.Sub(now))
}

// Fingerprints returns what is blocked, some of it if that is much: it goes with each beat.
func (bs *Blocks) Fingerprints() []Fingerprint {
	prints := slices.Collect(maps.Keys(bs.held))
	return prints[:min(len(prints), mostTold)]
}

// IsStored reports whether the key-value service holds a block.
func (bs *Blocks) IsStored(pr Fingerprint) bool {
	he := bs.held[pr]
	return he != nil && he.stored
}

// Unstored returns the blocks that the key-value service does not hold yet as far as is known.
func (bs *Blocks) Unstored() []Block {
	return bs.list(func(he *held) bool { return !he.stored || he.unsaved })
}

// MarkUnstored notes that the key-value service does not hold a block any more that is in force still.
func (bs *Blocks) MarkUnstored(pr Fingerprint) {
	if he := bs.held[pr]; he != nil {
		he.stored = false
	}
}

// Stored returns those that it holds.
func (bs *Blocks) Stored() []Block {
	return bs.list(func(he *held) bool { return he.stored })
}

// Recent returns the blocks that others may not have heard of.
func (bs *Blocks) Recent(now time.Time) []Block {
	return bs.list(func(he *held) bool { return now.Sub(he.since) < blockNews })
}

func (bs *Blocks) list(which func(he *held) bool) []Block {
	var list []Block
	for _, he := range bs.held {
		if which(he) {
			list = append(list, he.block)
		}
	}
	return list
}

// Expire drops the blocks whose time is over and returns those that the key-value service may
// still hold.
func (bs *Blocks) Expire(now time.Time) []Fingerprint {
	var over []Fingerprint
	for pr, he := range bs.held {
		if he.until.After(now) {
			continue
		}
		delete(bs.held, pr)
		if he.stored {
			over = append(over, pr)
		}
	}
	return over
}
