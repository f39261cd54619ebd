package gateway

import (
	"errors"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

// heardLimit takes what an attempt's server says of what it takes; the lock is held.
func (ga *Gateway) heardLimit(se *sent, now time.Time) {
	if limit, said := se.limit(); said {
		ga.takeLimit(se.server.Key(), limit, now)
	}
}

// limit returns the limit that the server named, nil for none, and whether it said anything
// of it: a refusal that names none may have been made before the server thought of it.
func (se *sent) limit() (limit *float64, said bool) {
	var refusal *Refusal
	var doubt *Doubt
	switch {
	case se.answer != nil:
		return se.answer.Limit, true
	case errors.As(se.err, &refusal):
		return refusal.Limit, refusal.Limit != nil
	case errors.As(se.err, &doubt):
		return doubt.Limit, doubt.Limit != nil
	}
	return nil, false
}

// takeLimit takes the limit of a server, nil for none; the lock is held.
func (ga *Gateway) takeLimit(server string, limit *float64, now time.Time) {
	sent, lasts := ga.pool.Limits.Use(server, now)
	switch ga.pool.Limits.Heard(server, limit, now) {
	case backpressure.Limited:
		limitsNamed.Inc()
		ga.Log.Warn().Int("event", int(event.ServerLimited)).Str("server", server).Float64("per_second", *limit).
			Int("sent", sent).Dur("for_ms", lasts).Msg(event.Name(event.ServerLimited))
	case backpressure.Unlimited:
		ga.Log.Info().Int("event", int(event.ServerUnlimited)).Str("server", server).
			Int("sent", sent).Dur("for_ms", lasts).Msg(event.Name(event.ServerUnlimited))
	}
}
