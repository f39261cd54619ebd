package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/comparison"
	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/sse"
)

const (
	// stallFactor is the multiple of the route's maximum pause between events after which a stream is
	// resumed at another server. A server that reads a long prompt pauses its other streams for more
	// than a second without having failed.
	stallFactor = 2
	// defaultStall is the time after which a stream is resumed if the route names no maximum pause.
	defaultStall = 2 * time.Second
)

// deliver sends the caller the response of an attempt.
func (ex *exchange) deliver(ctx context.Context, se *attemptState) {
	ex.headAt, ex.finalAttempt = clock.Now(), se
	ex.exempt()
	if se.response.Stream {
		ex.deliverStream(ctx, se)
		return
	}
	ex.releaseBody()
	var err error
	if se.body.Complete() {
		err = ex.responder.WriteResponse(se.response.Status, se.response.Header, se.body.Bytes())
	} else {
		err = ex.deliverLong(se)
	}
	se.end(attemptAnswered)
	if err != nil {
		ex.logOutcome(event.RequestFailed, codeOf(err), err.Error())
		ex.responder.Abort()
		return
	}
	ex.logAnswered()
}

func (ex *exchange) deliverLong(se *attemptState) error {
	if err := ex.responder.WriteHead(se.response.Status, se.response.Header); err != nil {
		return err
	}
	if err := ex.responder.WriteChunk(se.body.Bytes()); err != nil {
		return err
	}
	return se.copyRest(ex.responder)
}

func (ex *exchange) logAnswered() {
	ex.ga.mu.Lock()
	ex.ga.durations.Observe(ex.route.Name, clock.Since(ex.rq.Received))
	ex.ga.mu.Unlock()
	ex.logOutcome(event.RequestAnswered, result.OK, "")
}

// deliverStream sends the caller the events of a stream as they arrive, and resumes a broken stream
// at another server.
func (ex *exchange) deliverStream(ctx context.Context, se *attemptState) {
	if err := ex.responder.WriteHead(se.response.Status, se.response.Header); err != nil {
		se.discard()
		ex.logOutcome(event.RequestFailed, result.Stopped, err.Error())
		return
	}
	for {
		err := ex.relayEvents(se)
		se.logMalformed(err)
		now := clock.Now()
		var er *result.Error
		switch {
		case err == nil:
			se.end(attemptAnswered)
			ex.ga.recordHealth(ctx, se, true, now)
			ex.ga.recordStreamPace(se, now)
			ex.logAnswered()
			return
		case errors.As(err, &er):
			se.discard()
			ex.logOutcome(event.RequestFailed, er.Code(), er.Detail())
			ex.responder.Abort()
			return
		}
		se.end(attemptBroken)
		if !se.stalled.Load() {
			ex.ga.connectionLost(ctx, se.server)
			ex.awaitVerdictBeforeRetry(ctx)
		}
		ex.ga.recordHealth(ctx, se, false, now)
		if se = ex.resume(ctx, err); se == nil {
			return
		}
		ex.finalAttempt = se
	}
}

// recordStreamPace records the pace of a stream for the roll-out of its service, once. Unlike the time to
// the head, the pace does not depend on the prompt.
func (ga *Gateway) recordStreamPace(se *attemptState, now time.Time) {
	gap, ok := se.pace.Take()
	if !ok {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.observeDuration(se.server, comparison.Work{Kind: "event " + se.ex.modelKey(se.step.Model()), Load: se.load}, gap, now)
}

// resume resumes a broken stream at another server. It returns nil if the request has ended instead.
func (ex *exchange) resume(ctx context.Context, cause error) *attemptState {
	step := ex.request.Broken(clock.Now())
	for step.Op() == direct.Send && ctx.Err() == nil {
		se := ex.sendAttempt(ctx, step)
		step = ex.handleOutcome(ctx, se)
		if step.Op() == direct.Deliver && se.response.Stream {
			return se
		}
		se.discard()
	}
	co := result.AnswerBroken
	if ctx.Err() != nil {
		co = result.Stopped
	}
	ex.logOutcome(event.RequestFailed, co, cause.Error())
	ex.responder.Abort()
	return nil
}

// relayEvents forwards events until the stream ends. The error is nil at the end of the stream, a
// *result.Error if nothing more can be sent to the caller, and another one if the stream broke.
func (ex *exchange) relayEvents(se *attemptState) error {
	stall := ex.stallTimeout()
	stallTimer := time.AfterFunc(stall, func() { ex.onStall(se) })
	defer stallTimer.Stop()
	re, sq := sse.NewReader(se.response.Body), sse.NewSequence(ex.request.Resumable)
	for {
		ev, err := re.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		stallTimer.Reset(stall)
		if now := clock.Now(); se.pace.Event(now) {
			ex.ga.recordStreamPace(se, now)
		}
		isNew, err := sq.Accept(ev, ex.cursor)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		if err := ex.responder.WriteChunk(ev.Raw()); err != nil {
			return result.New(result.Stopped, err.Error())
		}
		ex.cursor.Advance(ev)
	}
}

// stallTimeout returns the time without events after which a stream is resumed at another server.
func (ex *exchange) stallTimeout() time.Duration {
	if ex.route.Gap > 0 {
		return time.Duration(stallFactor * float64(ex.route.Gap))
	}
	return defaultStall
}

// onStall abandons a stream without events if it can be resumed at another server. Otherwise it
// keeps waiting, since a stall alone is no reason to end a stream. It runs on a timer while
// relayEvents waits, during which the state of the request does not change.
func (ex *exchange) onStall(se *attemptState) {
	if ex.request.CanResume(clock.Now()) && ex.canRetryElsewhere(se) {
		se.stalled.Store(true)
		se.cancel()
	}
}

// canRetryElsewhere reports whether another server and a retry are available.
func (ex *exchange) canRetryElsewhere(se *attemptState) bool {
	ga, now := ex.ga, clock.Now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	query := ga.restrictVersion(pool.Query{Service: ex.service, Tried: []string{se.server.ID}, ColdLimit: ga.coldLimit(ex.service)}, ex, now)
	_, ok := ga.pool.Pick(query, 0, now)
	return ok && ga.window(ex.service).Remaining(now) >= 1
}

// codeOf returns the result code of an error. It is Stopped if the error has none, which means that
// the caller's connection failed.
func codeOf(err error) result.Code {
	var er *result.Error
	if errors.As(err, &er) {
		return er.Code()
	}
	return result.Stopped
}
