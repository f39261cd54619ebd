package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/codec"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

const (
	// badTallyInterval is the least time between two tallies that report new bad outcomes: each
	// tally costs a write, and a bad version may stay in use for seconds after its 50th bad
	// outcome.
	badTallyInterval = 500 * time.Millisecond
	// decisionTallyInterval is the least time between two tallies without new bad outcomes while the
	// next decision is near.
	decisionTallyInterval = 1500 * time.Millisecond
	// tallySpacing times the number of gateways is the least time between two tallies if that is
	// longer: all gateways may have outcomes to publish at once, and the key-value service supports 400
	// writes a second.
	tallySpacing = 5 * time.Millisecond
	// goodTallyInterval is the least time between two tallies without new bad outcomes otherwise. Such
	// tallies are published only once goodTallyMinBad bad outcomes are known, so that the good outcomes
	// of all gateways count as well.
	goodTallyInterval = 5 * time.Second
	goodTallyMinBad   = 3
)

// tallyDue reports whether outcomes should be published to the other gateways now. The lock is
// held.
func (ga *Gateway) tallyDue(ro *rolloutState, now time.Time) bool {
	_, bad := ro.canary.Counts()
	since := now.Sub(ro.publishedAt)
	switch {
	case ro.ended() || ro.canary.OwnCount() == ro.publishedCount:
		return false
	case bad > ro.publishedBad:
		return since >= max(badTallyInterval, tallySpacing*time.Duration(ga.gatewayCount))
	case ro.canary.DecisionImminent(now):
		return since >= max(decisionTallyInterval, tallySpacing*time.Duration(ga.gatewayCount))
	default:
		return ro.canary.TotalBad() >= goodTallyMinBad && (ro.publishedCount == 0 || since >= goodTallyInterval)
	}
}

// publishTallies publishes this gateway's outcomes to the other gateways. A gateway that reports
// to a collector leaves that to the collector, which writes the tallies of all its gateways at
// once: 103 gateways that each wrote their own made 332 calls for a roll-out. The lock is held.
func (ga *Gateway) publishTallies(ctx context.Context, ro *rolloutState, now time.Time) {
	if ro.ended() {
		ro.pending, ro.collectedNew = nil, false
		return
	}
	if ga.tallyDue(ro, now) {
		_, bad := ro.canary.Counts()
		ro.publishedBad, ro.publishedCount, ro.publishedAt = bad, ro.canary.OwnCount(), now
		ro.pending = ga.ownTally(ro)
	}
	if now.Sub(ga.lastReportCollected) < loadReportTTL {
		return // sent with the next load report
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

// ownTally returns this gateway's tally of a roll-out. The lock is held.
func (ga *Gateway) ownTally(ro *rolloutState) *Tally {
	return &Tally{
		Service: ro.order.Plan.Service, Order: ro.order.Revision, Version: ro.order.Plan.Version, Box: ga.Box, Life: ga.instanceID, Outcomes: ro.canary.Own(),
	}
}

// receiveTally applies another gateway's tally of a new version. The lock is held.
func (ga *Gateway) receiveTally(ta Tally) {
	ro := ga.rollouts[ta.Service]
	if ro == nil || !ta.belongsTo(ro.order) || ta.Box == ga.Box && ta.Life == ga.instanceID || ro.ended() {
		return
	}
	ro.canary.Merge(ta.processID(), ta.Outcomes)
}

// pendingTallies encodes the tallies to send with a load report. The lock is held.
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
	data, err := codec.Marshal(tallies)
	if err != nil {
		ga.Log.Error().Int("event", int(event.RelayFailed)).Err(err).Msg(event.Name(event.RelayFailed))
	}
	return data
}

// clearReported drops the pending tallies that a collector received with the last report, but not
// those created since. The lock is held.
func (ga *Gateway) clearReported() {
	for _, ro := range ga.rollouts {
		if ro.pending == ro.reported {
			ro.pending = nil
		}
	}
}

// collectTallies applies the tallies of a gateway that reports to this one, and stores them to be
// written with this gateway's own. The lock is held.
func (ga *Gateway) collectTallies(data []byte) {
	if len(data) == 0 {
		return
	}
	var tallies []Tally
	if err := codec.Unmarshal(data, &tallies); err != nil {
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
