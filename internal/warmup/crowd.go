package warmup

import "time"

const (
	// crowdMemory is how long a number of gateways is remembered: while collectors change
	// or data centres are cut off from each other, fewer are heard of than there are.
	crowdMemory = 30 * time.Second
	// settleTime is how long a gateway that has just started does not believe that it has
	// heard of all others: reports come ten times a second, once their collectors run.
	settleTime = 3 * time.Second
	// presumed is how many gateways there are taken to be until then: the most that the
	// system is built for.
	presumed = 410
)

// Crowd knows how many gateways there may be. The zero value has not begun. It is not safe
// for concurrent use.
type Crowd struct {
	began time.Time
	// present is the most that was heard of since turned, before that of the time before.
	present, before int
	turned          time.Time
}

// Observe takes how many gateways are known.
func (cr *Crowd) Observe(gateways int, now time.Time) {
	if cr.began.IsZero() {
		cr.began, cr.turned = now, now
	}
	if now.Sub(cr.turned) >= crowdMemory/2 {
		cr.before, cr.present, cr.turned = cr.present, 0, now
	}
	cr.present = max(cr.present, gateways)
}

// Most returns how many gateways there may be.
func (cr *Crowd) Most(now time.Time) int {
	if cr.began.IsZero() || now.Sub(cr.began) < settleTime {
		return presumed
	}
	return max(1, cr.present, cr.before)
}
