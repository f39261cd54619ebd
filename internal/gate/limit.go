package gate

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/quota"
)

// Limit takes what an answer of the server says of what it takes, in requests a second from
// everybody together; nil if it names no limit. Attempts that wait may start then.
func (ga *Gate) Limit(perSecond *float64, now time.Time) (backpressure.Change, []Action) {
	ga.observe(now)
	change := ga.limits.Heard(ga.Server, perSecond, now)
	if change == backpressure.Unchanged {
		return change, nil
	}
	return change, ga.fill(now)
}

// limitWait returns how long nothing starts since the server names a limit, zero if an attempt
// may. The agent is the only way to its server, and so has all of the limit.
func (ga *Gate) limitWait(now time.Time) time.Duration {
	return ga.limits.Wait(ga.Server, quota.Gateway{Fleet: 1}, now)
}
