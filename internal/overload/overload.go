// Package overload decides how many new connections a process accepts while its processor time does not
// suffice for all that arrive. It does no I/O and reads no clock.
package overload

const (
	// maxLoad is the utilization of the process's processor time above which it accepts fewer
	// connections, minLoad that below which it accepts more.
	maxLoad = 0.95
	minLoad = 0.85
	// smoothing is the weight of the newest observation of the utilization, which varies between short
	// intervals.
	smoothing = 0.3
	// decrease is the factor by which the accepted fraction falls with each observation above maxLoad,
	// increase what it rises by with each below minLoad.
	decrease = 0.85
	increase = 0.04
	// minAccepted is the least accepted fraction.
	minAccepted = 0.05
)

// Gate decides which new connections are accepted. The zero value accepts all. It is not safe for
// concurrent use.
type Gate struct{ load, rejected float64 }

// Observe records the utilization of the processor time. Connections are only rejected while mayReject
// is set: their callers must be able to connect elsewhere.
func (ga *Gate) Observe(load float64, mayReject bool) {
	ga.load += smoothing * (load - ga.load)
	accepted := 1 - ga.rejected
	switch {
	case !mayReject:
		accepted = 1
	case ga.load > maxLoad:
		accepted = max(minAccepted, accepted*decrease)
	case ga.load < minLoad:
		accepted = min(1, accepted+increase)
	}
	ga.rejected = 1 - accepted
}

// Accepts reports whether a connection is accepted. draw is a random number in [0, 1).
func (ga *Gate) Accepts(draw float64) bool { return draw >= ga.rejected }

// IsRejecting reports whether any connections are rejected.
func (ga *Gate) IsRejecting() bool { return ga.rejected > 0 }
