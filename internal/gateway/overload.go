package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

const (
	// crowdedFactor is the multiple of the mean rate of requests of the other gateways above which this one
	// may reject connections: their callers find others with less load.
	crowdedFactor = 2
	// crowdedRetention is how long after another gateway was last ready this one may reject connections.
	// An overloaded gateway exchanges fewer reports.
	crowdedRetention = 3 * time.Second
)

// AcceptsConnection reports whether a new connection of a caller is served. It is rejected if the
// processor time of this gateway does not suffice although others have less load.
func (ga *Gateway) AcceptsConnection() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.overload.Accepts(rand.Float64()) {
		return true
	}
	connectionsRejected.Inc()
	ga.requests.Count(allRequests, clock.Now())
	return false
}

// observeLoad records the utilization of the processor time, or the error of its measurement.
func (ga *Gateway) observeLoad(load float64, err error) {
	if err != nil && !ga.loadUnreadable {
		ga.loadUnreadable = true
		ga.Log.Error().Int("event", int(event.LoadUnreadable)).Err(err).Msg(event.Name(event.LoadUnreadable))
	}
	now := clock.Now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	was := ga.overload.IsRejecting()
	ga.overload.Observe(load, ga.isCrowded(now))
	if is := ga.overload.IsRejecting(); is != was {
		id := event.OverloadEnded
		if is {
			id = event.OverloadBegan
		}
		ga.Log.Warn().Int("event", int(id)).Float64("load", load).Float64("per_second", ga.requestRate(now)).
			Float64("per_second_all", ga.loads.Demand(ga.requestRate(now))).Msg(event.Name(id))
	}
}

// isCrowded reports whether far more requests come to this gateway than to the others. The lock is held.
func (ga *Gateway) isCrowded(now time.Time) bool {
	if ga.gatewayCount < 2 || now.Sub(ga.otherReadyAt) >= crowdedRetention {
		return false
	}
	own := ga.requestRate(now)
	mean := (ga.loads.Demand(own) - own) / float64(ga.gatewayCount-1)
	return own > crowdedFactor*mean
}
