package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

// rejectionWindow is how long the response before an escalation is kept. A server that rejects an
// attempt does so within a few round trips.
const rejectionWindow = 20 * time.Millisecond

// fallbackResponse is the response before an escalation. It is dropped after rejectionWindow unless
// the caller needs it after all.
type fallbackResponse struct {
	attempt *attemptState
	timer   *time.Timer
}

// releasePrevious frees the attempt before a step. If the step escalates, the response so far is
// kept for rejectionWindow, since the larger model's server may reject the attempt when no retry is
// left.
func (ex *exchange) releasePrevious(at *attemptState, step direct.Step) {
	switch {
	case at == nil:
	case step.Escalates():
		ex.dropFallback()
		ex.fallback = &fallbackResponse{attempt: at, timer: time.AfterFunc(rejectionWindow, at.discard)}
	default:
		at.discard()
		if ex.fallback != nil {
			ex.fallback.timer.Reset(rejectionWindow)
		}
	}
}

// checkFallback drops the fallback response if the head of the next response has arrived, and
// informs the request when the fallback response is no longer available. Otherwise it stops the
// timer, so that the fallback response is kept until the next step.
func (ex *exchange) checkFallback(at *attemptState) {
	if ex.fallback == nil {
		return
	}
	if at.response != nil || !ex.fallback.timer.Stop() {
		ex.dropFallback()
		ex.request.FallbackDropped()
	}
}

// useFallback frees the attempt of an escalation that failed, and returns the attempt whose response
// is the fallback.
func (ex *exchange) useFallback(at *attemptState) *attemptState {
	at.discard()
	fallback := ex.takeFallback()
	ex.ga.Log.Info().Int("event", int(event.RequestFellBack)).Str("request", ex.rq.ID).Str("server", fallback.server.ID).
		Str("model", fallback.step.Model()).Str("before", at.server.ID).Err(at.err).Msg(event.Name(event.RequestFellBack))
	return fallback
}

// takeFallback returns the attempt with the fallback response and stops tracking it.
func (ex *exchange) takeFallback() *attemptState {
	at := ex.fallback.attempt
	ex.fallback = nil
	return at
}

// dropFallback drops the fallback response if there is one.
func (ex *exchange) dropFallback() {
	if ex.fallback == nil {
		return
	}
	ex.fallback.timer.Stop()
	ex.takeFallback().discard()
}
