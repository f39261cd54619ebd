package gate

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// next returns the index of the queued attempt to start next: the highest priority first, then the
// team with the least service for its weight (weighted fair queueing), then the oldest.
func (ga *Gate) next() int {
	best := 0
	for i := 1; i < len(ga.queue); i++ {
		if ga.before(&ga.queue[i], &ga.queue[best]) {
			best = i
		}
	}
	return best
}

func (ga *Gate) before(qu, ot *queued) bool {
	if qu.attempt.Priority != ot.attempt.Priority {
		return qu.attempt.Priority > ot.attempt.Priority
	}
	return ga.teamVirtualTime(qu.attempt.Team) < ga.teamVirtualTime(ot.attempt.Team)
}

// teamVirtualTime returns a team's virtual time. It is at least that of the latest start, so that a
// team that was idle gets no credit for the time.
func (ga *Gate) teamVirtualTime(team string) float64 {
	return max(ga.teamTime[team], ga.virtualTime)
}

// charge advances a team's virtual time by one start, and removes the teams whose virtual time is
// no longer ahead.
func (ga *Gate) charge(team string) {
	ga.virtualTime = ga.teamVirtualTime(team)
	ga.teamTime[team] = ga.virtualTime + 1/float64(ga.weight(team))
	for na, ti := range ga.teamTime {
		if ti <= ga.virtualTime {
			delete(ga.teamTime, na)
		}
	}
}

func (ga *Gate) weight(team string) int {
	if te := ga.snapshot.Team(team); te != nil {
		return te.Weight()
	}
	return 1
}

// shed refuses one queued attempt if the queue is too long, or if that attempt can't start before
// its deadline. It is the newest attempt of the lowest priority from the team with the most queued
// attempts for its weight, so that one team's burst displaces only attempts of that team.
func (ga *Gate) shed(now time.Time) []Action {
	last := ga.shedCandidate()
	lastStart := now.Add(ga.waitAt(len(ga.queue)))
	if len(ga.queue) <= ga.MaxQueued && !lastStart.After(ga.queue[last].deadline) {
		return nil
	}
	qu := ga.queue[last]
	ga.queue = slices.Delete(ga.queue, last, last+1)
	return []Action{ga.refuse(qu, result.ShareExceeded)}
}

// shedCandidate returns the index of the queued attempt that shed refuses.
func (ga *Gate) shedCandidate() int {
	count := map[string]int{}
	for i := range ga.queue {
		count[ga.queue[i].attempt.Team]++
	}
	last := len(ga.queue) - 1
	for i := len(ga.queue) - 2; i >= 0; i-- {
		at, la := ga.queue[i].attempt, ga.queue[last].attempt
		if at.Priority != la.Priority {
			if at.Priority < la.Priority {
				last = i
			}
			continue
		}
		if count[at.Team]*ga.weight(la.Team) > count[la.Team]*ga.weight(at.Team) {
			last = i
		}
	}
	return last
}

// estimateWait returns how long a new attempt would wait: for all queued attempts of a higher
// priority, and for those of the same priority that fair queueing places before it.
func (ga *Gate) estimateWait(at *wire.Attempt) time.Duration {
	ahead := 1
	counted := map[string]float64{}
	for i := range ga.queue {
		if ga.queue[i].attempt.Team == at.Team {
			counted[at.Team]++
		}
	}
	own := ga.teamVirtualTime(at.Team) + counted[at.Team]/float64(ga.weight(at.Team))
	clear(counted)
	for i := range ga.queue {
		ot := ga.queue[i].attempt
		start := ga.teamVirtualTime(ot.Team) + counted[ot.Team]/float64(ga.weight(ot.Team))
		counted[ot.Team]++
		if ot.Priority > at.Priority || ot.Priority == at.Priority && start <= own {
			ahead++
		}
	}
	return ga.waitAt(ahead)
}

// waitAt returns how long the attempt at a position of the queue, counted from one, waits: after
// the server's pause, all slots serve at the smoothed service time, or at the server's rate limit
// if that is slower.
func (ga *Gate) waitAt(position int) time.Duration {
	wait := ga.pauses.LocalRemaining(ga.Server, ga.lastEvent) + ga.serviceTime*time.Duration(position)/time.Duration(max(1, ga.slots()))
	if interval, ok := ga.limits.Interval(ga.Server); ok {
		wait = max(wait, ga.limitWait(ga.lastEvent)+time.Duration(position-1)*interval)
	}
	return wait
}

// recordServiceTime updates the smoothed service time.
func (ga *Gate) recordServiceTime(took time.Duration) {
	if ga.serviceTime == 0 {
		ga.serviceTime = took
		return
	}
	ga.serviceTime += time.Duration(smoothingFactor * float64(took-ga.serviceTime))
}
