package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/rate"
)

// recordAttempt counts an attempt for the roll-out of its server's service. The lock is held.
func (ga *Gateway) recordAttempt(se directory.Server, route string, now time.Time) {
	ga.demand(se.Service).Count(route, now)
	if ro := ga.rollouts[se.Service]; ro != nil && !ro.ended() {
		ro.canary.RecordSent(route, se.Version == ro.order.Plan.Version, now)
	}
}

// demandDecay is the time constant with which the request rates of a service decay: long enough to
// include some tens of requests of the rarest kind of a small service (7 a second on the users'
// sites), short enough to follow a burst.
const demandDecay = 4 * time.Second

// demand returns the rates at which attempts are sent to a service, by route. The lock is held.
func (ga *Gateway) demand(service string) *rate.Meter {
	me := ga.demands[service]
	if me == nil {
		me = &rate.Meter{TimeConstant: demandDecay}
		ga.demands[service] = me
	}
	return me
}

// slowEventFactor and slowResponseFactor are the multiples of the old version's best time that count
// as slow, between two events of a stream and for a complete response. On the users' sites the time
// between events of a slow version is 4 to 5.5 times the old version's best time, that of a good
// version on idle servers up to 1.4 times. Complete responses of a plain service differ by a factor
// of up to 4.
const (
	slowEventFactor    = 3
	slowResponseFactor = 5
)

// observeOutcome records the outcome of a server's response for the roll-out of its service.
// Outcomes that the server did not report itself, such as a lost connection, do not count. A stream
// counts by its head, since the assessment of a version must not wait for streams to end. The lock
// is held.
func (ga *Gateway) observeOutcome(se directory.Server, route string, failed bool) {
	if ro := ga.rollouts[se.Service]; ro != nil && !ro.ended() {
		ro.canary.Observe(se.Key(), route, se.Version == ro.order.Plan.Version, failed)
	}
}

// observeDuration records for the roll-out of the server's service whether a response was slow:
// whether it took more than factor times the old version's best time. name separates responses whose
// durations are not comparable. The lock is held.
func (ga *Gateway) observeDuration(se directory.Server, name string, took time.Duration, factor float64, now time.Time) {
	ro := ga.rollouts[se.Service]
	isNew := ro != nil && se.Version == ro.order.Plan.Version
	if !isNew {
		ga.latencyFloors.Observe(name, took)
	}
	if best := ga.latencyFloors.Latency(name); ro != nil && !ro.ended() && best > 0 {
		ro.canary.ObserveLatency(se.Key(), isNew, float64(took) > factor*float64(best), now)
	}
}
