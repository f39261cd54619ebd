package quota

import "time"

const (
	// fleetMemory is how long a count of gateways is kept: while collectors change or data
	// centres are partitioned, a gateway sees only some of the others.
	fleetMemory = 30 * time.Second
	// settleTime is how long after its start a gateway may not know of all others yet.
	settleTime = 3 * time.Second
	// presumed is the number of gateways assumed until then, the largest supported.
	presumed = 410
)

// Fleet estimates the number of gateways from above. The zero value has seen none. It is not safe for
// concurrent use.
type Fleet struct {
	began time.Time
	// present is the largest count since turned, before the largest of the period before.
	present, before int
	turned          time.Time
}

// Observe records the number of known gateways.
func (fl *Fleet) Observe(gateways int, now time.Time) {
	if fl.began.IsZero() {
		fl.began, fl.turned = now, now
	}
	if now.Sub(fl.turned) >= fleetMemory/2 {
		fl.before, fl.present, fl.turned = fl.present, 0, now
	}
	fl.present = max(fl.present, gateways)
}

// Estimate returns the estimate.
func (fl *Fleet) Estimate(now time.Time) int {
	if fl.began.IsZero() || now.Sub(fl.began) < settleTime {
		return presumed
	}
	return max(1, fl.present, fl.before)
}
