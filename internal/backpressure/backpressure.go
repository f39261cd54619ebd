// Package backpressure knows the limits that backend servers in need name in their answers:
// how many requests a second they take from all gateways together. It does no I/O and reads
// no clock.
package backpressure

import (
	"math"
	"time"
)

// sameRate is how far a rate may be from the one before, as a part of it, and still be the
// same for the log: a server that reckons its rate anew for each answer fills it otherwise.
const sameRate = 0.1

// Change is what an answer changed of what is known of a server.
type Change string

// The changes.
const (
	Unchanged Change = ""
	// Limited servers name a limit, or one that differs from the one before.
	Limited Change = "limited"
	// Unlimited servers named one until now.
	Unlimited Change = "unlimited"
)

// server is what is known of one server that names a limit.
type server struct {
	// perSecond is the rate that it takes from all gateways together.
	perSecond float64
	// since is when this gateway heard of the limit first, sent what it has sent since.
	since time.Time
	sent  int
}

// Tracker knows which servers name limits, each life of a server by its key. The zero value
// knows of none. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*server
}

// Heard takes what a server's answer says: the rate that it names, nil for none.
func (tr *Tracker) Heard(key string, perSecond *float64, now time.Time) Change {
	se := tr.servers[key]
	switch {
	case perSecond == nil && se == nil:
		return Unchanged
	case perSecond == nil:
		delete(tr.servers, key)
		return Unlimited
	case se == nil:
		if tr.servers == nil {
			tr.servers = map[string]*server{}
		}
		tr.servers[key] = &server{perSecond: *perSecond, since: now}
		return Limited
	case math.Abs(*perSecond-se.perSecond) <= sameRate*se.perSecond:
		return Unchanged
	}
	se.perSecond = *perSecond
	return Limited
}

// PerSecond returns the rate that a server names, false if it names none.
func (tr *Tracker) PerSecond(key string) (float64, bool) {
	if se := tr.servers[key]; se != nil {
		return se.perSecond, true
	}
	return 0, false
}

// Sent notes that a request is sent to a server.
func (tr *Tracker) Sent(key string) {
	if se := tr.servers[key]; se != nil {
		se.sent++
	}
}

// Use returns how many requests this gateway has sent to a server since it heard of its limit,
// and how long that is ago; both are zero if it names none.
func (tr *Tracker) Use(key string, now time.Time) (sent int, lasts time.Duration) {
	if se := tr.servers[key]; se != nil {
		return se.sent, now.Sub(se.since)
	}
	return 0, 0
}

// Forget drops a server that is gone.
func (tr *Tracker) Forget(key string) { delete(tr.servers, key) }
