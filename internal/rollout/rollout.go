// Package rollout decides how a version's share of new work grows, and when
// the version is rolled back. It runs a cumulative-sum test of failures and of
// low ratings against the versions that serve, so that a version that is bad
// from the start and one that turns bad later are both caught. It does no I/O
// and reads no clock.
package rollout

import (
	"math"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// Verdict is what is known of a roll-out.
type Verdict string

// The verdicts.
const (
	// InProgress means that no end is reached.
	InProgress Verdict = "growing"
	// Done means that the version has the last step's share and was good.
	Done Verdict = "done"
	// RolledBack means that the version was bad.
	RolledBack Verdict = "reversed"
)

// Tally counts what became of a version's requests, since some beginning.
type Tally struct {
	// Started and Failed count attempts on backend servers.
	Started uint64 `json:"started"`
	Failed  uint64 `json:"failed"`
	// Rated and Low count ratings.
	Rated float64 `json:"rated"`
	Low   float64 `json:"low"`
}

// Add returns the sum of two tallies.
func (ta Tally) Add(ot Tally) Tally {
	return Tally{ta.Started + ot.Started, ta.Failed + ot.Failed, ta.Rated + ot.Rated, ta.Low + ot.Low}
}

// since returns what was added after an earlier tally. A counter that went
// back belongs to a process that was replaced, and counts from zero.
func (ta Tally) since(be Tally) Tally {
	if ta.Started < be.Started || ta.Failed < be.Failed {
		be.Started, be.Failed = 0, 0
	}
	if ta.Rated < be.Rated || ta.Low < be.Low {
		be.Rated, be.Low = 0, 0
	}
	return Tally{ta.Started - be.Started, ta.Failed - be.Failed, ta.Rated - be.Rated, ta.Low - be.Low}
}

// Progress is what is kept of a roll-out in the key-value service. Its fields
// are exported because it is stored; whoever continues the roll-out needs
// nothing else.
type Progress struct {
	Version string  `json:"version"`
	Verdict Verdict `json:"verdict"`
	// Step is the place in the plan's steps.
	Step int `json:"step"`
	// Since is when the step was taken.
	Since time.Time `json:"since"`
	// LastTally is the version's tally at the last decision, Base that of the
	// versions it is compared with.
	LastTally     Tally `json:"seen"`
	BaselineTally Tally `json:"base"`
	// StepTally counts the requests and ratings of this step.
	StepTally Tally `json:"enough"`
	// Failures and Ratings are the cumulative sums of the two tests; they are
	// never below zero.
	Failures float64 `json:"failures"`
	Ratings  float64 `json:"ratings"`
	// Reason says in a few words what ended the roll-out.
	Reason string `json:"reason,omitempty"`
}

const (
	// falseAlarms is about how often a good version is rolled back by one of the
	// tests. The cumulative sum that it takes grows with the logarithm of what
	// was seen, so that a roll-out of any length spends the same chance, and
	// the first requests of a bad version are few.
	falseAlarms = 0.005
	// information is what one request tells, on average, of two rates that are
	// some times apart; firstRequests keeps the first few from deciding alone.
	information   = 0.05
	firstRequests = 50
	// floorRate is the least failure rate that is taken for normal.
	floorRate = 0.005
	// worse is how many times the normal rate counts as bad.
	worse = 3.0
	// lowFloor is the least rate of low ratings that is taken for normal.
	lowFloor = 0.05
	// clearEvidence is the log likelihood ratio for a good version that ends
	// a step; clearing it takes more requests the rarer failures are.
	clearEvidence = 3.0
	// unratedStep is how many times the hold time a step lasts if no ratings
	// come at all.
	unratedStep = 3
)

// Decide takes the newest tallies and returns the progress after them. share
// is what the version takes of new work from now on.
func Decide(plan *config.Rollout, pr Progress, now time.Time, version, others Tally) (next Progress, share float64) {
	if pr.Verdict == RolledBack {
		return pr, 0
	}
	if pr.Version == "" {
		pr = Progress{Version: plan.Model + "@" + plan.To, Verdict: InProgress, Since: now, LastTally: version, BaselineTally: others}
		return pr, plan.Steps[0]
	}
	fresh := version.since(pr.LastTally)
	base := others.since(Tally{})
	pr.LastTally, pr.BaselineTally = version, others
	pr.StepTally = pr.StepTally.Add(fresh)
	good := rates(plan, base)
	bad := good.bad(plan)
	pr.Failures = sum(pr.Failures, float64(fresh.Failed), float64(fresh.Started), good.failure, bad.failure)
	pr.Ratings = sum(pr.Ratings, fresh.Low, fresh.Rated, good.low, bad.low)
	switch {
	case pr.Failures >= alarm(float64(version.Started)):
		return pr.reverse("failures"), 0
	case pr.Ratings >= alarm(version.Rated):
		return pr.reverse("low ratings"), 0
	case pr.cleared(plan, now, good, bad):
		return pr.grow(plan, now)
	}
	return pr, plan.Steps[min(pr.Step, len(plan.Steps)-1)]
}

// alarm returns the cumulative sum at which a version counts as bad after a
// number of outcomes.
func alarm(seen float64) float64 {
	return math.Log((seen + firstRequests) * information / falseAlarms)
}

func (pr Progress) reverse(reason string) Progress {
	pr.Verdict = RolledBack
	pr.Reason = reason
	return pr
}

func (pr Progress) grow(plan *config.Rollout, now time.Time) (Progress, float64) {
	last := len(plan.Steps) - 1
	if pr.Step >= last {
		pr.Verdict = Done
		return pr, plan.Steps[last]
	}
	pr.Step++
	pr.Since = now
	pr.StepTally = Tally{}
	return pr, plan.Steps[pr.Step]
}

// cleared reports whether the step has lasted and shown enough.
func (pr Progress) cleared(plan *config.Rollout, now time.Time, good, bad pair) bool {
	held := now.Sub(pr.Since)
	hold := time.Duration(plan.HoldSeconds) * time.Second
	if pr.Verdict == Done || held < hold {
		return false
	}
	if evidence(float64(pr.StepTally.Started), float64(pr.StepTally.Failed), good.failure, bad.failure) < clearEvidence {
		return false
	}
	if pr.StepTally.Rated == 0 {
		return held >= unratedStep*hold
	}
	return evidence(pr.StepTally.Rated, pr.StepTally.Low, good.low, bad.low) >= clearEvidence
}

// pair is a rate of failures and one of low ratings.
type pair struct{ failure, low float64 }

// rates returns what is normal: the rates of the versions that serve, with a
// floor where little is known.
func rates(plan *config.Rollout, base Tally) pair {
	return pair{
		failure: min(smooth(float64(base.Failed), float64(base.Started), floorRate), plan.MaxFailureRate/2),
		low:     min(smooth(base.Low, base.Rated, lowFloor), 0.4),
	}
}

// bad returns the rates that must be caught.
func (pa pair) bad(plan *config.Rollout) pair {
	return pair{
		failure: min(0.9, max(plan.MaxFailureRate, worse*pa.failure)),
		low:     min(0.95, max(0.25, 2*pa.low)),
	}
}

// smooth estimates a rate from counts and an expectation worth a few of them.
func smooth(bad, all, floor float64) float64 {
	const worth = 100
	return max(floor, (bad+floor*worth)/(all+worth))
}

// sum moves a cumulative sum on by a batch of outcomes.
func sum(before, bad, all, p0, p1 float64) float64 {
	return max(0, before+ratio(bad, all, p0, p1))
}

// ratio is the log likelihood ratio of the rate p1 against p0.
func ratio(bad, all, p0, p1 float64) float64 {
	return bad*math.Log(p1/p0) + (all-bad)*math.Log((1-p1)/(1-p0))
}

// evidence is how much speaks for the good rate.
func evidence(all, bad, p0, p1 float64) float64 { return -ratio(bad, all, p0, p1) }
