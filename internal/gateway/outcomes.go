package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/comparison"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
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

// observeOutcome records the outcome of a server's response for the roll-out of its service.
// Outcomes that the server did not report itself, such as a lost connection, do not count. A stream
// counts by its head, since the assessment of a version must not wait for streams to end. The lock
// is held.
func (ga *Gateway) observeOutcome(se directory.Server, route string, failed bool) {
	if ro := ga.rollouts[se.Service]; ro != nil && !ro.ended() {
		ro.canary.Observe(se.Key(), route, se.Version == ro.order.Plan.Version, failed)
	}
}

// completedCheckTime is how long responses are compared with those of the old version after the end of a
// roll-out.
const completedCheckTime = 5 * time.Second

// slowFactor returns how many times slower a bad version is.
func (bo Bounds) slowFactor() float64 {
	if bo.SlowFactor == 0 {
		return DefaultSlowFactor
	}
	return bo.SlowFactor
}

// observeDuration records for the roll-out of the server's service whether a response was slow, compared
// with those of the old version on like work. Servers that are warming up are slow whatever their version.
// The lock is held.
func (ga *Gateway) observeDuration(se directory.Server, wo comparison.Work, took time.Duration, now time.Time) {
	if ga.pool.Warmup.Remaining(se.Key(), now) > 0 {
		return
	}
	ro := ga.rollouts[se.Service]
	re := ga.reference(se.Service)
	if ro == nil || ro.ended() {
		if ro != nil {
			ga.observeCompleted(ro, wo, took, now)
		}
		re.Add(wo, took, now)
		return
	}
	isNew := se.Version == ro.order.Plan.Version
	if slow, ok := re.IsSlow(wo, took, ga.Bounds.slowFactor(), now); ok {
		ro.canary.ObserveLatency(se.Key(), isNew, slow, now)
	}
	if !isNew {
		re.Add(wo, took, now)
	}
}

// reference returns the times of recent responses of a service, except those of a version on trial. The lock
// is held.
func (ga *Gateway) reference(service string) *comparison.Reference {
	re := ga.references[service]
	if re == nil {
		re = &comparison.Reference{}
		ga.references[service] = re
	}
	return re
}

// observeCompleted compares a response after the end of a roll-out with those before it. No request can
// return to the old version then, so the result is only logged, once. The lock is held.
func (ga *Gateway) observeCompleted(ro *rolloutState, wo comparison.Work, took time.Duration, now time.Time) {
	if ro.before == nil {
		return
	}
	if slow, ok := ro.before.IsSlow(wo, took, ga.Bounds.slowFactor(), now); ok {
		ro.timedSince++
		if slow {
			ro.slowSince++
		}
	}
	if now.Sub(ro.completedAt) < completedCheckTime {
		return
	}
	level := ga.Log.Info()
	if 2*ro.slowSince > ro.timedSince {
		level = ga.Log.Warn()
	}
	level.Int("event", int(event.RolloutCompared)).Str("service", ro.order.Plan.Service).Str("version", ro.order.Plan.Version).
		Int("compared", ro.timedSince).Int("slow", ro.slowSince).Float64("slow_factor", ga.Bounds.slowFactor()).
		Msg(event.Name(event.RolloutCompared))
	ro.before = nil
}
