package gateway

import (
	"context"
	"time"

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
		return since >= max(tellEvery, tellSpacing*time.Duration(len(ga.members)))
	case ro.canary.Deciding(now):
		return since >= max(decideEvery, tellSpacing*time.Duration(len(ga.members)))
	default:
		return ro.canary.BadKnown() >= answerFromBad && (ro.toldTried == 0 || since >= answerEvery)
	}
}

// tell lets the other gateways know of outcomes; the lock is held.
func (ga *Gateway) tell(ctx context.Context, ro *timedRollout, now time.Time) {
	if !ga.mayTell(ro, now) {
		return
	}
	_, bad := ro.canary.Counts()
	ro.toldBad, ro.toldTried, ro.toldAt = bad, ro.canary.OwnTried(), now
	ta := Tally{Service: ro.order.Plan.Service, Order: ro.order.Revision, Box: ga.Box, Outcomes: ro.canary.Own()}
	go func() {
		if err := ga.Source.Tell(ctx, ta); err != nil {
			ga.Log.Warn().Int("event", int(event.StoreCallFailed)).Str("service", ta.Service).Err(err).Msg(event.Name(event.StoreCallFailed))
		}
	}()
}

// tallied takes what another gateway tells of a new version; the lock is held.
func (ga *Gateway) tallied(ta Tally) {
	ro := ga.rollouts[ta.Service]
	if ro == nil || ro.order.Revision != ta.Order || ta.Box == ga.Box || ro.over() {
		return
	}
	ro.canary.Merge(ta.Box, ta.Outcomes)
}
