package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

const (
	// watchMost is the longest wait of a watch. Each answer confirms the configuration, and each
	// call has a price.
	watchMost = 1500 * time.Millisecond
	// watchRoot is that of a root: its state reaches others over two hops, and beyond denyAge they
	// can't reject unknown keys any more.
	watchRoot = time.Second
	// watchLeast is the shortest wait of a watch.
	watchLeast = pauseLeast
	// gather is the pause after changes, so that those that follow come with one call.
	gather = 300 * time.Millisecond
	// mostUnseen is how long watches may miss changes: an order that a whole read shows for the
	// first time may be as old.
	mostUnseen = time.Second
	// pauseLeast and pauseMost bound the pause between two calls to a service that does not
	// answer; pauseLong bounds it in a longer outage, since other gateways report its return.
	pauseLeast = 100 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
	pauseLong  = time.Second
	// pausePart is the longest pause in a longer outage, as a part of its length.
	pausePart = 0.2
	// watcherPause is the pause after a watcher failed. In an outage of the service watchers answer
	// at once that their state is out of date.
	watcherPause = pauseLeast
)

// follow keeps the state up to date: it reads everything, then watches, and
// reads again when the history has gone.
func (ga *Gateway) follow(ctx context.Context) {
	defer ga.relayed.Close()
	for ctx.Err() == nil {
		at, err := ga.readState(ctx)
		if err != nil {
			ga.lost(ctx, err)
			continue
		}
		ga.watch(ctx, at)
	}
}

// watch takes changes as they come, until the history has gone.
func (ga *Gateway) watch(ctx context.Context, after revision.Revision) {
	for ctx.Err() == nil {
		next, err := ga.receive(ctx, after)
		switch {
		case errors.Is(err, ErrHistoryGone):
			ga.Log.Warn().Int("event", int(event.HistoryGone)).Stringer("revision", after).Msg(event.Name(event.HistoryGone))
			return
		case err != nil:
			ga.lost(ctx, err)
		default:
			after = next
		}
	}
}

// receive waits once for changes after a revision, and returns the revision to go on
// from. A watcher that fails is not asked again for a while; one whose history does not reach back
// is asked again after a call to the service.
func (ga *Gateway) receive(ctx context.Context, after revision.Revision) (revision.Revision, error) {
	wa, ok := ga.watcher(clock.Now())
	if !ok {
		return ga.watchService(ctx, after, ga.watchWait(clock.Now()))
	}
	next, err := ga.ask(ctx, after)
	if err == nil || ctx.Err() != nil {
		return next, nil
	}
	if errors.Is(err, errUnknown) && ga.mayCatchUp(clock.Now()) {
		return ga.watchService(ctx, after, watchLeast)
	}
	ga.leaveWatcher(wa, err)
	sleep(ctx, watcherPause)
	return next, nil
}

// watchService waits once for changes from the key-value service.
func (ga *Gateway) watchService(ctx context.Context, after revision.Revision, wait time.Duration) (revision.Revision, error) {
	sent := clock.Now()
	st, err := ga.Source.Watch(ctx, after, wait)
	if err != nil {
		return after, err
	}
	if err := ga.continues(st.Revision, after, clock.Now()); err != nil {
		return after, err
	}
	ga.apply(st, sent, wait, clock.Now())
	if len(st.Changes) > 0 {
		sleep(ctx, gather)
	}
	return st.Revision, nil
}

// continues returns nil if changes up to a revision are all that followed another one, and
// ErrHistoryGone if the service was restored in between: what was written since then may have
// revisions that have been seen before.
func (ga *Gateway) continues(to, after revision.Revision, now time.Time) error {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	switch {
	case !ga.eras.Accept(to.Era, now):
		return errOlderEra
	case to.Era != after.Era:
		return ErrHistoryGone
	}
	return nil
}

// watchWait returns how long a watch waits, so that keys can be accepted all the
// while: the older the configuration may be, the sooner it must be confirmed.
func (ga *Gateway) watchWait(now time.Time) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	most := watchMost
	if ga.plan.Root(ga.memberList()) {
		most = watchRoot
	}
	if ga.Bounds.Revoke == 0 {
		return most
	}
	left := ga.Bounds.oldest() - ga.fresh.Age(now)
	return min(most, max(watchLeast, left/2))
}

// lost records a failed call and waits for a while.
func (ga *Gateway) lost(ctx context.Context, why error) {
	if ctx.Err() != nil {
		return
	}
	ga.mu.Lock()
	was := ga.fresh.Failed()
	ga.plan.ServiceFailed(clock.Now())
	ga.servers.StoreLost()
	age, began := ga.fresh.Age(clock.Now()), !ga.fresh.Known()
	ga.mu.Unlock()
	storeFailures.Inc()
	if was {
		ga.Log.Warn().Int("event", int(event.StoreLost)).Dur("age_ms", age).Err(why).Msg(event.Name(event.StoreLost))
	}
	most := min(pauseLong, max(pauseMost, time.Duration(pausePart*float64(age))))
	if began {
		most = pauseMost // no other gateway knows this one and could report the service's return
	}
	ga.sleepUntilBack(ctx, pauseLeast+rand.N(most-pauseLeast))
}

// sleepUntilBack waits for a pause, or until another gateway reports that the service answers
// again.
func (ga *Gateway) sleepUntilBack(ctx context.Context, pause time.Duration) {
	ti := time.NewTimer(pause)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	case <-ga.back:
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	ti := time.NewTimer(pause)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}

// regained records that the service answers again. The lock is held.
func (ga *Gateway) regained() {
	ga.servers.StoreBack(clock.Now())
	ga.Log.Info().Int("event", int(event.StoreRegained)).Msg(event.Name(event.StoreRegained))
}

// takeRead applies a whole state that was read from the service.
func (ga *Gateway) takeRead(st State, sent time.Time) error {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.eras.Accept(st.Revision.Era, clock.Now()) {
		return errOlderEra
	}
	ga.unseen = min(mostUnseen, ga.fresh.Age(clock.Now()))
	if ga.fresh.Read(sent) {
		ga.regained()
	}
	ga.replace(st)
	ga.unseen = 0
	return nil
}

// replace applies a whole state; the lock is held.
func (ga *Gateway) replace(st State) {
	now := clock.Now()
	restored := ga.restoredSince(st.Revision, now)
	listed, evacuated, blocked := map[string]bool{}, map[string]bool{}, map[poison.Print]bool{}
	for _, ch := range st.Changes {
		switch {
		case ch.Server != nil:
			listed[ch.Server.ID] = true
			if restored && ga.deferRevived(*ch.Server, now) {
				continue
			}
		case ch.Leaving != "":
			ga.markLeaving(ch.Leaving, clock.Now(), gossip.MostHops, "announced to a watcher")
		case ch.Evacuated != "":
			evacuated[ch.Evacuated] = true
		case ch.Blocked != nil:
			blocked[ch.Blocked.Print] = true
		}
		ga.change(ch)
	}
	ga.reconcileServers(listed, restored, now)
	if restored {
		ga.markPhasesLost(st)
	}
	ga.reconcileEvacuations(evacuated, restored, now)
	ga.reconcileBlocks(blocked, restored, now)
	ga.history.Reset(st.Revision)
	ga.replaceMembers(st, restored, now)
	ga.stateRead = true
	ga.Log.Info().Int("event", int(event.StateRead)).Stringer("revision", st.Revision).
		Int("servers", len(listed)).Msg(event.Name(event.StateRead))
}

// apply applies the answer to a watch that was sent at a time.
func (ga *Gateway) apply(st State, sent time.Time, wait time.Duration, now time.Time) {
	ba := relay.Batch{To: st.Revision}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.serves(now) {
		ba = ga.encode(st)
	}
	if ga.fresh.Watched(sent, wait, len(st.Changes) == 0, now) {
		ga.regained()
	}
	ga.takeBatch(st.Changes, ba)
	ga.noteConfirmed()
}

// takeBatch applies changes, and keeps them as encoded if other gateways may ask this one. A batch
// that was not encoded is not kept, nor is the history before it. The lock is held.
func (ga *Gateway) takeBatch(changes []Change, ba relay.Batch) {
	for _, ch := range changes {
		ga.change(ch)
	}
	encoded := len(changes) == 0 || len(ba.Data) > 0
	if encoded && ga.serves(clock.Now()) {
		ga.history.Add(ba)
	} else {
		ga.history.Reset(ba.To)
	}
	if len(ba.Data) > 0 {
		close(ga.changed)
		ga.changed = make(chan struct{})
	}
}

// change applies one change; the lock is held.
func (ga *Gateway) change(ch Change) {
	switch {
	case ch.Document != nil:
		ga.adopt(ch.Document)
	case ch.Server != nil:
		ga.putServer(*ch.Server, clock.Now())
	case ch.Gone != "":
		ga.removeServer(ch.Gone, clock.Now())
	case ch.Unusable != nil:
		ga.dropUnusableServer(*ch.Unusable)
	case ch.Evacuated != "":
		ga.lostCentres.Release(ch.Evacuated)
		ga.evacuate(ch.Evacuated)
	case ch.Restored != "":
		ga.lostCentres.Release(ch.Restored)
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
	case ch.Member != nil:
		ga.joined(*ch.Member)
	case ch.MemberGone != "":
		ga.left(ch.MemberGone)
	case ch.Unreadable != nil:
		ga.Log.Error().Int("event", int(event.ConfigRefused)).Err(ch.Unreadable).Msg(event.Name(event.ConfigRefused))
	}
}

// adopt puts a configuration into force if its version is higher. The lock is held.
func (ga *Gateway) adopt(doc *routing.Document) {
	held := ga.table.Load().Version()
	if doc.Version <= held {
		return
	}
	ta, err := routing.Compile(*doc)
	if err != nil {
		ga.Log.Error().Int("event", int(event.ConfigRefused)).Uint64("version", doc.Version).Err(err).Msg(event.Name(event.ConfigRefused))
		return
	}
	ga.table.Store(ta)
	ga.document = doc
	ga.Log.Info().Int("event", int(event.ConfigInForce)).Uint64("version", doc.Version).Uint64("version_before", held).
		Int("routes", len(doc.Routes)).Int("teams", len(doc.Teams)).Msg(event.Name(event.ConfigInForce))
}
