package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
)

const (
	// blockWriteJitter is the longest random delay before a gateway writes a block. It lets only a few
	// of the gateways that create a block at the same time write it.
	blockWriteJitter = 300 * time.Millisecond
	// watcherWriteDelay is the delay after which a watcher writes another gateway's block, in case
	// that gateway failed before it wrote.
	watcherWriteDelay = 500 * time.Millisecond
	// nonWatcherWriteDelay is the least delay at gateways that are not watchers, and also the range of
	// the random delay added to it.
	nonWatcherWriteDelay = 2 * time.Second
	// blockWriteRetryDelay is the pause after a write that failed.
	blockWriteRetryDelay = time.Second
	// doubtTTL is how long a gateway propagates a doubt. It remembers the doubt for twice as long, so
	// that it does not take the same doubt from another gateway as a new one.
	doubtTTL = 3 * time.Second
)

// applySuspicion applies a suspicion of this gateway or another one. Suspicions are propagated with
// the load reports, since a gateway only notices crashes of servers that were running its own copies
// of a request. The lock is held.
func (ga *Gateway) applySuspicion(su poison.Suspicion, now time.Time) {
	if !ga.crashDetector.IsHarmless(su.Fingerprint) && ga.partDetector.Record(su, now) {
		ga.reportAtOnce()
	}
	term := ga.crashDetector.Record(su, now)
	if term == 0 || ga.blocks.Remaining(su.Fingerprint, now) > 0 {
		return
	}
	ga.storeBlockAt[su.Fingerprint] = blockStoreTime(now)
	bl := poison.NewBlock(su.Fingerprint, term, clock.WallTime())
	bl.Box, bl.Crashes = ga.Box, ga.crashDetector.CrashedServers(su.Fingerprint)
	ga.applyBlock(bl, false, now)
}

// blockStoreTime returns when a gateway stores a block that it has made.
func blockStoreTime(now time.Time) time.Time { return now.Add(rand.N(blockWriteJitter)) }

// applyBlock applies a block, whatever its source. Attempts that no server has responded to yet are
// cancelled, since they may still be in a server's queue. The lock is held.
func (ga *Gateway) applyBlock(bl poison.Block, stored bool, now time.Time) {
	if _, doubted := ga.doubts[bl.Fingerprint]; doubted || ga.crashDetector.IsHarmless(bl.Fingerprint) {
		ga.contestBlock(bl.Fingerprint, stored, now)
		return
	}
	if bl.Part != nil && ga.decidesParts(now) && ga.partDetector.Disproves(*bl.Part) {
		ga.contestBlock(bl.Fingerprint, stored, now)
		return
	}
	if !ga.blocks.Add(bl, bl.Remaining(clock.WallTime()), stored, now) {
		return
	}
	if bl.Part != nil {
		partBlocks.Inc()
		ga.partDetector.Convicted(*bl.Part, now)
	}
	if _, own := ga.storeBlockAt[bl.Fingerprint]; !own && !stored {
		ga.storeBlockAt[bl.Fingerprint] = ga.blockWriteTime(now.Add(watcherWriteDelay))
	}
	requestBlocks.Inc()
	ga.logBlocked(bl, stored, now)
	for se := range ga.awaitingHead {
		if bl.Matches(se.ex.subject) {
			se.abandon(false)
		}
	}
}

// logBlocked logs what is blocked, on what evidence, by whom and until when. The lock is held.
func (ga *Gateway) logBlocked(bl poison.Block, stored bool, now time.Time) {
	le := ga.Log.Warn().Int("event", int(event.RequestBlocked)).Str("print", bl.Fingerprint.String()).Str("by", bl.Box)
	if bl.Part != nil {
		le = le.Str("part", bl.Part.ID).Str("team", bl.Part.Team).Bool("all_teams", bl.Part.AllTeams).
			Str("service", bl.Part.Service).Int("requests", bl.Requests).Strs("rivals", bl.Rivals)
	}
	le.Int("servers", max(bl.Crashes, ga.crashDetector.CrashedServers(bl.Fingerprint))).
		Dur("for_ms", ga.blocks.Remaining(bl.Fingerprint, now)).Time("until", bl.Until().UTC()).Bool("stored", stored).
		Msg(event.Name(event.RequestBlocked))
}

// contestBlock disputes a block that another gateway created: it propagates a doubt and schedules
// the removal of the block if it is stored. A gateway that has just started may block a common
// request because it has seen no response to it yet. The lock is held.
func (ga *Gateway) contestBlock(fp poison.Fingerprint, stored bool, now time.Time) {
	if _, due := ga.deleteBlockAt[fp]; !due && stored {
		ga.deleteBlockAt[fp] = ga.blockWriteTime(now)
	}
	if ga.addDoubt(fp, now) {
		ga.Log.Warn().Int("event", int(event.BlockDoubted)).Str("print", fp.String()).Msg(event.Name(event.BlockDoubted))
	}
}

// liftDisprovenBlock lifts a block at all gateways after a server completed the request without
// crashing. The lock is held.
func (ga *Gateway) liftDisprovenBlock(fp poison.Fingerprint, now time.Time) {
	if ga.blocks.Remaining(fp, now) == 0 {
		return
	}
	stored := ga.blocks.IsStored(fp)
	ga.unblock(fp, "a server completed the request and is still running")
	ga.addDoubt(fp, now)
	if stored {
		ga.deleteBlockAt[fp] = ga.blockWriteTime(now)
	}
}

// addDoubt records a doubt to be propagated. It reports whether the doubt is new. The lock is held.
func (ga *Gateway) addDoubt(fp poison.Fingerprint, now time.Time) bool {
	if _, ok := ga.doubts[fp]; ok {
		return false
	}
	ga.doubts[fp] = now
	return true
}

// blockWriteTime returns when this gateway writes or removes a block that any gateway may write.
// Watchers do so first. The lock is held.
func (ga *Gateway) blockWriteTime(now time.Time) time.Time {
	if ga.relayPlan.IsWatcher(ga.memberList()) {
		return now.Add(rand.N(blockWriteJitter))
	}
	return nonWatcherWriteTime(now)
}

// nonWatcherWriteTime returns when a gateway that is not a watcher writes or removes a block.
func nonWatcherWriteTime(now time.Time) time.Time {
	return now.Add(nonWatcherWriteDelay + rand.N(nonWatcherWriteDelay))
}

// unblock lifts a block at this gateway. The lock is held.
func (ga *Gateway) unblock(fp poison.Fingerprint, reason string) {
	delete(ga.storeBlockAt, fp)
	ga.crashDetector.Forget(fp)
	if bl, ok := ga.blocks.Lift(fp); ok {
		if bl.Part != nil {
			ga.partDetector.Exonerate(*bl.Part, clock.Now())
		}
		close(ga.blockLifted)
		ga.blockLifted = make(chan struct{})
		ga.logUnblocked(fp, reason)
	}
}

// blockRemoved lifts a block that was removed from the key-value service. The lock is held.
func (ga *Gateway) blockRemoved(fp poison.Fingerprint) {
	delete(ga.deleteBlockAt, fp)
	ga.unblock(fp, "removed from the key-value service")
}

func (ga *Gateway) logUnblocked(fp poison.Fingerprint, reason string) {
	ga.Log.Info().Int("event", int(event.RequestUnblocked)).Str("print", fp.String()).Str("detail", reason).
		Msg(event.Name(event.RequestUnblocked))
}

// reconcileBlocks lifts the stored blocks that a complete state does not contain. Those that a
// restored key-value service has lost are stored again instead. The lock is held.
func (ga *Gateway) reconcileBlocks(listed map[poison.Fingerprint]bool, restored bool, now time.Time) {
	for _, bl := range ga.blocks.Stored() {
		switch {
		case listed[bl.Fingerprint]:
		case restored:
			ga.blocks.MarkUnstored(bl.Fingerprint)
			ga.storeBlockAt[bl.Fingerprint] = ga.blockWriteTime(now)
		default:
			ga.blockRemoved(bl.Fingerprint)
		}
	}
}

// receiveBlocks applies another gateway's suspicions, doubts and blocks. The lock is held.
func (ga *Gateway) receiveBlocks(re relay.Report, now time.Time) {
	ga.receivePartEvidence(re, now)
	for _, su := range re.Suspicions {
		ga.applySuspicion(su, now)
	}
	if ga.partDetector.TakeChanged() {
		ga.decideParts(now)
	}
	for _, fp := range re.Doubts {
		if ga.addDoubt(fp, now) {
			ga.unblock(fp, "another gateway received a complete response to the request")
		}
	}
	for _, bl := range re.Blocks {
		ga.applyBlock(bl, false, now)
	}
}

// addBlocks returns a report with the recent blocks and doubts added. The lock is held.
func (ga *Gateway) addBlocks(re relay.Report, now time.Time) relay.Report {
	re.Blocks = ga.blocks.Recent(now)
	re.Suspects = ga.partDetector.Suspects(now)
	re.Clears = ga.partDetector.Clears(ga.partDetector.SuspectedParts(now), now)
	for fp, since := range ga.doubts {
		if now.Sub(since) < doubtTTL {
			re.Doubts = append(re.Doubts, fp)
		}
	}
	return re
}

// maintainBlocks stores and removes the blocks that are due, and drops expired ones.
func (ga *Gateway) maintainBlocks(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, bl := range ga.blocks.Unstored() {
		if !ga.storeOutage.Failing() && !now.Before(ga.storeBlockAt[bl.Fingerprint]) {
			ga.storeBlockAt[bl.Fingerprint] = now.Add(blockWriteRetryDelay)
			go ga.storeBlock(ctx, bl)
		}
	}
	for fp, due := range ga.deleteBlockAt {
		if !ga.storeOutage.Failing() && !now.Before(due) {
			ga.deleteBlockAt[fp] = now.Add(blockWriteRetryDelay)
			go ga.removeBlocks(ctx, []poison.Fingerprint{fp})
		}
	}
	maps.DeleteFunc(ga.doubts, func(_ poison.Fingerprint, since time.Time) bool { return now.Sub(since) >= 2*doubtTTL })
	expired := ga.blocks.Expire(now)
	for _, fp := range expired {
		delete(ga.storeBlockAt, fp)
		ga.logUnblocked(fp, "block expired")
	}
	if len(expired) > 0 && ga.relayPlan.IsWatcher(ga.memberList()) {
		go ga.removeBlocks(ctx, expired)
	}
}

func (ga *Gateway) storeBlock(ctx context.Context, bl poison.Block) {
	err := ga.Store.StoreBlock(ctx, bl)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if err != nil {
		ga.logBlockCallFailure(bl.Fingerprint, err)
		return
	}
	delete(ga.storeBlockAt, bl.Fingerprint)
	ga.blocks.Add(bl, bl.Remaining(clock.WallTime()), true, clock.Now())
}

func (ga *Gateway) removeBlocks(ctx context.Context, fingerprints []poison.Fingerprint) {
	for _, fp := range fingerprints {
		err := ga.Store.DeleteBlock(ctx, fp)
		ga.mu.Lock()
		if err != nil {
			ga.logBlockCallFailure(fp, err)
		} else {
			delete(ga.deleteBlockAt, fp)
		}
		ga.mu.Unlock()
	}
}

func (ga *Gateway) logBlockCallFailure(fp poison.Fingerprint, err error) {
	ga.Log.Warn().Int("event", int(event.StoreCallFailed)).Str("print", fp.String()).Err(err).Msg(event.Name(event.StoreCallFailed))
}
