package gate

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/quota"
)

// SetLimit records the rate limit in requests per second that the server reports, nil for none, and
// starts the queued attempts that a changed limit allows.
func (ga *Gate) SetLimit(perSecond *float64, now time.Time) (backpressure.Change, []Action) {
	ga.observe(now)
	change := ga.limits.Report(ga.Server, perSecond, now)
	if change == backpressure.Unchanged {
		return change, nil
	}
	return change, ga.fill(now)
}

// Pause starts no attempts for the duration that the server requested. It reports whether the
// server was not paused before.
func (ga *Gate) Pause(duration time.Duration, now time.Time) bool {
	ga.observe(now)
	return ga.pauses.Begin(ga.Server, duration, now)
}

// limitWait returns how long the server's limit or pause still prevents a start, zero if it does
// not. All requests to the server pass through this agent, which therefore uses the whole limit.
func (ga *Gate) limitWait(now time.Time) time.Duration {
	return max(ga.limits.Wait(ga.Server, quota.Gateway{FleetSize: 1}, now), ga.pauses.LocalRemaining(ga.Server, now))
}

// mayStart reports whether a slot is free and the server accepts attempts. After a pause the server
// is probed with a single attempt.
func (ga *Gate) mayStart(now time.Time) bool {
	avoid, probe := ga.pauses.Avoid(ga.Server, now)
	return len(ga.running) < ga.slots() && ga.limitWait(now) == 0 && (!avoid || probe)
}

// Accepted records that the server did not reject an attempt.
func (ga *Gate) Accepted(now time.Time) []Action {
	ga.observe(now)
	ga.pauses.RecordAccepted(ga.Server, now)
	return ga.fill(now)
}
