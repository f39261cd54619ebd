// Package backpressure tracks the load that backend servers accept, as reported in their responses:
// rate limits, which apply to all gateways together, and pauses, which a server requests from one
// process. Gateways exchange these reports, since each sees only the responses to its own requests.
// The package does no I/O and reads no clock.
package backpressure

import (
	"math"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/quota"
)

const (
	// window is the time over which a rate limit is enforced. With less, the window would contain
	// less than one request at common limits of 1 to 3 per second.
	window = 4 * time.Second
	// burstFactor and burstOffset bound the arrivals within a window: rate * window * burstFactor +
	// burstOffset. Gateways aim at the rate itself.
	burstFactor = 1.5
	burstOffset = 5
	// minRate is the rate in requests per second at which a server with a lower limit is still
	// called, since only a response can raise the limit again.
	minRate = 0.1
	// silentAfter is how long a limited server may send no response before it is preferred, so that
	// the end of its limit is detected.
	silentAfter = 2 * time.Second
	// rateTolerance is the relative difference up to which a new rate is neither logged nor
	// propagated: servers may recompute it for each response.
	rateTolerance = 0.1
	// unlistedRetention is how long the limit of a server without an entry is retained after the
	// server last reported it, since the entry may reappear.
	unlistedRetention = 10 * time.Minute
)

// Change is the effect of an update.
type Change string

// The changes.
const (
	Unchanged Change = ""
	// Limited means that the server started to report a rate limit, or changed it.
	Limited Change = "limited"
	// Unlimited means that the server no longer reports a rate limit.
	Unlimited Change = "unlimited"
)

// reportedLimit is the latest rate limit that a server reported.
type reportedLimit struct {
	// perSecond is the rate in requests per second for all gateways together, announced the last
	// rate that was logged and propagated.
	perSecond, announced float64
	// since is when this gateway received the limit, sent the number of requests that it has sent
	// since.
	since time.Time
	sent  int
}

// Tracker holds the rate limits of backend servers and the requests sent to them, by the key of the
// server instance. The zero value is empty. It is not safe for concurrent use.
type Tracker struct {
	limits map[string]*reportedLimit
	// uses holds the requests sent to all servers, since those sent shortly before a limit was
	// reported count too.
	uses map[string]*quota.Usage
	// reported is when each server last reported its limit or the end of one.
	reported map[string]time.Time
	// facts holds the servers whose limits are propagated.
	facts gossip.FactSet
}

// Report applies the limit reported in a response: a rate in requests per second, nil for no limit.
func (tr *Tracker) Report(key string, perSecond *float64, now time.Time) Change {
	return tr.apply(key, update{perSecond: perSecond, at: now}, now)
}

// update is a limit with the time at which the server reported it and the number of gateways that
// it has passed.
type update struct {
	perSecond *float64
	at        time.Time
	hops      uint8
}

func (tr *Tracker) apply(key string, up update, now time.Time) Change {
	if up.perSecond == nil && tr.limits[key] == nil || up.at.Before(tr.reported[key]) {
		return Unchanged
	}
	if tr.limits == nil {
		tr.limits = map[string]*reportedLimit{}
		tr.reported = map[string]time.Time{}
	}
	tr.reported[key] = up.at
	change := tr.set(key, up.perSecond, now)
	if change != Unchanged {
		tr.facts.Add(key, up.hops, now)
	}
	return change
}

func (tr *Tracker) set(key string, perSecond *float64, now time.Time) Change {
	li := tr.limits[key]
	switch {
	case perSecond == nil:
		delete(tr.limits, key)
		return Unlimited
	case li == nil:
		tr.limits[key] = &reportedLimit{perSecond: *perSecond, announced: *perSecond, since: now}
		return Limited
	}
	li.perSecond = *perSecond
	if math.Abs(li.perSecond-li.announced) <= rateTolerance*li.announced {
		return Unchanged
	}
	li.announced = li.perSecond
	return Limited
}

// Any reports whether any server has a rate limit.
func (tr *Tracker) Any() bool { return len(tr.limits) > 0 }

// PerSecond returns the rate limit of a server in requests per second, false if it has none.
func (tr *Tracker) PerSecond(key string) (float64, bool) {
	if li := tr.limits[key]; li != nil {
		return li.perSecond, true
	}
	return 0, false
}

// Silent reports whether a limited server has neither answered nor been called for silentAfter.
func (tr *Tracker) Silent(key string, now time.Time) bool {
	if tr.limits[key] == nil || now.Sub(tr.reported[key]) < silentAfter {
		return false
	}
	us := tr.uses[key]
	return us == nil || us.Since(now) >= silentAfter
}

// Interval returns the mean time between two requests to a server from all gateways together, false
// if the server has no limit.
func (tr *Tracker) Interval(key string) (time.Duration, bool) {
	li := tr.limits[key]
	if li == nil {
		return 0, false
	}
	return time.Duration(float64(time.Second) / max(minRate, li.perSecond)), true
}

// quotaFor returns the quota for a rate limit.
func quotaFor(perSecond float64) quota.Limit {
	return quota.Limit{
		PerSecond: max(minRate, perSecond), MaxInWindow: burstFactor*perSecond*window.Seconds() + burstOffset, Window: window, LongLived: true,
	}
}

// Wait returns how long a gateway must not send to a server, zero if it may send now.
func (tr *Tracker) Wait(key string, gw quota.Gateway, now time.Time) time.Duration {
	li := tr.limits[key]
	if li == nil {
		return 0
	}
	us := tr.uses[key]
	if us == nil {
		us = &quota.Usage{}
	}
	return quotaFor(li.perSecond).Wait(us, gw, key, now)
}

// RecordSent records that a request is sent to a server.
func (tr *Tracker) RecordSent(key string, now time.Time) {
	if tr.uses == nil {
		tr.uses = map[string]*quota.Usage{}
	}
	us := tr.uses[key]
	if us == nil {
		us = &quota.Usage{}
		tr.uses[key] = us
	}
	us.Add(now)
	if li := tr.limits[key]; li != nil {
		li.sent++
	}
}

// LimitUsage returns how many requests this gateway has sent to a server since it received the
// limit, and the time since then; both are zero if the server has no limit.
func (tr *Tracker) LimitUsage(key string, now time.Time) (sent int, elapsed time.Duration) {
	if li := tr.limits[key]; li != nil {
		return li.sent, now.Sub(li.since)
	}
	return 0, 0
}

// Forget removes a server instance that has ended.
func (tr *Tracker) Forget(key string) {
	delete(tr.limits, key)
	delete(tr.uses, key)
	delete(tr.reported, key)
	tr.facts.Forget(key)
}

// Tick removes expired state. listed reports whether a server has an entry.
func (tr *Tracker) Tick(listed func(key string) bool, now time.Time) {
	tr.facts.Tick(now)
	for key, us := range tr.uses {
		if us.Idle(now) {
			delete(tr.uses, key)
		}
	}
	for key, at := range tr.reported {
		switch {
		case tr.limits[key] == nil && !tr.facts.Active(key):
			delete(tr.reported, key)
		case tr.limits[key] != nil && now.Sub(at) >= unlistedRetention && !listed(key):
			tr.Forget(key)
		}
	}
}
