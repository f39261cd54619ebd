package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/response"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/transport"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// headerRequestID names the request. A server that echoes it shows which request a response belongs to.
const headerRequestID = "X-Request-Id"

// readBufferBytes is the maximum length of the response data in one frame.
const readBufferBytes = 16 << 10

// run is the execution of one attempt on the backend server.
type run struct {
	ag  *Agent
	li  *link.Link
	key gate.Key
	at  *wire.Attempt
	// decided is when the gate admitted the attempt.
	decided time.Time
	seq     uint32
	// sent is the record of the attempt that is used if the server crashes; nil before the attempt
	// is sent.
	sent *poison.Run
	// connBroken is set if the connection to the server broke, connRefused if the server did not
	// accept it.
	connBroken, connRefused bool
}

// execute runs the attempt to its end and reports the outcome to the entry.
func (ru *run) execute(ctx context.Context) {
	co, us := ru.call(ctx)
	if co != result.OK && ctx.Err() != nil {
		// The caller or its entry disconnected, so the error does not indicate a server failure.
		co = result.Stopped
	}
	ru.recordEnd(ctx, co)
	var lines []wire.BillLine
	if co == result.OK {
		lines = []wire.BillLine{ru.addBillLine(us)}
	}
	lo := ru.ag.finishAttempt(ru.key, ru.at, co)
	ru.send(ctx, &wire.Frame{Kind: wire.End, Code: co, Usage: us, Bills: lines, Load: &lo, Stamp: ru.ag.Node.Stamp()})
	metrics.Attempts.Add(result.Lookup(co).Name(), 1)
	ru.ag.Node.Record(timeline.Entry{
		Event: event.AttemptEnded, Request: ru.at.Request, Team: ru.at.Team,
		Version: ru.at.Version, Detail: result.Lookup(co).Name(),
	})
}

// call sends the request to the backend server and forwards the response.
func (ru *run) call(ctx context.Context) (result.Code, *wire.Usage) {
	req, err := ru.newRequest(ctx)
	if err != nil || !ru.decisionHolds() {
		return result.NotDispatched, nil
	}
	ru.recordSent()
	conn := transport.Connection{IDHeader: headerRequestID, RequestID: ru.at.Request, Method: ru.at.Method, Check: ru.decisionHolds}
	resp, err := conn.RoundTrip(ctx, clientTripper{ru.ag.HTTP}, func(ctx context.Context) *http.Request {
		sent := req.WithContext(ctx)
		sent.Body = transport.SingleUse(buffer.SegmentsOf(ru.at.Body))
		return sent
	})
	switch {
	case conn.CheckFailed():
		return result.NotDispatched, nil
	case err != nil:
		ru.recordMalformed(err)
		co := dialCode(err)
		ru.connBroken, ru.connRefused = co == result.ServerFailed, errors.Is(err, syscall.ECONNREFUSED)
		return co, nil
	}
	defer resp.Body.Close()
	verdict := ru.protocol().Judge(resp, ru.at.Request, conn.Reused())
	if verdict == response.Unrelated {
		conn.Discard()
		return result.ServerFailed, nil
	}
	ru.recordAnswered()
	ru.ag.applySelfReport(resp)
	switch {
	case verdict == response.Rejection:
		return result.NotDispatched, nil
	case resp.StatusCode >= http.StatusInternalServerError && ru.at.Version != "":
		return result.ServerFailed, nil
	}
	kind := resp.Header.Get("Content-Type")
	ru.send(ctx, &wire.Frame{Kind: wire.Head, Head: &wire.ResponseHead{Status: resp.StatusCode, Type: kind}})
	me := meter{streamed: strings.HasPrefix(kind, "text/event-stream"), hideUsage: ru.at.HideUsage, memory: &ru.ag.metered}
	defer me.release()
	return ru.relay(ctx, resp, &me)
}

// recordMalformed records a response that is not valid HTTP.
func (ru *run) recordMalformed(err error) {
	var malformed *response.MalformedError
	if errors.As(err, &malformed) {
		ru.ag.Node.Record(timeline.Entry{
			Event: event.ResponseMalformed, Request: ru.at.Request, Team: ru.at.Team, Version: ru.at.Version, Detail: malformed.Error(),
		})
	}
}

// protocol returns what the backend server answers. Model servers reject what exceeds their queue with 429; a plain
// service may mean anything by it.
func (ru *run) protocol() response.Protocol {
	pr := response.Protocol{RequestID: headerRequestID, Anonymous: true}
	if ru.at.Version != "" {
		pr.Rejections = []int{http.StatusTooManyRequests}
	}
	return pr
}

// clientTripper sends requests with a client.
type clientTripper struct{ *http.Client }

// RoundTrip sends a request and returns the head of its response.
func (ct clientTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return ct.Do(req) //nolint:wrapcheck // as returned by the client
}

// decisionHolds reports whether the gate's decision may still be acted on. After a suspension of the process,
// the state that it was based on may be out of date.
func (ru *run) decisionHolds() bool { return !gate.Stalled(ru.decided, clock.Now()) }

// relay forwards the body of the response and reads its usage.
func (ru *run) relay(ctx context.Context, resp *http.Response, me *meter) (result.Code, *wire.Usage) {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			chunk, ok := me.process(buf[:n])
			if !ok {
				return result.ServerFailed, nil
			}
			if !ru.sendData(ctx, chunk) {
				return result.LinkLost, nil
			}
		}
		if err == nil {
			continue
		}
		ru.recordMalformed(err)
		remaining, us, complete := me.finish()
		if !errors.Is(err, io.EOF) || !complete {
			ru.connBroken = true
			return result.ServerFailed, nil
		}
		if len(remaining) > 0 {
			ru.sendData(ctx, remaining)
		}
		return result.OK, us
	}
}

// sendData forwards a chunk of the response. It reports whether the attempt should continue. An
// attempt that must run at most once continues even if its entry is disconnected.
func (ru *run) sendData(ctx context.Context, chunk []byte) bool {
	if len(chunk) == 0 {
		return true
	}
	return ru.send(ctx, &wire.Frame{Kind: wire.Data, Body: chunk}) || ru.at.AtMostOnce
}

func (ru *run) send(ctx context.Context, fr *wire.Frame) bool {
	ru.seq++
	fr.Stream = ru.key.Stream
	fr.Seq = ru.seq
	return ru.li.SendWait(ctx, fr)
}

func (ru *run) newRequest(ctx context.Context) (*http.Request, error) {
	url := "http://" + ru.ag.Node.Settings.Server.Address + ru.at.Path
	req, err := http.NewRequestWithContext(ctx, ru.at.Method, url, transport.SingleUse(buffer.SegmentsOf(ru.at.Body)))
	if err != nil {
		return nil, eris.Wrap(err, "create request to backend server")
	}
	req.ContentLength = int64(len(ru.at.Body))
	if ru.at.Type != "" {
		req.Header.Set("Content-Type", ru.at.Type)
	}
	req.Header.Set(headerRequestID, ru.at.Request)
	req.Header.Set("X-Attempt", strconv.Itoa(ru.at.Number))
	return req, nil
}

// dialCode distinguishes a server that was never reached from one that may have run the request.
func dialCode(err error) result.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.NotDispatched
	}
	return result.ServerFailed
}

// addBillLine creates the bill line of a complete response and adds it to the outbox. If the entry of
// the request is disconnected, the line is sent to another entry immediately.
func (ru *run) addBillLine(us *wire.Usage) wire.BillLine {
	ag, at := ru.ag, ru.at
	li := wire.BillLine{Request: at.Request, Step: at.Step, Team: at.Team, Version: at.Version, Kind: at.Kind, Usage: *us, Box: ag.Node.Settings.Box}
	if at.Service != "" {
		li.Version = at.Service
		li.Usage = wire.Usage{}
	}
	if ve := ag.Node.Snapshot().Version(at.Version); ve != nil {
		li.Cost = us.Prompt*ve.InputPrice + us.Completion*ve.OutputPrice
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.outbox.Add(li, time.Now())
	select {
	case <-ru.li.Done():
		ag.outbox.MakeAllDue(time.Now())
	default:
	}
	return li
}

// finishAttempt frees the attempt's slot and returns the resulting load.
func (ag *Agent) finishAttempt(key gate.Key, at *wire.Attempt, co result.Code) wire.Load {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.countOutcome(at.Version, co)
	delete(ag.streams, key)
	ag.apply(ag.gate.Ended(key, clock.Now()))
	return ag.load()
}
