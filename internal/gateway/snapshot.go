package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

const (
	// snapshotWait is how long a gateway that has read a part of a large state waits until a watcher has
	// read all of it. snapshotSlack is the time allowed for the watcher's response.
	snapshotWait  = 2 * time.Second
	snapshotSlack = 2 * time.Second
	// snapshotRetryPause is the pause after a response of a watcher that has not read all of the state
	// yet.
	snapshotRetryPause = 50 * time.Millisecond
)

// readState reads the complete state, either from the service or, after a first part, from a
// watcher. It returns the revision to continue from.
func (ga *Gateway) readState(ctx context.Context) (revision.Revision, error) {
	sent := clock.Now()
	var from relay.Member
	era := ga.era()
	st, complete, err := ga.Store.Read(ctx, era, func(first State) bool {
		var ok bool
		from, ok = ga.watcherAmong(first)
		return !ok
	})
	if err == nil && !complete {
		at, ok := ga.readFromWatcher(ctx, from)
		if ok {
			return at, nil
		}
		sent = clock.Now()
		st, _, err = ga.Store.Read(ctx, era, func(State) bool { return true })
	}
	if err != nil {
		return revision.Revision{}, err
	}
	return st.Revision, ga.applyReadState(st, sent)
}

// era returns the era of the key-value service, zero if it has named none.
func (ga *Gateway) era() uint64 {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.eraGuard.Era()
}

// applySnapshot applies a complete state sent by the watcher on a box.
func (ga *Gateway) applySnapshot(from string, up relay.Update, sent time.Time) (revision.Revision, error) {
	changes, err := decodeChanges(up.Snapshot)
	if err != nil {
		return revision.Revision{}, eris.Wrap(err, "decode state")
	}
	st := State{Revision: up.Revision, Changes: changes}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.eraGuard.Accept(st.Revision.Era, clock.Now()) {
		return revision.Revision{}, errOlderEra
	}
	ga.completeUntil, _ = ga.departuresKnownUntil()
	age := up.AgeAtRequest(clock.Since(sent))
	ga.freshness.HandleRelay(from, sent, age)
	ga.storeAnsweredOther(sent, age, clock.Now())
	ga.replaceState(st)
	return up.Revision, nil
}

// watcherAmong returns the watcher to request the complete state from, given the members in its
// first part, or false if this gateway reads all of it from the service. Without watchers, many
// gateways that start together would saturate the link of the service.
func (ga *Gateway) watcherAmong(first State) (relay.Member, bool) {
	var members []relay.Member
	for _, ch := range first.Changes {
		if ch.Member != nil {
			members = append(members, *ch.Member)
		}
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.Bounds.allowsRelay() {
		return relay.Member{}, false
	}
	return ga.relayPlan.Watcher(members, clock.Now())
}

// readFromWatcher reads the complete state from a watcher, which may have to read it first. It
// reports false if the watcher does not have it within snapshotWait.
func (ga *Gateway) readFromWatcher(ctx context.Context, wa relay.Member) (revision.Revision, bool) {
	cl := relay.Client{Address: wa.Address, Timeout: snapshotSlack, HTTP: ga.RelayHTTP}
	defer cl.Close()
	var lastErr error
	for end := clock.Now().Add(snapshotWait); ctx.Err() == nil && clock.Now().Before(end); clock.Sleep(ctx, snapshotRetryPause) {
		sent := clock.Now()
		up, err := cl.Fetch(ctx, relay.Request{})
		switch {
		case err != nil:
			lastErr = err
		case up.Age > ga.maxRelayAge():
			lastErr = errWatcherStale
		case up.Snapshot == nil:
			lastErr = errWatcherHistory
		default:
			at, err := ga.applySnapshot(wa.Box, up, sent)
			if err == nil {
				return at, true
			}
			lastErr = err
		}
	}
	ga.watcherFailed(wa, lastErr)
	return revision.Revision{}, false
}

// snapshotChanges returns the complete state as changes, for gateways that start from it. It leaves
// out tallies, since each gateway reports its own again, and what a restored service has lost,
// since each gateway keeps that itself. The lock is held.
func (ga *Gateway) snapshotChanges() []Change {
	var all []Change
	if ga.document != nil {
		all = append(all, Change{Document: ga.document})
	}
	for _, se := range ga.servers.Listed() {
		listed := *se
		listed.ColdFor = ga.pool.Warmup.Remaining(se.Key(), clock.Now())
		all = append(all, Change{Server: &listed})
	}
	for _, id := range ga.servers.EndedSince(ga.endedServersSince(clock.Now())) {
		all = append(all, Change{Gone: id})
	}
	for _, key := range ga.servers.Leaving() {
		all = append(all, Change{Leaving: key})
	}
	for _, dataCentre := range ga.servers.Evacuated() {
		if !ga.missingDataCentres.Contains(dataCentre) {
			all = append(all, Change{Evacuated: dataCentre})
		}
	}
	for _, ph := range ga.phases {
		all = append(all, Change{Phase: &ph})
	}
	for _, ro := range ga.rollouts {
		all = append(all, Change{Order: &ro.order})
	}
	for _, bl := range ga.blocks.Stored() {
		all = append(all, Change{Blocked: &bl})
	}
	if ga.Usage != nil {
		if ho := ga.Usage.Holder(); !ho.IsZero() {
			all = append(all, Change{DutyHolder: &ho})
		}
	}
	for _, me := range ga.members {
		if !ga.missingMembers.Contains(me.Box) {
			all = append(all, Change{Member: &me})
		}
	}
	return all
}

// answerUnknownRevision answers a request for changes after a revision that the history does not
// cover, with the complete state if this gateway has it. The lock is held.
func (ga *Gateway) answerUnknownRevision(age time.Duration) relay.Update {
	up := relay.Update{Revision: ga.history.Revision(), Age: age, Unknown: true}
	if !ga.stateRead || !ga.relayPlan.IsWatcher(ga.memberList()) && !slices.Contains(ga.Seeds, ga.RelayAddress) {
		return up
	}
	now := clock.Now()
	if ga.snapshot.revision != up.Revision || now.Sub(ga.snapshot.at) > snapshotMaxAge {
		data, err := encodeChanges(ga.snapshotChanges())
		if err != nil {
			ga.Log.Error().Int("event", int(event.RelayFailed)).Err(err).Msg(event.Name(event.RelayFailed))
			return up
		}
		ga.snapshot = encodedSnapshot{data: data, revision: up.Revision, at: now}
	}
	up.Snapshot = ga.snapshot.data
	return up
}

// snapshotMaxAge is how long an encoded state is reused. After a restart of all gateways, those of a
// data centre request it within some tenths of a second.
const snapshotMaxAge = 200 * time.Millisecond

// encodedSnapshot is a complete state as sent to other gateways.
type encodedSnapshot struct {
	data     []byte
	revision revision.Revision
	at       time.Time
}
