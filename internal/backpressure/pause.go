package backpressure

import "time"

// pause is one pause that a server asked for.
type pause struct {
	until time.Time
	// sent counts the requests sent since the pause began.
	sent int
}

// Pauses tracks the backend servers that asked this process for a pause. The zero value knows of
// none. It is not safe for concurrent use.
type Pauses struct{ servers map[string]*pause }

// Begin records that a server wants no requests for a duration. A pause is never shortened. It
// reports whether the server was not paused before.
func (pa *Pauses) Begin(key string, lasts time.Duration, now time.Time) bool {
	if pa.servers == nil {
		pa.servers = map[string]*pause{}
	}
	se, until := pa.servers[key], now.Add(lasts)
	if se == nil {
		pa.servers[key] = &pause{until: until}
		return true
	}
	if until.After(se.until) {
		se.until = until
	}
	return false
}

// Left returns how long a server still wants no requests, zero if it accepts them.
func (pa *Pauses) Left(key string, now time.Time) time.Duration {
	if se := pa.servers[key]; se != nil {
		return max(0, se.until.Sub(now))
	}
	return 0
}

// Any reports whether any server is paused.
func (pa *Pauses) Any() bool { return len(pa.servers) > 0 }

// Sent records that a request is sent to a server.
func (pa *Pauses) Sent(key string) {
	if se := pa.servers[key]; se != nil {
		se.sent++
	}
}

// EndedPause is a pause that is over.
type EndedPause struct {
	Server string
	// Sent is how many requests were sent to the server during it.
	Sent int
}

// Tick drops the pauses that are over and returns them.
func (pa *Pauses) Tick(now time.Time) []EndedPause {
	var ended []EndedPause
	for key, se := range pa.servers {
		if !now.Before(se.until) {
			delete(pa.servers, key)
			ended = append(ended, EndedPause{Server: key, Sent: se.sent})
		}
	}
	return ended
}
