package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

const (
	// badTallyInterval is the least time between two tallies with bad answers: each costs a
	// write, and a bad version may be used for seconds after its 50th bad answer.
	badTallyInterval = 500 * time.Millisecond
	// decideEvery is that time for tallies without, while the next decision is near.
	decisionTallyInterval = 1500 * time.Millisecond
	// tellSpacing is that time for each member, where that is longer: all gateways may
	// have something to tell at once, and the service bears 400 writes a second.
	tallySpacing = 5 * time.Millisecond
	// answerEvery is the least time between two tallies without: from the third
	// bad answer known, all gateways tell what they have, so that the good answers
	// count as well.
	goodTallyInterval = 5 * time.Second
	goodTallyMinBad   = 3
)

// mayTell reports whether the other gateways should hear of outcomes now. The lock is
// held.
func (ga *Gateway) tallyDue(ro *rolloutState, now time.Time) bool {
	_, bad := ro.canary.Counts()
	since := now.Sub(ro.publishedAt)
	switch {
	case ro.ended() || ro.canary.OwnCount() == ro.publishedTried:
		return false
	case bad > ro.publishedBad:
		return since >= max(badTallyInterval, tallySpacing*time.Duration(ga.gatewayCount))
	case ro.canary.DecisionImminent(now):
		return since >= max(decisionTallyInterval, tallySpacing*time.Duration(ga.gatewayCount))
	default:
		return ro.canary.TotalBad() >= goodTallyMinBad && (ro.publishedTried == 0 || since >= goodTallyInterval)
	}
}

// tell lets the other gateways know of outcomes. One that reports to a collector leaves it
// to that, which writes the tallies of all its gateways at once: 103 gateways made 332
// calls for a roll-out, each for itself. The lock is held.
func (ga *Gateway) publishTallies(ctx context.Context, ro *rolloutState, now time.Time) {
	if ro.ended() {
		ro.pending, ro.collectedNew = nil, false
		return
	}
	if ga.tallyDue(ro, now) {
		_, bad := ro.canary.Counts()
		ro.publishedBad, ro.publishedTried, ro.publishedAt = bad, ro.canary.OwnCount(), now
		ro.pending = ga.ownTally(ro)
	}
	if now.Sub(ga.lastReportCollected) < loadReportTTL {
		return // it goes with the next report
	}
	if ro.pending == nil && (!ro.collectedNew || now.Sub(ro.writtenAt) < badTallyInterval) {
		return
	}
	tallies := append(slices.Collect(maps.Values(ro.collected)), *ga.ownTally(ro))
	ro.pending, ro.collectedNew, ro.writtenAt = nil, false, now
	go func() {
		if err := ga.Store.StoreTallies(ctx, ga.Box, tallies); err != nil {
			ga.Log.Warn().Int("event", int(event.StoreCallFailed)).Str("service", ro.order.Plan.Service).Err(err).Msg(event.Name(event.StoreCallFailed))
		}
	}()
}

// ownTally returns what this gateway tells of a roll-out; the lock is held.
func (ga *Gateway) ownTally(ro *rolloutState) *Tally {
	return &Tally{
		Service: ro.order.Plan.Service, Order: ro.order.Revision, Version: ro.order.Plan.Version, Box: ga.Box, Life: ga.instanceID, Outcomes: ro.canary.Own(),
	}
}

// tallied takes what another gateway tells of a new version; the lock is held.
func (ga *Gateway) receiveTally(ta Tally) {
	ro := ga.rollouts[ta.Service]
	if ro == nil || !ta.belongsTo(ro.order) || ta.Box == ga.Box && ta.Life == ga.instanceID || ro.ended() {
		return
	}
	ro.canary.Merge(ta.processID(), ta.Outcomes)
}

// outgoing returns the tallies that go with a report; the lock is held.
func (ga *Gateway) pendingTallies() []byte {
	var tallies []Tally
	for _, ro := range ga.rollouts {
		if ro.pending != nil {
			tallies = append(tallies, *ro.pending)
		}
		ro.reported = ro.pending
	}
	if len(tallies) == 0 {
		return nil
	}
	data, err := cbor.Marshal(tallies)
	if err != nil {
		ga.Log.Error().Int("event", int(event.RelayFailed)).Err(err).Msg(event.Name(event.RelayFailed))
	}
	return data
}

// handedOver notes that a collector has the tallies of the last report; one that came since
// is kept. The lock is held.
func (ga *Gateway) clearReported() {
	for _, ro := range ga.rollouts {
		if ro.pending == ro.reported {
			ro.pending = nil
		}
	}
}

// gather takes the tallies of a gateway that reports to this one; the lock is held.
func (ga *Gateway) collectTallies(data []byte) {
	if len(data) == 0 {
		return
	}
	var tallies []Tally
	if err := cbor.Unmarshal(data, &tallies); err != nil {
		ga.Log.Error().Int("event", int(event.RelayFailed)).Err(err).Msg(event.Name(event.RelayFailed))
		return
	}
	for _, ta := range tallies {
		ga.receiveTally(ta)
		ro := ga.rollouts[ta.Service]
		if ro == nil || !ta.belongsTo(ro.order) {
			continue
		}
		if ro.collected == nil {
			ro.collected = map[string]Tally{}
		}
		ro.collected[ta.processID()] = ta
		ro.collectedNew = true
	}
}
