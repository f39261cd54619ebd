package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

const (
	// firstEventAt is when the first attempt gets its outcome, orderedTimeout the time that the caller waits.
	firstEventAt   = 10 * time.Millisecond
	orderedTimeout = 400 * time.Millisecond
)

// orderedOutcome is what becomes of an attempt. Its values name test cases.
type orderedOutcome string

const (
	outcomeAnswered    orderedOutcome = "response"
	outcomeFailed      orderedOutcome = "failure"
	outcomeRejected    orderedOutcome = "rejection"
	outcomeReplaced    orderedOutcome = "another server at the address"
	outcomeAmbiguous   orderedOutcome = "unmarked rejection"
	outcomeBroken      orderedOutcome = "connection breaks"
	outcomeUnreachable orderedOutcome = "connection refused"
	outcomeUnsent      orderedOutcome = "not written"
	outcomeSilent      orderedOutcome = "no response"
)

// runs reports whether an attempt with the outcome runs.
func (oo orderedOutcome) runs() bool {
	switch oo {
	case outcomeRejected, outcomeReplaced, outcomeUnreachable, outcomeUnsent:
		return false
	}
	return true
}

// orderedBackend gives the first attempt an outcome and answers all others. An attempt that runs does so at once.
type orderedBackend struct {
	first orderedOutcome

	mu          sync.Mutex
	calls, runs int
}

func (ob *orderedBackend) CheckReachable(context.Context, directory.Server) error { return nil }

func (ob *orderedBackend) Call(ctx context.Context, at *Attempt) (*Response, error) {
	ob.mu.Lock()
	ob.calls++
	oo := outcomeAnswered
	if ob.calls == 1 {
		oo = ob.first
	}
	if ctx.Err() != nil || !at.Wanted() {
		ob.mu.Unlock()
		return nil, ErrNotSent
	}
	if oo.runs() {
		ob.runs++
	}
	ob.mu.Unlock()
	wait := firstEventAt
	if oo == outcomeSilent {
		wait = time.Hour
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		if !oo.runs() {
			return nil, ErrNotSent
		}
		return nil, ctx.Err()
	}
	switch oo {
	case outcomeRejected:
		return nil, &RefusedError{Reason: "full"}
	case outcomeReplaced:
		return nil, &RefusedError{Reason: "replaced", Gone: true}
	case outcomeAmbiguous:
		return nil, &AmbiguousError{Status: "503"}
	case outcomeBroken:
		return nil, errors.New("reset")
	case outcomeUnreachable:
		return nil, ErrUnreachable
	case outcomeUnsent:
		return nil, ErrNotSent
	}
	resp := &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\n\n")), Confidence: -1}
	if oo == outcomeFailed {
		resp.Status = http.StatusInternalServerError
	}
	resp.Stream = strings.HasPrefix(at.Request.Path, "/stream/") && resp.Status == http.StatusOK
	return resp, nil
}

// orderedResponder records the code that the caller gets.
type orderedResponder struct{ code result.Code }

func (or *orderedResponder) WriteResponse(int, http.Header, []byte) error         { return nil }
func (or *orderedResponder) WriteHead(int, http.Header) error                     { return nil }
func (or *orderedResponder) WriteChunk([]byte) error                              { return nil }
func (or *orderedResponder) WriteError(co result.Code, _ string, _ time.Duration) { or.code = co }
func (or *orderedResponder) Abort()                                               {}

// orderedDocument is a configuration in which the routes have a kind.
func orderedDocument(version uint64, unsafe routing.Kind) *routing.Document {
	split := []routing.Share{{Service: "s", Weight: 1}}
	target, timeout := 150*time.Millisecond, 800*time.Millisecond
	return &routing.Document{
		Version: version, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: unsafe, Attempts: 1, Split: split, Target: target, Timeout: timeout},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.Safe, Attempts: 2, Split: split, Target: target, Timeout: timeout},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Streaming, Attempts: 3, Resumable: true, Split: split, Target: target, Timeout: timeout},
		},
	}
}

// orderedEvents are what may happen beside the first attempt.
var orderedEvents = map[string]func(ga *Gateway, rq *Request, leave func()){
	"nothing":                func(*Gateway, *Request, func()) {},
	"caller leaves":          func(_ *Gateway, _ *Request, leave func()) { leave() },
	"gateway stops":          func(ga *Gateway, _ *Request, _ func()) { ga.Stop(PlanStop(clock.Now(), time.Second)) },
	"bounds are reloaded":    func(ga *Gateway, _ *Request, _ func()) { ga.SetBounds(Bounds{RetryRatio: 2, RetryWindow: time.Second}) },
	"retries are forbidden":  func(ga *Gateway, _ *Request, _ func()) { ga.SetBounds(Bounds{RetryWindow: time.Second}) },
	"routes may be repeated": applied(Change{Document: orderedDocument(2, routing.Safe)}),
	"route is removed":       applied(Change{Document: &routing.Document{Version: 2, Services: []routing.Service{{Name: "s"}}}}),
	"all servers drain": applied(Change{Server: drainingServer("x0", "dc0")}, Change{Server: drainingServer("x1", "dc1")},
		Change{Server: drainingServer("x2", "dc2")}),
	"all servers are gone": applied(Change{Gone: "x0"}, Change{Gone: "x1"}, Change{Gone: "x2"}),
	"servers are replaced": applied(Change{Server: bornServer("x0", "dc0")}, Change{Server: bornServer("x1", "dc1")}, Change{Server: bornServer("x2", "dc2")}),
	"request is blocked": func(ga *Gateway, rq *Request, _ func()) {
		bl := poison.NewBlock(poison.FingerprintOf(poison.Request{Method: rq.Method, Host: rq.Host, Target: rq.Target}), time.Minute, clock.WallTime())
		applied(Change{Blocked: &bl})(ga, rq, nil)
	},
	"data centre is evacuated": applied(Change{Evacuated: "dc0"}),
	"a report arrives":         func(ga *Gateway, _ *Request, _ func()) { ga.Reported(relay.Report{Box: "b", Ready: true, Gateways: 2}) },
}

// applied returns an event in which changes arrive.
func applied(changes ...Change) func(ga *Gateway, rq *Request, leave func()) {
	return func(ga *Gateway, _ *Request, _ func()) {
		ga.mu.Lock()
		defer ga.mu.Unlock()
		for _, ch := range changes {
			ga.applyChange(ch)
		}
	}
}

func drainingServer(id, dataCentre string) *directory.Server {
	se := *serverChange(id, dataCentre).Server
	se.Draining, se.Seq = true, 2
	return &se
}

func bornServer(id, dataCentre string) *directory.Server {
	se := *serverChange(id, dataCentre).Server
	se.Born = 2
	return &se
}

// orderedGateway returns a gateway with three servers and the routes of orderedDocument.
func orderedGateway(ob *orderedBackend) *Gateway {
	ga := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc0", Backend: ob, Bounds: Bounds{RetryRatio: 1, RetryWindow: time.Second}}
	ga.prepare()
	changes := []Change{{Document: orderedDocument(1, routing.Unsafe)}, serverChange("x0", "dc0"), serverChange("x1", "dc1"), serverChange("x2", "dc2")}
	if err := ga.applyReadState(State{Revision: rev(1), Changes: changes}, clock.Now()); err != nil {
		panic(err)
	}
	return ga
}

// Guards against a request that runs twice, or is refused though it ran, for an order of two events: each outcome of
// its first attempt, and each other event a moment before it, after it or at the deadline.
func TestOrdersOfTwoEventsKeepThePromises(t *testing.T) {
	outcomes := []orderedOutcome{
		outcomeAnswered, outcomeFailed, outcomeRejected, outcomeReplaced, outcomeAmbiguous, outcomeBroken, outcomeUnreachable, outcomeUnsent, outcomeSilent,
	}
	delays := []time.Duration{
		0, firstEventAt - time.Millisecond, firstEventAt - 1, firstEventAt, firstEventAt + 1, firstEventAt + time.Millisecond,
		2 * firstEventAt, 150 * time.Millisecond, orderedTimeout - 1, orderedTimeout, orderedTimeout + 1,
	}
	limits := map[string]int{"/unsafe/x": 1, "/safe/x": 2, "/stream/x": 3}
	orders := 0
	for _, oo := range outcomes {
		for name, event := range orderedEvents {
			for _, delay := range delays {
				for path, limit := range limits {
					// A deadline a moment before, at or after the outcome.
					for _, timeout := range []time.Duration{orderedTimeout, firstEventAt - 1, firstEventAt, firstEventAt + 1} {
						orders++
						synctest.Test(t, func(t *testing.T) {
							ob, or := &orderedBackend{first: oo}, &orderedResponder{}
							ga := orderedGateway(ob)
							ctx, leave := context.WithCancel(t.Context())
							rq := &Request{
								ID: "r", Host: "h", Path: path, Method: http.MethodPost, Target: path, Received: clock.Now(), Timeout: timeout,
								ReadBody: func(time.Time) (*buffer.Segments, error) { return nil, nil },
							}
							go func() { time.Sleep(delay); event(ga, rq, leave) }()
							ga.Serve(ctx, rq, or)
							leave()
							order := fmt.Sprintf("%s: %s, %s after %s, deadline %s", path, oo, name, delay, timeout)
							require.LessOrEqual(t, ob.runs, limit, order)
							if or.code != 0 && result.Lookup(or.code).Run() == result.DidNotRun {
								require.Zero(t, ob.runs, "%s: code %d", order, or.code)
							}
							time.Sleep(time.Second) // timers in progress
						})
					}
				}
			}
		}
	}
	t.Logf("%d orders", orders)
}
