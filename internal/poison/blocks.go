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
	// minRenewal is the least time by which a block is extended. Processes that make the same block at
	// the same time differ by less.
	minRenewal = time.Minute
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
	// Part is the part of prompts that is blocked, whose fingerprint the block has, nil if a request is.
	// Requests is the number of different requests with the part that were on the crashed servers.
	Part     *Part `cbor:"6,keyasint,omitempty" json:"part,omitempty"`
	Requests int   `cbor:"7,keyasint,omitempty" json:"requests,omitempty"`
	// Rivals holds the ids of parts with the same evidence. A trial without them shows whether the blocked
	// one crashes servers.
	Rivals []string `cbor:"8,keyasint,omitempty" json:"rivals,omitempty"`
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
	// until is the end of the block by this process's monotonic clock. known is the time at which the
	// block became known, updated that at which its latest change did.
	until, known, updated time.Time
	// stored is set once the key-value service is known to hold the block, outdated if it holds it
	// without the latest trial.
	stored, outdated bool
}

// Blocks holds the blocks in force. The zero value holds none. It is not safe for concurrent use.
type Blocks struct {
	active map[Fingerprint]*activeBlock
	// parts holds the fingerprints of the blocked parts.
	parts map[Part]Fingerprint
}

// Add adds a block with a remaining duration, or merges it into the one in force; stored is set if
// the key-value service holds it. It reports whether the block is new or renewed.
func (bs *Blocks) Add(bl Block, remaining time.Duration, stored bool, now time.Time) bool {
	if ab := bs.active[bl.Fingerprint]; ab != nil {
		ab.stored = ab.stored || stored
		ab.recordTrial(bl.LastTrial, now)
		ab.block.Crashes = max(ab.block.Crashes, bl.Crashes)
		renewed := ab.renew(bl, remaining, now)
		if stored && bl.LastTrial == ab.block.LastTrial && bl.UntilMS == ab.block.UntilMS {
			ab.outdated = false
		}
		return renewed
	}
	if remaining <= 0 || len(bs.active) >= maxBlocks {
		return false
	}
	if bs.active == nil {
		bs.active = map[Fingerprint]*activeBlock{}
	}
	bs.active[bl.Fingerprint] = &activeBlock{block: bl, until: now.Add(remaining), known: now, updated: now, stored: stored}
	if bl.Part != nil {
		if bs.parts == nil {
			bs.parts = map[Part]Fingerprint{}
		}
		bs.parts[*bl.Part] = bl.Fingerprint
	}
	return true
}

// renew extends the block of a part if another one lasts longer.
func (ab *activeBlock) renew(bl Block, remaining time.Duration, now time.Time) bool {
	if bl.Part == nil || bl.UntilMS-ab.block.UntilMS < minRenewal.Milliseconds() {
		return false
	}
	ab.block = bl
	ab.until, ab.updated, ab.outdated = now.Add(remaining), now, true
	return true
}

// RecordCrashes records how many servers crashed under a blocked part. It is propagated, and stored
// once the evidence is strong, so that no other process makes a trial.
func (bs *Blocks) RecordCrashes(fp Fingerprint, crashes int, now time.Time) {
	if ab := bs.active[fp]; ab != nil && crashes > ab.block.Crashes {
		ab.outdated = ab.outdated || ab.block.Crashes < strongEvidence && crashes >= strongEvidence
		ab.block.Crashes, ab.updated = crashes, now
	}
}

// Lift ends a block. It returns the block if there was one.
func (bs *Blocks) Lift(fp Fingerprint) (Block, bool) {
	ab := bs.active[fp]
	if ab == nil {
		return Block{}, false
	}
	bs.remove(ab)
	return ab.block, true
}

func (bs *Blocks) remove(ab *activeBlock) {
	delete(bs.active, ab.block.Fingerprint)
	if ab.block.Part != nil {
		delete(bs.parts, *ab.block.Part)
	}
}

// Get returns the block with a fingerprint if there is one.
func (bs *Blocks) Get(fp Fingerprint) (Block, bool) {
	if ab := bs.active[fp]; ab != nil {
		return ab.block, true
	}
	return Block{}, false
}

// Find returns the fingerprint of the block that applies to a request, that of the request or of a
// part, the one that lasts longest. Without a block it returns the request's.
func (bs *Blocks) Find(su Subject, now time.Time) Fingerprint {
	found := su.Fingerprint
	if len(bs.parts) == 0 {
		return found
	}
	for _, pa := range su.PartList() {
		for _, key := range [...]Part{pa, pa.forAllTeams()} {
			if fp, ok := bs.parts[key]; ok && bs.Remaining(fp, now) > bs.Remaining(found, now) {
				found = fp
			}
		}
	}
	return found
}

// KnownBefore reports whether a block was known before a time, so that a response that began then is
// that of a trial.
func (bs *Blocks) KnownBefore(fp Fingerprint, at time.Time) bool {
	ab := bs.active[fp]
	return ab != nil && ab.known.Before(at)
}

// IsTrialFor reports whether a request is suited for a trial of the block.
func (bl Block) IsTrialFor(su Subject) bool {
	return bl.Matches(su) && !slices.ContainsFunc(bl.Rivals, func(id string) bool { return slices.Contains(su.Parts, id) })
}

// Matches reports whether a block applies to a request.
func (bl Block) Matches(su Subject) bool {
	if bl.Part != nil {
		return su.Has(*bl.Part)
	}
	return bl.Fingerprint == su.Fingerprint
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

// Parts returns the blocked parts.
func (bs *Blocks) Parts() []Part { return slices.Collect(maps.Keys(bs.parts)) }

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
		bs.remove(ab)
		if ab.stored {
			expired = append(expired, fp)
		}
	}
	return expired
}
