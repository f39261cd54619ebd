package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/garble"
)

// Faults of servers that send what no well-behaved server does.
const (
	// ServerRepeatsResponses makes a backend server reject a fraction of its requests and send a fraction of its
	// responses twice: at once, or in the place of the next response on the connection.
	ServerRepeatsResponses FaultKind = "server-repeats"
	// ServerEndlessHead makes all backend servers answer with a response head without end.
	ServerEndlessHead FaultKind = "server-endless-head"
	// ServerHangs makes it stop within a fraction of its streams, until hangTime has passed or the connection is
	// closed.
	ServerHangs FaultKind = "server-hangs"
)

const (
	// misbehaviourCount is how many faults of each kind WithMisbehaviour adds.
	misbehaviourCount = 2
	// rejectedFraction, repeatedFraction and hangingFraction are the fractions of requests that the faults affect.
	rejectedFraction = 0.3
	repeatedFraction = 0.3
	hangingFraction  = 0.2
	// hangTime is longer than gateways wait for an event, with closeNotice.
	hangTime = 2 * time.Second
	// maxRecordedBytes is the size up to which a response can be repeated.
	maxRecordedBytes = 4 << 10
	// endlessInterval is the time between two parts of an endless head of endlessPart bytes each.
	endlessInterval = 2 * time.Millisecond
	endlessPart     = 16 << 10
)

// misbehaviourKinds are the kinds of fault that WithMisbehaviour adds.
var misbehaviourKinds = []FaultKind{ServerRepeatsResponses, ServerEndlessHead, ServerHangs}

// WithMisbehaviour adds servers that repeat their responses, send heads without end and stop within streams. It
// has a random source of its own, so that the other faults of the seed remain the same.
func (pl Plan) WithMisbehaviour() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+7))
	pl.Faults = slices.Clone(pl.Faults)
	for range misbehaviourCount {
		for _, ki := range misbehaviourKinds {
			pl.Faults = append(pl.Faults, pl.drawServerFault(rn, ki))
		}
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// repeatingConn is a server's connection that can send a response twice.
type repeatingConn struct {
	net.Conn
	mu sync.Mutex
	// repeat is set if the next response is sent twice, late if its second copy waits for the next response.
	repeat, late bool
	// surplus is a second copy that is still to be sent.
	surplus []byte
	// change is the change of the next write, empty for none.
	change garble.Change
}

type repeatingConnKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, repeatingConnKey{}, conn)
}

// Write sends a response, which the server writes at once if it is short.
func (rc *repeatingConn) Write(data []byte) (int, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if ch := rc.change; ch != "" && len(data) > 0 {
		rc.change = ""
		return rc.writeChanged(ch, data)
	}
	n, err := rc.Conn.Write(data)
	if !rc.repeat || err != nil || len(data) > maxRecordedBytes {
		return n, err
	}
	rc.repeat = false
	if rc.late {
		rc.surplus = bytes.Clone(data)
	} else {
		_, _ = rc.Conn.Write(data)
	}
	return n, nil
}

// sendSurplus sends the second copy of an earlier response if there is one, and decides whether the next response
// is sent twice.
func (rc *repeatingConn) sendSurplus(repeat bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.surplus != nil {
		_, _ = rc.Conn.Write(rc.surplus)
		rc.surplus = nil
	}
	rc.repeat, rc.late = repeat, rand.Float64() < 0.5
}

// repeatingListener accepts connections that can send a response twice.
type repeatingListener struct{ net.Listener }

// Accept returns the next connection.
func (rl repeatingListener) Accept() (net.Conn, error) {
	conn, err := rl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn}, nil
}

// repeatResponses applies ServerRepeatsResponses to a request. It reports whether the request is to be rejected.
func (se *server) repeatResponses(r *http.Request) (reject bool) {
	rc, ok := r.Context().Value(repeatingConnKey{}).(*repeatingConn)
	if !ok {
		return false
	}
	rc.sendSurplus(!strings.HasPrefix(r.URL.Path, "/stream/") && se.faultActive(ServerRepeatsResponses, repeatedFraction))
	return se.faultActive(ServerRepeatsResponses, rejectedFraction)
}

// sendEndlessHead sends a response head until the connection is closed.
func sendEndlessHead(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for line := strings.Repeat("X-Line: x\r\n", endlessPart/11); err == nil; time.Sleep(endlessInterval) {
		_, err = io.WriteString(conn, line)
	}
}

// closeNotice is the time within which a server must learn that a stream went on elsewhere, memoryInterval the
// interval at which the memory of gateways is measured, and maxResidentGrowth its maximum growth in bytes.
const (
	closeNotice       = 400 * time.Millisecond
	memoryInterval    = 20 * time.Millisecond
	maxResidentGrowth = 64 << 20
)

// residentRange is the least and the most resident memory of a gateway in bytes.
type residentRange struct{ least, most int }

func (rr *residentRange) add(bytes int) {
	if bytes == 0 {
		return
	}
	if rr.least == 0 || bytes < rr.least {
		rr.least = bytes
	}
	rr.most = max(rr.most, bytes)
}

// endlessHeads makes all servers send heads without end until the end of the fault.
func (sr *soakRun) endlessHeads(fa Fault) {
	sr.mu.Lock()
	servers := slices.Clone(sr.servers)
	sr.mu.Unlock()
	for _, se := range servers {
		se.addFault(fa.Kind, 1)
	}
	sr.waitForEnd(fa)
	for _, se := range servers {
		se.addFault(fa.Kind, -1)
	}
}

// checkSingleRuns finds streams that a server still worked on closeNotice after they went on elsewhere.
func (hi *history) checkSingleRuns(ou outcome, executions []execution) []Violation {
	var list []Violation
	for i := 1; i < len(executions) && strings.HasPrefix(ou.path, "/stream/"); i++ {
		before, next := executions[i-1], executions[i]
		if hi.clock.Between(next.at, before.ended) <= closeNotice || hi.disturbedBeside(suspensionKinds, ou.gateway, next.at, before.ended) || hi.serverImpaired(next.at) {
			continue
		}
		list = append(list, Violation{SingleRun, ou.id, fmt.Sprintf("%s worked on it for %s after it went on at %s, %s", before.server, before.ended.Sub(next.at), next.server, before.closedAfter(next.at))})
	}
	return list
}

// closedAfter says when the gateway ended the connection, which separates a late gateway from a late server.
func (ex execution) closedAfter(at time.Time) string {
	if ex.closed.IsZero() {
		return "its connection was open"
	}
	return fmt.Sprintf("its connection was closed after %s", ex.closed.Sub(at))
}

// serverImpaired reports whether the connections to any server were impaired shortly before a time, or before the end of a
// connection that was ended then had been sent again.
func (hi *history) serverImpaired(at time.Time) bool {
	until := at
	if hi.plan.MissedEnds {
		until = at.Add(fleet.Retransmission)
	}
	return slices.ContainsFunc(hi.plan.Faults, func(fa Fault) bool {
		impairs := fa.Kind == ServerStall || fa.Kind == ServerReset || fa.Kind == ConnectionsSilent
		return impairs && hi.overlaps(fa, at.Add(-settleTime), until)
	})
}

// watchMemory measures the memory of the gateways until the context ends.
func (sr *soakRun) watchMemory(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(memoryInterval) {
		for i, gw := range sr.gateways {
			if !gw.restartMu.TryLock() {
				continue
			}
			resident := residentBytes(gw.process.PID())
			gw.restartMu.Unlock()
			sr.mu.Lock()
			sr.history.resident[i].add(resident)
			sr.mu.Unlock()
		}
	}
}

// residentBytes returns the resident memory of a process, zero if it has ended.
func residentBytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(status))
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// checkMemory finds gateways that used too much memory.
func (hi *history) checkMemory() []Violation {
	if len(hi.plan.Crowds) > 0 {
		return hi.checkUse()
	}
	var list []Violation
	for gateway, rr := range hi.resident {
		if rr.most-rr.least > maxResidentGrowth {
			list = append(list, Violation{BoundedMemory, "", fmt.Sprintf("gateway %d used %d MB, at least %d MB", gateway, rr.most>>20, rr.least>>20)})
		}
	}
	return list
}
