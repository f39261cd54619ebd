// Package gate decides at an agent which attempts start on the backend
// server, which wait and which are refused. It is the last check before work
// starts, so its refusals are facts. It does no I/O and reads no clock.
package gate

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Key names an attempt: the entry that sent it and its number there.
type Key struct {
	Peer   string
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
}

// Open takes an attempt: it starts, waits or is refused.
func (ga *Gate) Open(key Key, at *wire.Attempt, now time.Time) []Action {
	ga.observe(now)
	wa := waiting{key: key, attempt: at, arrived: now, deadline: now.Add(time.Duration(at.WaitMS) * time.Millisecond)}
	if co := ga.judge(at); co != result.OK {
		return []Action{ga.refuse(wa, co)}
	}
	if len(ga.running) < ga.slots() && len(ga.queue) == 0 {
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
	return ga.leaving || ga.server() != nil && ga.server().Leaving
}

// Idle reports whether nothing runs or waits.
func (ga *Gate) Idle() bool { return len(ga.running) == 0 && len(ga.queue) == 0 }

// Tick refuses at once each attempt whose deadline has passed.
func (ga *Gate) Tick(now time.Time) []Action {
	ga.observe(now)
	return append(ga.sweep(now), ga.fill(now)...)
}

// Load returns the present load.
func (ga *Gate) Load() wire.Load {
	return wire.Load{Running: len(ga.running), Queued: len(ga.queue), Slots: ga.slots(), Leaving: ga.Leaving()}
}

// Revision returns the revision in force.
func (ga *Gate) Revision() uint64 { return ga.snapshot.Revision() }

// observe notices a freeze: no event for longer than the shell's ticks allow.
func (ga *Gate) observe(now time.Time) {
	if !ga.seen.IsZero() && now.Sub(ga.seen) > stallBound {
		ga.confirmed = false
	}
	if now.After(ga.seen) {
		ga.seen = now
	}
}

// judge says whether the attempt may start as things are now.
func (ga *Gate) judge(at *wire.Attempt) result.Code {
	switch {
	case ga.snapshot == nil || !ga.confirmed:
		return result.NoConfiguration
	case ga.Leaving():
		return result.Leaving
	case ga.server() == nil:
		return result.VersionNotHere
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
	for len(ga.queue) > 0 && len(ga.running) < ga.slots() {
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

// pick returns the place in the queue of the attempt to start next: highest
// priority, then the team that was served least for its weight, then the oldest.
func (ga *Gate) pick() int {
	best := 0
	for i := 1; i < len(ga.queue); i++ {
		if ga.before(&ga.queue[i], &ga.queue[best]) {
			best = i
		}
	}
	return best
}

func (ga *Gate) before(wa, ot *waiting) bool {
	if wa.attempt.Priority != ot.attempt.Priority {
		return wa.attempt.Priority > ot.attempt.Priority
	}
	return ga.share(wa.attempt.Team) < ga.share(ot.attempt.Team)
}

// share returns a team's virtual time. A team that was away is not owed what
// it did not ask for.
func (ga *Gate) share(team string) float64 {
	return max(ga.served[team], ga.virtual)
}

// charge moves a team's virtual time on by one start, and forgets the teams
// that the others have caught up with.
func (ga *Gate) charge(team string) {
	ga.virtual = ga.share(team)
	ga.served[team] = ga.virtual + 1/float64(ga.weight(team))
	for na, se := range ga.served {
		if se <= ga.virtual {
			delete(ga.served, na)
		}
	}
}

func (ga *Gate) weight(team string) int {
	if te := ga.snapshot.Team(team); te != nil {
		return te.Weight()
	}
	return 1
}

// shed refuses at once what can surely not start in time, or has no room: the
// newest attempt of the lowest priority from the team that waits with most for
// its weight, so that one team's burst costs that team.
func (ga *Gate) shed(now time.Time) []Action {
	worst := ga.worst()
	last := now.Add(ga.wait(len(ga.queue)))
	if len(ga.queue) <= ga.Queue && !last.After(ga.queue[worst].deadline) {
		return nil
	}
	wa := ga.queue[worst]
	ga.queue = slices.Delete(ga.queue, worst, worst+1)
	return []Action{ga.refuse(wa, result.ShareExceeded)}
}

// worst returns the place in the queue of the attempt that comes last.
func (ga *Gate) worst() int {
	waits := map[string]int{}
	for i := range ga.queue {
		waits[ga.queue[i].attempt.Team]++
	}
	worst := len(ga.queue) - 1
	for i := len(ga.queue) - 2; i >= 0; i-- {
		wa, wo := ga.queue[i].attempt, ga.queue[worst].attempt
		if wa.Priority != wo.Priority {
			if wa.Priority < wo.Priority {
				worst = i
			}
			continue
		}
		if waits[wa.Team]*ga.weight(wo.Team) > waits[wo.Team]*ga.weight(wa.Team) {
			worst = i
		}
	}
	return worst
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

// estimate returns how long an attempt that came now would wait: for all of a
// higher priority, and for those of its own that the fair shares put before it.
func (ga *Gate) estimate(at *wire.Attempt) time.Duration {
	ahead := 1
	seen := map[string]float64{}
	for i := range ga.queue {
		if ga.queue[i].attempt.Team == at.Team {
			seen[at.Team]++
		}
	}
	own := ga.share(at.Team) + seen[at.Team]/float64(ga.weight(at.Team))
	clear(seen)
	for i := range ga.queue {
		wa := ga.queue[i].attempt
		tag := ga.share(wa.Team) + seen[wa.Team]/float64(ga.weight(wa.Team))
		seen[wa.Team]++
		if wa.Priority > at.Priority || wa.Priority == at.Priority && tag <= own {
			ahead++
		}
	}
	return ga.wait(ahead)
}

// wait returns how long the attempt at a place of the queue waits, served by
// all slots at the smoothed rate.
func (ga *Gate) wait(place int) time.Duration {
	return ga.service * time.Duration(place) / time.Duration(max(1, ga.slots()))
}

func (ga *Gate) learn(took time.Duration) {
	if ga.service == 0 {
		ga.service = took
		return
	}
	ga.service += time.Duration(smoothing * float64(took-ga.service))
}
