package agent

import (
	"context"
	"maps"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/poison"
)

// blockedTTL is how long a request counts as blocked after the latest report from an entry; it spans
// several heartbeats.
const blockedTTL = 5 * time.Second

// recordBlocked records the requests that an entry blocks. Only the agent can observe whether its
// server stays up after an answer. Without its report, entries refused for five minutes a harmless
// request of which all callers sent identical copies.
func (ag *Agent) recordBlocked(fingerprints []poison.Fingerprint, now time.Time) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if ag.blocked == nil {
		ag.blocked = map[poison.Fingerprint]time.Time{}
	}
	for _, fp := range fingerprints {
		ag.blocked[fp] = now
	}
}

// harmlessBlocked returns the blocked requests that the server answered completely and survived. The
// caller holds ag.mu.
func (ag *Agent) harmlessBlocked() []poison.Fingerprint {
	var harmless []poison.Fingerprint
	for fp := range ag.blocked {
		if ag.detector.IsHarmless(fp) {
			harmless = append(harmless, fp)
		}
	}
	return harmless
}

// updateRuns marks the requests as harmless that the server answered completely and survived. If that
// is unknown for a blocked request, it checks whether the server is up. The caller holds ag.mu.
func (ag *Agent) updateRuns(ctx context.Context, now time.Time) {
	maps.DeleteFunc(ag.blocked, func(_ poison.Fingerprint, reported time.Time) bool { return now.Sub(reported) >= blockedTTL })
	ag.detector.Update(&ag.dispatched, now)
	isBlocked := func(su poison.Subject) bool { return !ag.blocked[su.Fingerprint].IsZero() }
	if len(ag.dispatched.Unconfirmed(isBlocked, now)) > 0 {
		go ag.checkServerAlive(ctx)
	}
}

// checkServerAlive records that the server is up if it accepts a connection.
func (ag *Agent) checkServerAlive(ctx context.Context) {
	if !ag.isListening(ctx) {
		return
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.dispatched.Alive(ag.serverName(), clock.Now())
}
