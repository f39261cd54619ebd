package gateway

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

// recordHealth records the result of an attempt for the health of its server. Attempts that ended
// because the caller left or the deadline passed do not count.
func (ga *Gateway) recordHealth(ctx context.Context, se *attemptState, good bool, now time.Time) {
	if ctx.Err() != nil && !good {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if good {
		if ga.pool.Succeeded(se.server.Key()) {
			ga.logServer(event.ServerReturned, se.server.ID, "responded again")
			ga.markCold(&se.server, ga.coldFor(se.server.Service), now)
		}
		return
	}
	if ga.pool.Failed(se.server.Key(), now) {
		ga.logServer(event.ServerEjected, se.server.ID, "responses failed")
	}
}

// ejectUnreachable takes a server out of use for a while that accepts no connections.
func (ga *Gateway) ejectUnreachable(ctx context.Context, se *attemptState, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.pool.Unreachable(se.server.Key(), now) {
		ga.logServer(event.ServerEjected, se.server.ID, "accepts no connections")
	}
}

// removeReplacedServer takes a server out of use whose address now belongs to another one.
func (ex *exchange) removeReplacedServer(se *attemptState) {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	ex.ga.servers.Remove(se.server.ID, clock.Now())
	ex.ga.logServer(event.ServerGone, se.server.ID, "another server has its address")
}
