package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
)

// freshWaitPart is the part of the target latency for which a request waits whose block has just
// begun and may turn out to be wrong. Half a second is the time after which an answer in flight
// speaks for it; who waits longer and is refused all the same is better sent away.
const freshWaitPart = 0.25

// awaitVerdict lets a request wait while its block is fresh, and takes the trial for it if that
// is this gateway's and due.
func (ex *exchange) awaitVerdict(ctx context.Context) {
	ga := ex.ga
	until := ex.as.Received.Add(time.Duration(freshWaitPart * float64(ex.route.Target)))
	for {
		now := clock.Now()
		ga.mu.Lock()
		lifted := ga.lifted
		ex.trial = ga.takeTrial(ex, now)
		wait := min(ga.blocks.Fresh(ex.print, now), until.Sub(now))
		ga.mu.Unlock()
		if ex.trial || wait <= 0 {
			return
		}
		ti := time.NewTimer(min(wait, trialCheck))
		select {
		case <-lifted:
		case <-ti.C:
		case <-ctx.Done():
		}
		ti.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// trialCheck is how often a request that waits looks whether a trial is due.
const trialCheck = 50 * time.Millisecond

// takeTrial reports whether this gateway sends a copy of a blocked request to see whether it
// does harm, and takes that trial: one gateway does for all, by the members that all know. A
// trial waits for a server that runs nothing else: beside another suspect it would say nothing.
// The lock is held.
func (ga *Gateway) takeTrial(ex *exchange, now time.Time) bool {
	pr := ex.print
	trial, due := ga.blocks.Trial(pr, now)
	if trial == 0 || !ga.triesFor(pr, trial, due) || !ga.pool.AnyIdle(ex.askFor("", nil, now), now) {
		return false
	}
	ga.blocks.Try(pr, trial, now)
	ga.storing[pr] = now
	ga.Log.Info().Int("event", int(event.BlockTried)).Str("print", pr.String()).Int("trial", trial).Msg(event.Name(event.BlockTried))
	return true
}

// trialTurn is how long a gateway has a trial for itself before the next one may make it: the
// word that it was made takes up to half of that, and a gateway that is lost or is not asked
// leaves it to others.
const trialTurn = 700 * time.Millisecond

// trialsApart is at how many moments of that time trials begin, by fingerprint: requests that
// were blocked by the same ends would all be tried at once, and at the same few servers.
const trialsApart = 4

// triesFor reports whether a trial that has been due for a while is this gateway's. The lock is
// held.
func (ga *Gateway) triesFor(pr poison.Print, trial int, due time.Duration) bool {
	boxes := make([]string, 0, len(ga.members))
	for box := range ga.members {
		boxes = append(boxes, box)
	}
	place := slices.Index(rendezvous.Rank(pr.String()+strconv.Itoa(trial), boxes), ga.Box)
	apart := time.Duration(pr[0]%trialsApart) * trialTurn / trialsApart
	return place >= 0 && due >= apart+time.Duration(place)*trialTurn
}
