package gateway

import (
	"slices"

	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

// describe adds to a line of the log what an attempt gave.
func (se *sent) describe(le *zerolog.Event) *zerolog.Event {
	le = le.Str("server", se.server.ID).Str("model", se.step.Model()).Int("status", se.status())
	if se.answer == nil {
		return le
	}
	return le.Int("confidence", se.answer.Confidence).Int("place", se.ex.place(se.step.Model())).
		Dur("head_ms", se.ex.head.Sub(se.ex.as.Received))
}

// place returns the place of a model among those that may answer, -1 for none of them.
func (ex *exchange) place(model string) int { return slices.Index(ex.request.Models, model) }

// noteAttempt logs an attempt beyond the first with what led to it.
func (ex *exchange) noteAttempt(se *sent) {
	id := event.RequestRetried
	before := ex.attempts[se.step.Attempt()-1]
	why := ""
	switch {
	case se.step.Resume():
		id = event.RequestResumed
	case before.err != nil:
		why = before.err.Error()
	case before.step.Model() != se.step.Model():
		id = event.RequestEscalated
	}
	le := ex.ga.Log.Info().Int("event", int(id)).Str("request", ex.as.ID).Int("attempt", se.step.Attempt()).
		Str("server", se.server.ID).Str("model", se.step.Model()).Str("before", before.server.ID).
		Int("before_status", before.status()).Dur("before_ms", se.began.Sub(before.began))
	if before.answer != nil {
		le = le.Int("confidence", before.answer.Confidence)
	}
	ex.choice.addLogFields(le).Str("why", why).Str("last_event", ex.delivered).Msg(event.Name(id))
}
