package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/direct"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/sse"
)

const (
	// stallPart is the part of the route's longest pause after which a silent
	// stream is continued elsewhere, so that the next event can be in time.
	stallPart = 0.7
	// defaultStall is used where a route names no pause.
	defaultStall = 2 * time.Second
)

// deliver gives the caller the answer of an attempt.
func (ex *exchange) deliver(ctx context.Context, se *sent) {
	if se.answer.Stream {
		ex.deliverStream(ctx, se)
		return
	}
	var err error
	if se.rest == nil {
		err = ex.an.Whole(se.answer.Status, se.answer.Header, se.body)
	} else {
		err = ex.deliverLong(se)
	}
	se.end("answered")
	if err != nil {
		ex.an.Abort()
		ex.note(event.RequestFailed, codeOf(err), err.Error())
		return
	}
	ex.answered()
}

func (ex *exchange) deliverLong(se *sent) error {
	if err := ex.an.Head(se.answer.Status, se.answer.Header); err != nil {
		return err
	}
	if err := ex.an.Part(se.body); err != nil {
		return err
	}
	return se.copyRest(ex.an)
}

func (ex *exchange) answered() { ex.note(event.RequestAnswered, result.OK, "") }

// deliverStream gives the caller the events of a stream as they come, and goes
// on with another server's where it breaks.
func (ex *exchange) deliverStream(ctx context.Context, se *sent) {
	if err := ex.an.Head(se.answer.Status, se.answer.Header); err != nil {
		se.drop()
		ex.note(event.RequestFailed, result.Stopped, err.Error())
		return
	}
	for {
		err := ex.relay(se)
		now := time.Now()
		var er *result.Error
		switch {
		case err == nil:
			se.end("answered")
			ex.ga.judge(ctx, se, true, now)
			ex.answered()
			return
		case errors.As(err, &er):
			se.drop()
			ex.an.Abort()
			ex.note(event.RequestFailed, er.Code(), er.Detail())
			return
		}
		se.end("broken")
		ex.ga.judge(ctx, se, false, now)
		if se = ex.resume(ctx, err); se == nil {
			return
		}
	}
}

// resume continues a broken stream; it returns nil if the request has ended.
func (ex *exchange) resume(ctx context.Context, why error) *sent {
	step := ex.request.Broken(time.Now())
	for step.Do() == direct.Send && ctx.Err() == nil {
		se := ex.open(ctx, step)
		step = ex.outcome(ctx, se)
		if step.Do() == direct.Deliver && se.answer.Stream {
			return se
		}
		se.drop()
	}
	ex.an.Abort()
	co := result.AnswerBroken
	if ctx.Err() != nil {
		co = result.Stopped
	}
	ex.note(event.RequestFailed, co, why.Error())
	return nil
}

// relay passes events on until the stream ends. It returns nil at the end, a
// coded error if the caller can't be given more, and any other error if the
// stream broke.
func (ex *exchange) relay(se *sent) error {
	stall := defaultStall
	if ex.route.Gap > 0 {
		stall = time.Duration(stallPart * float64(ex.route.Gap))
	}
	if !ex.request.Resumable {
		stall = ex.request.Deadline.Sub(ex.request.Received)
	}
	watch := time.AfterFunc(stall, se.cancel)
	defer watch.Stop()
	re := sse.NewReader(se.answer.Body)
	for {
		ev, err := re.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		watch.Reset(stall)
		if ex.has(ev) {
			continue
		}
		if err := ex.an.Part(ev.Raw()); err != nil {
			return result.New(result.Stopped, err.Error())
		}
		if ev.ID() != "" {
			ex.delivered = ev.ID()
		}
	}
}

// has reports whether the caller has an event already, as after a server began
// a resumed stream too early.
func (ex *exchange) has(ev sse.Event) bool {
	if ex.delivered == "" {
		return false
	}
	n, ok := ev.Number()
	last, had := sse.Number(ex.delivered)
	return ok && had && n <= last
}

// codeOf returns the code of an error, Stopped if it has none: the caller's
// connection failed.
func codeOf(err error) result.Code {
	var er *result.Error
	if errors.As(err, &er) {
		return er.Code()
	}
	return result.Stopped
}
