// Package warmup limits the requests to cold backend servers: for some seconds after its start a
// server handles only a fraction of its usual load. The limit applies to all gateways together. It
// does no I/O and reads no clock.
package warmup

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/quota"
)

// Window is the span over which the limit of a cold server is enforced.
const Window = time.Second

// server is the state of one cold server.
type server struct {
	// until is when the server is warm.
	until time.Time
	// usage holds the requests sent to the server while it was cold.
	usage quota.Usage
}

// Tracker holds the cold servers and the requests sent to them, by the key of the server instance.
// The zero value is empty. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*server
}

// MarkCold records that a server is cold for a duration. A time reported before is never shortened,
// since reports may arrive out of order. It reports whether the server was not known to be cold.
func (tr *Tracker) MarkCold(key string, remaining time.Duration, now time.Time) (added bool) {
	if remaining <= 0 {
		return false
	}
	if tr.servers == nil {
		tr.servers = map[string]*server{}
	}
	se := tr.servers[key]
	if se == nil {
		se = &server{}
		tr.servers[key] = se
		added = true
	}
	if until := now.Add(remaining); until.After(se.until) {
		se.until = until
	}
	return added
}

// Any reports whether any server is cold.
func (tr *Tracker) Any() bool { return len(tr.servers) > 0 }

// Remaining returns how long a server remains cold, zero if it is warm.
func (tr *Tracker) Remaining(key string, now time.Time) time.Duration {
	if se := tr.servers[key]; se != nil {
		return max(0, se.until.Sub(now))
	}
	return 0
}

// Wait returns how long a gateway must not send to a server, zero if it may send now.
func (tr *Tracker) Wait(key string, li quota.Limit, gw quota.Gateway, now time.Time) time.Duration {
	se := tr.servers[key]
	if se == nil || !now.Before(se.until) {
		return 0
	}
	return min(li.Wait(&se.usage, gw, key, now), se.until.Sub(now))
}

// RecordSent records that a request is sent to a server.
func (tr *Tracker) RecordSent(key string, now time.Time) {
	if se := tr.servers[key]; se != nil && now.Before(se.until) {
		se.usage.Add(now)
	}
}

// Forget removes a server.
func (tr *Tracker) Forget(key string) { delete(tr.servers, key) }

// Tick removes and returns the servers that became warm.
func (tr *Tracker) Tick(now time.Time) (warm []string) {
	for key, se := range tr.servers {
		if !now.Before(se.until) {
			delete(tr.servers, key)
			warm = append(warm, key)
		}
	}
	return warm
}
