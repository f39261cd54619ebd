package quota

import "time"

const (
	// countRetention is how long a count of gateways is retained. A gateway sees only some of the
	// others while collectors change or data centres are partitioned.
	countRetention = 30 * time.Second
	// settleTime is how long after its start a gateway may not know all others yet, or count some twice
	// because they change their collectors.
	settleTime = 3 * time.Second
	// assumedGateways is the assumed number of gateways until then, the largest supported number.
	assumedGateways = 410
)

// Fleet computes an upper estimate of the number of gateways. The zero value has no counts. It is
// not safe for concurrent use.
type Fleet struct {
	firstObserved time.Time
	// currentMax is the largest count since periodStart, previousMax that of the period before.
	currentMax, previousMax int
	periodStart             time.Time
}

// Observe records the number of known gateways.
func (fl *Fleet) Observe(gateways int, now time.Time) {
	if fl.firstObserved.IsZero() {
		fl.firstObserved, fl.periodStart = now, now
	}
	if !fl.settled(now) {
		fl.currentMax = gateways
		return
	}
	if now.Sub(fl.periodStart) >= countRetention/2 {
		fl.previousMax, fl.currentMax, fl.periodStart = fl.currentMax, 0, now
	}
	fl.currentMax = max(fl.currentMax, gateways)
}

// Estimate returns the upper estimate.
func (fl *Fleet) Estimate(now time.Time) int {
	if !fl.settled(now) {
		return assumedGateways
	}
	return max(1, fl.currentMax, fl.previousMax)
}

// settled reports whether counts of gateways can be relied on.
func (fl *Fleet) settled(now time.Time) bool {
	return !fl.firstObserved.IsZero() && now.Sub(fl.firstObserved) >= settleTime
}
