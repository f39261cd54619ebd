package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// maxAttempts is how often a caller sends an operation at most.
	maxAttempts = 3
	// departingFraction is the fraction of attempts that their caller abandons, at most departWithin after it
	// sent them.
	departingFraction = 0.08
	departWithin      = 250 * time.Millisecond
	// lastBytesPause is the time from the last bytes that a departing caller sends until it closes the connection.
	lastBytesPause = 10 * time.Millisecond
	// slowBodyFraction is the fraction of attempts whose body follows bodyPause after their head.
	slowBodyFraction = 0.1
	bodyPause        = 10 * time.Millisecond
	// maxOperationBody is the largest body in bytes.
	maxOperationBody = 900
	// patience is added to requestDeadline before a caller closes a connection without a response.
	patience = timingSlack
	// serverIdleTimeout is the time after which servers close idle connections.
	serverIdleTimeout = 150 * time.Millisecond
)

// operationPaths are the paths of operations.
var operationPaths = []string{"/safe/x", "/unsafe/x", "/stream/x", longPath}

// ending is how an attempt ended for its caller. Its values appear in reports.
type ending string

// The endings of attempts.
const (
	// endedAnswered: a complete response.
	endedAnswered ending = "answered"
	// endedPromised: a response that promises that the attempt did not run and never will.
	endedPromised ending = "promised"
	// endedUnread: the connection was refused or reset before any response, which callers take for not read.
	endedUnread ending = "unread"
	// endedClosed: the connection was closed before any response.
	endedClosed ending = "closed"
	// endedBroken: the response ended early or was a failure.
	endedBroken ending = "broken"
	// endedDeparted: the caller closed the connection itself.
	endedDeparted ending = "departed"
)

// operation is what a caller wants done. Each attempt has a request id of its own.
type operation struct {
	caller   *operationCaller
	name     string
	path     string
	key      string
	began    time.Time
	attempts []outcome
	// lastEvent is the id of the last event that the caller has received of a stream.
	lastEvent int
}

// repeatable reports whether the operation may run more than once.
func (op *operation) repeatable() bool { return !strings.HasPrefix(op.path, "/unsafe/") }

// operationCaller is a client that keeps its connections and retries operations on new ones.
type operationCaller struct {
	run  *soakRun
	id   int
	rand *rand.Rand
	// idle holds the open connection to each gateway, used until the gateway closes it.
	idle map[int]*callerConn
}

// callerConn is a connection to a gateway.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// runOperations performs operations one after another until done is closed.
func (sr *soakRun) runOperations(done <-chan struct{}, caller int) {
	oc := &operationCaller{run: sr, id: caller, rand: rand.New(rand.NewPCG(sr.plan.Seed, uint64(caller))), idle: map[int]*callerConn{}}
	defer oc.closeAll()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		op := &operation{
			caller: oc, name: fmt.Sprintf("o-%d-%d", caller, n), path: operationPaths[oc.rand.IntN(len(operationPaths))],
			key: sr.pickKey(caller + n + 1), began: time.Now(),
		}
		op.perform()
		sr.mu.Lock()
		sr.history.operations = append(sr.history.operations, op)
		sr.history.outcomes = append(sr.history.outcomes, op.attempts...)
		sr.mu.Unlock()
		time.Sleep(requestInterval)
	}
}

func (oc *operationCaller) closeAll() {
	for _, cc := range oc.idle {
		_ = cc.Close()
	}
}

// perform sends the operation until it has succeeded or must not be sent again.
func (op *operation) perform() {
	oc := op.caller
	gateway := oc.rand.IntN(len(oc.run.gateways))
	for len(op.attempts) < maxAttempts && time.Since(op.began) < requestDeadline {
		ou := outcome{
			id: fmt.Sprintf("%s.%d", op.name, len(op.attempts)), path: op.path, key: op.key, gateway: gateway, sent: time.Now(), from: op.lastEvent,
		}
		wait := op.send(&ou, len(op.attempts) > 0)
		ou.done = time.Now()
		op.attempts = append(op.attempts, ou)
		again := ou.ending == endedPromised || ou.ending == endedUnread || ou.ending != endedAnswered && op.repeatable()
		if !again || ou.status/100 == 4 && ou.ending != endedPromised {
			return
		}
		time.Sleep(min(wait, (requestDeadline-time.Since(op.began))/3))
		gateway = (gateway + 1) % len(oc.run.gateways)
	}
}

// send makes one attempt. It returns the Retry-After of its response.
func (op *operation) send(ou *outcome, onNew bool) (wait time.Duration) {
	oc := op.caller
	ou.incomplete, ou.ending = true, endedUnread
	cc, err := oc.connect(ou.gateway, onNew)
	if err != nil {
		return 0
	}
	if err := op.write(cc, ou); err != nil {
		_ = cc.Close()
		return 0
	}
	limit := requestDeadline + patience
	if oc.rand.Float64() < departingFraction {
		limit = time.Duration(oc.rand.Int64N(int64(departWithin)))
	}
	_ = cc.SetReadDeadline(time.Now().Add(limit))
	resp, err := cc.readResponse()
	if err != nil {
		ou.ending = endingOf(err)
		oc.leave(cc)
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ou.status, ou.body = resp.StatusCode, string(body)
	op.readEvents(ou.body)
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	wait = time.Duration(after * float64(time.Second))
	ou.ending = endingWith(ou.status, err)
	switch {
	case err != nil:
		oc.leave(cc)
		return wait
	case resp.Close:
		_ = cc.Close()
	default:
		_ = cc.SetReadDeadline(time.Time{})
		oc.idle[ou.gateway] = cc
	}
	ou.incomplete = false
	return wait
}

// readResponse reads the head of a response. Its error is the connection's own if there was no response.
func (cc *callerConn) readResponse() (*http.Response, error) {
	// ReadResponse replaces the error of the connection.
	if _, err := cc.reader.Peek(1); err != nil {
		return nil, err
	}
	return http.ReadResponse(cc.reader, nil)
}

// endingWith returns how an attempt ended that got a response, with an error if its body is incomplete.
func endingWith(status int, err error) ending {
	switch {
	case isTimeout(err):
		return endedDeparted
	case err != nil:
		return endedBroken
	case isPromise(status):
		return endedPromised
	case status >= http.StatusInternalServerError:
		return endedBroken
	}
	return endedAnswered
}

// connect returns a connection to a gateway, the one that is open unless a new one is needed.
func (oc *operationCaller) connect(gateway int, onNew bool) (*callerConn, error) {
	cc := oc.idle[gateway]
	delete(oc.idle, gateway)
	if cc != nil && !onNew {
		return cc, nil
	}
	if cc != nil {
		_ = cc.Close()
	}
	address := oc.run.gateways[gateway].address
	if oc.run.runner.Defect == ResetsCallers {
		address = oc.run.gateways[gateway].clientProxy.Address()
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to gateway: %w", err)
	}
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// leave closes a connection: with its end, or with a reset, and behind an empty line or not.
func (oc *operationCaller) leave(cc *callerConn) {
	if oc.rand.IntN(2) == 0 {
		_, _ = io.WriteString(cc, "\r\n")
		time.Sleep(lastBytesPause)
	}
	if tc, ok := cc.Conn.(*net.TCPConn); ok && oc.rand.IntN(2) == 0 {
		_ = tc.SetLinger(0)
	}
	_ = cc.Close()
}

// write sends the request of an attempt with a body that has a length or is chunked.
func (op *operation) write(cc *callerConn, ou *outcome) error {
	rn := op.caller.rand
	body := strings.Repeat("b", rn.IntN(maxOperationBody))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: %d\r\n",
		ou.path, ou.id, ou.key, (requestDeadline - time.Since(op.began)).Milliseconds())
	if ou.from > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\n", ou.from)
	}
	if rn.IntN(2) == 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		body += "0\r\n\r\n"
	}
	if rn.Float64() < slowBodyFraction {
		if _, err := io.WriteString(cc, head); err != nil {
			return err
		}
		time.Sleep(bodyPause)
		head = ""
	}
	_, err := io.WriteString(cc, head+body)
	return err
}

// readEvents advances the position in a stream to the last complete event of a body.
func (op *operation) readEvents(body string) {
	if !strings.HasPrefix(op.path, "/stream/") {
		return
	}
	events := strings.Split(body, "\n\n")
	for _, ev := range events[:len(events)-1] {
		var n int
		if _, err := fmt.Sscanf(ev, "id: %d\n", &n); err == nil {
			op.lastEvent = n
		}
	}
}

func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// endingOf returns how an attempt ended whose connection failed before a response.
func endingOf(err error) ending {
	switch {
	case isTimeout(err):
		return endedDeparted
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return endedUnread
	case errors.Is(err, io.EOF):
		return endedClosed
	}
	return endedBroken
}

// checkOperations finds operations that ran more than once in spite of callers that repeat them only as far as
// they may, and attempts that servers worked on after their caller had closed the connection.
func (hi *history) checkOperations() []Violation {
	var list []Violation
	for _, op := range hi.operations {
		var runs []string
		for _, ou := range op.attempts {
			executions := hi.executions.executionsOf(ou.id)
			for _, ex := range executions {
				runs = append(runs, fmt.Sprintf("%s on %s (%s, %d)", ou.id, ex.server, ou.ending, ou.status))
			}
			if ou.ending == endedUnread && len(executions) > 0 {
				list = append(list, Violation{UnreadNotExecuted, ou.id, "its connection was reset, but it was executed on " + executions[0].server})
			}
			if ou.ending == endedDeparted && len(executions) > 0 && hi.suspendedThroughout(ou) {
				list = append(list, Violation{DepartedNotExecuted, ou.id, "its caller had left before it was read, but it was executed on " + executions[0].server})
			}
			list = append(list, hi.checkDeparture(ou, executions)...)
		}
		if !op.repeatable() && len(runs) > 1 {
			list = append(list, Violation{OperationOnce, op.name, fmt.Sprint("ran in ", runs)})
		}
	}
	return list
}

// checkDeparture finds a stream or a long request that a server worked on abandonNotice after its caller had left.
func (hi *history) checkDeparture(ou outcome, executions []execution) []Violation {
	if ou.ending != endedDeparted || ou.path != longPath && !strings.HasPrefix(ou.path, "/stream/") || !hi.undisturbed(ou.gateway, ou.sent, ou.done) {
		return nil
	}
	for _, ex := range executions {
		late := hi.clock.Between(ou.done, ex.at) > abandonNotice
		if (late || hi.clock.Between(ou.done, ex.ended) > abandonNotice) && !hi.serverImpaired(ou.done) && hi.undisturbed(ou.gateway, ou.done, ou.done.Add(abandonNotice)) {
			return []Violation{{AbandonedStops, ou.id, fmt.Sprintf("%s worked on it until %s after its caller had left, %s", ex.server, ex.ended.Sub(ou.done), ex.closedAfter(ou.done))}}
		}
	}
	return nil
}

// abandonNotice is the time within which servers must stop working on what no caller waits for.
const abandonNotice = 500 * time.Millisecond

// endings counts how the attempts of operations ended, and how many of those ran.
func (hi *history) endings() map[ending][2]int {
	counts := map[ending][2]int{}
	for _, op := range hi.operations {
		for _, ou := range op.attempts {
			count := counts[ou.ending]
			count[0]++
			if len(hi.executions.executionsOf(ou.id)) > 0 {
				count[1]++
			}
			counts[ou.ending] = count
		}
	}
	return counts
}
