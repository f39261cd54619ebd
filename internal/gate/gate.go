// Package gate is the admission control of an agent: it decides which attempts start on the backend
// server, which are queued and which are refused. It is the last check before work starts, so a
// refused attempt is certain not to have run. It does no I/O and reads no clock.
package gate

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Key identifies an attempt by the link on which it arrived and its stream number there.
type Key struct {
	Link   string
	Stream uint64
}

// Kind is the kind of an action: what the caller must do with an attempt.
type Kind string

// The kinds of actions.
const (
	// Start sends the attempt to the backend server.
	Start Kind = "start"
	// Refuse reports to the entry that the attempt did not run.
	Refuse Kind = "refuse"
)

// Action is a decision about one attempt.
type Action struct {
	kind       Kind
	key        Key
	attempt    *wire.Attempt
	code       result.Code
	retryAfter time.Duration
}

// Kind returns what to do with the attempt.
func (ac Action) Kind() Kind { return ac.kind }

// Key returns the attempt's key.
func (ac Action) Key() Key { return ac.key }

// Attempt returns the attempt itself.
func (ac Action) Attempt() *wire.Attempt { return ac.attempt }

// Code returns why the attempt was refused.
func (ac Action) Code() result.Code { return ac.code }

// RetryAfter returns the delay after which a refused caller may retry.
func (ac Action) RetryAfter() time.Duration { return ac.retryAfter }

// queued is an attempt in the queue.
type queued struct {
	key     Key
	attempt *wire.Attempt
	arrived time.Time
	// deadline is the time at which the attempt is refused if it has not started.
	deadline time.Time
}

const (
	// stallThreshold is the gap between two events after which the process is assumed to have been
	// suspended and its configuration to be out of date.
	stallThreshold = 2 * time.Second
	// smoothingFactor is the weight of the newest service time in the mean.
	smoothingFactor = 0.1
	// minRetryAfter is the minimum Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// Gate admits the attempts of one backend server. Its exported fields are set before use; it is not
// safe for concurrent use.
type Gate struct {
	// Server is the backend server's name in the configuration.
	Server string
	// MaxQueued bounds the queue.
	MaxQueued int

	snapshot *config.Snapshot
	// loaded is the list of versions that the server reports as loaded. It applies only to servers
	// whose configuration leaves the loading of versions to the system.
	loaded []string
	// confirmed is set once a peer has confirmed the configuration, and unset when the process has
	// been suspended.
	confirmed bool
	// leaving is never unset.
	leaving bool
	// serverLeaving is set from the server's announcement of its shutdown until its restart.
	serverLeaving bool
	// lastEvent is the time of the latest event.
	lastEvent time.Time
	// running holds the start time of each attempt on the server. There are never more of them than
	// slots.
	running map[Key]time.Time
	// teamTime is each team's virtual time: it advances by one over the team's weight with each
	// start. Teams at or below virtualTime are left out.
	teamTime map[string]float64
	// virtualTime is the virtual time of the latest start. It never decreases.
	virtualTime float64
	// queue is in the order of arrival.
	queue []queued
	// serviceTime is the smoothed time that an attempt occupies its slot.
	serviceTime time.Duration
	// limits holds the server's rate limit and the times of starts, pauses the pause that the
	// server requested.
	limits backpressure.Tracker
	pauses backpressure.Pauses
}

// Submit starts, queues or refuses a new attempt.
func (ga *Gate) Submit(key Key, at *wire.Attempt, now time.Time) []Action {
	ga.observe(now)
	qu := queued{key: key, attempt: at, arrived: now, deadline: now.Add(time.Duration(at.WaitMS) * time.Millisecond)}
	if co := ga.check(at); co != result.OK {
		return []Action{ga.refuse(qu, co)}
	}
	if len(ga.queue) == 0 && ga.mayStart(now) {
		return []Action{ga.start(qu, now)}
	}
	if wait := ga.estimateWait(at); now.Add(wait).After(qu.deadline) {
		return []Action{ga.refuse(qu, result.Overloaded)}
	}
	ga.queue = append(ga.queue, qu)
	return ga.shed(now)
}

// Ended frees the slot of an attempt and starts queued ones.
func (ga *Gate) Ended(key Key, now time.Time) []Action {
	ga.observe(now)
	started, ok := ga.running[key]
	if !ok {
		return nil
	}
	delete(ga.running, key)
	ga.recordServiceTime(now.Sub(started))
	return ga.fill(now)
}

// Cancel removes an attempt from the queue and reports whether it was there. A running attempt is
// cancelled by the caller, which then calls Ended.
func (ga *Gate) Cancel(key Key, now time.Time) bool {
	ga.observe(now)
	for i := range ga.queue {
		if ga.queue[i].key == key {
			ga.queue = slices.Delete(ga.queue, i, i+1)
			return true
		}
	}
	return false
}

// Reconfigure applies a newer revision of the configuration; a revision that is not newer is
// ignored. Queued attempts that it no longer allows are refused immediately.
func (ga *Gate) Reconfigure(sn *config.Snapshot, now time.Time) []Action {
	ga.observe(now)
	if sn.Revision() <= ga.snapshot.Revision() {
		return nil
	}
	ga.snapshot = sn
	return append(ga.sweep(now), ga.fill(now)...)
}

// Confirm records the revision that a peer reported in response to a query that was sent after the
// process had been suspended. The configuration is confirmed unless the peer has a newer one.
func (ga *Gate) Confirm(revision uint64, now time.Time) []Action {
	ga.observe(now)
	if revision > ga.snapshot.Revision() {
		return nil
	}
	ga.confirmed = true
	return ga.fill(now)
}

// SetLoaded records which versions the server reports as loaded.
func (ga *Gate) SetLoaded(versions []string) { ga.loaded = slices.Clone(versions) }

// Confirmed reports whether the configuration is known to be current.
func (ga *Gate) Confirmed() bool { return ga.confirmed }

// Leave refuses all queued attempts and every later one. Running attempts continue.
func (ga *Gate) Leave(now time.Time) []Action {
	ga.observe(now)
	ga.leaving = true
	return ga.sweep(now)
}

// Leaving reports whether the gate refuses new attempts because the agent or the server is leaving.
func (ga *Gate) Leaving() bool {
	return ga.leaving || ga.serverLeaving || ga.server() != nil && ga.server().Leaving
}

// SetServerLeaving records whether the server announced its shutdown. If it did, queued attempts
// are refused, and new ones until the server restarts.
func (ga *Gate) SetServerLeaving(leaving bool, now time.Time) []Action {
	ga.observe(now)
	ga.serverLeaving = leaving
	return ga.sweep(now)
}

// ServerLeaving reports whether the server announced its shutdown.
func (ga *Gate) ServerLeaving() bool { return ga.serverLeaving }

// Idle reports whether no attempt is running or queued.
func (ga *Gate) Idle() bool { return len(ga.running) == 0 && len(ga.queue) == 0 }

// Tick refuses the queued attempts whose deadlines have passed and starts those that may start.
func (ga *Gate) Tick(now time.Time) []Action {
	ga.observe(now)
	ga.pauses.Tick(now)
	return append(ga.sweep(now), ga.fill(now)...)
}

// Load returns the current load.
func (ga *Gate) Load() wire.Load {
	lo := wire.Load{Running: len(ga.running), Queued: len(ga.queue), Slots: ga.slots(), Leaving: ga.Leaving()}
	if ga.limitWait(ga.lastEvent) > 0 {
		// Otherwise entries would consider the server idle and send attempts that can't start.
		lo.Running = max(lo.Running, lo.Slots)
	}
	return lo
}

// Revision returns the revision in force.
func (ga *Gate) Revision() uint64 { return ga.snapshot.Revision() }

// observe records the time of an event. A gap that the caller's regular ticks rule out means that
// the process was suspended, so the configuration has to be confirmed again.
func (ga *Gate) observe(now time.Time) {
	if !ga.lastEvent.IsZero() && Stalled(ga.lastEvent, now) {
		ga.confirmed = false
	}
	if now.After(ga.lastEvent) {
		ga.lastEvent = now
	}
}

// DecidedAt returns when the latest decisions were made.
func (ga *Gate) DecidedAt() time.Time { return ga.lastEvent }

// Stalled reports whether a decision is too old to be acted on because the process has been
// suspended since it was made.
func Stalled(decided, now time.Time) bool { return now.Sub(decided) > stallThreshold }

// check returns result.OK if the configuration and the server's state allow the attempt to start,
// and otherwise the reason for its refusal.
func (ga *Gate) check(at *wire.Attempt) result.Code {
	switch {
	case ga.snapshot == nil || !ga.confirmed:
		return result.NoConfiguration
	case ga.Leaving():
		return result.Leaving
	case ga.server() == nil:
		return result.VersionNotHere
	case ga.snapshot.Document().Evacuated(ga.server().DataCentre):
		return result.Leaving
	case at.Service != "":
		return ga.checkService(at)
	case !slices.Contains(ga.server().Versions, at.Version):
		return result.VersionNotHere
	case ga.server().Orders && !slices.Contains(ga.loaded, at.Version):
		return result.VersionNotHere
	}
	return ga.snapshot.MayStart(at.Team, at.Version, at.InSession)
}

func (ga *Gate) checkService(at *wire.Attempt) result.Code {
	te := ga.snapshot.Team(at.Team)
	if te == nil || !te.MayCall(at.Service) {
		return result.VersionNotAllowed
	}
	if !slices.Contains(ga.server().Services, at.Service) {
		return result.VersionNotHere
	}
	return result.OK
}

func (ga *Gate) server() *config.Server {
	if ga.snapshot == nil {
		return nil
	}
	return ga.snapshot.Server(ga.Server)
}

func (ga *Gate) slots() int {
	if se := ga.server(); se != nil {
		return se.Slots
	}
	return 0
}

// fill starts queued attempts while there are free slots.
func (ga *Gate) fill(now time.Time) []Action {
	var acs []Action
	for len(ga.queue) > 0 && ga.mayStart(now) {
		i := ga.next()
		qu := ga.queue[i]
		ga.queue = slices.Delete(ga.queue, i, i+1)
		if co := ga.check(qu.attempt); co != result.OK {
			acs = append(acs, ga.refuse(qu, co))
			continue
		}
		if now.After(qu.deadline) {
			acs = append(acs, ga.refuse(qu, result.DeadlinePassed))
			continue
		}
		acs = append(acs, ga.start(qu, now))
	}
	return acs
}

// sweep refuses the queued attempts that are no longer allowed or whose deadlines have passed.
func (ga *Gate) sweep(now time.Time) []Action {
	var acs []Action
	ga.queue = slices.DeleteFunc(ga.queue, func(qu queued) bool {
		co := ga.check(qu.attempt)
		if co == result.OK && now.After(qu.deadline) {
			co = result.DeadlinePassed
		}
		if co == result.OK {
			return false
		}
		acs = append(acs, ga.refuse(qu, co))
		return true
	})
	return acs
}

func (ga *Gate) start(qu queued, now time.Time) Action {
	if ga.running == nil {
		ga.running = map[Key]time.Time{}
		ga.teamTime = map[string]float64{}
	}
	ga.running[qu.key] = now
	ga.limits.RecordSent(ga.Server, now)
	ga.pauses.RecordSent(ga.Server, now)
	ga.charge(qu.attempt.Team)
	return Action{kind: Start, key: qu.key, attempt: qu.attempt, code: result.OK}
}

func (ga *Gate) refuse(qu queued, co result.Code) Action {
	after := result.Lookup(co).RetryAfter()
	if co == result.Overloaded || co == result.ShareExceeded || co == result.DeadlinePassed {
		after = max(minRetryAfter, ga.estimateWait(qu.attempt))
	}
	return Action{kind: Refuse, key: qu.key, attempt: qu.attempt, code: co, retryAfter: after}
}
