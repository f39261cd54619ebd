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
	// storeSpread is the most that a gateway waits before it stores a block of its own: of all
	// that know enough at the same moment a few write.
	storeSpread = 300 * time.Millisecond
	// storeWatchers is the time after which one that watches the key-value service stores a block
	// that another gateway told it: by then it would know of that one's write. Where the only
	// gateway that had counted three ends was lost at once, others waited for storeOthers, and
	// gateways that started meanwhile sent 6, 7 and 12 copies too many in three of 90 plays.
	storeWatchers = 500 * time.Millisecond
	// storeOthers is the least time after which it stores one that another gateway told it,
	// and still is not known to be kept.
	storeOthers = 2 * time.Second
	// storeAgain is the pause after a write that failed.
	storeAgain = time.Second
	// doubtKept is how long a doubt is told to others: reports come ten times a second. It is
	// remembered for twice as long, since who heard of it later tells it for longer, and a
	// doubt that is new again to those who told it first would never end.
	doubtKept = 3 * time.Second
)

// accuse takes a suspicion; the lock is held. Copies of a request come to any gateway and
// each sees the ends of its own only, so that suspicions are added up: they go with the
// reports of load, to the collectors and among them. Where each counted for itself, a request
// ended 3 servers a gateway; with a write to the key-value service for each suspicion an
// ended rack of 40 servers would take 800 writes (reckoned: 20 suspects a server).
func (ga *Gateway) accuse(su poison.Suspicion, now time.Time) {
	term := ga.cases.Accuse(su, now)
	if term == 0 || ga.blocks.Left(su.Print, now) > 0 {
		return
	}
	ga.storing[su.Print] = now.Add(rand.N(storeSpread))
	ga.takeBlock(poison.NewBlock(su.Print, term, clock.Day()), false, now)
}

// takeBlock takes a block, an own one, another gateway's or one that the key-value service
// holds. Attempts that no server has begun yet are given up: a server that still has them in
// its queue would end of them. The lock is held.
func (ga *Gateway) takeBlock(bl poison.Block, stored bool, now time.Time) {
	if _, doubted := ga.doubts[bl.Print]; doubted || ga.cases.IsSound(bl.Print) {
		ga.object(bl.Print, stored, now)
		return
	}
	if !ga.blocks.Add(bl, bl.Left(clock.Day()), stored, now) {
		return
	}
	if _, own := ga.storing[bl.Print]; !own && !stored {
		ga.storing[bl.Print] = ga.turn(now.Add(storeWatchers))
	}
	blocksBegun.Inc()
	ga.Log.Warn().Int("event", int(event.RequestBlocked)).Str("print", bl.Print.String()).Int("servers", ga.cases.Servers(bl.Print)).
		Dur("for_ms", ga.blocks.Left(bl.Print, now)).Bool("stored", stored).Msg(event.Name(event.RequestBlocked))
	for se := range ga.waiting {
		if se.ex.print == bl.Print {
			se.giveUp(false)
		}
	}
}

// object doubts a block that another gateway made: it is told so with the reports, and what
// the key-value service holds of it is ended. One that has just started may know no whole
// answer yet to what all callers ask alike, while servers end under everything that is there:
// real gateways, killed while the service was away, refused such requests for five minutes.
// The lock is held.
func (ga *Gateway) object(pr poison.Print, stored bool, now time.Time) {
	if _, due := ga.objecting[pr]; !due && stored {
		ga.objecting[pr] = ga.turn(now)
	}
	if ga.doubt(pr, now) {
		ga.Log.Warn().Int("event", int(event.BlockDoubted)).Str("print", pr.String()).Msg(event.Name(event.BlockDoubted))
	}
}

// acquit ends a block here, at the others and in the key-value service, since a server has
// answered the request and lives on. The lock is held.
func (ga *Gateway) acquit(pr poison.Print, now time.Time) {
	if ga.blocks.Left(pr, now) == 0 {
		return
	}
	stored := ga.blocks.IsStored(pr)
	ga.unblock(pr, "a server answered it and lives on")
	ga.doubt(pr, now)
	if stored {
		ga.objecting[pr] = ga.turn(now)
	}
}

// doubt notes a doubt to tell others of; it reports whether it is new. The lock is held.
func (ga *Gateway) doubt(pr poison.Print, now time.Time) bool {
	if _, ok := ga.doubts[pr]; ok {
		return false
	}
	ga.doubts[pr] = now
	return true
}

// turn returns when this gateway is to write what any of them can: those that watch first.
// The lock is held.
func (ga *Gateway) turn(now time.Time) time.Time {
	if ga.plan.Watches(ga.memberList()) {
		return now.Add(rand.N(storeSpread))
	}
	return othersTurn(now)
}

// othersTurn returns when a gateway writes what another one should have written by then.
func othersTurn(now time.Time) time.Time { return now.Add(storeOthers + rand.N(storeOthers)) }

// unblock ends a block; the lock is held.
func (ga *Gateway) unblock(pr poison.Print, why string) {
	delete(ga.storing, pr)
	ga.cases.Forget(pr)
	if ga.blocks.Lift(pr) {
		close(ga.lifted)
		ga.lifted = make(chan struct{})
		ga.noteUnblocked(pr, why)
	}
}

// notKept ends a block that the key-value service does not hold any more; the lock is held.
func (ga *Gateway) notKept(pr poison.Print) {
	delete(ga.objecting, pr)
	ga.unblock(pr, "it is not kept any more")
}

func (ga *Gateway) noteUnblocked(pr poison.Print, why string) {
	ga.Log.Info().Int("event", int(event.RequestUnblocked)).Str("print", pr.String()).Str("detail", why).
		Msg(event.Name(event.RequestUnblocked))
}

// liftOthers ends the blocks that the key-value service held and a whole state does not name
// any more. Those that a restored service has lost are stored again. The lock is held.
func (ga *Gateway) liftOthers(named map[poison.Print]bool, restored bool, now time.Time) {
	for _, bl := range ga.blocks.Stored() {
		switch {
		case named[bl.Print]:
		case restored:
			ga.blocks.Lost(bl.Print)
			ga.storing[bl.Print] = ga.turn(now)
		default:
			ga.notKept(bl.Print)
		}
	}
}

// heardOfBlocks takes what another gateway tells of requests under which servers end; the
// lock is held.
func (ga *Gateway) heardOfBlocks(re relay.Report, now time.Time) {
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

// blockNews adds to a report what others may not have heard of requests under which servers
// end; the lock is held.
func (ga *Gateway) blockNews(re relay.Report, now time.Time) relay.Report {
	re.Blocks = ga.blocks.News(now)
	for pr, since := range ga.doubts {
		if now.Sub(since) < doubtKept {
			re.Doubts = append(re.Doubts, pr)
		}
	}
	return re
}

// keepBlocks stores the blocks that the key-value service does not hold yet, and ends those
// whose time is over.
func (ga *Gateway) keepBlocks(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, bl := range ga.blocks.Unstored() {
		if !ga.fresh.Failing() && !now.Before(ga.storing[bl.Print]) {
			ga.storing[bl.Print] = now.Add(storeAgain)
			go ga.storeBlock(ctx, bl)
		}
	}
	for pr, due := range ga.objecting {
		if !ga.fresh.Failing() && !now.Before(due) {
			ga.objecting[pr] = now.Add(storeAgain)
			go ga.removeBlocks(ctx, []poison.Print{pr})
		}
	}
	maps.DeleteFunc(ga.doubts, func(_ poison.Print, since time.Time) bool { return now.Sub(since) >= 2*doubtKept })
	over := ga.blocks.Expire(now)
	for _, pr := range over {
		delete(ga.storing, pr)
		ga.noteUnblocked(pr, "its time is over")
	}
	if len(over) > 0 && ga.plan.Watches(ga.memberList()) {
		go ga.removeBlocks(ctx, over)
	}
}

func (ga *Gateway) storeBlock(ctx context.Context, bl poison.Block) {
	err := ga.Source.Block(ctx, bl)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if err != nil {
		ga.noteBlockCall(bl.Print, err)
		return
	}
	delete(ga.storing, bl.Print)
	ga.blocks.Add(bl, bl.Left(clock.Day()), true, clock.Now())
}

func (ga *Gateway) removeBlocks(ctx context.Context, over []poison.Print) {
	for _, pr := range over {
		err := ga.Source.Unblock(ctx, pr)
		ga.mu.Lock()
		if err != nil {
			ga.noteBlockCall(pr, err)
		} else {
			delete(ga.objecting, pr)
		}
		ga.mu.Unlock()
	}
}

func (ga *Gateway) noteBlockCall(pr poison.Print, why error) {
	ga.Log.Warn().Int("event", int(event.StoreCallFailed)).Str("print", pr.String()).Err(why).Msg(event.Name(event.StoreCallFailed))
}
