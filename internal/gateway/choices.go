package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/choicelog"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

// recordChoice records from which state an attempt's server was chosen. The lock is held.
func (ga *Gateway) recordChoice(se *attemptState, now time.Time) {
	at, source := ga.departuresKnownUntil()
	se.stateAge, se.stateSource = now.Sub(at), source
	ga.choices.Record(se.server.Key(), choicelog.Choice{
		Request: se.ex.rq.ID, At: now, StateAge: se.stateAge, Source: se.stateSource,
	})
}

// sourceServer is the source of a departure that the server itself reported in a response.
const sourceServer = "server"

// logDeparture logs that a server instance gets no new requests from now on: the process from which that
// became known, how old the state was that did not contain it, and the last choice of the server since
// then. The lock is held.
func (ga *Gateway) logDeparture(id event.ID, key, detail, source string, now time.Time) {
	le := ga.Log.Info().Int("event", int(id)).Str("server", key).Str("detail", detail).Str("source", source)
	if !ga.completeUntil.IsZero() {
		behind := now.Sub(ga.completeUntil)
		departureLag.Update(behind.Seconds())
		le = le.Dur("behind_ms", behind)
	}
	if ch, ok := ga.choices.Since(key, ga.completeUntil); ok {
		outdatedChoices.Inc()
		le = le.Str("request", ch.Request).Dur("chosen_ms_ago", now.Sub(ch.At)).
			Dur("state_age_ms", ch.StateAge).Str("state_source", ch.Source)
	}
	le.Msg(event.Name(id))
}
