package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/duty"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/excerpt"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

const (
	// maxWatchWait is the longest wait of a watch, and the age of the configuration at which a watch asks
	// for an answer. A shorter wait confirms the configuration more often but costs more calls.
	maxWatchWait = 1500 * time.Millisecond
	// rootWatchWait replaces maxWatchWait for a gateway that others ask. Its state may reach them over two
	// hops, and they can no longer reject unknown keys once it is older than longestDenyAge.
	rootWatchWait = time.Second
	// minWatchWait is the shortest wait of a watch.
	minWatchWait = minRetryPause
	// changeBatchPause is the longest pause after changes, so that the changes that follow arrive in one
	// call.
	changeBatchPause = 300 * time.Millisecond
	// maxMissedChangeAge is how long watches may miss changes. An order that a complete read returns for
	// the first time may be that old.
	maxMissedChangeAge = time.Second
	// minRetryPause and maxRetryPause bound the pause between two calls to a service that does not
	// answer. maxOutagePause bounds it in a longer outage, since other gateways report that the service
	// answers again.
	minRetryPause  = 100 * time.Millisecond
	maxRetryPause  = 400 * time.Millisecond
	maxOutagePause = time.Second
	// outagePauseRatio is the longest pause in a longer outage as a fraction of the configuration's
	// age, which grows with the duration of the outage.
	outagePauseRatio = 0.2
	// watcherRetryPause is the pause after a watcher failed. In an outage of the service, watchers
	// answer immediately that their state is out of date.
	watcherRetryPause = minRetryPause
)

// syncState keeps the state up to date. It reads the complete state, then watches for changes, and
// reads again when the history is not available.
func (ga *Gateway) syncState(ctx context.Context) {
	defer ga.relayClient.Close()
	defer ga.fallbackClient.Close()
	if at, ok := ga.readFromSeed(ctx); ok {
		ga.watch(ctx, at)
	}
	for ctx.Err() == nil {
		sent := clock.Now()
		at, err := ga.readState(ctx)
		if err != nil {
			at = ga.storeFailed(ctx, revision.Revision{}, sent, err)
		}
		if !at.IsZero() {
			ga.watch(ctx, at)
		}
	}
}

// watch applies changes as they arrive until the history is not available.
func (ga *Gateway) watch(ctx context.Context, after revision.Revision) {
	for ctx.Err() == nil {
		sent := clock.Now()
		next, err := ga.receiveChanges(ctx, after)
		switch {
		case errors.Is(err, ErrHistoryUnavailable):
			ga.Log.Warn().Int("event", int(event.HistoryGone)).Stringer("revision", after).Msg(event.Name(event.HistoryGone))
			return
		case err != nil:
			after = ga.storeFailed(ctx, after, sent, err)
		default:
			after = next
		}
	}
}

// receiveChanges waits once for changes after a revision and returns the revision to continue from.
// A watcher that fails is not called again for a while. A watcher whose history does not go back far
// enough is called again after one call to the service.
func (ga *Gateway) receiveChanges(ctx context.Context, after revision.Revision) (revision.Revision, error) {
	wa, ok := ga.watcher(clock.Now())
	if !ok {
		return ga.watchService(ctx, after, ga.watchWait(clock.Now()))
	}
	next, err := ga.requestUpdates(ctx, ga.updateSource(wa), after)
	if err == nil || ctx.Err() != nil {
		return next, nil
	}
	if errors.Is(err, errWatcherHistory) && ga.mayCatchUp(clock.Now()) {
		return ga.watchService(ctx, after, minWatchWait)
	}
	ga.watcherFailed(wa, err)
	clock.Sleep(ctx, watcherRetryPause)
	return next, nil
}

// watchService waits once for changes from the key-value service.
func (ga *Gateway) watchService(ctx context.Context, after revision.Revision, wait time.Duration) (revision.Revision, error) {
	sent := clock.Now()
	st, err := ga.Store.Watch(ctx, after, wait, ga.answerTimeout())
	if err != nil {
		return after, err
	}
	if err := ga.checkContinuity(st.Revision, after, clock.Now()); err != nil {
		return after, err
	}
	ga.applyWatch(st, sent, wait, clock.Now())
	if len(st.Changes) > 0 {
		clock.Sleep(ctx, min(changeBatchPause, ga.watchWait(clock.Now())-minWatchWait))
	}
	return st.Revision, nil
}

// answerTimeout returns how long the answer to a watch may make no progress, beyond its wait at first.
func (ga *Gateway) answerTimeout() time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.freshness.AnswerTimeout()
}

// checkContinuity returns nil if the changes up to a revision are complete since another one, and
// ErrHistoryUnavailable if the service was restored in between: changes written since the restore
// may reuse revisions that have already been seen.
func (ga *Gateway) checkContinuity(to, after revision.Revision, now time.Time) error {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	switch {
	case !ga.eraGuard.Accept(to.Era, now):
		return errOlderEra
	case to.Era != after.Era:
		return ErrHistoryUnavailable
	}
	return nil
}

// watchWait returns how long a watch waits. The older the configuration, the sooner it has to be
// confirmed.
func (ga *Gateway) watchWait(now time.Time) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	longest := maxWatchWait
	if ga.relayPlan.IsRoot(ga.memberList()) || ga.servesUpdates(now) {
		longest = min(rootWatchWait, ga.Bounds.maxRelayAge()-rootSlack)
	}
	age := ga.freshness.Age(now)
	if ga.Bounds.MaxConfigAge != 0 {
		longest = min(longest, ga.Bounds.keyAcceptanceAge()/2)
	}
	return max(minWatchWait, longest-age)
}

// storeFailed records a failed call to the service and pauses. Meanwhile it requests the changes after a
// revision from another gateway if there is one that the service answers, and returns the revision to
// continue from.
func (ga *Gateway) storeFailed(ctx context.Context, after revision.Revision, sent time.Time, cause error) revision.Revision {
	if ctx.Err() != nil {
		return after
	}
	select {
	case <-ga.storeAvailable: // reported before this failure
	default:
	}
	now := clock.Now()
	began := now
	if isTimeout(cause) {
		began = sent
	}
	ga.mu.Lock()
	ga.freshness.HandleFailure()
	lost := ga.storeOutage.HandleFailure(began, now)
	state, age, neverRead := ga.storeOutage.State(now), ga.freshness.Age(now), !ga.freshness.EverConfirmed()
	ga.mu.Unlock()
	storeFailures.Inc()
	id := event.StoreCallFailed
	if lost {
		id = event.StoreLost
	}
	ga.Log.Warn().Int("event", int(id)).Str("state", string(state)).Dur("age_ms", age).Err(cause).Msg(event.Name(id))
	longest := min(maxOutagePause, max(maxRetryPause, time.Duration(outagePauseRatio*float64(age))))
	if neverRead {
		longest = maxRetryPause // no other gateway knows of this one yet and could report to it
	}
	pause := minRetryPause + rand.N(longest-minRetryPause)
	next, ok := ga.followFallback(ctx, after, pause)
	if !ok {
		clock.Wait(ctx, pause, ga.storeAvailable)
	}
	return next
}

// isTimeout reports whether a call failed because there was no response.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// storeAnswered records that the service answered a call of this gateway. The lock is held.
func (ga *Gateway) storeAnswered(sent, now time.Time) {
	ga.logRegained(ga.storeOutage.HandleAnswer(sent, now))
}

// storeAnsweredOther records that the service answered another gateway, whose state had an age when a
// request to it was sent. The lock is held.
func (ga *Gateway) storeAnsweredOther(sent time.Time, age time.Duration, now time.Time) {
	ga.logRegained(ga.storeOutage.HandleOther(sent.Add(-age), now))
}

// logRegained logs that the service was away and answers again.
func (ga *Gateway) logRegained(regained bool) {
	if regained {
		ga.Log.Info().Int("event", int(event.StoreRegained)).Msg(event.Name(event.StoreRegained))
	}
}

// applyReadState applies a complete state read from the service.
func (ga *Gateway) applyReadState(st State, sent time.Time) error {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.eraGuard.Accept(st.Revision.Era, clock.Now()) {
		return errOlderEra
	}
	ga.maxChangeAge = min(maxMissedChangeAge, ga.freshness.Age(clock.Now()))
	ga.completeUntil, _ = ga.departuresKnownUntil()
	ga.freshness.HandleRead(sent)
	ga.storeAnswered(sent, clock.Now())
	ga.replaceState(st)
	ga.maxChangeAge = 0
	return nil
}

// replaceState applies a complete state. The lock is held.
func (ga *Gateway) replaceState(st State) {
	now := clock.Now()
	restored := ga.restoredSince(st.Revision, now)
	listed, evacuated, blocked := map[string]bool{}, map[string]bool{}, map[poison.Fingerprint]bool{}
	dutyVacant := true
	for _, ch := range st.Changes {
		switch {
		case ch.Server != nil:
			listed[ch.Server.ID] = true
			if restored && ga.deferRevived(*ch.Server, now) {
				continue
			}
		case ch.Leaving != "":
			ga.markLeaving(ch.Leaving, clock.Now(), gossip.MaxHops, ga.freshness.Source())
		case ch.Evacuated != "":
			evacuated[ch.Evacuated] = true
		case ch.Blocked != nil:
			blocked[ch.Blocked.Fingerprint] = true
		case ch.DutyHolder != nil:
			dutyVacant = false
		}
		ga.applyChange(ch)
	}
	if dutyVacant {
		ga.setDutyHolder(duty.Holder{})
	}
	ga.reconcileServers(listed, restored, now)
	if restored {
		ga.markPhasesLost(st)
	}
	ga.reconcileEvacuations(evacuated, restored, now)
	ga.reconcileBlocks(blocked, restored, now)
	ga.servers.StateReached(st.Revision)
	ga.departures.Reset(st.Revision, ga.takeDeparted())
	ga.history.Reset(st.Revision)
	ga.replaceMembers(st, restored, now)
	ga.stateRead = true
	ga.Log.Info().Int("event", int(event.StateRead)).Stringer("revision", st.Revision).
		Int("servers", len(listed)).Msg(event.Name(event.StateRead))
}

// applyWatch applies the response to a watch that was sent at the given time.
func (ga *Gateway) applyWatch(st State, sent time.Time, wait time.Duration, now time.Time) {
	ba := relay.Batch{To: st.Revision}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.servesUpdates(now) {
		ba = ga.encodeBatch(st)
	}
	ga.completeUntil, _ = ga.departuresKnownUntil()
	ga.freshness.HandleWatch(sent, wait, len(st.Changes) == 0, now)
	ga.storeAnswered(sent, now)
	ga.applyBatch(st.Changes, ba)
	ga.announceConfirmation()
}

// applyBatch applies changes. It adds them to the history as encoded if other gateways may request
// changes from this one. If a batch was not encoded, the history is reset, so that it has no gap.
// The lock is held.
func (ga *Gateway) applyBatch(changes []Change, ba relay.Batch) {
	for _, ch := range changes {
		ga.applyChange(ch)
	}
	ga.departuresApplied(ba.To)
	encoded := len(changes) == 0 || len(ba.Data) > 0
	if encoded && ga.servesUpdates(clock.Now()) {
		ga.history.Add(ba)
	} else {
		ga.history.Reset(ba.To)
	}
	if len(ba.Data) > 0 {
		close(ga.changed)
		ga.changed = make(chan struct{})
	}
}

// applyChange applies one change. The lock is held.
func (ga *Gateway) applyChange(ch Change) {
	switch {
	case ch.Document != nil:
		ga.applyConfig(ch.Document)
	case ch.Server != nil:
		ga.putServer(*ch.Server, clock.Now())
	case ch.Gone != "":
		ga.removeServer(ch.Gone, clock.Now())
	case ch.Unusable != nil:
		ga.dropUnusableServer(*ch.Unusable)
	case ch.Evacuated != "":
		ga.missingDataCentres.Remove(ch.Evacuated)
		ga.evacuate(ch.Evacuated)
	case ch.Restored != "":
		ga.missingDataCentres.Remove(ch.Restored)
		ga.endEvacuation(ch.Restored, clock.Now())
	case ch.Order != nil:
		ga.applyOrder(*ch.Order)
	case ch.Phase != nil:
		ga.applyStoredPhase(*ch.Phase)
	case len(ch.Tallies) > 0:
		for _, ta := range ch.Tallies {
			ga.receiveTally(ta)
		}
	case ch.Blocked != nil:
		ga.applyBlock(*ch.Blocked, true, clock.Now())
	case ch.Unblocked != nil:
		ga.blockRemoved(*ch.Unblocked)
	case ch.Unreadable != nil:
		ga.Log.Error().Int("event", int(event.ConfigRefused)).Str("error", excerpt.Of(ch.Unreadable.Error())).Msg(event.Name(event.ConfigRefused))
	default:
		ga.applyMembershipChange(ch)
	}
}

// applyMembershipChange applies a change of the members or of their duties. The lock is held.
func (ga *Gateway) applyMembershipChange(ch Change) {
	switch {
	case ch.Member != nil:
		ga.memberJoined(*ch.Member)
	case ch.MemberGone != "":
		ga.memberLeft(ch.MemberGone)
	case ch.DutyHolder != nil:
		ga.setDutyHolder(*ch.DutyHolder)
	case ch.DutyVacant:
		ga.setDutyHolder(duty.Holder{})
	}
}

// applyConfig puts a configuration into force if its version is higher. The lock is held.
func (ga *Gateway) applyConfig(doc *routing.Document) {
	current := ga.table.Load().Version()
	if doc.Version <= current {
		return
	}
	ta, err := routing.Compile(*doc)
	if err != nil {
		ga.Log.Error().Int("event", int(event.ConfigRefused)).Uint64("version", doc.Version).Err(err).Msg(event.Name(event.ConfigRefused))
		return
	}
	ga.table.Store(ta)
	ga.document = doc
	configVersion.Set(float64(doc.Version))
	ga.Log.Info().Int("event", int(event.ConfigInForce)).Uint64("version", doc.Version).Uint64("version_before", current).
		Int("routes", len(doc.Routes)).Int("teams", len(doc.Teams)).
		Str("source", ga.freshness.Source()).Dur("age_ms", ga.freshness.Age(clock.Now())).Msg(event.Name(event.ConfigInForce))
}
