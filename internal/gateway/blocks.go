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
	// storeSpread is the longest delay before a gateway stores a block of its own, so that few of
	// those that made it together write it.
	storeSpread = 300 * time.Millisecond
	// storeWatchers is the delay after which a watcher stores another gateway's block, in case that
	// gateway was lost before it wrote.
	storeWatchers = 500 * time.Millisecond
	// storeOthers is that delay at other gateways.
	storeOthers = 2 * time.Second
	// storeAgain is the pause after a write that failed.
	storeAgain = time.Second
	// doubtKept is how long a doubt is propagated. It is remembered for twice as long, so that it
	// does not circulate.
	doubtKept = 3 * time.Second
)

// accuse applies a suspicion, this gateway's or another one's. Suspicions are propagated with the
// reports of load, since each gateway sees only the ends under its own copies of a request. The lock
// is held.
func (ga *Gateway) accuse(su poison.Suspicion, now time.Time) {
	term := ga.cases.Accuse(su, now)
	if term == 0 || ga.blocks.Left(su.Print, now) > 0 {
		return
	}
	ga.storeBlockAt[su.Print] = now.Add(rand.N(storeSpread))
	ga.takeBlock(poison.NewBlock(su.Print, term, clock.Day()), false, now)
}

// takeBlock applies a block, whatever its source. Attempts that no server has begun are cancelled,
// since they may still be in a server's queue. The lock is held.
func (ga *Gateway) takeBlock(bl poison.Block, stored bool, now time.Time) {
	if _, doubted := ga.doubts[bl.Print]; doubted || ga.cases.IsSound(bl.Print) {
		ga.object(bl.Print, stored, now)
		return
	}
	if !ga.blocks.Add(bl, bl.Left(clock.Day()), stored, now) {
		return
	}
	if _, own := ga.storeBlockAt[bl.Print]; !own && !stored {
		ga.storeBlockAt[bl.Print] = ga.turn(now.Add(storeWatchers))
	}
	requestBlocks.Inc()
	ga.Log.Warn().Int("event", int(event.RequestBlocked)).Str("print", bl.Print.String()).Int("servers", ga.cases.Servers(bl.Print)).
		Dur("for_ms", ga.blocks.Left(bl.Print, now)).Bool("stored", stored).Msg(event.Name(event.RequestBlocked))
	for se := range ga.awaitingHead {
		if se.ex.fingerprint == bl.Print {
			se.abandon(false)
		}
	}
}

// object contradicts another gateway's block: the doubt is propagated and the stored block removed. A
// gateway that has just started may block a common request because it has seen no answer to it yet.
// The lock is held.
func (ga *Gateway) object(pr poison.Print, stored bool, now time.Time) {
	if _, due := ga.deleteBlockAt[pr]; !due && stored {
		ga.deleteBlockAt[pr] = ga.turn(now)
	}
	if ga.doubt(pr, now) {
		ga.Log.Warn().Int("event", int(event.BlockDoubted)).Str("print", pr.String()).Msg(event.Name(event.BlockDoubted))
	}
}

// acquit lifts a block everywhere, since a server answered the request and did not end. The lock is
// held.
func (ga *Gateway) acquit(pr poison.Print, now time.Time) {
	if ga.blocks.Left(pr, now) == 0 {
		return
	}
	stored := ga.blocks.IsStored(pr)
	ga.unblock(pr, "a server answered it and lives on")
	ga.doubt(pr, now)
	if stored {
		ga.deleteBlockAt[pr] = ga.turn(now)
	}
}

// doubt records a doubt to be propagated. It reports whether it is new. The lock is held.
func (ga *Gateway) doubt(pr poison.Print, now time.Time) bool {
	if _, ok := ga.doubts[pr]; ok {
		return false
	}
	ga.doubts[pr] = now
	return true
}

// turn returns when this gateway writes a key that any gateway can write; watchers are first. The
// lock is held.
func (ga *Gateway) turn(now time.Time) time.Time {
	if ga.relayPlan.Watches(ga.memberList()) {
		return now.Add(rand.N(storeSpread))
	}
	return othersTurn(now)
}

// othersTurn returns when a gateway writes what another one should have written before.
func othersTurn(now time.Time) time.Time { return now.Add(storeOthers + rand.N(storeOthers)) }

// unblock lifts a block here; the lock is held.
func (ga *Gateway) unblock(pr poison.Print, why string) {
	delete(ga.storeBlockAt, pr)
	ga.cases.Forget(pr)
	if ga.blocks.Lift(pr) {
		close(ga.blockLifted)
		ga.blockLifted = make(chan struct{})
		ga.noteUnblocked(pr, why)
	}
}

// notKept lifts a block that was removed from the key-value service; the lock is held.
func (ga *Gateway) notKept(pr poison.Print) {
	delete(ga.deleteBlockAt, pr)
	ga.unblock(pr, "it is not kept any more")
}

func (ga *Gateway) noteUnblocked(pr poison.Print, why string) {
	ga.Log.Info().Int("event", int(event.RequestUnblocked)).Str("print", pr.String()).Str("detail", why).
		Msg(event.Name(event.RequestUnblocked))
}

// liftOthers lifts the stored blocks that a whole state does not hold any more. Those that a restored
// service has lost are stored again. The lock is held.
func (ga *Gateway) liftOthers(named map[poison.Print]bool, restored bool, now time.Time) {
	for _, bl := range ga.blocks.Stored() {
		switch {
		case named[bl.Print]:
		case restored:
			ga.blocks.Lost(bl.Print)
			ga.storeBlockAt[bl.Print] = ga.turn(now)
		default:
			ga.notKept(bl.Print)
		}
	}
}

// receiveBlocks applies another gateway's suspicions, doubts and blocks; the lock is held.
func (ga *Gateway) receiveBlocks(re relay.Report, now time.Time) {
	for _, su := range re.Suspicions {
		ga.accuse(su, now)
	}
	for _, pr := range re.Doubts {
		if ga.doubt(pr, now) {
			ga.unblock(pr, "another gateway sees it answered")
		}
	}
	for _, bl := range re.Blocks {
		ga.takeBlock(bl, false, now)
	}
}

// addBlocks adds recent blocks and doubts to a report; the lock is held.
func (ga *Gateway) addBlocks(re relay.Report, now time.Time) relay.Report {
	re.Blocks = ga.blocks.News(now)
	for pr, since := range ga.doubts {
		if now.Sub(since) < doubtKept {
			re.Doubts = append(re.Doubts, pr)
		}
	}
	return re
}

// keepBlocks stores and removes the blocks that are due, and drops expired ones.
func (ga *Gateway) keepBlocks(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, bl := range ga.blocks.Unstored() {
		if !ga.freshness.Failing() && !now.Before(ga.storeBlockAt[bl.Print]) {
			ga.storeBlockAt[bl.Print] = now.Add(storeAgain)
			go ga.storeBlock(ctx, bl)
		}
	}
	for pr, due := range ga.deleteBlockAt {
		if !ga.freshness.Failing() && !now.Before(due) {
			ga.deleteBlockAt[pr] = now.Add(storeAgain)
			go ga.removeBlocks(ctx, []poison.Print{pr})
		}
	}
	maps.DeleteFunc(ga.doubts, func(_ poison.Print, since time.Time) bool { return now.Sub(since) >= 2*doubtKept })
	over := ga.blocks.Expire(now)
	for _, pr := range over {
		delete(ga.storeBlockAt, pr)
		ga.noteUnblocked(pr, "its time is over")
	}
	if len(over) > 0 && ga.relayPlan.Watches(ga.memberList()) {
		go ga.removeBlocks(ctx, over)
	}
}

func (ga *Gateway) storeBlock(ctx context.Context, bl poison.Block) {
	err := ga.Store.StoreBlock(ctx, bl)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if err != nil {
		ga.noteBlockCall(bl.Print, err)
		return
	}
	delete(ga.storeBlockAt, bl.Print)
	ga.blocks.Add(bl, bl.Left(clock.Day()), true, clock.Now())
}

func (ga *Gateway) removeBlocks(ctx context.Context, over []poison.Print) {
	for _, pr := range over {
		err := ga.Store.DeleteBlock(ctx, pr)
		ga.mu.Lock()
		if err != nil {
			ga.noteBlockCall(pr, err)
		} else {
			delete(ga.deleteBlockAt, pr)
		}
		ga.mu.Unlock()
	}
}

func (ga *Gateway) noteBlockCall(pr poison.Print, why error) {
	ga.Log.Warn().Int("event", int(event.StoreCallFailed)).Str("print", pr.String()).Err(why).Msg(event.Name(event.StoreCallFailed))
}
