package gateway

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

// recordHealth records whether an attempt succeeded for the health of its server. A failure does not
// count if the caller had disconnected or the deadline had passed.
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

// ejectUnreachable takes a server that accepts no connections out of use for a while.
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

// removeReplacedServer takes a server out of use after another server was found at its address.
func (ex *exchange) removeReplacedServer(se *attemptState) {
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	ex.ga.servers.Remove(se.server.ID, clock.Now())
	ex.ga.logServer(event.ServerGone, se.server.ID, "another server has its address")
}
