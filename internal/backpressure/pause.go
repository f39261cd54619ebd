package backpressure

import "time"

const (
	// probeTimeout is how long the request that probes a server after its pause may go without
	// an answer before another one probes.
	probeTimeout = 2 * time.Second
	// recoveryTimeout is how long after its pause a server that accepted nothing is probed.
	recoveryTimeout = 10 * time.Second
	// leastNews is the least extension of a known pause that is propagated: processes learn of
	// the same overload one after the other.
	leastNews = 500 * time.Millisecond
	// firstBackoff is how long a server is avoided after a rejection without a pause. Each further
	// rejection in a row doubles it, up to longestBackoff.
	firstBackoff   = 250 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// pause is the newest pause that a server asked for.
type pause struct {
	until time.Time
	// sent counts the requests sent during the pause.
	sent int
	// ended is set once the end of the pause was reported.
	ended bool
	// probed is when a request was last sent after the pause; zero if none was.
	probed time.Time
	// others is when the pauses are over that the server asked other processes for.
	others time.Time
	// backoff is how long the server was avoided since its newest rejection without a pause,
	// avoided when that is over; both are zero once it accepted a request.
	backoff time.Duration
	avoided time.Time
}

// Pauses tracks the backend servers that asked for a pause. One that asked this process gets nothing
// until the pause is over, and is then probed by one request at a time until it accepts one, since it
// may reject all of them. One that asked another process is avoided meanwhile. The zero value knows
// of none. It is not safe for concurrent use.
type Pauses struct{ servers map[string]*pause }

// Begin records that a server wants no requests from this process for a duration. A pause is never
// shortened. It reports whether the server was not paused before.
func (pa *Pauses) Begin(key string, lasts time.Duration, now time.Time) bool {
	se := pa.server(key)
	began := !now.Before(se.until)
	if began {
		*se = pause{others: se.others}
	}
	if until := now.Add(lasts); until.After(se.until) {
		se.until = until
	}
	return began
}

// RecordRejected records that a server rejected a request without asking for a pause. The server is avoided
// for a moment. RecordRejected reports whether that is long enough to be propagated.
func (pa *Pauses) RecordRejected(key string, now time.Time) bool {
	se := pa.server(key)
	if now.Before(se.avoided) {
		return false // it was sent before the rejection that counts already
	}
	se.backoff = min(max(firstBackoff, 2*se.backoff), longestBackoff)
	se.avoided, se.probed = now.Add(se.backoff), time.Time{}
	return se.backoff >= leastNews
}

// RecordRemote records that a server asked another process for a pause. It reports whether that is news.
func (pa *Pauses) RecordRemote(key string, left time.Duration, now time.Time) bool {
	if left-pa.Remaining(key, now) < leastNews {
		return false
	}
	pa.server(key).others = now.Add(left)
	return true
}

// Remaining returns how long a server wants no requests from this process or another one, as far as
// is known, zero if it accepts them.
func (pa *Pauses) Remaining(key string, now time.Time) time.Duration {
	se := pa.servers[key]
	if se == nil {
		return 0
	}
	return max(0, se.until.Sub(now), se.others.Sub(now), se.avoided.Sub(now))
}

func (pa *Pauses) server(key string) *pause {
	if pa.servers == nil {
		pa.servers = map[string]*pause{}
	}
	se := pa.servers[key]
	if se == nil {
		se = &pause{ended: true}
		pa.servers[key] = se
	}
	return se
}

// LocalRemaining returns how long a server still wants no requests, zero if it accepts them.
func (pa *Pauses) LocalRemaining(key string, now time.Time) time.Duration {
	if se := pa.servers[key]; se != nil {
		return max(0, se.until.Sub(now))
	}
	return 0
}

// Any reports whether any server is paused or was just before.
func (pa *Pauses) Any() bool { return len(pa.servers) > 0 }

// Avoid reports whether a server should only be used if there is no other: it has accepted nothing
// since its pause, or asked another process for one. probe is set if a request may probe it all the
// same.
func (pa *Pauses) Avoid(key string, now time.Time) (avoid, probe bool) {
	se := pa.servers[key]
	switch {
	case se == nil:
		return false, false
	case now.Before(se.others), now.Before(se.avoided):
		return true, false
	case se.backoff == 0 && (se.until.IsZero() || now.Before(se.until)):
		return false, false
	}
	return true, se.probed.IsZero() || now.Sub(se.probed) >= probeTimeout
}

// RecordSent records that a request is sent to a server.
func (pa *Pauses) RecordSent(key string, now time.Time) {
	se := pa.servers[key]
	switch {
	case se == nil:
	case now.Before(se.until):
		se.sent++
	default:
		se.probed = now
	}
}

// RecordAccepted records that a server did not reject a request, which ends its recovery.
func (pa *Pauses) RecordAccepted(key string, now time.Time) {
	if se := pa.servers[key]; se != nil && !now.Before(se.until) {
		se.until, se.probed, se.avoided, se.backoff = time.Time{}, time.Time{}, time.Time{}, 0
	}
}

// EndedPause is a pause that is over.
type EndedPause struct {
	Server string
	// Sent is how many requests were sent to the server during it.
	Sent int
}

// Tick returns the pauses that ended since it was last called, and drops what is no longer needed.
func (pa *Pauses) Tick(now time.Time) []EndedPause {
	var ended []EndedPause
	for key, se := range pa.servers {
		if now.Before(se.until) {
			continue
		}
		if !se.ended {
			se.ended = true
			ended = append(ended, EndedPause{Server: key, Sent: se.sent})
		}
		if now.Sub(se.until) >= recoveryTimeout && now.Sub(se.probed) >= probeTimeout &&
			now.Sub(se.avoided) >= recoveryTimeout && !now.Before(se.others) {
			delete(pa.servers, key)
		}
	}
	return ended
}
