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

// freshWaitFraction is the fraction of the target latency for which a request waits while its block
// is fresh.
const freshWaitFraction = 0.25

// awaitTrial delays a request while its block is fresh. The request becomes a trial if one is due
// and it is this gateway's turn.
func (ex *exchange) awaitTrial(ctx context.Context) {
	ga := ex.ga
	until := ex.rq.Received.Add(time.Duration(freshWaitFraction * float64(ex.route.Target)))
	for {
		now := clock.Now()
		ga.mu.Lock()
		lifted := ga.blockLifted
		ex.trial = ga.startTrial(ex, now)
		wait := min(ga.blocks.FreshFor(ga.blocks.Find(ex.subject, now), now), until.Sub(now))
		ga.mu.Unlock()
		if ex.trial || wait <= 0 {
			return
		}
		clock.Wait(ctx, min(wait, trialPollInterval), lifted)
		if ctx.Err() != nil {
			return
		}
	}
}

// trialPollInterval is how often a waiting request checks whether a trial is due.
const trialPollInterval = 50 * time.Millisecond

// startTrial reports whether this gateway sends a copy of a blocked request as a trial, and records
// the trial. A trial needs a server that runs nothing else, so that the request is the only suspect
// if the server crashes. The lock is held.
func (ga *Gateway) startTrial(ex *exchange, now time.Time) bool {
	fp := ga.blocks.Find(ex.subject, now)
	bl, blocked := ga.blocks.Get(fp)
	trial, due := ga.blocks.DueTrial(fp, now)
	if !blocked || trial == 0 || !bl.IsTrialFor(ex.subject) || !ga.isTrialTurn(fp, trial, due) {
		return false
	}
	if !ga.pool.HasIdle(ex.poolQuery("", nil, now), now) {
		return false
	}
	ga.blocks.RecordTrial(fp, trial, now)
	ga.storeBlockAt[fp] = now
	ga.Log.Info().Int("event", int(event.BlockTried)).Str("print", fp.String()).Int("trial", trial).Msg(event.Name(event.BlockTried))
	return true
}

// trialSlot is the time for which a due trial is reserved for one gateway before the next one may
// make it. It exceeds the time that gateways need to propagate that the trial was made.
const trialSlot = 700 * time.Millisecond

// trialOffsets is the number of offsets within trialSlot at which trials begin. The fingerprint
// selects the offset, so that requests that were blocked together are not tried together.
const trialOffsets = 4

// isTrialTurn reports whether it is this gateway's turn to make a trial. The lock is held.
func (ga *Gateway) isTrialTurn(fp poison.Fingerprint, trial int, due time.Duration) bool {
	boxes := make([]string, 0, len(ga.members))
	for box := range ga.members {
		boxes = append(boxes, box)
	}
	rank := slices.Index(rendezvous.Rank(fp.String()+strconv.Itoa(trial), boxes), ga.Box)
	offset := time.Duration(fp[0]%trialOffsets) * trialSlot / trialOffsets
	return rank >= 0 && due >= offset+time.Duration(rank)*trialSlot
}
