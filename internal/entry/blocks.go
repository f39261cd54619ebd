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
	// blocksInterval is how often an entry looks whether it has to store any.
	blocksInterval = time.Second
)

// blocklist is the route's view of what is blocked.
type blocklist struct {
	en          *Entry
	fingerprint poison.Fingerprint
}

// Blocked returns how long the request is not to be sent, zero if it may be.
func (bl blocklist) Blocked(now time.Time) time.Duration {
	return bl.en.blockRemaining(bl.fingerprint, now)
}

func (en *Entry) blockRemaining(fp poison.Fingerprint, now time.Time) time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.blocks.Remaining(fp, now)
}

// recordSuspicions takes an agent's word on the end of its server. An agent tells all entries that are
// connected to it, so that they count alike.
func (en *Entry) recordSuspicions(list []poison.Suspicion, now time.Time) {
	for _, su := range list {
		en.mu.Lock()
		duration := en.detector.Record(su, now)
		en.mu.Unlock()
		if duration > 0 {
			en.addBlock(poison.NewBlock(su.Fingerprint, duration, clock.Day()), false, now)
		}
	}
}

// liftHarmless ends the blocks of requests that a server has answered and lived on.
func (en *Entry) liftHarmless(fingerprints []poison.Fingerprint, now time.Time) {
	for _, fp := range fingerprints {
		en.mu.Lock()
		lifted := en.blocks.Lift(fp)
		if lifted {
			en.detector.MarkHarmless(fp, now)
			en.liftsUnstored = true
		}
		en.mu.Unlock()
		if lifted {
			en.Node.Note(timeline.Entry{Event: event.RequestUnblocked, Detail: fp.String() + ": a server answered it and lives on"})
		}
	}
}

// addBlock takes a block, unless it was lifted a moment ago.
func (en *Entry) addBlock(bl poison.Block, stored bool, now time.Time) {
	en.mu.Lock()
	added := !en.detector.IsHarmless(bl.Fingerprint) && en.blocks.Add(bl, bl.Remaining(clock.Day()), stored, now)
	en.mu.Unlock()
	if added {
		en.Node.Note(timeline.Entry{Event: event.RequestBlocked, Detail: bl.Fingerprint.String()})
	}
}

// syncBlocks reads the blocks that are kept, and stores those that are not. Of the entries
// that know of one, the watchers of the key-value service store it.
func (en *Entry) syncBlocks(ctx context.Context) error {
	var lastRead time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		if now.Sub(lastRead) >= readInterval && en.readBlocks(ctx) {
			lastRead = now.Add(-rand.N(readInterval / 4))
		}
		en.storeBlocks(ctx)
		en.expireBlocks(now)
		sleep(ctx, blocksInterval)
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
		en.Node.Note(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		return false
	}
	for _, bl := range list {
		en.addBlock(bl, true, clock.Now())
	}
	return true
}

func (en *Entry) storeBlocks(ctx context.Context) {
	if !en.isWatcher() {
		return
	}
	en.mu.Lock()
	list, liftsUnstored := en.blocks.Unstored(), en.liftsUnstored
	en.mu.Unlock()
	if len(list) == 0 && !liftsUnstored {
		return
	}
	edit := func(value []byte) ([]byte, error) { return poison.MergeBlocks(value, list, en.isHarmless, clock.Day()) }
	if !en.updateDocument(ctx, blocksKey, edit) {
		en.Node.Note(timeline.Entry{Event: event.StoreCallFailed, Detail: "blocks could not be stored"})
		return
	}
	en.mu.Lock()
	en.liftsUnstored = false
	en.mu.Unlock()
	for _, bl := range list {
		en.addBlock(bl, true, clock.Now())
	}
}

// isHarmless reports whether a server answered a request lately and lived on.
func (en *Entry) isHarmless(fp poison.Fingerprint) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.detector.IsHarmless(fp)
}

func (en *Entry) expireBlocks(now time.Time) {
	en.mu.Lock()
	expired := en.blocks.Expire(now)
	en.detector.Expire(now)
	en.mu.Unlock()
	for _, fp := range expired {
		en.Node.Note(timeline.Entry{Event: event.RequestUnblocked, Detail: fp.String()})
	}
}
