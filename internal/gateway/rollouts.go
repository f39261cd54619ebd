package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
)

const (
	// writeEvery is the least time between two tries to store a phase.
	writeEvery = 300 * time.Millisecond
	// mostWriteEvery is that time after failed tries: a gateway that gets no changes compares with
	// old revisions.
	mostWriteEvery = 1200 * time.Millisecond
)

// timedRollout is the newest roll-out of a service.
type timedRollout struct {
	order Order
	// before is the service's order before this one, nil if it is not known.
	before *Order
	canary rollout.Canary
	// withdrawn holds the versions of earlier orders that get nothing.
	withdrawn []string
	// due is the phase that is to be stored, dueSince when it became so.
	due      rollout.Phase
	dueSince time.Time
	// tried is when the phase was last tried to be stored, pause the least time until the
	// next try.
	tried time.Time
	pause time.Duration
	// toldBad and toldTried are the bad answers and outcomes that the other
	// gateways were told of, at toldAt.
	toldBad, toldTried int
	toldAt             time.Time
	// outbox is the own tally that the others are still to hear of, handed the one in the
	// last report.
	outbox, handed *Tally
	// gathered holds the tallies of gateways that report to this one, by process; more is
	// set if some came since they were written last, at wroteAt.
	gathered map[string]Tally
	more     bool
	wroteAt  time.Time
	// storing is true while a call is in progress.
	storing bool
}

// ordered takes an operator's order; the lock is held.
func (ga *Gateway) ordered(or Order) {
	old := ga.rollouts[or.Plan.Service]
	if old != nil && !or.Revision.After(old.order.Revision) {
		return
	}
	if old != nil && or.isRewriteOf(old.order) {
		old.order.Revision = or.Revision
		old.resendOutcomes()
		return
	}
	if old != nil && old.before.isRestoredAs(or) {
		return
	}
	or.Plan.MostShare, or.Plan.MostExtra = ga.Bounds.CanaryShare, ga.ownExtra()
	ro := &timedRollout{order: or, before: orderBefore(old), canary: rollout.Canary{Plan: or.Plan, Began: clock.Now().Add(-ga.maxChangeAge)}}
	ro.withdrawn = ga.withdrawnFor(old, or)
	ga.rollouts[or.Plan.Service] = ro
	ga.Log.Info().Int("event", int(event.RolloutOrdered)).Str("service", or.Plan.Service).
		Str("version", or.Plan.Version).Dur("within_ms", or.Plan.Within).Msg(event.Name(event.RolloutOrdered))
	if ph, ok := ga.phases[or.Plan.Service]; ok && ph.belongsTo(or) {
		ga.take(ro, ph)
	}
}

// orderBefore returns the order of a roll-out, nil if there is none.
func orderBefore(ro *timedRollout) *Order {
	if ro == nil {
		return nil
	}
	before := ro.order
	return &before
}

// resendOutcomes sends all outcomes to the other gateways once more.
func (ro *timedRollout) resendOutcomes() { ro.toldBad, ro.toldTried, ro.toldAt = 0, 0, time.Time{} }

// ownExtra returns this gateway's part of the requests that a bad version may get
// besides its share; none where it does not know how many gateways there are. The lock
// is held.
func (ga *Gateway) ownExtra() float64 {
	if ga.gatewayCount == 0 {
		return 0
	}
	return ga.Bounds.CanaryExtra / float64(ga.gatewayCount)
}

// withdrawnFor returns the versions that get nothing while an order is carried out
// that follows another one. A process that was not there before goes by what is kept.
// The lock is held.
func (ga *Gateway) withdrawnFor(old *timedRollout, or Order) []string {
	kept := ga.phases[or.Plan.Service]
	if kept.belongsTo(or) {
		return kept.Withdrawn
	}
	version, ph, before := kept.Version, kept.Phase, kept.Withdrawn
	if old != nil {
		version, ph, before = old.order.Plan.Version, old.canary.Phase(), old.withdrawn
	}
	var listed []string
	for _, se := range ga.servers.Servers(or.Plan.Service) {
		listed = append(listed, se.Version)
	}
	return rollout.Withdraw(before, version, ph, listed, or.Plan.Version)
}

// stored takes a phase that was kept by any gateway; the lock is held.
func (ga *Gateway) stored(ph StoredPhase) {
	if !ph.Revision.After(ga.phases[ph.Service].Revision) {
		return
	}
	ga.phases[ph.Service] = ph
	if ro := ga.rollouts[ph.Service]; ro != nil && ph.belongsTo(ro.order) {
		ro.withdrawn, ro.due, ro.pause = ph.Withdrawn, "", writeEvery
		ga.take(ro, ph)
	}
}

// take takes what is kept of a roll-out.
func (ga *Gateway) take(ro *timedRollout, ph StoredPhase) {
	ro.canary.Try(ph.Shares, ph.Burst)
	ro.canary.BeganBefore(clock.Now().Add(-ph.Elapsed))
	if ro.canary.Phase() == ph.Phase {
		return
	}
	ro.canary.Enter(ph.Phase)
	ga.noteEntered(ro)
}

// noteEntered logs the phase that a roll-out has entered here.
func (ga *Gateway) noteEntered(ro *timedRollout) {
	ph, id := ro.canary.Phase(), event.RolloutStep
	if ph == rollout.Failed {
		id = event.RolloutReversed
	}
	tried, bad := ro.canary.Counts()
	ga.Log.Info().Int("event", int(id)).Str("service", ro.order.Plan.Service).Str("version", ro.order.Plan.Version).
		Str("phase", string(ph)).Int("tried_here", tried).Int("bad_here", bad).Msg(event.Name(id))
}

// restrict narrows an attempt to the version that its session belongs to, or for
// a request without one to the version that it drew. The lock is held.
func (ga *Gateway) restrict(ask pool.Ask, ex *exchange, now time.Time) pool.Ask {
	ro := ga.rollouts[ask.Service]
	if ro == nil {
		return ask
	}
	ask.Version, ask.Without = ro.order.Plan.Version, ro.withdrawn
	ask.Only = ro.goesToNew(ex, now)
	ask.Except = !ask.Only
	if ro.canary.Phase() == rollout.Failed {
		return ask
	}
	if !ga.pool.Any(ask) {
		// No server of that version is there (yet or any more).
		ask.Only, ask.Except = ask.Except, ask.Only
	}
	if ask.Only && ro.canary.Phase() == rollout.Trying {
		ask.Few, ask.FewKey = ro.canary.TrialServers(ga.pool.Count(ask)), ro.order.Revision.Number
	}
	return ask
}

// goesToNew reports whether a request's next attempt goes to the new version.
func (ro *timedRollout) goesToNew(ex *exchange, now time.Time) bool {
	switch {
	case ex.firstVersion != "":
		return ro.canary.Continues(ex.firstVersion == ro.order.Plan.Version, ex.request.LastChance())
	case ex.sessionless:
		return ro.canary.NewSingle(ex.route.Name, ex.draw, now)
	default:
		return ro.canary.New(ex.session, ex.route.Name, now)
	}
}

// isNew reports whether a server runs a version that is being tried. The lock is
// held.
func (ga *Gateway) isNew(se directory.Server) bool {
	ro := ga.rollouts[se.Service]
	return ro != nil && ro.canary.Phase() == rollout.Trying && se.Version == ro.order.Plan.Version
}

// settle leaves a version that counts as bad, whether the store can be reached or
// not. The lock is held.
func (ga *Gateway) settle(ro *timedRollout, now time.Time) {
	if ro.canary.Settle(now) {
		ga.noteEntered(ro)
		ro.tried = time.Time{}
	}
}

// over reports whether the roll-out has ended.
func (ro *timedRollout) over() bool {
	return ro.canary.Phase() == rollout.Complete || ro.canary.Phase() == rollout.Failed
}

// advanceRollouts stores the phases that are due.
func (ga *Gateway) advanceRollouts(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, ro := range ga.rollouts {
		ga.tell(ctx, ro, now)
		ga.settle(ro, now)
		ph, due := ga.dueFor(ro, now)
		if !due || ro.storing || now.Sub(ro.tried) < ro.pause || !ga.inTurn(ro, ph.Phase, now) {
			continue
		}
		ro.tried, ro.storing = now, true
		go ga.store(ctx, ro, ph)
	}
}

// inTurn reports whether it is this gateway's turn to store a phase that is due; the
// lock is held.
func (ga *Gateway) inTurn(ro *timedRollout, ph rollout.Phase, now time.Time) bool {
	if ro.due != ph {
		ro.due, ro.dueSince = ph, now
	}
	if kept := ga.phases[ro.order.Plan.Service]; kept.Order == ro.order.Revision && kept.Phase == ph {
		// Nothing waits for the time that has passed.
		ph = rollout.Waiting
	}
	boxes := slices.Collect(maps.Keys(ga.members))
	return now.Sub(ro.dueSince) >= rollout.Turn(ga.Box, boxes, ga.gatewayCount, ro.order.Revision.Number, ph)
}

// elapsedEvery is how often the elapsed time of a trial is stored. A process that starts in the middle
// of a roll-out goes on from there.
const elapsedEvery = 2 * time.Second

// dueFor returns the phase to store: the next one, one that this gateway is in and that
// is not kept yet, or the present one with the time that has passed.
func (ga *Gateway) dueFor(ro *timedRollout, now time.Time) (StoredPhase, bool) {
	kept := ga.phases[ro.order.Plan.Service]
	known := kept.Order == ro.order.Revision && !kept.isMissing()
	if known && (kept.Phase == rollout.Complete || kept.Phase == rollout.Failed) {
		return StoredPhase{}, false
	}
	next := StoredPhase{
		Service: ro.order.Plan.Service, Order: ro.order.Revision, Phase: ro.canary.Phase(), Revision: kept.Revision,
		Version: ro.order.Plan.Version, Withdrawn: ro.withdrawn, Shares: ro.canary.Shares(), Burst: ro.canary.Burst(), Elapsed: now.Sub(ro.canary.Began),
	}
	ph, due := ro.canary.Due(now)
	if due {
		next.Phase = ph
	}
	if next.Phase == rollout.Trying && next.Shares == nil {
		plan := ro.order.Plan
		plan.Servers = ga.pool.Count(pool.Ask{Service: plan.Service, Version: plan.Version, Only: true})
		next.Shares, next.Burst = plan.Shares(ga.demand(plan.Service).All(now))
	}
	return next, due || !known || kept.Phase != next.Phase || ga.isOld(ro, kept, next, now)
}

// isOld reports whether what is kept of the time that has passed is to be renewed here. Near
// a decision it is not: two writes at once, and the decision would have to wait. Of many
// gateways the watchers renew it, which hear first whether one of them has, and while the
// service does not answer nobody does.
func (ga *Gateway) isOld(ro *timedRollout, kept, next StoredPhase, now time.Time) bool {
	tried := next.Phase == rollout.Waiting || next.Phase == rollout.Trying
	if !tried || next.Elapsed-kept.Elapsed < elapsedEvery || ro.canary.Deciding(now) {
		return false
	}
	return !ga.freshness.Failing() && ga.relayPlan.Watches(ga.memberList())
}

func (ga *Gateway) store(ctx context.Context, ro *timedRollout, ph StoredPhase) {
	kept, err := ga.Store.StorePhase(ctx, ro.order, ph)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ro.storing = false
	if !kept {
		ro.pause = min(mostWriteEvery, 2*max(writeEvery, ro.pause))
	}
	level := ga.Log.Info()
	if err != nil {
		level = ga.Log.Warn().Err(err)
	}
	level.Int("event", int(event.PhaseStored)).Str("service", ph.Service).Str("phase", string(ph.Phase)).
		Stringer("compared", ph.Revision).Bool("kept", kept).Msg(event.Name(event.PhaseStored))
}
