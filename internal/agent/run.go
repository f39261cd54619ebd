package agent

import (
	"bytes"
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

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// readBytes is how much of an answer one frame carries at the most.
const readBytes = 16 << 10

// run is one attempt on the backend server.
type run struct {
	ag  *Agent
	li  *link.Link
	key gate.Key
	at  *wire.Attempt
	// decided is when the gate let the attempt start.
	decided time.Time
	seq     uint32
	// sent is what is remembered of the attempt in case the server ends; nil before it is
	// sent.
	sent *poison.Run
	// broke is set if the server broke the connection off, refused if nobody listened.
	broke, refused bool
}

// do runs the attempt to its end and tells the entry.
func (ru *run) do(ctx context.Context) {
	co, us := ru.call(ctx)
	if co != result.OK && ctx.Err() != nil {
		// The caller or its entry went away; that says nothing of the server.
		co = result.Stopped
	}
	ru.settle(ctx, co)
	var lines []wire.BillLine
	if co == result.OK {
		lines = []wire.BillLine{ru.bill(us)}
	}
	lo := ru.ag.ended(ru.key, ru.at, co)
	ru.send(ctx, &wire.Frame{Kind: wire.End, Code: co, Usage: us, Bills: lines, Load: &lo, Stamp: ru.ag.Node.Stamp()})
	metrics.Attempts.Add(result.Of(co).Name(), 1)
	ru.ag.Node.Note(timeline.Entry{
		Event: event.AttemptEnded, Request: ru.at.Request, Team: ru.at.Team,
		Version: ru.at.Version, Detail: result.Of(co).Name(),
	})
}

// call sends the request to the backend server and passes the answer on.
func (ru *run) call(ctx context.Context) (result.Code, *wire.Usage) {
	req, err := ru.request(ctx)
	if err != nil {
		return result.NotDispatched, nil
	}
	if gate.Stalled(ru.decided, clock.Now()) {
		// The process was frozen after the gate decided, so what the gate knew
		// is out of date.
		return result.NotDispatched, nil
	}
	ru.begin()
	resp, err := ru.ag.HTTP.Do(req)
	if err != nil {
		co := dialCode(err)
		ru.broke, ru.refused = co == result.ServerFailed, errors.Is(err, syscall.ECONNREFUSED)
		return co, nil
	}
	defer resp.Body.Close()
	ru.answered()
	ru.ag.applySelfReport(resp)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests && ru.at.Version != "":
		return result.NotDispatched, nil
	case resp.StatusCode >= http.StatusInternalServerError && ru.at.Version != "":
		return result.ServerFailed, nil
	}
	kind := resp.Header.Get("Content-Type")
	ru.send(ctx, &wire.Frame{Kind: wire.Head, Head: &wire.AnswerHead{Status: resp.StatusCode, Type: kind}})
	me := meter{stream: strings.HasPrefix(kind, "text/event-stream"), hideUsage: ru.at.HideUsage}
	return ru.relay(ctx, resp, &me)
}

func (ru *run) relay(ctx context.Context, resp *http.Response, me *meter) (result.Code, *wire.Usage) {
	buf := make([]byte, readBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && !ru.data(ctx, me.pass(buf[:n])) {
			return result.LinkLost, nil
		}
		if err == nil {
			continue
		}
		left, us, whole := me.finish()
		if !errors.Is(err, io.EOF) || !whole {
			ru.broke = true
			return result.ServerFailed, nil
		}
		if len(left) > 0 {
			ru.data(ctx, left)
		}
		return result.OK, us
	}
}

// data passes a part on. It reports whether the attempt should go on: one
// that may not be repeated goes on without its entry.
func (ru *run) data(ctx context.Context, part []byte) bool {
	if len(part) == 0 {
		return true
	}
	return ru.send(ctx, &wire.Frame{Kind: wire.Data, Body: part}) || ru.at.Once
}

func (ru *run) send(ctx context.Context, fr *wire.Frame) bool {
	ru.seq++
	fr.Stream = ru.key.Stream
	fr.Seq = ru.seq
	return ru.li.SendWait(ctx, fr)
}

func (ru *run) request(ctx context.Context) (*http.Request, error) {
	url := "http://" + ru.ag.Node.Settings.Server.Address + ru.at.Path
	req, err := http.NewRequestWithContext(ctx, ru.at.Method, url, bytes.NewReader(ru.at.Body))
	if err != nil {
		return nil, eris.Wrap(err, "backend request")
	}
	if ru.at.Type != "" {
		req.Header.Set("Content-Type", ru.at.Type)
	}
	req.Header.Set("X-Request-Id", ru.at.Request)
	req.Header.Set("X-Attempt", strconv.Itoa(ru.at.Number))
	return req, nil
}

// dialCode tells a server that was never reached from one that may have run
// the request.
func dialCode(err error) result.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.NotDispatched
	}
	return result.ServerFailed
}

// bill makes the line of a whole answer and holds it. If the entry of the
// request is gone, the line is handed to another one at once.
func (ru *run) bill(us *wire.Usage) wire.BillLine {
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
	ag.ledger.Add(li, time.Now())
	select {
	case <-ru.li.Done():
		ag.ledger.MakeAllDue(time.Now())
	default:
	}
	return li
}

// ended frees the attempt's place and returns the load after that.
func (ag *Agent) ended(key gate.Key, at *wire.Attempt, co result.Code) wire.Load {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.count(at.Version, co)
	delete(ag.streams, key)
	ag.act(ag.gate.Ended(key, clock.Now()))
	return ag.load()
}
