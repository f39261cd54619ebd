package gate

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/quota"
)

// Limit records the rate limit in requests per second that the server reports, nil for none. Queued
// attempts may start then.
func (ga *Gate) Limit(perSecond *float64, now time.Time) (backpressure.Change, []Action) {
	ga.observe(now)
	change := ga.limits.Report(ga.Server, perSecond, now)
	if change == backpressure.Unchanged {
		return change, nil
	}
	return change, ga.fill(now)
}

// Pause starts nothing for as long as the server asked for. It reports whether the server was not
// paused before.
func (ga *Gate) Pause(lasts time.Duration, now time.Time) bool {
	ga.observe(now)
	return ga.pauses.Begin(ga.Server, lasts, now)
}

// limitWait returns how long nothing starts because of the server's limit or pause, zero if an
// attempt may. The agent is the only way to its server, and so has all of the limit.
func (ga *Gate) limitWait(now time.Time) time.Duration {
	return max(ga.limits.Wait(ga.Server, quota.Gateway{FleetSize: 1}, now), ga.pauses.LocalRemaining(ga.Server, now))
}

// mayStart reports whether an attempt may start. After a pause the server is probed by one attempt.
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
