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
	phaseWriteInterval = 300 * time.Millisecond
	// mostWriteEvery is that time after failed tries: a gateway that gets no changes compares with
	// old revisions.
	maxPhaseWriteInterval = 1200 * time.Millisecond
)

// timedRollout is the newest roll-out of a service.
type rolloutState struct {
	order Order
	// before is the service's order before this one, nil if it is not known.
	previous *Order
	canary   rollout.Canary
	// withdrawn holds the versions of earlier orders that get nothing.
	withdrawn []string
	// due is the phase that is to be stored, dueSince when it became so.
	due      rollout.Phase
	dueSince time.Time
	// tried is when the phase was last tried to be stored, pause the least time until the
	// next try.
	lastWrite  time.Time
	writePause time.Duration
	// toldBad and toldTried are the bad answers and outcomes that the other
	// gateways were told of, at toldAt.
	publishedBad, publishedTried int
	publishedAt                  time.Time
	// outbox is the own tally that the others are still to hear of, handed the one in the
	// last report.
	pending, reported *Tally
	// gathered holds the tallies of gateways that report to this one, by process; more is
	// set if some came since they were written last, at wroteAt.
	collected    map[string]Tally
	collectedNew bool
	writtenAt    time.Time
	// storing is true while a call is in progress.
	storing bool
}

// ordered takes an operator's order; the lock is held.
func (ga *Gateway) applyOrder(or Order) {
	old := ga.rollouts[or.Plan.Service]
	if old != nil && !or.Revision.After(old.order.Revision) {
		return
	}
	if old != nil && or.isRewriteOf(old.order) {
		old.order.Revision = or.Revision
		old.resendOutcomes()
		return
	}
	if old != nil && old.previous.isRestoredAs(or) {
		return
	}
	or.Plan.MostShare, or.Plan.MostExtra = ga.Bounds.CanaryShare, ga.extraPerGateway()
	ro := &rolloutState{order: or, previous: previousOrder(old), canary: rollout.Canary{Plan: or.Plan, OrderedAt: clock.Now().Add(-ga.maxChangeAge)}}
	ro.withdrawn = ga.withdrawnVersions(old, or)
	ga.rollouts[or.Plan.Service] = ro
	ga.Log.Info().Int("event", int(event.RolloutOrdered)).Str("service", or.Plan.Service).
		Str("version", or.Plan.Version).Dur("within_ms", or.Plan.Within).Msg(event.Name(event.RolloutOrdered))
	if ph, ok := ga.phases[or.Plan.Service]; ok && ph.belongsTo(or) {
		ga.restorePhase(ro, ph)
	}
}

// orderBefore returns the order of a roll-out, nil if there is none.
func previousOrder(ro *rolloutState) *Order {
	if ro == nil {
		return nil
	}
	before := ro.order
	return &before
}

// resendOutcomes sends all outcomes to the other gateways once more.
func (ro *rolloutState) resendOutcomes() {
	ro.publishedBad, ro.publishedTried, ro.publishedAt = 0, 0, time.Time{}
}

// ownExtra returns this gateway's part of the requests that a bad version may get
// besides its share; none where it does not know how many gateways there are. The lock
// is held.
func (ga *Gateway) extraPerGateway() float64 {
	if ga.gatewayCount == 0 {
		return 0
	}
	return ga.Bounds.CanaryExtra / float64(ga.gatewayCount)
}

// withdrawnFor returns the versions that get nothing while an order is carried out
// that follows another one. A process that was not there before goes by what is kept.
// The lock is held.
func (ga *Gateway) withdrawnVersions(old *rolloutState, or Order) []string {
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
	return rollout.WithdrawnVersions(before, version, ph, listed, or.Plan.Version)
}

// stored takes a phase that was kept by any gateway; the lock is held.
func (ga *Gateway) applyStoredPhase(ph StoredPhase) {
	if !ph.Revision.After(ga.phases[ph.Service].Revision) {
		return
	}
	ga.phases[ph.Service] = ph
	if ro := ga.rollouts[ph.Service]; ro != nil && ph.belongsTo(ro.order) {
		ro.withdrawn, ro.due, ro.writePause = ph.Withdrawn, "", phaseWriteInterval
		ga.restorePhase(ro, ph)
	}
}

// take takes what is kept of a roll-out.
func (ga *Gateway) restorePhase(ro *rolloutState, ph StoredPhase) {
	ro.canary.SetShares(ph.Shares, ph.Burst)
	ro.canary.OrderedNoLaterThan(clock.Now().Add(-ph.Elapsed))
	if ro.canary.Phase() == ph.Phase {
		return
	}
	ro.canary.Enter(ph.Phase)
	ga.logPhase(ro)
}

// noteEntered logs the phase that a roll-out has entered here.
func (ga *Gateway) logPhase(ro *rolloutState) {
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
func (ga *Gateway) restrictVersion(ask pool.Query, ex *exchange, now time.Time) pool.Query {
	ro := ga.rollouts[ask.Service]
	if ro == nil {
		return ask
	}
	ask.Version, ask.ExcludedVersions = ro.order.Plan.Version, ro.withdrawn
	ask.OnlyVersion = ro.useNewVersion(ex, now)
	ask.ExceptVersion = !ask.OnlyVersion
	if ro.canary.Phase() == rollout.Failed {
		return ask
	}
	if !ga.pool.HasEligible(ask) {
		// No server of that version is there (yet or any more).
		ask.OnlyVersion, ask.ExceptVersion = ask.ExceptVersion, ask.OnlyVersion
	}
	if ask.OnlyVersion && ro.canary.Phase() == rollout.Trying {
		ask.SubsetSize, ask.SubsetKey = ro.canary.TrialServers(ga.pool.CountEligible(ask)), ro.order.Revision.Number
	}
	return ask
}

// goesToNew reports whether a request's next attempt goes to the new version.
func (ro *rolloutState) useNewVersion(ex *exchange, now time.Time) bool {
	switch {
	case ex.firstVersion != "":
		return ro.canary.RetriesOnNew(ex.firstVersion == ro.order.Plan.Version, ex.request.FinalRunLeft())
	case ex.sessionless:
		return ro.canary.SelectsRequest(ex.route.Name, ex.draw, now)
	default:
		return ro.canary.SelectsSession(ex.session, ex.route.Name, now)
	}
}

// isNew reports whether a server runs a version that is being tried. The lock is
// held.
func (ga *Gateway) runsTrialVersion(se directory.Server) bool {
	ro := ga.rollouts[se.Service]
	return ro != nil && ro.canary.Phase() == rollout.Trying && se.Version == ro.order.Plan.Version
}

// settle leaves a version that counts as bad, whether the store can be reached or
// not. The lock is held.
func (ga *Gateway) applyVerdict(ro *rolloutState, now time.Time) {
	if ro.canary.FailIfBad(now) {
		ga.logPhase(ro)
		ro.lastWrite = time.Time{}
	}
}

// over reports whether the roll-out has ended.
func (ro *rolloutState) ended() bool {
	return ro.canary.Phase() == rollout.Complete || ro.canary.Phase() == rollout.Failed
}

// advanceRollouts stores the phases that are due.
func (ga *Gateway) advanceRollouts(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, ro := range ga.rollouts {
		ga.publishTallies(ctx, ro, now)
		ga.applyVerdict(ro, now)
		ph, due := ga.phaseToStore(ro, now)
		if !due || ro.storing || now.Sub(ro.lastWrite) < ro.writePause || !ga.isWriteTurn(ro, ph.Phase, now) {
			continue
		}
		ro.lastWrite, ro.storing = now, true
		go ga.storePhase(ctx, ro, ph)
	}
}

// inTurn reports whether it is this gateway's turn to store a phase that is due; the
// lock is held.
func (ga *Gateway) isWriteTurn(ro *rolloutState, ph rollout.Phase, now time.Time) bool {
	if ro.due != ph {
		ro.due, ro.dueSince = ph, now
	}
	if kept := ga.phases[ro.order.Plan.Service]; kept.Order == ro.order.Revision && kept.Phase == ph {
		// Nothing waits for the time that has passed.
		ph = rollout.Waiting
	}
	boxes := slices.Collect(maps.Keys(ga.members))
	return now.Sub(ro.dueSince) >= rollout.StoreDelay(ga.Box, boxes, ga.gatewayCount, ro.order.Revision.Number, ph)
}

// elapsedEvery is how often the elapsed time of a trial is stored. A process that starts in the middle
// of a roll-out goes on from there.
const elapsedWriteInterval = 2 * time.Second

// dueFor returns the phase to store: the next one, one that this gateway is in and that
// is not kept yet, or the present one with the time that has passed.
func (ga *Gateway) phaseToStore(ro *rolloutState, now time.Time) (StoredPhase, bool) {
	kept := ga.phases[ro.order.Plan.Service]
	known := kept.Order == ro.order.Revision && !kept.isMissing()
	if known && (kept.Phase == rollout.Complete || kept.Phase == rollout.Failed) {
		return StoredPhase{}, false
	}
	next := StoredPhase{
		Service: ro.order.Plan.Service, Order: ro.order.Revision, Phase: ro.canary.Phase(), Revision: kept.Revision,
		Version: ro.order.Plan.Version, Withdrawn: ro.withdrawn, Shares: ro.canary.Shares(), Burst: ro.canary.Burst(), Elapsed: now.Sub(ro.canary.OrderedAt),
	}
	ph, due := ro.canary.Due(now)
	if due {
		next.Phase = ph
	}
	if next.Phase == rollout.Trying && next.Shares == nil {
		plan := ro.order.Plan
		plan.Servers = ga.pool.CountEligible(pool.Query{Service: plan.Service, Version: plan.Version, OnlyVersion: true})
		next.Shares, next.Burst = plan.Shares(ga.demand(plan.Service).All(now))
	}
	return next, due || !known || kept.Phase != next.Phase || ga.elapsedIsStale(ro, kept, next, now)
}

// isOld reports whether what is kept of the time that has passed is to be renewed here. Near
// a decision it is not: two writes at once, and the decision would have to wait. Of many
// gateways the watchers renew it, which hear first whether one of them has, and while the
// service does not answer nobody does.
func (ga *Gateway) elapsedIsStale(ro *rolloutState, kept, next StoredPhase, now time.Time) bool {
	tried := next.Phase == rollout.Waiting || next.Phase == rollout.Trying
	if !tried || next.Elapsed-kept.Elapsed < elapsedWriteInterval || ro.canary.DecisionImminent(now) {
		return false
	}
	return !ga.freshness.Failing() && ga.relayPlan.IsWatcher(ga.memberList())
}

func (ga *Gateway) storePhase(ctx context.Context, ro *rolloutState, ph StoredPhase) {
	kept, err := ga.Store.StorePhase(ctx, ro.order, ph)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ro.storing = false
	if !kept {
		ro.writePause = min(maxPhaseWriteInterval, 2*max(phaseWriteInterval, ro.writePause))
	}
	level := ga.Log.Info()
	if err != nil {
		level = ga.Log.Warn().Err(err)
	}
	level.Int("event", int(event.PhaseStored)).Str("service", ph.Service).Str("phase", string(ph.Phase)).
		Stringer("compared", ph.Revision).Bool("kept", kept).Msg(event.Name(event.PhaseStored))
}
