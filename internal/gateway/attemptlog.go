package gateway

import (
	"errors"
	"slices"

	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/excerpt"
	"github.com/linnetrudder/linnetrudder/internal/response"
)

// addLogFields adds the result of an attempt to a log entry.
func (se *attemptState) addLogFields(le *zerolog.Event) *zerolog.Event {
	le = le.Str("server", se.server.ID).Str("model", se.step.Model()).Int("status", se.status()).
		Dur("state_age_ms", se.stateAge).Str("state_source", se.stateSource)
	if se.response == nil {
		return le
	}
	return le.Int("confidence", se.response.Confidence).Int("place", se.ex.modelIndex(se.step.Model())).
		Dur("head_ms", se.ex.headAt.Sub(se.ex.rq.Received))
}

// modelIndex returns the index of a model among those that may serve the request, -1 if it is none
// of them.
func (ex *exchange) modelIndex(model string) int { return slices.Index(ex.request.Models, model) }

// logUnrelated logs and counts a response that belongs to another call.
func (se *attemptState) logUnrelated() {
	var unrelated *UnrelatedError
	if !errors.As(se.err, &unrelated) {
		return
	}
	responsesUnrelated.Inc()
	se.ex.ga.Log.Warn().Int("event", int(event.ResponseUnrelated)).Str("request", se.ex.rq.ID).Str("server", se.server.ID).
		Str("status", excerpt.Of(unrelated.Status)).Str("response_to", excerpt.Of(unrelated.RequestID)).Bool("connection_reused", unrelated.Reused).
		Msg(event.Name(event.ResponseUnrelated))
}

// logMalformed logs a response that is not valid HTTP.
func (se *attemptState) logMalformed(err error) {
	var malformed *response.MalformedError
	if !errors.As(err, &malformed) {
		return
	}
	se.ex.ga.Log.Warn().Int("event", int(event.ResponseMalformed)).Str("request", se.ex.rq.ID).Str("server", se.server.ID).
		Str("defect", string(malformed.Defect())).Err(malformed).Msg(event.Name(event.ResponseMalformed))
}

// logRetry logs an attempt after the first one together with what led to it.
func (ex *exchange) logRetry(se *attemptState) {
	id := event.RequestRetried
	before := ex.attempts[se.step.Attempt()-1]
	why := ""
	switch {
	case se.step.Resume():
		id = event.RequestResumed
	case before.err != nil:
		why = excerpt.Of(before.err.Error())
	case before.step.Model() != se.step.Model():
		id = event.RequestEscalated
	}
	ex.ga.mu.Lock()
	outcome := before.outcome
	ex.ga.mu.Unlock()
	le := ex.ga.Log.Info().Int("event", int(id)).Str("request", ex.rq.ID).Int("attempt", se.step.Attempt()).
		Bool("idempotent", ex.request.Idempotent).
		Str("server", se.server.ID).Str("model", se.step.Model()).Str("before", before.server.ID).Str("before_outcome", string(outcome)).
		Int("before_status", before.status()).Dur("before_ms", se.began.Sub(before.began)).
		Dur("before_state_age_ms", before.stateAge).Str("before_state_source", before.stateSource).
		Dur("state_age_ms", se.stateAge).Str("state_source", se.stateSource)
	if before.response != nil {
		le = le.Int("confidence", before.response.Confidence)
	}
	ex.choice.addLogFields(le).Str("why", why).Str("last_event", ex.cursor.ID()).Msg(event.Name(id))
}
