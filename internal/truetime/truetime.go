// Package truetime estimates the time of day from the wall clocks of several machines, any of which
// may be set forward or back for a while. It does no I/O and reads no clock.
package truetime

import (
	"slices"
	"time"
)

const (
	// settleTime is how long a wall clock that was set must keep its new time until that is used.
	settleTime = 30 * time.Second
	// tolerance is the drift of a wall clock against the monotonic clock that does not count as
	// having been set.
	tolerance = 50 * time.Millisecond
	// peerTTL is how long another machine's time is used. referenceTTL is how long the time that a
	// collector determined from several machines is preferred.
	peerTTL      = 30 * time.Second
	referenceTTL = 5 * time.Second
)

// Estimator estimates the time of day. Times of day are stored as the time of day at an instant of
// the monotonic clock, the base. The zero value is ready for use. It is not safe for concurrent use.
type Estimator struct {
	// base is the instant of the first observation by the monotonic clock.
	base time.Time
	// own is the time of day at the base by this machine's wall clock, before it was set if it was set
	// recently. latest is the same without regard to that, and latestSince is when it last changed.
	own, latest time.Time
	latestSince time.Time
	// peers holds the times of other machines by process.
	peers map[uint64]sample
	// reference is the time that a collector determined.
	reference sample
}

// sample is a time of day at the base, as observed at an instant of the monotonic clock.
type sample struct {
	atBase     time.Time
	observedAt time.Time
}

// Observe records the reading of this machine's wall clock. It is called several times per second.
func (es *Estimator) Observe(wall, now time.Time) {
	if es.base.IsZero() {
		es.base, es.latestSince = now, now
		es.own, es.latest = wall, wall
		return
	}
	current := es.toBase(wall, now)
	if current.Sub(es.latest).Abs() > tolerance {
		es.latestSince = now
	}
	es.latest = current
	if current.Sub(es.own).Abs() <= tolerance || now.Sub(es.latestSince) >= settleTime {
		es.own = current
	}
}

// ObservePeer records the time of day by another machine's own clock.
func (es *Estimator) ObservePeer(process uint64, wall, now time.Time) {
	if es.peers == nil {
		es.peers = map[uint64]sample{}
	}
	es.peers[process] = sample{es.toBase(wall, now), now}
}

// SetReference records the time of day that a collector determined from several machines.
func (es *Estimator) SetReference(wall, now time.Time) {
	es.reference = sample{es.toBase(wall, now), now}
}

// Own returns the time of day by this machine's own clock, disregarding that it was set recently.
func (es *Estimator) Own(now time.Time) time.Time { return es.fromBase(es.own, now) }

// Now returns the time of day: the reference if there is one, and otherwise the median of this
// machine's time and that of the others.
func (es *Estimator) Now(now time.Time) time.Time {
	if !es.reference.atBase.IsZero() && now.Sub(es.reference.observedAt) < referenceTTL {
		return es.fromBase(es.reference.atBase, now)
	}
	times := []time.Time{es.own}
	for process, sa := range es.peers {
		if now.Sub(sa.observedAt) >= peerTTL {
			delete(es.peers, process)
			continue
		}
		times = append(times, sa.atBase)
	}
	slices.SortFunc(times, time.Time.Compare)
	return es.fromBase(times[(len(times)-1)/2], now)
}

func (es *Estimator) toBase(wall, now time.Time) time.Time { return wall.Add(-now.Sub(es.base)) }

func (es *Estimator) fromBase(atBase, now time.Time) time.Time { return atBase.Add(now.Sub(es.base)) }
