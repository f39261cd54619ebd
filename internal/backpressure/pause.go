package backpressure

import "time"

const (
	// probeTimeout is how long a probe of a server after its pause may remain unanswered before
	// another request probes it.
	probeTimeout = 2 * time.Second
	// recoveryTimeout is how long a server that has accepted no request is probed after its pause.
	recoveryTimeout = 10 * time.Second
	// minExtension is the minimum extension of a known pause that is propagated, since processes
	// detect the same overload at different times.
	minExtension = 500 * time.Millisecond
	// minBackoff is how long a server is avoided after a rejection without a pause. Each further
	// consecutive rejection doubles it, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// pause is the latest pause that a server requested.
type pause struct {
	until time.Time
	// sent counts the requests sent during the pause.
	sent int
	// ended is set once the end of the pause was reported.
	ended bool
	// probedAt is when a request was last sent after the pause; zero if none was.
	probedAt time.Time
	// remoteUntil is when the pauses end that the server requested from other processes.
	remoteUntil time.Time
	// backoff is how long the server is avoided after its latest rejection without a pause,
	// avoidedUntil the end of that time. Both are zero once the server accepted a request.
	backoff      time.Duration
	avoidedUntil time.Time
}

// Pauses tracks the backend servers that requested a pause. A server that requested it from this
// process receives no requests until the pause ends. Afterwards it is probed with one request at a
// time until it accepts one, since it may still be overloaded. A server that requested a pause from
// another process is avoided during it. The zero value is empty. It is not safe for concurrent use.
type Pauses struct{ servers map[string]*pause }

// Begin records that a server requests a pause from this process. A pause is never shortened. Begin
// reports whether the server was not paused before.
func (pa *Pauses) Begin(key string, duration time.Duration, now time.Time) bool {
	se := pa.server(key)
	began := !now.Before(se.until)
	if began {
		*se = pause{remoteUntil: se.remoteUntil}
	}
	if until := now.Add(duration); until.After(se.until) {
		se.until = until
	}
	return began
}

// RecordRejected records that a server rejected a request without requesting a pause. The server is
// avoided for the backoff time. RecordRejected reports whether that time is long enough to be
// propagated.
func (pa *Pauses) RecordRejected(key string, now time.Time) bool {
	se := pa.server(key)
	if now.Before(se.avoidedUntil) {
		return false // sent before the rejection that started the backoff
	}
	se.backoff = min(max(minBackoff, 2*se.backoff), maxBackoff)
	se.avoidedUntil, se.probedAt = now.Add(se.backoff), time.Time{}
	return se.backoff >= minExtension
}

// RecordRemote records that a server requested a pause from another process. It reports whether
// that extends the known pause sufficiently to be propagated.
func (pa *Pauses) RecordRemote(key string, remaining time.Duration, now time.Time) bool {
	if remaining-pa.Remaining(key, now) < minExtension {
		return false
	}
	pa.server(key).remoteUntil = now.Add(remaining)
	return true
}

// Remaining returns how long a server is known to accept no requests from this or another process,
// zero if it accepts them.
func (pa *Pauses) Remaining(key string, now time.Time) time.Duration {
	se := pa.servers[key]
	if se == nil {
		return 0
	}
	return max(0, se.until.Sub(now), se.remoteUntil.Sub(now), se.avoidedUntil.Sub(now))
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

// LocalRemaining returns how long a server accepts no requests from this process, zero if it
// accepts them.
func (pa *Pauses) LocalRemaining(key string, now time.Time) time.Duration {
	if se := pa.servers[key]; se != nil {
		return max(0, se.until.Sub(now))
	}
	return 0
}

// Any reports whether any server is or recently was paused.
func (pa *Pauses) Any() bool { return len(pa.servers) > 0 }

// Avoid reports whether a server should be used only if there is no other: it has accepted no
// request since its pause, is in a backoff, or requested a pause from another process. probe is set
// if a request may probe it nevertheless.
func (pa *Pauses) Avoid(key string, now time.Time) (avoid, probe bool) {
	se := pa.servers[key]
	switch {
	case se == nil:
		return false, false
	case now.Before(se.remoteUntil), now.Before(se.avoidedUntil):
		return true, false
	case se.backoff == 0 && (se.until.IsZero() || now.Before(se.until)):
		return false, false
	}
	return true, se.probedAt.IsZero() || now.Sub(se.probedAt) >= probeTimeout
}

// RecordSent records that a request is sent to a server.
func (pa *Pauses) RecordSent(key string, now time.Time) {
	se := pa.servers[key]
	switch {
	case se == nil:
	case now.Before(se.until):
		se.sent++
	default:
		se.probedAt = now
	}
}

// RecordAccepted records that a server did not reject a request, which ends its recovery.
func (pa *Pauses) RecordAccepted(key string, now time.Time) {
	if se := pa.servers[key]; se != nil && !now.Before(se.until) {
		se.until, se.probedAt, se.avoidedUntil, se.backoff = time.Time{}, time.Time{}, time.Time{}, 0
	}
}

// EndedPause is a pause that has ended.
type EndedPause struct {
	Server string
	// Sent is how many requests were sent to the server during it.
	Sent int
}

// Tick returns the pauses that ended since the last call, and removes expired state.
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
		if now.Sub(se.until) >= recoveryTimeout && now.Sub(se.probedAt) >= probeTimeout &&
			now.Sub(se.avoidedUntil) >= recoveryTimeout && !now.Before(se.remoteUntil) {
			delete(pa.servers, key)
		}
	}
	return ended
}
