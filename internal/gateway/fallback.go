package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

// rejectionTime is how long an answer is held after an escalation from it: servers reject an attempt
// within some round trips.
const rejectionWindow = 20 * time.Millisecond

// heldAnswer is an answer that is dropped after rejectionTime unless the caller needs it after all.
type fallbackAnswer struct {
	attempt *attemptState
	timer   *time.Timer
}

// replace frees the attempt before a step. The answer that an escalation is to improve on is held for
// a moment: the larger model's server may reject the attempt while no retry is left.
func (ex *exchange) releasePrevious(at *attemptState, step direct.Step) {
	switch {
	case at == nil:
	case step.Escalates():
		ex.dropFallback()
		ex.fallback = &fallbackAnswer{attempt: at, timer: time.AfterFunc(rejectionWindow, at.discard)}
	default:
		at.discard()
		if ex.fallback != nil {
			ex.fallback.timer.Reset(rejectionWindow)
		}
	}
}

// checkHeld tells the request whether the answer before an escalation is still held, once the head of
// the next answer came or will not come. If it is, it stays so until the next step.
func (ex *exchange) checkFallback(at *attemptState) {
	if ex.fallback == nil {
		return
	}
	if at.response != nil || !ex.fallback.timer.Stop() {
		ex.dropFallback()
		ex.request.FallbackDropped()
	}
}

// fallBack frees the attempt that was to improve on the held answer, and returns the latter's.
func (ex *exchange) useFallback(at *attemptState) *attemptState {
	at.discard()
	held := ex.takeFallback()
	ex.ga.Log.Info().Int("event", int(event.RequestFellBack)).Str("request", ex.rq.ID).Str("server", held.server.ID).
		Str("model", held.step.Model()).Str("before", at.server.ID).Err(at.err).Msg(event.Name(event.RequestFellBack))
	return held
}

// takeHeld returns the held answer.
func (ex *exchange) takeFallback() *attemptState {
	at := ex.fallback.attempt
	ex.fallback = nil
	return at
}

// dropHeld drops the held answer if there is one.
func (ex *exchange) dropFallback() {
	if ex.fallback == nil {
		return
	}
	ex.fallback.timer.Stop()
	ex.takeFallback().discard()
}
