package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/relay"
)

// applyLimit records the limit that a server's response reports, nil for none. The lock is held.
func (ga *Gateway) applyLimit(server string, limit *float64, now time.Time) {
	sent, lasts := ga.pool.Limits.LimitUsage(server, now)
	ga.logLimitChange(ga.pool.Limits.Report(server, limit, now), server, sent, lasts, "")
}

// receiveLimitNotices applies another gateway's notices of rate limits. The lock is held.
func (ga *Gateway) receiveLimitNotices(re relay.Report, now time.Time) {
	for _, no := range re.Limits {
		if ga.servers.ByKey(no.Server) == nil {
			continue
		}
		sent, lasts := ga.pool.Limits.LimitUsage(no.Server, now)
		ga.logLimitChange(ga.pool.Limits.Receive(no, now), no.Server, sent, lasts, re.Box)
	}
}

// logLimitChange logs a changed limit and the gateway that reported it, "" for the server itself.
// The lock is held.
func (ga *Gateway) logLimitChange(ch backpressure.Change, server string, sent int, lasts time.Duration, gateway string) {
	id, le := event.ServerUnlimited, ga.Log.Info()
	switch ch {
	case backpressure.Unchanged:
		return
	case backpressure.Limited:
		serverLimits.Inc()
		perSecond, _ := ga.pool.Limits.PerSecond(server)
		id, le = event.ServerLimited, ga.Log.Warn().Float64("per_second", perSecond)
	}
	le.Int("event", int(id)).Str("server", server).Str("told_by", gateway).Int("sent", sent).Dur("for_ms", lasts).Msg(event.Name(id))
}
