// Package backpressure keeps to the limits that backend servers in need name in their answers:
// how many requests a second they take from all gateways together. Gateways tell each other
// which servers name limits, since each sees its own answers only. It does no I/O and reads no
// clock.
package backpressure

import (
	"math"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/quota"
)

const (
	// window is the span over which a server's rate is meant: a prompt takes up to seconds, and
	// a shorter span would hold less than one request at the usual limits of 1 to 3 a second.
	window = 4 * time.Second
	// overage and extra bound what may come within a window, as the users' platform does: so
	// many times the rate, and so many more. The rate itself is what gateways aim at.
	overage = 1.5
	extra   = 5
	// leastRate is the rate in requests a second at which a server is asked that names less: it
	// has to answer something to say that it takes more again.
	leastRate = 0.1
	// silentFor is how long a server that names a limit may say nothing before it is asked
	// first: some of the usual answers of a model.
	silentFor = 2 * time.Second
	// sameRate is how far a rate may be from the one before, as a part of it, and still be the
	// same for the log and for other gateways: a server may reckon it anew for each answer.
	sameRate = 0.1
)

// Change is what a word on a server changed of what is known of it.
type Change string

// The changes.
const (
	Unchanged Change = ""
	// Limited servers name a limit, or one that differs from the one before.
	Limited Change = "limited"
	// Unlimited servers named one until now.
	Unlimited Change = "unlimited"
)

// named is what is known of one server that names a limit.
type named struct {
	// perSecond is the rate that it takes from all gateways together, known the one that was
	// logged and told last.
	perSecond, known float64
	// since is when this gateway heard of the limit first, sent what it has sent since.
	since time.Time
	sent  int
}

// Tracker knows which servers name limits and what was sent to each server, each life of one
// by its key. The zero value knows of none. It is not safe for concurrent use.
type Tracker struct {
	limits map[string]*named
	// uses holds what was sent to servers, whether they name limits or not: when one does,
	// what was sent just before counts already. heard is when the newest word on a server was
	// said that names a limit or has named one.
	uses  map[string]*quota.Use
	heard map[string]time.Time
	// news holds what other gateways are to be told.
	news map[string]news
}

// Heard takes what a server's answer says: the rate that it names, nil for none.
func (tr *Tracker) Heard(key string, perSecond *float64, now time.Time) Change {
	return tr.take(key, perSecond, now, 0, now)
}

// take takes a word that a server said at a time, and that came here by so many gateways.
func (tr *Tracker) take(key string, perSecond *float64, at time.Time, hops uint8, now time.Time) Change {
	if perSecond == nil && tr.limits[key] == nil || at.Before(tr.heard[key]) {
		return Unchanged
	}
	tr.begin()
	tr.heard[key] = at
	change := tr.change(key, perSecond, now)
	if change != Unchanged {
		tr.news[key] = news{since: now, hops: hops}
	}
	return change
}

func (tr *Tracker) begin() {
	if tr.limits == nil {
		tr.limits = map[string]*named{}
		tr.heard = map[string]time.Time{}
		tr.news = map[string]news{}
	}
}

func (tr *Tracker) change(key string, perSecond *float64, now time.Time) Change {
	na := tr.limits[key]
	switch {
	case perSecond == nil:
		delete(tr.limits, key)
		return Unlimited
	case na == nil:
		tr.limits[key] = &named{perSecond: *perSecond, known: *perSecond, since: now}
		return Limited
	}
	na.perSecond = *perSecond
	if math.Abs(na.perSecond-na.known) <= sameRate*na.known {
		return Unchanged
	}
	na.known = na.perSecond
	return Limited
}

// PerSecond returns the rate that a server names, false if it names none.
func (tr *Tracker) PerSecond(key string) (float64, bool) {
	if na := tr.limits[key]; na != nil {
		return na.perSecond, true
	}
	return 0, false
}

// Unheard reports whether a server names a limit and neither said nor was asked anything for a
// while.
func (tr *Tracker) Unheard(key string, now time.Time) bool {
	if tr.limits[key] == nil || now.Sub(tr.heard[key]) < silentFor {
		return false
	}
	us := tr.uses[key]
	return us == nil || us.Since(now) >= silentFor
}

// Pause returns the mean time between two requests to a server from everybody together, false
// if it names no limit.
func (tr *Tracker) Pause(key string) (time.Duration, bool) {
	na := tr.limits[key]
	if na == nil {
		return 0, false
	}
	return time.Duration(float64(time.Second) / max(leastRate, na.perSecond)), true
}

// limit returns what a server may get that names a rate.
func limit(perSecond float64) quota.Limit {
	return quota.Limit{
		PerSecond: max(leastRate, perSecond), Most: overage*perSecond*window.Seconds() + extra, Window: window, Endless: true,
	}
}

// Wait returns how long a gateway sends nothing to a server, zero if it may send now.
func (tr *Tracker) Wait(key string, gw quota.Gateway, now time.Time) time.Duration {
	na := tr.limits[key]
	if na == nil {
		return 0
	}
	us := tr.uses[key]
	if us == nil {
		us = &quota.Use{}
	}
	return limit(na.perSecond).Wait(us, gw, key, now)
}

// Sent notes that a request is sent to a server.
func (tr *Tracker) Sent(key string, now time.Time) {
	if tr.uses == nil {
		tr.uses = map[string]*quota.Use{}
	}
	us := tr.uses[key]
	if us == nil {
		us = &quota.Use{}
		tr.uses[key] = us
	}
	us.Add(now)
	if na := tr.limits[key]; na != nil {
		na.sent++
	}
}

// Use returns how many requests this gateway has sent to a server since it heard of its limit,
// and how long that is ago; both are zero if it names none.
func (tr *Tracker) Use(key string, now time.Time) (sent int, lasts time.Duration) {
	if na := tr.limits[key]; na != nil {
		return na.sent, now.Sub(na.since)
	}
	return 0, 0
}

// Forget drops a server that is gone.
func (tr *Tracker) Forget(key string) {
	delete(tr.limits, key)
	delete(tr.uses, key)
	delete(tr.heard, key)
	delete(tr.news, key)
}

// unlistedKept is how long the limit of a server that is not listed is remembered since the server
// last reported it: its entry may reappear.
const unlistedKept = 10 * time.Minute

// Tick drops what does not count any more. listed reports whether a server has an entry.
func (tr *Tracker) Tick(listed func(key string) bool, now time.Time) {
	for key := range tr.limits {
		if now.Sub(tr.heard[key]) >= unlistedKept && !listed(key) {
			tr.Forget(key)
		}
	}
	for key, us := range tr.uses {
		if us.Idle(now) {
			delete(tr.uses, key)
		}
	}
	for key, ne := range tr.news {
		if now.Sub(ne.since) < newsKept {
			continue
		}
		delete(tr.news, key)
		if tr.limits[key] == nil {
			delete(tr.heard, key)
		}
	}
}
