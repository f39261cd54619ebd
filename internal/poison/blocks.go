package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// FirstBlockDuration is how long a request is blocked the first time. It is short because the
	// block may be wrong: just after a start, a common request has no complete responses yet that
	// would show it to be harmless.
	FirstBlockDuration = 5 * time.Minute
	// RepeatBlockDuration is how long a request is blocked if it crashes another server after the
	// first block. A caller who keeps sending it then crashes at most four servers an hour, and is
	// served again without an operator once the engine is fixed.
	RepeatBlockDuration = time.Hour
	// blockReportDuration is how long a new block is included in the reports to other gateways.
	// Reports are sent ten times a second; gateways that start later read the block from the
	// key-value service.
	blockReportDuration = 3 * time.Second
	// maxBlocks bounds the active blocks. Each was caused by the crashes of three servers.
	maxBlocks = 1024
)

// Block is a temporary ban on sending a request to backend servers. Its fields are exported because
// it is data without behaviour.
type Block struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"print"`
	// UntilMS is the end of the block in Unix milliseconds: wall-clock time is the only clock that
	// is shared with processes that start later.
	UntilMS int64 `cbor:"2,keyasint" json:"until_ms"`
	// LastTrial is the number of the latest trial that was made, zero before the first.
	LastTrial int `cbor:"3,keyasint,omitempty" json:"tried,omitempty"`
	// Box is the box of the process that made the block, Crashes the number of server crashes that it
	// counted then. They are for operators.
	Box     string `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
	Crashes int    `cbor:"5,keyasint,omitempty" json:"servers,omitempty"`
}

// NewBlock returns a block that begins at a wall-clock time.
func NewBlock(fp Fingerprint, duration time.Duration, wallTime time.Time) Block {
	return Block{Fingerprint: fp, UntilMS: wallTime.Add(duration).UnixMilli()}
}

// Until returns the end of the block in wall-clock time.
func (bl Block) Until() time.Time { return time.UnixMilli(bl.UntilMS) }

// Remaining returns how long a block lasts from a wall-clock time on. It is at most
// RepeatBlockDuration, so that a wrong clock can't prolong a block beyond the longest one.
func (bl Block) Remaining(wallTime time.Time) time.Duration {
	return min(RepeatBlockDuration, bl.Until().Sub(wallTime))
}

// activeBlock is a block that is in force.
type activeBlock struct {
	block Block
	// until is the end of the block by this process's monotonic clock, updated the time at which
	// the block or its latest trial became known.
	until, updated time.Time
	// stored is set once the key-value service is known to hold the block, outdated if it holds it
	// without the latest trial.
	stored, outdated bool
}

// Blocks holds the blocks in force. The zero value holds none. It is not safe for concurrent use.
type Blocks struct{ active map[Fingerprint]*activeBlock }

// Add adds a block with a remaining duration, or merges it into the one in force; stored is set if
// the key-value service holds it. It reports whether the block is new.
func (bs *Blocks) Add(bl Block, remaining time.Duration, stored bool, now time.Time) bool {
	if ab := bs.active[bl.Fingerprint]; ab != nil {
		ab.stored = ab.stored || stored
		ab.recordTrial(bl.LastTrial, now)
		if stored && bl.LastTrial == ab.block.LastTrial {
			ab.outdated = false
		}
		return false
	}
	if remaining <= 0 || len(bs.active) >= maxBlocks {
		return false
	}
	if bs.active == nil {
		bs.active = map[Fingerprint]*activeBlock{}
	}
	bs.active[bl.Fingerprint] = &activeBlock{block: bl, until: now.Add(remaining), updated: now, stored: stored}
	return true
}

// Lift ends a block. It reports whether there was one.
func (bs *Blocks) Lift(fp Fingerprint) bool {
	_, ok := bs.active[fp]
	delete(bs.active, fp)
	return ok
}

// Remaining returns how long a request is still blocked, zero if it is not.
func (bs *Blocks) Remaining(fp Fingerprint, now time.Time) time.Duration {
	ab := bs.active[fp]
	if ab == nil {
		return 0
	}
	return max(0, ab.until.Sub(now))
}

// Fingerprints returns up to maxPerMessage blocked fingerprints. They are sent with each heartbeat.
func (bs *Blocks) Fingerprints() []Fingerprint {
	list := slices.Collect(maps.Keys(bs.active))
	return list[:min(len(list), maxPerMessage)]
}

// IsStored reports whether the key-value service holds a block.
func (bs *Blocks) IsStored(fp Fingerprint) bool {
	ab := bs.active[fp]
	return ab != nil && ab.stored
}

// Unstored returns the blocks that the key-value service is not known to hold in their latest form.
func (bs *Blocks) Unstored() []Block {
	return bs.list(func(ab *activeBlock) bool { return !ab.stored || ab.outdated })
}

// MarkUnstored records that the key-value service no longer holds a block that is still in force.
func (bs *Blocks) MarkUnstored(fp Fingerprint) {
	if ab := bs.active[fp]; ab != nil {
		ab.stored = false
	}
}

// Stored returns the blocks that the key-value service holds.
func (bs *Blocks) Stored() []Block {
	return bs.list(func(ab *activeBlock) bool { return ab.stored })
}

// Recent returns the blocks that other gateways may not have received yet.
func (bs *Blocks) Recent(now time.Time) []Block {
	return bs.list(func(ab *activeBlock) bool { return now.Sub(ab.updated) < blockReportDuration })
}

func (bs *Blocks) list(include func(ab *activeBlock) bool) []Block {
	var list []Block
	for _, ab := range bs.active {
		if include(ab) {
			list = append(list, ab.block)
		}
	}
	return list
}

// Expire removes the blocks that are over and returns those that the key-value service may still
// hold.
func (bs *Blocks) Expire(now time.Time) []Fingerprint {
	var expired []Fingerprint
	for fp, ab := range bs.active {
		if ab.until.After(now) {
			continue
		}
		delete(bs.active, fp)
		if ab.stored {
			expired = append(expired, fp)
		}
	}
	return expired
}
