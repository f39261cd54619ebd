package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/codec"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/pack"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

const (
	// relayWait is how long a watcher may wait for changes before it answers. relaySlack is the
	// additional time in which its response must arrive: a watcher that does not respond is detected
	// after the sum of both. Watchers that themselves request changes from others use half of
	// relayWait, since they pass the changes on.
	relayWait  = 500 * time.Millisecond
	relaySlack = 400 * time.Millisecond
	// longestRelayAge is the age up to which a watcher's state is used at the most.
	longestRelayAge = 2200 * time.Millisecond
	// relayRecovery is the time from the moment at which a watcher's state is out of date until its
	// followers have the changes from elsewhere: the other watcher does not answer at once
	// (watcherRetryPause, relaySlack), and the service is called after a pause.
	relayRecovery = 2*watcherRetryPause + relaySlack + minWatchWait + 200*time.Millisecond
	// minRelayAge is the lowest age for which gateways request changes from watchers: a root's wait and
	// two slow calls.
	minRelayAge = 1100 * time.Millisecond
	// rootSlack is how much less than the age up to which its state is used a root waits.
	rootSlack = 400 * time.Millisecond
)

// maxRelayAge returns the age up to which a watcher's state is used.
func (bo Bounds) maxRelayAge() time.Duration {
	age := longestRelayAge
	for _, bound := range []time.Duration{bo.MaxPropagation, bo.MaxDrain} {
		if bound != 0 {
			age = min(age, bound-relayRecovery)
		}
	}
	return age
}

// allowsRelay reports whether gateways may request changes from watchers. The responses may be older by
// one wait.
func (bo Bounds) allowsRelay() bool {
	if bo.MaxConfigAge != 0 && bo.keyAcceptanceAge() < bo.maxRelayAge()+relayWait {
		return false
	}
	return bo.maxRelayAge() >= minRelayAge
}

var (
	errWatcherStale   = eris.New("the watcher's state is out of date")
	errWatcherHistory = eris.New("the watcher has no history from the requested revision on")
	// errOlderEra means that a response is from before the service was restored.
	errOlderEra = eris.New("the response is of an older era")
)

// watcher returns the gateway to request changes from, or false if this one watches the key-value
// service itself.
func (ga *Gateway) watcher(now time.Time) (relay.Member, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	var wa relay.Member
	ok := false
	if ga.Bounds.allowsRelay() {
		wa, ok = ga.relayPlan.Watcher(ga.memberList(), now)
		if !ok && !ga.relayPlan.HasWatchers(ga.memberList()) {
			wa, ok = ga.seed(now)
		}
	}
	if wa.Address != ga.relayClient.Address {
		ga.relayClient.Close()
		ga.relayClient = relay.Client{Address: wa.Address, Timeout: relaySlack, HTTP: ga.RelayHTTP}
		ga.logWatcher(wa, ok)
	}
	return wa, ok
}

// logWatcher logs where changes are received from now on.
func (ga *Gateway) logWatcher(wa relay.Member, ok bool) {
	id := event.WatchStarted
	if ok {
		id = event.WatchStopped
	}
	now := clock.Now()
	ga.Log.Info().Int("event", int(id)).Str("watcher", wa.Box).Int("members", len(ga.members)).
		Str("service", string(ga.storeOutage.State(now))).Dur("failed_ms_ago", now.Sub(ga.storeOutage.FailedAt())).
		Msg(event.Name(id))
}

// updateSource is a gateway to request changes from.
type updateSource struct {
	box    string
	client *relay.Client
	// wait is how long it may wait for changes, maxAge the age up to which its state is used.
	wait, maxAge time.Duration
}

// requestUpdates requests the changes after a revision once and returns the revision to continue from.
func (ga *Gateway) requestUpdates(ctx context.Context, us updateSource, after revision.Revision) (revision.Revision, error) {
	if !us.client.Connected() {
		us.wait = 0 // a gateway that does not respond is detected sooner
	}
	sent := clock.Now()
	up, err := us.client.Fetch(ctx, relay.Request{After: after, Wait: us.wait})
	switch {
	case err != nil:
		return after, err
	case up.Age > us.maxAge:
		return after, errWatcherStale
	case up.Snapshot != nil:
		next, err := ga.applySnapshot(us.box, up, sent)
		if err != nil {
			return after, err
		}
		return next, nil
	case up.Unknown, up.Revision.Era != after.Era:
		return after, errWatcherHistory
	}
	batches, err := decodeBatches(up.Batches)
	if err != nil {
		return after, err
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.completeUntil, _ = ga.departuresKnownUntil()
	age := up.AgeAtRequest(clock.Since(sent))
	ga.freshness.HandleRelay(us.box, sent, age)
	ga.storeAnsweredOther(sent, age, clock.Now())
	for i, changes := range batches {
		ga.applyBatch(changes, up.Batches[i])
	}
	ga.departuresApplied(up.Revision)
	ga.announceConfirmation()
	return up.Revision, nil
}

// confirmStep is how much more recent a gateway's state must be for waiting requests for changes to
// be answered early.
const confirmStep = 200 * time.Millisecond

// announceConfirmation answers waiting requests for changes early when this gateway's state has been
// confirmed, so that the states of the requesting gateways are confirmed as well. The lock is held.
func (ga *Gateway) announceConfirmation() {
	at := ga.freshness.ConfirmedAt()
	if at.Sub(ga.announcedConfirmed) < confirmStep {
		return
	}
	ga.announcedConfirmed = at
	close(ga.confirmed)
	ga.confirmed = make(chan struct{})
}

// maxRelayAge returns the age up to which a watcher's state is used.
func (ga *Gateway) maxRelayAge() time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.Bounds.maxRelayAge()
}

// updateSource returns the watcher as a source of changes.
func (ga *Gateway) updateSource(wa relay.Member) updateSource {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	us := updateSource{box: wa.Box, client: &ga.relayClient, wait: relayWait, maxAge: ga.Bounds.maxRelayAge()}
	if ga.servesUpdates(clock.Now()) {
		us.wait = relayWait / 2
	}
	return us
}

// mayCatchUp reports whether to call the service once because the watcher does not have the revision.
func (ga *Gateway) mayCatchUp(now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.relayPlan.AllowCatchUp(now)
}

// watcherFailed records that a watcher failed.
func (ga *Gateway) watcherFailed(wa relay.Member, cause error) {
	now := clock.Now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if errors.Is(cause, errWatcherStale) {
		ga.relayPlan.Stale(wa.Box, now)
	} else {
		ga.relayPlan.Failed(wa.Box, now)
	}
	ga.Log.Warn().Int("event", int(event.WatcherFailed)).Str("watcher", wa.Box).Dur("age_ms", ga.freshness.Age(now)).
		Err(cause).Msg(event.Name(event.WatcherFailed))
}

// historyRetention is how long a gateway keeps changes after the last request for them.
const historyRetention = 10 * relayWait

// servesUpdates reports whether this gateway keeps changes for others. The lock is held.
func (ga *Gateway) servesUpdates(now time.Time) bool {
	return ga.relayPlan.Serves(ga.memberList()) || now.Sub(ga.lastUpdateRequest) < historyRetention
}

// Updates answers another gateway's request for changes.
func (ga *Gateway) Updates(ctx context.Context, rq relay.Request) relay.Update {
	received := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, min(rq.Wait, ga.currentFor(received)))
	defer cancel()
	for waiting := true; ; {
		ga.mu.Lock()
		now := clock.Now()
		ga.lastUpdateRequest = now
		ga.logAhead(rq.After)
		batches, to, ok := ga.history.Since(rq.After)
		age, changed, confirmed := ga.freshness.Age(now), ga.changed, ga.confirmed
		if !ok {
			defer ga.mu.Unlock()
			return ga.answerUnknownRevision(age)
		}
		outdated := age > ga.Bounds.maxRelayAge()
		ga.mu.Unlock()
		if len(batches) > 0 || outdated || !waiting {
			// Age and Waited are of the same moment: the process may be stopped before it responds.
			return relay.Update{Revision: to, Age: age, Waited: now.Sub(received), Batches: batches}
		}
		select {
		case <-changed:
		case <-confirmed:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// currentFor returns how long this gateway's state remains recent enough for others unless it is
// confirmed again. A watcher that is cut off responds then, so that the others do not wait any longer.
func (ga *Gateway) currentFor(now time.Time) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.Bounds.maxRelayAge() - ga.freshness.Age(now) + time.Millisecond
}

// logAhead logs a request for changes after a revision that is later than the latest one of this
// gateway. The lock is held.
func (ga *Gateway) logAhead(after revision.Revision) {
	if own := ga.history.Revision(); after.After(own) {
		lo := ga.Log.Sample(&ga.aheadLog)
		lo.Info().Int("event", int(event.AskerAhead)).Stringer("after", after).Stringer("revision", own).Msg(event.Name(event.AskerAhead))
	}
}

// encodeBatch encodes changes for other gateways. The batch has no data if that fails.
func (ga *Gateway) encodeBatch(st State) relay.Batch {
	ba := relay.Batch{To: st.Revision}
	if len(st.Changes) == 0 {
		return ba
	}
	data, err := encodeChanges(st.Changes)
	if err != nil {
		ga.Log.Error().Int("event", int(event.RelayFailed)).Err(err).Msg(event.Name(event.RelayFailed))
	}
	ba.Data = data
	return ba
}

func decodeBatches(batches []relay.Batch) ([][]Change, error) {
	decoded := make([][]Change, len(batches))
	for i, ba := range batches {
		var err error
		if decoded[i], err = decodeChanges(ba.Data); err != nil {
			return nil, err
		}
	}
	return decoded, nil
}

// encodeChanges encodes changes for other gateways.
func encodeChanges(changes []Change) ([]byte, error) {
	data, err := codec.Marshal(changes)
	if err != nil {
		return nil, eris.Wrap(err, "encode changes")
	}
	return pack.Pack(data)
}

// decodeChanges decodes the changes that another gateway encoded.
func decodeChanges(data []byte) ([]Change, error) {
	data, err := pack.Unpack(data)
	if err != nil {
		return nil, err
	}
	var changes []Change
	if err := codec.Unmarshal(data, &changes); err != nil {
		return nil, eris.Wrap(err, "decode changes")
	}
	return changes, nil
}
