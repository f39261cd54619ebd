package agent

import (
	"context"
	"maps"
	"slices"
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

// recordSuspects records the parts of prompts that an entry suspects.
func (ag *Agent) recordSuspects(suspects []poison.Suspect, now time.Time) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if ag.suspectParts == nil {
		ag.suspectParts = map[poison.Part]time.Time{}
	}
	for _, sp := range suspects[:min(len(suspects), poison.MaxSuspects)] {
		ag.suspectParts[sp.Part] = now
	}
}

// updateRuns marks the requests and parts as harmless that the server survived. If that is unknown for
// a blocked request or a suspected part, it checks whether the server is up. It reports whether a
// suspected part was found harmless. The caller holds ag.mu.
func (ag *Agent) updateRuns(ctx context.Context, now time.Time) (clearsAdded bool) {
	expired := func(reported time.Time) bool { return now.Sub(reported) >= blockedTTL }
	maps.DeleteFunc(ag.blocked, func(_ poison.Fingerprint, reported time.Time) bool { return expired(reported) })
	maps.DeleteFunc(ag.suspectParts, func(_ poison.Part, reported time.Time) bool { return expired(reported) })
	harmless, cleared := ag.detector.Update(&ag.dispatched, now)
	for _, ru := range slices.Concat(harmless, cleared) {
		clearsAdded = ag.clearParts(ru, now) || clearsAdded
	}
	ag.clears.Expire(now)
	if len(ag.dispatched.Unconfirmed(ag.isSuspected, now)) > 0 {
		go ag.checkServerAlive(ctx)
	}
	return clearsAdded
}

// clearParts records that the server survived a response to a request with its parts. It reports whether
// one of these is suspected. The caller holds ag.mu.
func (ag *Agent) clearParts(ru *poison.Run, now time.Time) bool {
	if ru.ResponseBegan().IsZero() {
		return false
	}
	for _, pa := range ru.Subject().PartList() {
		ag.clears.Clear(pa, ru.ResponseBegan(), now)
	}
	return ag.hasSuspectPart(ru.Subject())
}

// isSuspected reports whether a request is blocked or has a suspected part. The caller holds ag.mu.
func (ag *Agent) isSuspected(su poison.Subject) bool {
	return !ag.blocked[su.Fingerprint].IsZero() || ag.hasSuspectPart(su)
}

func (ag *Agent) hasSuspectPart(su poison.Subject) bool {
	for pa := range ag.suspectParts {
		if su.Has(pa) {
			return true
		}
	}
	return false
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
