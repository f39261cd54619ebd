package httpfront

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/intake"
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/tcpstate"
)

const (
	// DefaultBodyStall is the time without progress after which an unfinished body is given up.
	DefaultBodyStall = 10 * time.Second
	// DefaultWriteStall is the time for which a caller may read nothing of its response.
	DefaultWriteStall = 30 * time.Second
	// maxReleaseWait is how long a request waits for the memory of another one that was ended.
	maxReleaseWait = time.Second
	// maxLeaving is the maximum number of connections whose callers still get a response after their place was given
	// to others.
	maxLeaving = 32
	// endBurst is the maximum number of log lines for a reason per endPeriod. All are counted.
	endBurst  = 5
	endPeriod = 10 * time.Second
)

// Reason is why a connection or an unfinished request was ended.
type Reason string

// The reasons. Memory: other requests have more right to the memory. Connections: new connections need the place.
// Refused: there is no place for a new connection. Head: the head is too long. Stalled: nothing of a body arrived.
// Late: the deadline passed before the body was complete. Unread: the caller did not read its response. Ending: the
// process ends.
const (
	ReasonMemory      Reason = "memory"
	ReasonConnections Reason = "connections"
	ReasonRefused     Reason = "refused"
	ReasonHead        Reason = "head"
	ReasonStalled     Reason = "stalled"
	ReasonLate        Reason = "late"
	ReasonUnread      Reason = "unread"
	ReasonEnding      Reason = "ending"
)

// Intake limits what all callers of a process use together. Its exported fields are set before its use.
type Intake struct {
	Limits intake.Limits
	// BodyStall and WriteStall are the times without progress after which a body and a response are given up. The
	// defaults stand for zero.
	BodyStall, WriteStall time.Duration
	// Log receives a line for each connection or unfinished request that is ended, at most endBurst of a reason in
	// endPeriod. It may be the zero value.
	Log zerolog.Logger

	logMu sync.Mutex
	// loggers holds a sampled logger for each reason.
	loggers map[Reason]zerolog.Logger

	mu     sync.Mutex
	ledger intake.Ledger
	conns  map[*intake.Conn]*callerConn
	// ending is set once no further bodies are read.
	ending bool
	// leaving is the number of connections without a place that have not been closed yet.
	leaving int
	// released is closed when memory is released, nil if no request waits for that.
	released chan struct{}
}

// Used returns the memory charged for requests in bytes.
func (in *Intake) Used() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ledger.Used()
}

// Connections returns the number of callers' connections.
func (in *Intake) Connections() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ledger.Connections()
}

// end counts and logs a connection or request that is ended.
func (in *Intake) end(re Reason) {
	metrics.Intake.Add(string(re), 1)
	vm.GetOrCreateCounter(fmt.Sprintf(`linnetrudder_intake_ended_total{reason=%q}`, re)).Inc()
	in.logMu.Lock()
	defer in.logMu.Unlock()
	if in.loggers == nil {
		in.loggers = map[Reason]zerolog.Logger{}
	}
	lo, ok := in.loggers[re]
	if !ok {
		lo = in.Log.Sample(&zerolog.BurstSampler{Burst: endBurst, Period: endPeriod})
		in.loggers[re] = lo
	}
	lo.Info().Int("event", int(event.IntakeEnded)).Str("reason", string(re)).Int64("bytes", in.Used()).
		Int64("max_bytes", in.Limits.Memory).Int("connections", in.Connections()).Int("max_connections", in.Limits.Connections).
		Msg(event.Name(event.IntakeEnded))
}

// NewIntake returns an Intake. It publishes the memory and the connections in use with their limits as gauges.
func NewIntake(li intake.Limits, bodyStall, writeStall time.Duration, lo zerolog.Logger) *Intake {
	in := &Intake{Limits: li, BodyStall: bodyStall, WriteStall: writeStall, Log: lo}
	for name, value := range map[string]func() float64{
		"linnetrudder_intake_bytes":           func() float64 { return float64(in.Used()) },
		"linnetrudder_intake_max_bytes":       func() float64 { return float64(in.Limits.Memory) },
		"linnetrudder_intake_connections":     func() float64 { return float64(in.Connections()) },
		"linnetrudder_intake_max_connections": func() float64 { return float64(in.Limits.Connections) },
	} {
		vm.GetOrCreateGauge(name, value)
	}
	return in
}

// open adds a connection, for which another one may be ended. It returns nil if the connection is refused.
func (in *Intake) open(tc *net.TCPConn, headLimit func() int) *callerConn {
	in.mu.Lock()
	in.ledger.Limits = in.Limits
	co, victim, ok := in.ledger.Open(clock.Now())
	if !ok {
		in.mu.Unlock()
		in.end(ReasonRefused)
		return nil
	}
	if in.conns == nil {
		in.conns = map[*intake.Conn]*callerConn{}
	}
	cc := &callerConn{TCPConn: tc, in: in, conn: co, headLimit: headLimit}
	in.conns[co] = cc
	if victim != nil {
		in.replace(in.conns[victim])
	}
	in.mu.Unlock()
	if victim != nil {
		in.end(ReasonConnections)
	}
	tcpstate.Control(tc, func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, co.ReceiveBuffer()) })
	return cc
}

// replace ends a connection that has lost its place. A request whose body is unfinished is rejected first. The lock is
// held.
func (in *Intake) replace(cc *callerConn) {
	in.leaving++
	if cc.conn.State() == intake.Reading && in.leaving <= maxLeaving {
		_ = cc.SetReadDeadline(longAgo)
		return
	}
	_ = cc.TCPConn.Close()
}

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// charge charges memory for a request. It waits for other requests that were ended to release theirs, for wait at most.
func (in *Intake) charge(re *intake.Request, bytes int, wait time.Duration) error {
	for end := clock.Now().Add(wait); ; {
		now := clock.Now()
		in.mu.Lock()
		ve, victim := in.ledger.Charge(re, int64(bytes), now)
		if victim != nil {
			in.interrupt(victim)
		}
		if ve == intake.Wait && in.released == nil {
			in.released = make(chan struct{})
		}
		released := in.released
		in.mu.Unlock()
		if victim != nil {
			in.end(ReasonMemory)
		}
		switch {
		case ve == intake.Granted:
			return nil
		case ve == intake.Refused, !now.Before(end):
			return errFull
		}
		select {
		case <-released:
		case <-time.After(clock.Until(end)):
		}
	}
}

// endBodies ends the reading of all bodies.
func (in *Intake) endBodies() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ending = true
	for co, cc := range in.conns {
		if co.State() == intake.Reading {
			_ = cc.SetReadDeadline(longAgo)
		}
	}
}

// interrupt ends an unfinished request. The lock is held.
func (in *Intake) interrupt(re *intake.Request) {
	cc := in.conns[re.Conn()]
	if cc == nil {
		return
	}
	if re.Conn().State() == intake.Reading {
		_ = cc.SetReadDeadline(longAgo)
		return
	}
	_ = cc.TCPConn.Close()
}

// release returns memory that was charged for a request.
func (in *Intake) release(re *intake.Request, bytes int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.releaseLocked(re, bytes)
}

// releaseLocked returns memory that was charged for a request. The lock is held.
func (in *Intake) releaseLocked(re *intake.Request, bytes int) {
	in.ledger.Release(re, int64(bytes))
	if in.released != nil {
		close(in.released)
		in.released = nil
	}
}

// isTimeout reports whether an error is that of an expired deadline.
func isTimeout(err error) bool { return err != nil && os.IsTimeout(err) }
