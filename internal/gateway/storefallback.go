package gateway

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// fallbackDuration is how long a gateway that the service turns away follows another one before it calls
// the service again.
const fallbackDuration = 5 * time.Second

// minFallbackInterval is the shortest time between two requests to that gateway. It answers at once while
// its state is too old for others.
const minFallbackInterval = minRetryPause

// followFallback requests the changes after a revision from another gateway for a pause, and for up to
// fallbackDuration while it is a better source than the service. It returns the revision to continue from and
// whether the other gateway answered.
func (ga *Gateway) followFallback(ctx context.Context, after revision.Revision, pause time.Duration) (revision.Revision, bool) {
	failed := clock.Now()
	wa, ok := ga.fallback(failed)
	if !ok {
		return after, false
	}
	for left := pause; left > 0 && ctx.Err() == nil; {
		sent := clock.Now()
		us := updateSource{box: wa.Box, client: &ga.fallbackClient, wait: min(left, relayWait/2), maxAge: longestRelayAge}
		next, err := ga.requestUpdates(ctx, us, after)
		if err != nil {
			ga.watcherFailed(wa, err)
			return after, false
		}
		after = next
		left = pause
		if ga.prefersFallback(failed, clock.Now()) {
			left = fallbackDuration
		}
		left -= clock.Since(failed)
		clock.Sleep(ctx, min(left, minFallbackInterval-clock.Since(sent)))
	}
	return after, true
}

// fallback returns another gateway to request changes from, or false if there is none.
func (ga *Gateway) fallback(now time.Time) (relay.Member, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.Bounds.allowsRelay() {
		return relay.Member{}, false
	}
	wa, ok := ga.relayPlan.Fallback(ga.memberList(), now)
	if ok && wa.Address != ga.fallbackClient.Address {
		ga.fallbackClient.Close()
		ga.fallbackClient = relay.Client{Address: wa.Address, Timeout: relaySlack, HTTP: ga.RelayHTTP}
	}
	if ok {
		ga.Log.Info().Int("event", int(event.FallbackAsked)).Str("watcher", wa.Box).Msg(event.Name(event.FallbackAsked))
	}
	return wa, ok
}

// prefersFallback reports whether to follow another gateway rather than to call the service: the service
// has answered that one since a call failed, recently enough, and repeated calls of this one have failed.
func (ga *Gateway) prefersFallback(failed, now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.freshness.ConfirmedAt().After(failed) && ga.freshness.Age(now) <= ga.Bounds.maxRelayAge() &&
		!ga.storeOutage.MayCall(fallbackDuration, now)
}
