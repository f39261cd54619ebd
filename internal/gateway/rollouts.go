package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/comparison"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
)

const (
	// phaseWriteInterval is the least time between two attempts to store a phase.
	phaseWriteInterval = 300 * time.Millisecond
	// maxPhaseWriteInterval is that time after repeated failures: the writes of a gateway that receives
	// no changes fail because they are compared with outdated revisions.
	maxPhaseWriteInterval = 1200 * time.Millisecond
)

// rolloutState is the newest roll-out of a service.
type rolloutState struct {
	order Order
	// previous is the service's order before this one, nil if it is unknown.
	previous *Order
	canary   rollout.Canary
	// withdrawn holds the versions of earlier orders that get no requests.
	withdrawn []string
	// due is the phase to be stored, dueSince when it became due.
	due      rollout.Phase
	dueSince time.Time
	// lastWrite is when this gateway last tried to store a phase, writePause the least time until
	// the next attempt.
	lastWrite  time.Time
	writePause time.Duration
	// publishedBad and publishedCount are the bad outcomes and all outcomes that were published to
	// the other gateways at publishedAt.
	publishedBad, publishedCount int
	publishedAt                  time.Time
	// pending is this gateway's tally that is not published yet, reported the one in the last load
	// report.
	pending, reported *Tally
	// collected holds the tallies of gateways that report to this one, by process. collectedNew is
	// set if any arrived since they were last written, at writtenAt.
	collected    map[string]Tally
	collectedNew bool
	writtenAt    time.Time
	// storing is set while a call to store a phase is in progress.
	storing bool
	// before holds the times of the responses before the roll-out completed, at completedAt. timedSince and
	// slowSince count the responses since that were compared with them, and the slow ones.
	before                *comparison.Reference
	completedAt           time.Time
	timedSince, slowSince int
}

// applyOrder applies an operator's order. The lock is held.
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

// previousOrder returns the order of a roll-out, nil if there is none.
func previousOrder(ro *rolloutState) *Order {
	if ro == nil {
		return nil
	}
	order := ro.order
	return &order
}

// resendOutcomes makes all outcomes due to be published again.
func (ro *rolloutState) resendOutcomes() {
	ro.publishedBad, ro.publishedCount, ro.publishedAt = 0, 0, time.Time{}
}

// extraPerGateway returns this gateway's share of the requests that a bad version may get in
// addition to its fraction, zero while the number of gateways is unknown. The lock is held.
func (ga *Gateway) extraPerGateway() float64 {
	if ga.gatewayCount == 0 {
		return 0
	}
	return ga.Bounds.CanaryExtra / float64(ga.gatewayCount)
}

// withdrawnVersions returns the versions that get no requests while an order that follows another
// one is carried out. A process without state of the earlier roll-out uses the stored phase. The
// lock is held.
func (ga *Gateway) withdrawnVersions(old *rolloutState, or Order) []string {
	stored := ga.phases[or.Plan.Service]
	if stored.belongsTo(or) {
		return stored.Withdrawn
	}
	version, ph, withdrawn := stored.Version, stored.Phase, stored.Withdrawn
	if old != nil {
		version, ph, withdrawn = old.order.Plan.Version, old.canary.Phase(), old.withdrawn
	}
	var listed []string
	for _, se := range ga.servers.Servers(or.Plan.Service) {
		listed = append(listed, se.Version)
	}
	return rollout.WithdrawnVersions(withdrawn, version, ph, listed, or.Plan.Version)
}

// applyStoredPhase applies a phase that any gateway stored. The lock is held.
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

// restorePhase applies a stored phase to a roll-out.
func (ga *Gateway) restorePhase(ro *rolloutState, ph StoredPhase) {
	ro.canary.SetShares(ph.Shares, ph.Burst)
	ro.canary.OrderedNoLaterThan(clock.Now().Add(-ph.Elapsed))
	if ro.canary.Phase() == ph.Phase {
		return
	}
	ro.canary.Enter(ph.Phase)
	ga.logPhase(ro)
}

// logPhase logs the phase that a roll-out has entered at this gateway.
func (ga *Gateway) logPhase(ro *rolloutState) {
	ph, id := ro.canary.Phase(), event.RolloutStep
	if ph == rollout.Failed {
		id = event.RolloutReversed
	}
	tried, bad := ro.canary.Counts()
	timed, slow, detectable := ro.canary.Compared()
	ga.Log.Info().Int("event", int(id)).Str("service", ro.order.Plan.Service).Str("version", ro.order.Plan.Version).
		Str("phase", string(ph)).Int("tried_here", tried).Int("bad_here", bad).
		Int("compared", timed).Int("slow", slow).Float64("detectable_part", detectable).Msg(event.Name(id))
	if ph == rollout.Complete {
		ro.before, ro.completedAt = ga.references[ro.order.Plan.Service], clock.Now()
		delete(ga.references, ro.order.Plan.Service)
	}
}

// restrictVersion restricts an attempt to the version that its session is assigned to, or the
// version drawn for a request without a session. The lock is held.
func (ga *Gateway) restrictVersion(query pool.Query, ex *exchange, now time.Time) pool.Query {
	ro := ga.rollouts[query.Service]
	if ro == nil {
		return query
	}
	query.Version, query.ExcludedVersions = ro.order.Plan.Version, ro.withdrawn
	query.OnlyVersion = ro.useNewVersion(ex, now)
	query.ExceptVersion = !query.OnlyVersion
	if ro.canary.Phase() == rollout.Failed {
		return query
	}
	if !ga.pool.HasEligible(query) {
		// No server runs that version yet, or none does any more.
		query.OnlyVersion, query.ExceptVersion = query.ExceptVersion, query.OnlyVersion
	}
	if query.OnlyVersion && ro.canary.Phase() == rollout.Trying {
		query.SubsetSize, query.SubsetKey = ro.canary.TrialServers(ga.pool.CountEligible(query)), ro.order.Revision.Number
	}
	return query
}

// useNewVersion reports whether a request's next attempt goes to the new version.
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

// runsTrialVersion reports whether a server runs a version on trial. The lock is held.
func (ga *Gateway) runsTrialVersion(se directory.Server) bool {
	ro := ga.rollouts[se.Service]
	return ro != nil && ro.canary.Phase() == rollout.Trying && se.Version == ro.order.Plan.Version
}

// applyVerdict ends the use of the new version if its outcomes are bad, even if the key-value
// service is unreachable. The lock is held.
func (ga *Gateway) applyVerdict(ro *rolloutState, now time.Time) {
	if ro.canary.FailIfBad(now) {
		ga.logPhase(ro)
		ro.lastWrite = time.Time{}
	}
}

// ended reports whether the roll-out has ended.
func (ro *rolloutState) ended() bool {
	return ro.canary.Phase() == rollout.Complete || ro.canary.Phase() == rollout.Failed
}

// advanceRollouts stores the phases that are due.
func (ga *Gateway) advanceRollouts(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, ro := range ga.rollouts {
		ro.canary.Plan.Servers = ga.pool.CountEligible(pool.Query{Service: ro.order.Plan.Service, Version: ro.order.Plan.Version, OnlyVersion: true})
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

// isWriteTurn reports whether it is this gateway's turn to store a phase that is due. The lock is
// held.
func (ga *Gateway) isWriteTurn(ro *rolloutState, ph rollout.Phase, now time.Time) bool {
	if ro.due != ph {
		ro.due, ro.dueSince = ph, now
	}
	if stored := ga.phases[ro.order.Plan.Service]; stored.Order == ro.order.Revision && stored.Phase == ph {
		// Only the elapsed time would be written, which is not urgent.
		ph = rollout.Waiting
	}
	boxes := slices.Collect(maps.Keys(ga.members))
	return now.Sub(ro.dueSince) >= rollout.StoreDelay(ga.Box, boxes, ga.gatewayCount, ro.order.Revision.Number, ph)
}

// elapsedWriteInterval is how often the elapsed time of a trial is stored. A process that starts in
// the middle of a roll-out continues from it.
const elapsedWriteInterval = 2 * time.Second

// phaseToStore returns the phase to store: the next one, the present one if it is not stored yet, or
// the present one with a newer elapsed time.
func (ga *Gateway) phaseToStore(ro *rolloutState, now time.Time) (StoredPhase, bool) {
	stored := ga.phases[ro.order.Plan.Service]
	known := stored.Order == ro.order.Revision && !stored.isMissing()
	if known && (stored.Phase == rollout.Complete || stored.Phase == rollout.Failed) {
		return StoredPhase{}, false
	}
	next := StoredPhase{
		Service: ro.order.Plan.Service, Order: ro.order.Revision, Phase: ro.canary.Phase(), Revision: stored.Revision,
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
	return next, due || !known || stored.Phase != next.Phase || ga.elapsedIsStale(ro, stored, next, now)
}

// elapsedIsStale reports whether this gateway should store the elapsed time again. Near a decision
// it should not, since the write of the decision would have to wait for that write. Of many gateways
// only the watchers store it, since they are the first to learn that one of them has, and none does
// while the key-value service does not answer.
func (ga *Gateway) elapsedIsStale(ro *rolloutState, stored, next StoredPhase, now time.Time) bool {
	tried := next.Phase == rollout.Waiting || next.Phase == rollout.Trying
	if !tried || next.Elapsed-stored.Elapsed < elapsedWriteInterval || ro.canary.DecisionImminent(now) {
		return false
	}
	return !ga.storeOutage.Failing() && ga.relayPlan.IsWatcher(ga.memberList())
}

func (ga *Gateway) storePhase(ctx context.Context, ro *rolloutState, ph StoredPhase) {
	stored, err := ga.Store.StorePhase(ctx, ro.order, ph)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ro.storing = false
	if !stored {
		ro.writePause = min(maxPhaseWriteInterval, 2*max(phaseWriteInterval, ro.writePause))
	}
	level := ga.Log.Info()
	if err != nil {
		level = ga.Log.Warn().Err(err)
	}
	level.Int("event", int(event.PhaseStored)).Str("service", ph.Service).Str("phase", string(ph.Phase)).
		Stringer("compared", ph.Revision).Bool("kept", stored).Msg(event.Name(event.PhaseStored))
}
