package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

const (
	// blocksKey is where the blocks are kept.
	blocksKey = "linnetrudder/blocks"
	// blocksCheck is how often an entry looks whether it has to store any.
	blocksCheck = time.Second
)

// block is the route's view of what is blocked.
type block struct {
	en    *Entry
	print poison.Fingerprint
}

// Blocked returns how long the request is not to be sent, zero if it may be.
func (bl block) Blocked(now time.Time) time.Duration { return bl.en.blocked(bl.print, now) }

func (en *Entry) blocked(pr poison.Fingerprint, now time.Time) time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.blocks.Remaining(pr, now)
}

// suspect takes an agent's word on the end of its server. An agent tells all entries that are
// connected to it, so that they count alike.
func (en *Entry) suspect(list []poison.Suspicion, now time.Time) {
	for _, su := range list {
		en.mu.Lock()
		term := en.cases.Record(su, now)
		en.mu.Unlock()
		if term > 0 {
			en.takeBlock(poison.NewBlock(su.Fingerprint, term, clock.WallTime()), false, now)
		}
	}
}

// liftSound ends the blocks of requests that a server has answered and lived on.
func (en *Entry) liftSound(prints []poison.Fingerprint, now time.Time) {
	for _, pr := range prints {
		en.mu.Lock()
		lifted := en.blocks.Lift(pr)
		if lifted {
			en.cases.MarkHarmless(pr, now)
			en.unwritten = true
		}
		en.mu.Unlock()
		if lifted {
			en.Node.Record(timeline.Entry{Event: event.RequestUnblocked, Detail: pr.String() + ": a server answered it and lives on"})
		}
	}
}

// takeBlock takes a block, unless it was lifted a moment ago.
func (en *Entry) takeBlock(bl poison.Block, stored bool, now time.Time) {
	en.mu.Lock()
	begun := !en.cases.IsHarmless(bl.Fingerprint) && en.blocks.Add(bl, bl.Remaining(clock.WallTime()), stored, now)
	en.mu.Unlock()
	if begun {
		en.Node.Record(timeline.Entry{Event: event.RequestBlocked, Detail: bl.Fingerprint.String()})
	}
}

// keepBlocks reads the blocks that are kept, and stores those that are not. Of the entries
// that know of one, the watchers of the key-value service store it.
func (en *Entry) keepBlocks(ctx context.Context) error {
	var read time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		if now.Sub(read) >= readEvery && en.readBlocks(ctx) {
			read = now.Add(-rand.N(readEvery / 4))
		}
		en.storeBlocks(ctx)
		en.expireBlocks(now)
		sleep(ctx, blocksCheck)
	}
	return ctx.Err()
}

// readBlocks reports whether the blocks that are kept could be read.
func (en *Entry) readBlocks(ctx context.Context) bool {
	pair, err := en.Store.Get(ctx, blocksKey)
	var list []poison.Block
	if err == nil {
		list, err = poison.DecodeBlocks(pair.Value)
	}
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		return false
	}
	for _, bl := range list {
		en.takeBlock(bl, true, clock.Now())
	}
	return true
}

func (en *Entry) storeBlocks(ctx context.Context) {
	if !en.watches() {
		return
	}
	en.mu.Lock()
	list, unwritten := en.blocks.Unstored(), en.unwritten
	en.mu.Unlock()
	if len(list) == 0 && !unwritten {
		return
	}
	edit := func(value []byte) ([]byte, error) {
		return poison.MergeBlocks(value, list, en.isSound, clock.WallTime())
	}
	if !en.merge(ctx, blocksKey, edit) {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: "blocks could not be stored"})
		return
	}
	en.mu.Lock()
	en.unwritten = false
	en.mu.Unlock()
	for _, bl := range list {
		en.takeBlock(bl, true, clock.Now())
	}
}

// isSound reports whether a server answered a request lately and lived on.
func (en *Entry) isSound(pr poison.Fingerprint) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.cases.IsHarmless(pr)
}

func (en *Entry) expireBlocks(now time.Time) {
	en.mu.Lock()
	over := en.blocks.Expire(now)
	en.cases.Expire(now)
	en.mu.Unlock()
	for _, pr := range over {
		en.Node.Record(timeline.Entry{Event: event.RequestUnblocked, Detail: pr.String()})
	}
}
