package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// seed returns the gateway to read the state from while no members are known, false if this gateway
// reads it from the key-value service: without seeds, as a seed itself, or after its seed has failed.
// The lock is held.
func (ga *Gateway) seed(now time.Time) (relay.Member, bool) {
	if len(ga.Seeds) == 0 || slices.Contains(ga.Seeds, ga.RelayAddress) {
		return relay.Member{}, false
	}
	address := ga.Seeds[xxhash.Sum64String(ga.Box)%uint64(len(ga.Seeds))]
	se := relay.Member{Box: address, Address: address}
	return se, !ga.relayPlan.Avoided(se.Box, now)
}

// readFromSeed reads the complete state from a seed. Otherwise, all gateways of a system that starts
// for the first time would read it from the key-value service at the same moment, since no watchers
// are known yet.
func (ga *Gateway) readFromSeed(ctx context.Context) (revision.Revision, bool) {
	ga.mu.Lock()
	se, ok := ga.seed(clock.Now())
	ok = ok && ga.Bounds.allowsRelay()
	ga.mu.Unlock()
	if !ok {
		return revision.Revision{}, false
	}
	return ga.readFromWatcher(ctx, se)
}
