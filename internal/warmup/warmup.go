// Package warmup limits the requests to cold backend servers: for some seconds after a start a server
// handles only a part of its usual load. The limit applies to all gateways together. It does no I/O
// and reads no clock.
package warmup

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/quota"
)

// Window is the span over which the limit of a cold server is enforced.
const Window = time.Second

// server is the state of one cold server.
type server struct {
	// until is when it is warm.
	until time.Time
	// use holds the requests sent to it while it was cold.
	use quota.Usage
}

// Tracker holds the cold servers and the requests sent to them, by the key of a server's life. The zero
// value is empty. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*server
}

// MarkCold records that a server is cold for a duration. A time reported before is never shortened, since
// reports may arrive out of order. It reports whether the server was warm.
func (tr *Tracker) MarkCold(key string, left time.Duration, now time.Time) (cooled bool) {
	if left <= 0 {
		return false
	}
	if tr.servers == nil {
		tr.servers = map[string]*server{}
	}
	se := tr.servers[key]
	if se == nil {
		se = &server{}
		tr.servers[key] = se
		cooled = true
	}
	if until := now.Add(left); until.After(se.until) {
		se.until = until
	}
	return cooled
}

// Remaining returns how long a server stays cold, zero if it is warm.
func (tr *Tracker) Remaining(key string, now time.Time) time.Duration {
	if se := tr.servers[key]; se != nil {
		return max(0, se.until.Sub(now))
	}
	return 0
}

// Wait returns how long a gateway sends nothing to a server, zero if it may send now.
func (tr *Tracker) Wait(key string, li quota.Limit, gw quota.Gateway, now time.Time) time.Duration {
	se := tr.servers[key]
	if se == nil || !now.Before(se.until) {
		return 0
	}
	return min(li.Wait(&se.use, gw, key, now), se.until.Sub(now))
}

// RecordSent records that a request is sent to a server.
func (tr *Tracker) RecordSent(key string, now time.Time) {
	if se := tr.servers[key]; se != nil && now.Before(se.until) {
		se.use.Add(now)
	}
}

// Forget drops a server.
func (tr *Tracker) Forget(key string) { delete(tr.servers, key) }

// Tick drops the servers that became warm and returns them.
func (tr *Tracker) Tick(now time.Time) (warm []string) {
	for key, se := range tr.servers {
		if !now.Before(se.until) {
			delete(tr.servers, key)
			warm = append(warm, key)
		}
	}
	return warm
}
