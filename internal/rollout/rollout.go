// Package rollout decides how a version's share of new requests grows and when the version is
// rolled back. It runs a cumulative-sum (CUSUM) test of failures and of low ratings against the
// serving versions, so that it detects versions that are bad from the start and versions that
// degrade later. It does no I/O and reads no clock.
package rollout

import (
	"math"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// Verdict is the state of a roll-out.
type Verdict string

// The verdicts.
const (
	// InProgress means that the roll-out has not ended.
	InProgress Verdict = "growing"
	// Done means that the version completed the last step without becoming bad.
	Done Verdict = "done"
	// RolledBack means that the version was bad.
	RolledBack Verdict = "reversed"
)

// Tally counts the outcomes of a version's requests since some start.
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

// since returns the difference to an earlier tally. A counter that decreased belongs to a process
// that was replaced, and counts from zero.
func (ta Tally) since(be Tally) Tally {
	if ta.Started < be.Started || ta.Failed < be.Failed {
		be.Started, be.Failed = 0, 0
	}
	if ta.Rated < be.Rated || ta.Low < be.Low {
		be.Rated, be.Low = 0, 0
	}
	return Tally{ta.Started - be.Started, ta.Failed - be.Failed, ta.Rated - be.Rated, ta.Low - be.Low}
}

// Progress is the state of a roll-out as stored in the key-value service. Its fields are exported
// for encoding. It suffices to continue the roll-out in another process.
type Progress struct {
	Version string  `json:"version"`
	Verdict Verdict `json:"verdict"`
	// Step is the index of the current step in the plan.
	Step int `json:"step"`
	// Since is when the step started.
	Since time.Time `json:"since"`
	// LastTally is the version's tally at the last decision, BaselineTally that of the versions
	// that it is compared with.
	LastTally     Tally `json:"seen"`
	BaselineTally Tally `json:"base"`
	// StepTally counts the requests and ratings of this step.
	StepTally Tally `json:"enough"`
	// Failures and Ratings are the cumulative sums of the two tests; never below zero.
	Failures float64 `json:"failures"`
	Ratings  float64 `json:"ratings"`
	// Reason is a short text on why the roll-out ended.
	Reason string `json:"reason,omitempty"`
}

const (
	// falseAlarmRate is the approximate rate at which a test rolls back a good version. The
	// threshold of the cumulative sum grows with the logarithm of the number of outcomes, so that
	// the rate does not depend on the length of the roll-out and a bad version is rolled back after
	// few requests.
	falseAlarmRate = 0.005
	// informationPerRequest is the average information of one request about two rates that differ
	// by a small factor. requestOffset prevents a decision by the first few requests alone.
	informationPerRequest = 0.05
	requestOffset         = 50
	// minFailureRate is the minimum failure rate assumed to be normal.
	minFailureRate = 0.005
	// badFactor is the ratio of the bad rate to the normal rate.
	badFactor = 3.0
	// minLowRate is the minimum rate of low ratings assumed to be normal.
	minLowRate = 0.05
	// stepEvidence is the log likelihood ratio for a good version that completes a step. The rarer
	// failures are, the more requests it takes.
	stepEvidence = 3.0
	// unratedHoldFactor is the duration of a step without any ratings, in multiples of the hold
	// time.
	unratedHoldFactor = 3
)

// Decide returns the progress after the latest tallies. share is the version's share of new
// requests from now on.
func Decide(plan *config.Rollout, pr Progress, now time.Time, version, others Tally) (next Progress, share float64) {
	if pr.Verdict == RolledBack {
		return pr, 0
	}
	if pr.Version == "" {
		pr = Progress{Version: plan.Model + "@" + plan.To, Verdict: InProgress, Since: now, LastTally: version, BaselineTally: others}
		return pr, plan.Steps[0]
	}
	added := version.since(pr.LastTally)
	base := others.since(Tally{})
	pr.LastTally, pr.BaselineTally = version, others
	pr.StepTally = pr.StepTally.Add(added)
	good := normalRates(plan, base)
	bad := good.badRates(plan)
	pr.Failures = cusum(pr.Failures, float64(added.Failed), float64(added.Started), good.failure, bad.failure)
	pr.Ratings = cusum(pr.Ratings, added.Low, added.Rated, good.low, bad.low)
	switch {
	case pr.Failures >= rollBackThreshold(float64(version.Started)):
		return pr.rollBack("failures"), 0
	case pr.Ratings >= rollBackThreshold(version.Rated):
		return pr.rollBack("low ratings"), 0
	case pr.stepPassed(plan, now, good, bad):
		return pr.advance(plan, now)
	}
	return pr, plan.Steps[min(pr.Step, len(plan.Steps)-1)]
}

// rollBackThreshold returns the cumulative sum at which a version counts as bad after a number of
// outcomes.
func rollBackThreshold(outcomes float64) float64 {
	return math.Log((outcomes + requestOffset) * informationPerRequest / falseAlarmRate)
}

func (pr Progress) rollBack(reason string) Progress {
	pr.Verdict = RolledBack
	pr.Reason = reason
	return pr
}

func (pr Progress) advance(plan *config.Rollout, now time.Time) (Progress, float64) {
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

// stepPassed reports whether the step has lasted long enough and provided enough evidence.
func (pr Progress) stepPassed(plan *config.Rollout, now time.Time, good, bad ratePair) bool {
	elapsed := now.Sub(pr.Since)
	hold := time.Duration(plan.HoldSeconds) * time.Second
	if pr.Verdict == Done || elapsed < hold {
		return false
	}
	if evidenceForGood(float64(pr.StepTally.Started), float64(pr.StepTally.Failed), good.failure, bad.failure) < stepEvidence {
		return false
	}
	if pr.StepTally.Rated == 0 {
		return elapsed >= unratedHoldFactor*hold
	}
	return evidenceForGood(pr.StepTally.Rated, pr.StepTally.Low, good.low, bad.low) >= stepEvidence
}

// ratePair holds a failure rate and a rate of low ratings.
type ratePair struct{ failure, low float64 }

// normalRates returns the rates of the serving versions, with a minimum where there is little data.
func normalRates(plan *config.Rollout, base Tally) ratePair {
	return ratePair{
		failure: min(smoothedRate(float64(base.Failed), float64(base.Started), minFailureRate), plan.MaxFailureRate/2),
		low:     min(smoothedRate(base.Low, base.Rated, minLowRate), 0.4),
	}
}

// badRates returns the rates that must be detected.
func (pa ratePair) badRates(plan *config.Rollout) ratePair {
	return ratePair{
		failure: min(0.9, max(plan.MaxFailureRate, badFactor*pa.failure)),
		low:     min(0.95, max(0.25, 2*pa.low)),
	}
}

// smoothedRate estimates a rate from counts and a prior that has the weight of a number of
// outcomes.
func smoothedRate(bad, all, floor float64) float64 {
	const priorWeight = 100
	return max(floor, (bad+floor*priorWeight)/(all+priorWeight))
}

// cusum returns a cumulative sum after a batch of outcomes.
func cusum(before, bad, all, p0, p1 float64) float64 {
	return max(0, before+logLikelihoodRatio(bad, all, p0, p1))
}

// logLikelihoodRatio returns the log likelihood ratio of the rate p1 to p0.
func logLikelihoodRatio(bad, all, p0, p1 float64) float64 {
	return bad*math.Log(p1/p0) + (all-bad)*math.Log((1-p1)/(1-p0))
}

// evidenceForGood returns the log likelihood ratio of the good rate p0 to p1.
func evidenceForGood(all, bad, p0, p1 float64) float64 { return -logLikelihoodRatio(bad, all, p0, p1) }
