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
	// tellEvery is the least time between two tallies with bad answers: each costs a
	// write, and a bad version may be used for seconds after its 50th bad answer.
	tellEvery = 500 * time.Millisecond
	// decideEvery is that time for tallies without, while the next decision is near.
	decideEvery = 1500 * time.Millisecond
	// tellSpacing is that time for each member, where that is longer: all gateways may
	// have something to tell at once, and the service bears 400 writes a second.
	tellSpacing = 5 * time.Millisecond
	// answerEvery is the least time between two tallies without: from the third
	// bad answer known, all gateways tell what they have, so that the good answers
	// count as well.
	answerEvery   = 5 * time.Second
	answerFromBad = 3
)

// mayTell reports whether the other gateways should hear of outcomes now. The lock is
// held.
func (ga *Gateway) mayTell(ro *timedRollout, now time.Time) bool {
	_, bad := ro.canary.Counts()
	since := now.Sub(ro.toldAt)
	switch {
	case ro.over() || ro.canary.OwnTried() == ro.toldTried:
		return false
	case bad > ro.toldBad:
		return since >= max(tellEvery, tellSpacing*time.Duration(ga.gatewayCount))
	case ro.canary.Deciding(now):
		return since >= max(decideEvery, tellSpacing*time.Duration(ga.gatewayCount))
	default:
		return ro.canary.BadKnown() >= answerFromBad && (ro.toldTried == 0 || since >= answerEvery)
	}
}

// tell lets the other gateways know of outcomes. One that reports to a collector leaves it
// to that, which writes the tallies of all its gateways at once: 103 gateways made 332
// calls for a roll-out, each for itself. The lock is held.
func (ga *Gateway) tell(ctx context.Context, ro *timedRollout, now time.Time) {
	if ro.over() {
		ro.outbox, ro.more = nil, false
		return
	}
	if ga.mayTell(ro, now) {
		_, bad := ro.canary.Counts()
		ro.toldBad, ro.toldTried, ro.toldAt = bad, ro.canary.OwnTried(), now
		ro.outbox = ga.ownTally(ro)
	}
	if now.Sub(ga.lastReportCollected) < loadKept {
		return // it goes with the next report
	}
	if ro.outbox == nil && (!ro.more || now.Sub(ro.wroteAt) < tellEvery) {
		return
	}
	tallies := append(slices.Collect(maps.Values(ro.gathered)), *ga.ownTally(ro))
	ro.outbox, ro.more, ro.wroteAt = nil, false, now
	go func() {
		if err := ga.Store.StoreTallies(ctx, ga.Box, tallies); err != nil {
			ga.Log.Warn().Int("event", int(event.StoreCallFailed)).Str("service", ro.order.Plan.Service).Err(err).Msg(event.Name(event.StoreCallFailed))
		}
	}()
}

// ownTally returns what this gateway tells of a roll-out; the lock is held.
func (ga *Gateway) ownTally(ro *timedRollout) *Tally {
	return &Tally{
		Service: ro.order.Plan.Service, Order: ro.order.Revision, Version: ro.order.Plan.Version, Box: ga.Box, Life: ga.instanceID, Outcomes: ro.canary.Own(),
	}
}

// tallied takes what another gateway tells of a new version; the lock is held.
func (ga *Gateway) tallied(ta Tally) {
	ro := ga.rollouts[ta.Service]
	if ro == nil || !ta.belongsTo(ro.order) || ta.Box == ga.Box && ta.Life == ga.instanceID || ro.over() {
		return
	}
	ro.canary.Merge(ta.processID(), ta.Outcomes)
}

// outgoing returns the tallies that go with a report; the lock is held.
func (ga *Gateway) outgoing() []byte {
	var tallies []Tally
	for _, ro := range ga.rollouts {
		if ro.outbox != nil {
			tallies = append(tallies, *ro.outbox)
		}
		ro.handed = ro.outbox
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
func (ga *Gateway) handedOver() {
	for _, ro := range ga.rollouts {
		if ro.outbox == ro.handed {
			ro.outbox = nil
		}
	}
}

// gather takes the tallies of a gateway that reports to this one; the lock is held.
func (ga *Gateway) gather(data []byte) {
	if len(data) == 0 {
		return
	}
	var tallies []Tally
	if err := cbor.Unmarshal(data, &tallies); err != nil {
		ga.Log.Error().Int("event", int(event.RelayFailed)).Err(err).Msg(event.Name(event.RelayFailed))
		return
	}
	for _, ta := range tallies {
		ga.tallied(ta)
		ro := ga.rollouts[ta.Service]
		if ro == nil || !ta.belongsTo(ro.order) {
			continue
		}
		if ro.gathered == nil {
			ro.gathered = map[string]Tally{}
		}
		ro.gathered[ta.processID()] = ta
		ro.more = true
	}
}
