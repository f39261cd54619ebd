package httpfront

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/intake"
)

const (
	// freeHeadBytes is the part of a head's memory in bytes that is not charged: the memory of a connection contains it.
	freeHeadBytes = 8 << 10
	// writeBytes is the size of a single write in bytes, for which a caller has the time limit of a response.
	writeBytes = 64 << 10
	// arrivedWait is the time limit of a read after the one for progress has passed. Bytes may have arrived while the
	// process was suspended.
	arrivedWait = 50 * time.Millisecond
	// rejection is the response to a head that is too long.
	rejection = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// callerConn is a connection of a caller whose bytes are counted.
type callerConn struct {
	*net.TCPConn
	in   *Intake
	conn *intake.Conn
	// headLimit returns the maximum size of a head in bytes.
	headLimit func() int
	closeOnce sync.Once

	// head is the unfinished head. The intake's lock guards it and the fields below.
	head headScanner
	// ahead is the memory of heads that may be among the bytes that were read while a request was served, carried
	// the part of it that may belong to the unfinished head.
	ahead, carried int
	// rejected is set once the next head was rejected without being read.
	rejected bool
	// headCharged is the memory in bytes that is charged for the head of headRequest.
	headCharged int
	headRequest *intake.Request
	// deadline is the time until which the body is read.
	deadline time.Time
	// readDeadline is the time limit of reads of the body.
	readDeadline time.Time
	// reason is why a read of the body has failed.
	reason Reason
}

// Read reads from the connection. While the head or the body of a request is unfinished, its limits apply.
func (cc *callerConn) Read(buf []byte) (int, error) {
	reading := cc.prepareRead()
	n, err := cc.TCPConn.Read(buf)
	if reading && isTimeout(err) && cc.retryRead() {
		n, err = cc.TCPConn.Read(buf)
	}
	if reading && isTimeout(err) {
		cc.setReason()
	}
	if err != nil && cc.isRejected() {
		return 0, errRejected
	}
	if n > 0 {
		large, reason := cc.received(buf[:n])
		if reason != "" {
			return 0, cc.rejectHead(reason)
		}
		if large {
			// Callers that send large bodies in small pieces must not keep others waiting.
			runtime.Gosched()
		}
	}
	return n, err //nolint:wrapcheck // as returned by the connection
}

// prepareRead sets the time limit of a read and reports whether it is one of a body.
func (cc *callerConn) prepareRead() (reading bool) {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if cc.conn.State() != intake.Reading {
		return false
	}
	now := clock.Now()
	limit := now.Add(in.bodyStall())
	if !cc.deadline.IsZero() && cc.deadline.Before(limit) {
		limit = cc.deadline
	}
	switch {
	case in.ending || cc.conn.Closed() || cc.conn.Request().Evicted():
		_ = cc.SetReadDeadline(longAgo)
	case limit.Sub(cc.readDeadline) > in.bodyStall()/8 || limit.Before(cc.readDeadline):
		cc.readDeadline = limit
		_ = cc.SetReadDeadline(time.Now().Add(limit.Sub(now)))
	}
	return true
}

// retryRead reports whether a read that has timed out is tried once more.
func (cc *callerConn) retryRead() bool {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ending || cc.conn.State() != intake.Reading || cc.conn.Closed() || cc.conn.Request().Evicted() {
		return false
	}
	cc.readDeadline = time.Time{}
	_ = cc.SetReadDeadline(time.Now().Add(arrivedWait))
	return true
}

// setReason records why a read of the body has timed out.
func (cc *callerConn) setReason() {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case cc.conn.Closed():
		cc.reason = ReasonConnections
	case cc.conn.Request().Evicted():
		cc.reason = ReasonMemory
	case in.ending:
		cc.reason = ReasonEnding
	case !cc.deadline.IsZero() && !clock.Now().Before(cc.deadline):
		cc.reason = ReasonLate
	default:
		cc.reason = ReasonStalled
	}
}

// received counts bytes that were read, and reports whether they belong to a large body. A reason is why the head to
// which they belong must be rejected.
func (cc *callerConn) received(chunk []byte) (large bool, re Reason) {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	now := clock.Now()
	switch cc.conn.State() {
	case intake.Reading:
		cc.ahead = 0
		in.ledger.Received(cc.conn, len(chunk), now)
		return cc.conn.Request().Held() > intake.SmallBytes, ""
	case intake.Waiting, intake.Idle:
		cc.ahead = 0
		in.ledger.Received(cc.conn, len(chunk), now)
		cc.head.scan(chunk)
		if cc.head.bytes > cc.headLimit()+headerTolerance {
			return false, ReasonHead
		}
		return false, cc.chargeUnfinishedHead(now)
	}
	cc.ahead += headMemory(len(chunk), bytes.Count(chunk, lineEnd))
	return false, ""
}

// chargeUnfinishedHead charges what the head will take once it is parsed. It returns why the head must be rejected. The
// lock is held.
func (cc *callerConn) chargeUnfinishedHead(now time.Time) Reason {
	in := cc.in
	charge := cc.head.memory() + cc.carried - freeHeadBytes - cc.headCharged
	if charge <= 0 {
		return ""
	}
	cc.headRequest = cc.conn.Request()
	ve, victim := in.ledger.Charge(cc.headRequest, int64(charge), now)
	if victim != nil {
		in.interrupt(victim)
		go in.end(ReasonMemory)
	}
	if ve != intake.Granted {
		return ReasonMemory
	}
	cc.headCharged += charge
	return ""
}

// rejectHead ends a connection for its head, and returns the error of the read.
func (cc *callerConn) rejectHead(re Reason) error {
	if re == ReasonHead {
		_ = cc.SetWriteDeadline(time.Now().Add(arrivedWait))
		_, _ = io.WriteString(cc.TCPConn, rejection)
	}
	cc.in.end(re)
	return errRejected
}

// errRejected is the error of a read whose head is rejected. net/http responds to errors that are no timeouts itself.
var errRejected = &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}

func (cc *callerConn) isRejected() bool {
	cc.in.mu.Lock()
	defer cc.in.mu.Unlock()
	return cc.rejected
}

// begin begins a request whose head was read.
func (cc *callerConn) begin(r *http.Request) {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	cc.head = headScanner{}
	if r.ContentLength == 0 {
		in.ledger.Move(cc.conn, intake.Serving, clock.Now())
		return
	}
	cc.deadline, cc.readDeadline, cc.reason = time.Time{}, time.Time{}, ""
	in.ledger.Move(cc.conn, intake.Reading, clock.Now())
}

// setDeadline sets the time until which the body is read.
func (cc *callerConn) setDeadline(deadline time.Time) {
	cc.in.mu.Lock()
	defer cc.in.mu.Unlock()
	cc.deadline = deadline
}

// complete ends the reading of a body. It reports whether the request may be served.
func (cc *callerConn) complete() bool {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if cc.conn.Closed() || cc.conn.Request().Evicted() {
		return false
	}
	in.ledger.Move(cc.conn, intake.Serving, clock.Now())
	// The server looks for the close of the connection from now on, without a time limit.
	_ = cc.SetReadDeadline(time.Time{})
	return true
}

// idle ends a request whose connection is kept.
func (cc *callerConn) idle() {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	cc.releaseHead()
	now := clock.Now()
	in.ledger.Move(cc.conn, intake.Idle, now)
	cc.carried = cc.ahead
	if re := cc.chargeUnfinishedHead(now); re != "" {
		go in.end(re)
		cc.rejected = true
		// The response may still be on its way.
		_ = cc.CloseRead()
	}
}

// chargeHead charges the memory of a head that was parsed, beyond what was charged when it arrived. Large heads don't
// wait for memory, since they hold as much meanwhile.
func (cc *callerConn) chargeHead(r *http.Request) error {
	in := cc.in
	in.mu.Lock()
	re, charge := cc.conn.Request(), parsedHeadBytes(r)-freeHeadBytes-cc.headCharged
	in.mu.Unlock()
	if charge <= 0 {
		return nil
	}
	wait := maxReleaseWait
	if charge > intake.SmallBytes {
		wait = 0
	}
	if err := in.charge(re, charge, wait); err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	cc.headRequest = re
	cc.headCharged += charge
	return nil
}

// releaseHead returns the memory of the head. The lock is held.
func (cc *callerConn) releaseHead() {
	if cc.headCharged > 0 {
		cc.in.releaseLocked(cc.headRequest, cc.headCharged)
		cc.headCharged = 0
	}
}

// Write writes to the connection. It fails if the caller reads nothing for the time limit of a response.
func (cc *callerConn) Write(buf []byte) (int, error) {
	written := 0
	for {
		part := buf[written:min(len(buf), written+writeBytes)]
		cc.move(intake.Writing)
		_ = cc.SetWriteDeadline(time.Now().Add(cc.in.writeStall()))
		n, err := cc.TCPConn.Write(part)
		written += n
		if isTimeout(err) {
			cc.in.end(ReasonUnread)
		}
		if err != nil {
			return written, err //nolint:wrapcheck // as returned by the connection
		}
		if written == len(buf) {
			cc.move(intake.Serving)
			return written, nil
		}
	}
}

// move sets what a connection whose request is being served is doing.
func (cc *callerConn) move(st intake.State) {
	in := cc.in
	in.mu.Lock()
	defer in.mu.Unlock()
	switch cc.conn.State() {
	case intake.Serving, intake.Writing:
		in.ledger.Move(cc.conn, st, clock.Now())
	}
}

// Close closes the connection and gives its place to others.
func (cc *callerConn) Close() error {
	cc.closeOnce.Do(func() {
		in := cc.in
		in.mu.Lock()
		defer in.mu.Unlock()
		if cc.conn.Closed() {
			in.leaving--
		}
		cc.releaseHead()
		in.ledger.Close(cc.conn)
		delete(in.conns, cc.conn)
	})
	return cc.TCPConn.Close() //nolint:wrapcheck // as returned by the connection
}

func (in *Intake) bodyStall() time.Duration {
	if in.BodyStall > 0 {
		return in.BodyStall
	}
	return DefaultBodyStall
}

func (in *Intake) writeStall() time.Duration {
	if in.WriteStall > 0 {
		return in.WriteStall
	}
	return DefaultWriteStall
}
