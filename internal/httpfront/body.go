package httpfront

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/hangup"
	"github.com/linnetrudder/linnetrudder/internal/intake"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// errFull is the error of a request that gets no memory.
var errFull = result.New(result.IntakeFull, "")

// BodyLimits bound one request's body.
type BodyLimits struct {
	// Bytes is the maximum size.
	Bytes int64
	// Deadline is the time until which the body is worth reading, zero for no such time.
	Deadline time.Time
	// Copies is how many times the body is held in memory besides.
	Copies int
}

// ReadBody reads the body of a request within its limits and those of all requests together, to which the parsed head
// counts. Its error carries a result code; the connection is closed after it. The body must be released.
func ReadBody(w http.ResponseWriter, r *http.Request, li BodyLimits) (*buffer.Segments, error) {
	cc := connOf(r.Context())
	body, err := readBody(r, cc, li)
	if err == nil && cc != nil && r.ContentLength != 0 && !cc.complete() {
		body.Release()
		err = errFull
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, cc.bodyError(err)
	}
	return body, nil
}

func readBody(r *http.Request, cc *callerConn, li BodyLimits) (*buffer.Segments, error) {
	if cc != nil {
		if err := cc.chargeHead(r); err != nil {
			return nil, err
		}
	}
	if r.ContentLength == 0 {
		return nil, nil //nolint:nilnil // nil is an empty body
	}
	if r.ContentLength > li.Bytes {
		return nil, buffer.ErrTooLarge
	}
	if cc == nil {
		return buffer.ReadSegments(r.Body, r.ContentLength, li.Bytes, unlimited{})
	}
	cc.setDeadline(li.Deadline)
	return buffer.ReadSegments(r.Body, r.ContentLength, li.Bytes, &requestMemory{in: cc.in, request: cc.conn.Request(), factor: 1 + li.Copies})
}

// connOf returns the connection of a request, nil if it is not served by a Server.
func connOf(ctx context.Context) *callerConn {
	cc, _ := hangup.ConnOf(ctx).(*callerConn)
	return cc
}

// bodyError returns the error of a body that was not read to its end. Nothing more of it is read.
func (cc *callerConn) bodyError(err error) error {
	reason := Reason("")
	if cc != nil {
		cc.in.mu.Lock()
		reason = cc.reason
		cc.deadline = clock.Now()
		cc.in.mu.Unlock()
	}
	var re *result.Error
	switch {
	case errors.As(err, &re):
		return err
	case errors.Is(err, buffer.ErrTooLarge):
		return result.New(result.BodyTooLarge, "")
	case reason == "":
		return result.New(result.BadRequest, "the body broke off: "+err.Error())
	case reason == ReasonStalled:
		cc.in.end(reason)
		return result.New(result.BodyStalled, "")
	case reason == ReasonLate:
		cc.in.end(reason)
		return result.New(result.DeadlinePassed, "the body was not complete")
	case reason == ReasonEnding:
		cc.in.end(reason)
		return result.New(result.Leaving, "the body was not complete")
	}
	return errFull
}

// requestMemory charges the memory of a body.
type requestMemory struct {
	in      *Intake
	request *intake.Request
	factor  int
}

// Charge charges memory.
func (rm *requestMemory) Charge(bytes int) error {
	return rm.in.charge(rm.request, rm.factor*bytes, maxReleaseWait)
}

// Release returns memory.
func (rm *requestMemory) Release(bytes int) { rm.in.release(rm.request, rm.factor*bytes) }

// unlimited is memory without a limit.
type unlimited struct{}

// Charge charges nothing.
func (unlimited) Charge(int) error { return nil }

// Release releases nothing.
func (unlimited) Release(int) {}
