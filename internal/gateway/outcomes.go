package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/rate"
)

// sentTo counts an attempt for the roll-out of its server's service. The lock is held.
func (ga *Gateway) recordAttempt(se directory.Server, route string, now time.Time) {
	ga.demand(se.Service).Count(route, now)
	if ro := ga.rollouts[se.Service]; ro != nil && !ro.ended() {
		ro.canary.RecordSent(route, se.Version == ro.order.Plan.Version, now)
	}
}

// demandMemory is how far back the demand of a service looks: long enough for some tens
// of requests of the rarest kind of a small service (7 a second on the users' sites),
// short enough to follow a burst.
const demandDecay = 4 * time.Second

// demand returns the rates at which attempts are sent to a service, by route. The lock
// is held.
func (ga *Gateway) demand(service string) *rate.Meter {
	me := ga.demands[service]
	if me == nil {
		me = &rate.Meter{TimeConstant: demandDecay}
		ga.demands[service] = me
	}
	return me
}

// slowEvents and slowWhole are how many times the old version's time at its best
// counts as slow, between two events of a stream and for a whole answer. Measured
// on the users' sites: a slow version's events come 4 to 5.5 times later than the
// old one's quickest, those of a good one with nothing else to do up to 1.4 times;
// whole answers of a plain service differ by up to 4 times among themselves.
const (
	slowEventFactor  = 3
	slowAnswerFactor = 5
)

// observe takes the outcome of an answer of a server for the roll-out of its service.
// What the server did not say itself, such as a lost connection, is none. A stream counts
// by its head: what is known of a version must not wait for the ends of streams. The lock
// is held.
func (ga *Gateway) observeOutcome(se directory.Server, route string, failed bool) {
	if ro := ga.rollouts[se.Service]; ro != nil && !ro.ended() {
		ro.canary.Observe(se.Key(), route, se.Version == ro.order.Plan.Version, failed)
	}
}

// observePace takes the time that an answer took, for the roll-out of its server's
// service: whether it is several times the old version's best. name tells answers apart
// that take unlike times, times is what counts as slow. The lock is held.
func (ga *Gateway) observeDuration(se directory.Server, name string, took time.Duration, times float64, now time.Time) {
	ro := ga.rollouts[se.Service]
	isNew := ro != nil && se.Version == ro.order.Plan.Version
	if !isNew {
		ga.latencyFloors.Observe(name, took)
	}
	if best := ga.latencyFloors.Latency(name); ro != nil && !ro.ended() && best > 0 {
		ro.canary.ObserveLatency(se.Key(), isNew, float64(took) > times*float64(best), now)
	}
}
