package agent

import (
	"context"
	"maps"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/poison"
)

// blockedKept is how long a request counts as blocked after an entry last said so, some beats.
const blockedKept = 5 * time.Second

// hearBlocked takes what an entry has blocked. Only the agent sees whether its server lives on
// after an answer; without its word entries refused for five minutes what all callers asked alike.
func (ag *Agent) hearBlocked(prints []poison.Fingerprint, now time.Time) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if ag.blocked == nil {
		ag.blocked = map[poison.Fingerprint]time.Time{}
	}
	for _, pr := range prints {
		ag.blocked[pr] = now
	}
}

// soundOf returns the blocked requests that the server has answered and lived on; the lock is
// held.
func (ag *Agent) soundOf() []poison.Fingerprint {
	var sound []poison.Fingerprint
	for pr := range ag.blocked {
		if ag.cases.IsHarmless(pr) {
			sound = append(sound, pr)
		}
	}
	return sound
}

// settleRuns notes what the server has answered and lived on, and asks it where that is not known
// of a blocked request. The lock is held.
func (ag *Agent) settleRuns(ctx context.Context, now time.Time) {
	maps.DeleteFunc(ag.blocked, func(_ poison.Fingerprint, said time.Time) bool { return now.Sub(said) >= blockedKept })
	ag.cases.Update(&ag.dispatched, now)
	isBlocked := func(pr poison.Fingerprint) bool { return !ag.blocked[pr].IsZero() }
	if len(ag.dispatched.Unconfirmed(isBlocked, now)) > 0 {
		go ag.proveAlive(ctx)
	}
}

// proveAlive notes that the server lives if it takes a connection.
func (ag *Agent) proveAlive(ctx context.Context) {
	if !ag.listens(ctx) {
		return
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.dispatched.Alive(ag.server(), clock.Now())
}
