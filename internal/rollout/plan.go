package rollout

import (
	"slices"
	"time"
)

const (
	// shareMargin is left of the share that a bad version may get, since requests do
	// not come evenly.
	shareMargin = 0.01
	// extraPart is the part of the requests beyond that share that is planned with: how
	// many requests there are is an estimate, from what one gateway sees.
	extraPart = 0.5
	// finishBefore is how long before its deadline a roll-out is finished. All processes
	// may learn of an order 0.9 s late where watches hear nothing for a second, a write
	// may take a quarter of a second, and operators look at the status now and then:
	// 0.09 s before was too late.
	finishBefore = 1400 * time.Millisecond
	// settle is the least time between the shift and the end, in which every
	// process learns of the shift and short requests come to their end.
	settle = 500 * time.Millisecond
	// shiftPart is the most of a bad version's share that the time after the shift may
	// take; the rest is for the trial.
	shiftPart = 2.0 / 3
	// burstTime is the last part of the trial, in which more is tried so that its servers
	// get the load to come: as long as it takes to find a bad version (some ten bad answers,
	// told in half a second, and hearing).
	burstTime = 3 * time.Second
	// burstPart is the most of what may be tried that is kept for the burst: the rest is for
	// versions that are bad at once, or on a route that is seldom asked for.
	burstPart = 0.4
	// longestTail is the most of a roll-out's time that may follow the shift. A version
	// that is bad only under load shows it then; while its servers hold no prompts yet,
	// answers take longer.
	longestTail = 0.1
)

// Plan is an order to move a service to a version within a time.
type Plan struct {
	Service string
	Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
	// MostShare is the part of all requests in that time that a bad version may
	// get, MostExtra this gateway's part of those that it may get besides. A version
	// may be bad only under load, so that the bound is kept by a version of which
	// nothing bad is known as well: everything moves late.
	MostShare float64
	MostExtra float64
	// Servers is how many servers the version has, zero if that is not known.
	Servers int
}

// share returns the part of all requests that may go to the version until the deadline.
func (pl Plan) share() float64 { return max(0, pl.MostShare-shareMargin) }

// leastTail returns the least time between the shift and the deadline, in which
// everything goes to the version.
func (pl Plan) leastTail() time.Duration {
	most := time.Duration(shiftPart * pl.share() * float64(pl.Within))
	return min(finishBefore+settle, most)
}

// wait returns the time until sessions may move.
func (pl Plan) wait() time.Duration { return pl.Within / 2 }

// trial returns the time in which sessions are tried.
func (pl Plan) trial() time.Duration { return pl.Within - pl.wait() - pl.leastTail() }

// burstAfter returns the time from the order to the burst of the trial, which ends when
// everything moves at the earliest.
func (pl Plan) burstAfter() time.Duration {
	return max(pl.wait(), pl.Within-time.Duration(longestTail*float64(pl.Within))-burstTime)
}

// WithdrawnVersions returns the versions of a service that get nothing any more once a newer
// order for a target comes: those that got nothing before, the version of the order
// before unless everything had moved to it, and otherwise those it had moved from,
// which are among the listed ones. Their servers may be listed for some seconds more.
func WithdrawnVersions(before []string, version string, ph Phase, listed []string, target string) []string {
	gone := slices.Clone(before)
	switch {
	case version == "":
	case ph == Shifting || ph == Complete:
		for _, ve := range listed {
			if ve != version {
				gone = append(gone, ve)
			}
		}
	default:
		gone = append(gone, version)
	}
	slices.Sort(gone)
	return slices.DeleteFunc(slices.Compact(gone), func(ve string) bool { return ve == target })
}
