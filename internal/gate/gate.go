// Package gate decides at an agent which attempts start on the backend
// server, which wait and which are refused. It is the last check before work
// starts, so its refusals are facts. It does no I/O and reads no clock.
package gate

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Key names an attempt: the link it came on and its number there.
type Key struct {
	Link   string
	Stream uint64
}

// Do is what the shell must do with an attempt.
type Do string

// The things to do.
const (
	// Start sends the attempt to the backend server.
	Start Do = "start"
	// Refuse tells the entry that the attempt did not run.
	Refuse Do = "refuse"
)

// Action is one decision.
type Action struct {
	do         Do
	key        Key
	attempt    *wire.Attempt
	code       result.Code
	retryAfter time.Duration
}

// Do returns what to do.
func (ac Action) Do() Do { return ac.do }

// Key returns the attempt's name.
func (ac Action) Key() Key { return ac.key }

// Attempt returns the attempt itself.
func (ac Action) Attempt() *wire.Attempt { return ac.attempt }

// Code returns why the attempt was refused.
func (ac Action) Code() result.Code { return ac.code }

// RetryAfter returns when the caller may come back.
func (ac Action) RetryAfter() time.Duration { return ac.retryAfter }

// waiting is an attempt in the queue.
type waiting struct {
	key     Key
	attempt *wire.Attempt
	arrived time.Time
	// deadline is when the attempt is refused if it has not started.
	deadline time.Time
}

const (
	// stallBound is the gap between two events after which the process is
	// taken to have been frozen and its configuration to be out of date.
	stallBound = 2 * time.Second
	// smoothing is the weight of the newest service time in the mean.
	smoothing = 0.1
	// minRetryAfter is the least time that a refused caller is sent away for.
	minRetryAfter = 100 * time.Millisecond
)

// Gate holds the attempts of one backend server. Its exported fields are set
// before use; it is not safe for concurrent use.
type Gate struct {
	// Server is the backend server's name in the configuration.
	Server string
	// Queue bounds the attempts that wait.
	Queue int

	snapshot *config.Snapshot
	// held is what the server said that it holds; it counts only where the
	// configuration leaves loading to the system.
	held []string
	// confirmed is false from a freeze until a peer has answered since.
	confirmed bool
	// leaving is never unset.
	leaving bool
	// serverLeaving is set from the server's announcement of its shutdown until its next life.
	serverLeaving bool
	// seen is the time of the newest event.
	seen time.Time
	// running holds when each attempt on the server started; there are never
	// more than the slots.
	running map[Key]time.Time
	// served is each team's virtual time: it grows by one over the team's
	// weight with each start. Teams at or below virtual are left out.
	served map[string]float64
	// virtual is the virtual time of the newest start; it never goes back.
	virtual float64
	// queue is in the order of arrival.
	queue []waiting
	// service is the smoothed time that an attempt holds its slot.
	service time.Duration
	// limits holds the server's rate limit and the times of starts, pauses the pause that it
	// asked for.
	limits backpressure.Tracker
	pauses backpressure.Pauses
}

// Open takes an attempt: it starts, waits or is refused.
func (ga *Gate) Open(key Key, at *wire.Attempt, now time.Time) []Action {
	ga.observe(now)
	wa := waiting{key: key, attempt: at, arrived: now, deadline: now.Add(time.Duration(at.WaitMS) * time.Millisecond)}
	if co := ga.judge(at); co != result.OK {
		return []Action{ga.refuse(wa, co)}
	}
	if len(ga.queue) == 0 && ga.mayStart(now) {
		return []Action{ga.start(wa, now)}
	}
	if wait := ga.estimate(at); now.Add(wait).After(wa.deadline) {
		return []Action{ga.refuse(wa, result.Overloaded)}
	}
	ga.queue = append(ga.queue, wa)
	return ga.shed(now)
}

// Ended frees the place of an attempt and starts those that waited for it.
func (ga *Gate) Ended(key Key, now time.Time) []Action {
	ga.observe(now)
	started, ok := ga.running[key]
	if !ok {
		return nil
	}
	delete(ga.running, key)
	ga.learn(now.Sub(started))
	return ga.fill(now)
}

// Cancel drops an attempt that waits. It reports whether there was one; an
// attempt that runs is cancelled by the shell, which then calls Ended.
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

// Reconfigure takes a newer revision into force; a lower one is ignored.
// Attempts that wait and are no longer allowed are refused at once.
func (ga *Gate) Reconfigure(sn *config.Snapshot, now time.Time) []Action {
	ga.observe(now)
	if sn.Revision() <= ga.snapshot.Revision() {
		return nil
	}
	ga.snapshot = sn
	return append(ga.sweep(now), ga.fill(now)...)
}

// Confirm says that a peer answered a question asked after the freeze, and
// holds nothing newer.
func (ga *Gate) Confirm(revision uint64, now time.Time) []Action {
	ga.observe(now)
	if revision > ga.snapshot.Revision() {
		return nil
	}
	ga.confirmed = true
	return ga.fill(now)
}

// Hold notes which versions the server said that it holds.
func (ga *Gate) Hold(versions []string) { ga.held = slices.Clone(versions) }

// Confirmed reports whether the configuration is known to be fresh.
func (ga *Gate) Confirmed() bool { return ga.confirmed }

// Leave refuses what waits and everything after it.
func (ga *Gate) Leave(now time.Time) []Action {
	ga.observe(now)
	ga.leaving = true
	return ga.sweep(now)
}

// Leaving reports whether the gate takes nothing new.
func (ga *Gate) Leaving() bool {
	return ga.leaving || ga.serverLeaving || ga.server() != nil && ga.server().Leaving
}

// SetServerLeaving records whether the server announced its shutdown. If it did, queued attempts are
// refused, and new ones until the server's next life.
func (ga *Gate) SetServerLeaving(leaving bool, now time.Time) []Action {
	ga.observe(now)
	ga.serverLeaving = leaving
	return ga.sweep(now)
}

// ServerLeaving reports whether the server announced its shutdown.
func (ga *Gate) ServerLeaving() bool { return ga.serverLeaving }

// Idle reports whether nothing runs or waits.
func (ga *Gate) Idle() bool { return len(ga.running) == 0 && len(ga.queue) == 0 }

// Tick refuses at once each attempt whose deadline has passed.
func (ga *Gate) Tick(now time.Time) []Action {
	ga.observe(now)
	ga.pauses.Tick(now)
	return append(ga.sweep(now), ga.fill(now)...)
}

// Load returns the present load.
func (ga *Gate) Load() wire.Load {
	lo := wire.Load{Running: len(ga.running), Queued: len(ga.queue), Slots: ga.slots(), Leaving: ga.Leaving()}
	if ga.limitWait(ga.seen) > 0 {
		// Entries would take it for idle and send what can't start.
		lo.Running = max(lo.Running, lo.Slots)
	}
	return lo
}

// Revision returns the revision in force.
func (ga *Gate) Revision() uint64 { return ga.snapshot.Revision() }

// observe notices a freeze: no event for longer than the shell's ticks allow.
func (ga *Gate) observe(now time.Time) {
	if !ga.seen.IsZero() && Stalled(ga.seen, now) {
		ga.confirmed = false
	}
	if now.After(ga.seen) {
		ga.seen = now
	}
}

// Stalled reports whether a decision made at one time is too old to be acted
// on: the process has been frozen since.
func Stalled(decided, now time.Time) bool { return now.Sub(decided) > stallBound }

// judge says whether the attempt may start as things are now.
func (ga *Gate) judge(at *wire.Attempt) result.Code {
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
		return ga.judgeService(at)
	case !slices.Contains(ga.server().Versions, at.Version):
		return result.VersionNotHere
	case ga.server().Orders && !slices.Contains(ga.held, at.Version):
		return result.VersionNotHere
	}
	return ga.snapshot.MayStart(at.Team, at.Version, at.InSession)
}

func (ga *Gate) judgeService(at *wire.Attempt) result.Code {
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

// fill starts attempts while there are free slots.
func (ga *Gate) fill(now time.Time) []Action {
	var acs []Action
	for len(ga.queue) > 0 && ga.mayStart(now) {
		i := ga.pick()
		wa := ga.queue[i]
		ga.queue = slices.Delete(ga.queue, i, i+1)
		if co := ga.judge(wa.attempt); co != result.OK {
			acs = append(acs, ga.refuse(wa, co))
			continue
		}
		if now.After(wa.deadline) {
			acs = append(acs, ga.refuse(wa, result.DeadlinePassed))
			continue
		}
		acs = append(acs, ga.start(wa, now))
	}
	return acs
}

// sweep refuses what waits and may not start any more or is too late.
func (ga *Gate) sweep(now time.Time) []Action {
	var acs []Action
	ga.queue = slices.DeleteFunc(ga.queue, func(wa waiting) bool {
		co := ga.judge(wa.attempt)
		if co == result.OK && now.After(wa.deadline) {
			co = result.DeadlinePassed
		}
		if co == result.OK {
			return false
		}
		acs = append(acs, ga.refuse(wa, co))
		return true
	})
	return acs
}

func (ga *Gate) start(wa waiting, now time.Time) Action {
	if ga.running == nil {
		ga.running = map[Key]time.Time{}
		ga.served = map[string]float64{}
	}
	ga.running[wa.key] = now
	ga.limits.RecordSent(ga.Server, now)
	ga.pauses.RecordSent(ga.Server, now)
	ga.charge(wa.attempt.Team)
	return Action{do: Start, key: wa.key, attempt: wa.attempt, code: result.OK}
}

func (ga *Gate) refuse(wa waiting, co result.Code) Action {
	after := result.Of(co).RetryAfter()
	if co == result.Overloaded || co == result.ShareExceeded || co == result.DeadlinePassed {
		after = max(minRetryAfter, ga.estimate(wa.attempt))
	}
	return Action{do: Refuse, key: wa.key, attempt: wa.attempt, code: co, retryAfter: after}
}
