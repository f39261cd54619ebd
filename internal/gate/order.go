package gate

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

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
// all slots at the smoothed rate, or at the rate that the server names, after its pause.
func (ga *Gate) wait(place int) time.Duration {
	wait := ga.pauses.LocalRemaining(ga.Server, ga.seen) + ga.service*time.Duration(place)/time.Duration(max(1, ga.slots()))
	if interval, ok := ga.limits.Interval(ga.Server); ok {
		wait = max(wait, ga.limitWait(ga.seen)+time.Duration(place-1)*interval)
	}
	return wait
}

func (ga *Gate) learn(took time.Duration) {
	if ga.service == 0 {
		ga.service = took
		return
	}
	ga.service += time.Duration(smoothing * float64(took-ga.service))
}
