package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

const (
	// blocksKey is the key under which the blocks are stored.
	blocksKey = "linnetrudder/blocks"
	// blocksInterval is the time between two checks for blocks that have to be stored.
	blocksInterval = time.Second
	// liftRetention is how long a lifted block is remembered, so that it is not read from the store again.
	liftRetention = time.Minute
)

// blocklist implements route.Blocklist for one request.
type blocklist struct {
	en      *Entry
	subject poison.Subject
}

// Blocked returns how long the request remains blocked, zero if it is not.
func (bl blocklist) Blocked(now time.Time) time.Duration {
	return bl.en.blockRemaining(bl.subject, now)
}

// blockRemaining returns how long a request remains blocked, zero if it is not.
func (en *Entry) blockRemaining(su poison.Subject, now time.Time) time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.blocks.Remaining(en.blocks.Find(su, now), now)
}

// recordSuspicions records which requests an agent suspects of having crashed its server. Agents
// report to all entries that are connected to them, so that these entries have the same counts.
func (en *Entry) recordSuspicions(list []poison.Suspicion, now time.Time) {
	for _, su := range list {
		en.mu.Lock()
		duration := en.detector.Record(su, now)
		en.parts.Record(su, now)
		en.mu.Unlock()
		if duration > 0 {
			bl := poison.NewBlock(su.Fingerprint, duration, clock.WallTime())
			bl.Box, bl.Crashes = en.Node.Settings.Box, poison.MinCrashes
			en.addBlock(bl, false, now)
		}
	}
	en.askForClears()
	en.decideParts(now)
}

// liftHarmless lifts the blocks of requests that a server answered completely without crashing.
func (en *Entry) liftHarmless(fingerprints []poison.Fingerprint, now time.Time) {
	for _, fp := range fingerprints {
		en.mu.Lock()
		_, lifted := en.blocks.Lift(fp)
		if lifted {
			en.detector.MarkHarmless(fp, now)
			en.lifted[fp], en.liftsUnstored = now, true
		}
		en.mu.Unlock()
		if lifted {
			en.Node.Record(timeline.Entry{Event: event.RequestUnblocked, Detail: fp.String() + ": a server answered it without crashing"})
		}
	}
}

// addBlock adds a block unless the request was recently found harmless.
func (en *Entry) addBlock(bl poison.Block, stored bool, now time.Time) {
	en.mu.Lock()
	if !stored {
		delete(en.lifted, bl.Fingerprint)
	}
	added := en.lifted[bl.Fingerprint].IsZero() && !en.detector.IsHarmless(bl.Fingerprint) && en.blocks.Add(bl, bl.Remaining(clock.WallTime()), stored, now)
	if added && bl.Part != nil {
		en.parts.Convicted(*bl.Part, now)
	}
	en.mu.Unlock()
	if added {
		en.Node.Record(timeline.Entry{Event: event.RequestBlocked, Detail: blockDetail(bl)})
	}
}

// syncBlocks periodically reads the stored blocks and stores new ones. A block is stored by those
// of the entries with the block that watch the key-value service.
func (en *Entry) syncBlocks(ctx context.Context) error {
	var lastRead time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		if now.Sub(lastRead) >= readInterval && en.readBlocks(ctx) {
			lastRead = now.Add(-rand.N(readInterval / 4))
		}
		en.storeBlocks(ctx)
		en.expireBlocks(now)
		clock.Sleep(ctx, blocksInterval)
	}
	return ctx.Err()
}

// readBlocks adds the stored blocks. It reports whether they could be read.
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
		en.addBlock(bl, true, clock.Now())
	}
	return true
}

// storeBlocks stores new blocks and removes lifted ones from the store.
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
	edit := func(value []byte) ([]byte, error) {
		return poison.MergeBlocks(value, list, en.isLifted, clock.WallTime())
	}
	if !en.updateDocument(ctx, blocksKey, edit) {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: "blocks could not be stored"})
		return
	}
	en.mu.Lock()
	en.liftsUnstored = false
	en.mu.Unlock()
	for _, bl := range list {
		en.addBlock(bl, true, clock.Now())
	}
}

// isLifted reports whether a block was lifted recently, or a server recently answered its request
// completely without crashing.
func (en *Entry) isLifted(fp poison.Fingerprint) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return !en.lifted[fp].IsZero() || en.detector.IsHarmless(fp)
}

func (en *Entry) expireBlocks(now time.Time) {
	en.mu.Lock()
	expired := en.blocks.Expire(now)
	en.detector.Expire(now)
	en.parts.Expire(now)
	maps.DeleteFunc(en.lifted, func(_ poison.Fingerprint, at time.Time) bool { return now.Sub(at) >= liftRetention })
	en.mu.Unlock()
	for _, fp := range expired {
		en.Node.Record(timeline.Entry{Event: event.RequestUnblocked, Detail: fp.String()})
	}
}
