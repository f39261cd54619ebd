// Package intake decides which connections and unfinished requests of callers a process ends when memory or
// descriptors are short. It does no I/O and reads no clock.
package intake

import (
	"math"
	"time"
)

const (
	// minAge is the time for which a request may be unfinished before it can be ended for the memory that it holds.
	minAge = time.Second
	// fadingTime is the time after which bytes that were received count for 1/e.
	fadingTime = time.Second
	// minStall is the time without progress after which a response can be ended for its descriptor.
	minStall = time.Second
	// minHeld is the memory in bytes that an unfinished request counts with at least.
	minHeld = 1 << 10

	// MinReceiveBuffer and maxReceiveBuffer bound the receive buffer of a connection in bytes. Beyond the minimum it
	// gets at most one part in receiveBufferPart of what is left of Limits.Unread.
	MinReceiveBuffer  = 4 << 10
	maxReceiveBuffer  = 64 << 10
	receiveBufferPart = 32
)

// State is what a connection is doing.
type State string

// The states of a connection. Waiting: it has never completed a request, and the next one's head is unfinished.
// Reading: the body is unfinished. Serving: the request is complete. Writing: a part of the response waits for the
// caller. Idle: it has completed requests, and the next one's head is unfinished.
const (
	Waiting State = "waiting"
	Reading State = "reading"
	Serving State = "serving"
	Writing State = "writing"
	Idle    State = "idle"
)

// Conn is one connection in a ledger.
type Conn struct {
	state State
	// completed is set once a request was completed.
	completed bool
	// since is when the state began or, while Writing, the time of the last progress.
	since time.Time
	// request is the request that is being received or was received last.
	request *Request
	// closed is set once the ledger has given the connection's place to another one.
	closed bool
	// buffer is the size of the receive buffer.
	buffer int64
}

// State returns what the connection is doing.
func (co *Conn) State() State { return co.state }

// Request returns the request that is being received or was received last.
func (co *Conn) Request() *Request { return co.request }

// Closed reports whether the ledger has given the connection's place to another one.
func (co *Conn) Closed() bool { return co.closed }

// ReceiveBuffer returns the size of the connection's receive buffer in bytes.
func (co *Conn) ReceiveBuffer() int { return int(co.buffer) }

// Request is what is charged for one request.
type Request struct {
	conn *Conn
	// held is the memory charged.
	held int64
	// began is when the first bytes were received, zero before that.
	began time.Time
	// recent is the number of bytes received, of which earlier ones count less, as of the time receivedAt.
	recent     float64
	receivedAt time.Time
	// complete is set once the request was received, evicted once the ledger has ended it before.
	complete, evicted bool
}

// Conn returns the request's connection.
func (re *Request) Conn() *Conn { return re.conn }

// Evicted reports whether the ledger has ended the request.
func (re *Request) Evicted() bool { return re.evicted }

// Held returns the memory charged in bytes.
func (re *Request) Held() int64 { return re.held }

// start records the time of the first bytes.
func (re *Request) start(now time.Time) {
	if re.began.IsZero() {
		re.began, re.receivedAt = now, now
	}
}

// progress returns the number of bytes received lately per byte of memory held.
func (re *Request) progress(now time.Time) float64 {
	return re.recent * fading(now.Sub(re.receivedAt)) / float64(max(minHeld, re.held))
}

// fading returns the part with which bytes count that were received some time ago.
func fading(ago time.Duration) float64 { return math.Exp(-ago.Seconds() / fadingTime.Seconds()) }

// Ledger holds the connections of callers and what is charged for them. Its exported field is set before its use.
type Ledger struct {
	Limits Limits

	conns map[*Conn]struct{}
	// used is the memory charged for all requests, large the part of it for large requests.
	used, large int64
	// evicting and evictingLarge are the parts of used and large that requests hold that have been ended and not yet
	// released.
	evicting, evictingLarge int64
	// buffers is the size of the receive buffers beyond MinReceiveBuffer each.
	buffers int64
}

// Used returns the memory charged for all requests in bytes.
func (le *Ledger) Used() int64 { return le.used }

// Connections returns the number of connections.
func (le *Ledger) Connections() int { return len(le.conns) }

// Open adds a connection. If there are too many, it returns the one to close for it, or false if there is none.
func (le *Ledger) Open(now time.Time) (co, victim *Conn, ok bool) {
	if len(le.conns) >= le.Limits.Connections {
		if victim = le.worstConnection(now); victim == nil {
			return nil, nil, false
		}
		victim.closed = true
		le.evict(victim.request)
		le.Close(victim)
	}
	if le.conns == nil {
		le.conns = map[*Conn]struct{}{}
	}
	co = &Conn{state: Waiting, since: now}
	co.begin()
	co.buffer = MinReceiveBuffer + max(0, min(maxReceiveBuffer-MinReceiveBuffer, (le.Limits.Unread-le.buffers)/receiveBufferPart))
	le.buffers += co.buffer - MinReceiveBuffer
	le.conns[co] = struct{}{}
	return co, victim, true
}

// Close removes a connection. What its request holds is still charged until Release.
func (le *Ledger) Close(co *Conn) {
	if _, ok := le.conns[co]; ok {
		delete(le.conns, co)
		le.buffers -= co.buffer - MinReceiveBuffer
	}
}

// worstConnection returns the connection to close for a new one: the oldest that has never completed a request, else
// the one that has been idle longest, else the oldest with an unfinished body, else the one whose caller has not read
// for longest. It returns nil if none qualifies.
func (le *Ledger) worstConnection(now time.Time) *Conn {
	rank := func(co *Conn) int {
		switch {
		case !co.completed && (co.state == Waiting || co.state == Reading):
			return 4
		case co.state == Idle:
			return 3
		case co.state == Reading:
			return 2
		case co.state == Writing && now.Sub(co.since) >= minStall:
			return 1
		}
		return 0
	}
	var worst *Conn
	for co := range le.conns {
		switch ra := rank(co); {
		case ra == 0:
		case worst == nil, ra > rank(worst), ra == rank(worst) && co.since.Before(worst.since):
			worst = co
		}
	}
	return worst
}

// begin begins a request.
func (co *Conn) begin() { co.request = &Request{conn: co} }

// Move sets what a connection is doing. A new request begins when it becomes idle.
func (le *Ledger) Move(co *Conn, st State, now time.Time) {
	switch st {
	case Idle:
		co.completed = true
		co.begin()
	case Serving, Writing:
		co.request.complete = true
	}
	if co.state != st || st == Writing {
		// A body that follows its head does not make the request younger.
		if co.state != Waiting || st != Reading {
			co.since = now
		}
		co.state = st
	}
}

// Received records bytes of a connection's unfinished request.
func (le *Ledger) Received(co *Conn, bytes int, now time.Time) {
	re := co.request
	re.start(now)
	re.recent = re.recent*fading(now.Sub(re.receivedAt)) + float64(bytes)
	re.receivedAt = now
}

// Verdict is the answer to a request for memory.
type Verdict string

// The verdicts. Granted: the memory was charged. Wait: a request that was ended will release enough. Refused: the
// request must be ended itself.
const (
	Granted Verdict = "granted"
	Wait    Verdict = "wait"
	Refused Verdict = "refused"
)

// Charge charges bytes for a request. If there is not enough memory, the unfinished request that has
// made the least progress for its memory is ended: victim is that one, whose memory must be released.
func (le *Ledger) Charge(re *Request, bytes int64, now time.Time) (ve Verdict, victim *Request) {
	if re.evicted {
		return Refused, nil
	}
	re.start(now)
	large := re.held+bytes > SmallBytes
	if le.fits(re, bytes, large, 0, 0) {
		le.charge(re, bytes)
		return Granted, nil
	}
	if le.fits(re, bytes, large, le.evicting, le.evictingLarge) {
		return Wait, nil
	}
	victim = le.leastProgress(large && !le.fitsLarge(re, bytes, le.evictingLarge), now)
	if victim == nil || victim == re {
		return Refused, nil
	}
	le.evict(victim)
	return Wait, victim
}

// fits reports whether bytes can be charged once what is being released has been.
func (le *Ledger) fits(re *Request, bytes int64, large bool, released, releasedLarge int64) bool {
	return le.used-released+bytes <= le.Limits.Memory && (!large || le.fitsLarge(re, bytes, releasedLarge))
}

func (le *Ledger) fitsLarge(re *Request, bytes, released int64) bool {
	if re.held <= SmallBytes {
		bytes += re.held // the whole request becomes large
	}
	return le.large-released+bytes <= le.Limits.Memory-le.Limits.SmallMemory
}

// leastProgress returns the unfinished request that has made the least progress for its memory, of equal ones the
// one with most memory, or nil. Requests younger than minAge are left alone.
func (le *Ledger) leastProgress(largeOnly bool, now time.Time) *Request {
	var worst *Request
	least := 0.0
	for co := range le.conns {
		re := co.request
		if re.complete || re.evicted || re.held == 0 || largeOnly && re.held <= SmallBytes || now.Sub(re.began) < minAge {
			continue
		}
		pr := re.progress(now)
		if worst == nil || pr < least || pr == least && re.held > worst.held {
			worst, least = re, pr
		}
	}
	return worst
}

func (le *Ledger) charge(re *Request, bytes int64) {
	le.count(re, -1)
	re.held += bytes
	le.count(re, 1)
}

// count adds what a request holds to the sums, or removes it.
func (le *Ledger) count(re *Request, sign int64) {
	le.used += sign * re.held
	if re.evicted {
		le.evicting += sign * re.held
	}
	if re.held > SmallBytes {
		le.large += sign * re.held
		if re.evicted {
			le.evictingLarge += sign * re.held
		}
	}
}

func (le *Ledger) evict(re *Request) {
	le.count(re, -1)
	re.evicted = true
	le.count(re, 1)
}

// Release returns memory that was charged for a request.
func (le *Ledger) Release(re *Request, bytes int64) { le.charge(re, -bytes) }
