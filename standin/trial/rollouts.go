package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
)

// Release is the input of the roll-out experiment: a new version takes over
// from one that serves.
type RolloutScenario struct {
	// Rate is the model's requests in a second.
	RequestsPerSecond int
	// GoodFailures and GoodLow are the rates of failures and of low ratings of
	// the version that serves.
	BaselineFailureRate, BaselineLowRatingRate float64
	// Failures and Low are those of the new version, from TurnsBad on; before,
	// it is as good as the old.
	FailureRate, LowRatingRate float64
	DegradesAt                 time.Duration
	// Rated is the part of answers that is rated, after RatingLag. Tallies are
	// seen after Lag.
	RatedFraction       float64
	TallyLag, RatingLag time.Duration
	// Interrupted is when nobody decides for a while.
	DecisionOutage [2]time.Duration
	// For is how long to watch.
	Duration time.Duration
	Seed     uint64
}

// ReleaseOutcome is what one strategy did.
type RolloutOutcome struct {
	Strategy string
	// Exposure is how many requests went to the version after it was bad.
	Exposure   int
	RolledBack bool
	// Full is when the version had all new work; zero if never.
	FullShareAt time.Duration
}

// releaser decides the new version's share once a second.
type rolloutStrategy interface {
	share(now time.Time, version, others rollout.Tally) float64
	name() string
}

// plan is what operators of all strategies write.
func rolloutConfig() *config.Rollout {
	return &config.Rollout{
		Model: "m", To: "v2", Steps: []float64{0.01, 0.05, 0.2, 0.5, 1}, HoldSeconds: 60, MaxFailureRate: 0.05,
	}
}

// ours is the system.
type systemRollout struct{ progress rollout.Progress }

func (*systemRollout) name() string { return "linnetrudder" }

func (ou *systemRollout) share(now time.Time, version, others rollout.Tally) float64 {
	next, share := rollout.Decide(rolloutConfig(), ou.progress, now, version, others)
	ou.progress = next
	return share
}

// ladder takes fixed steps and looks at the failure rate before each.
type fixedSteps struct {
	strategyName string
	steps        []float64
	interval     time.Duration
	stepStart    time.Time
	lastTally    rollout.Tally
	step         int
	rolledBack   bool
	started      bool
}

func (la *fixedSteps) name() string { return la.strategyName }

// lowRate is the rate of low ratings at which a ladder goes back.
const maxLowRatingRate = 0.25

func (la *fixedSteps) share(now time.Time, version, _ rollout.Tally) float64 {
	if !la.started {
		la.started, la.stepStart = true, now
	}
	if la.rolledBack {
		return 0
	}
	if now.Sub(la.stepStart) >= la.interval {
		started := float64(version.Started - la.lastTally.Started)
		failed := float64(version.Failed - la.lastTally.Failed)
		rated, low := version.Rated-la.lastTally.Rated, version.Low-la.lastTally.Low
		la.rolledBack = started > 0 && failed/started > rolloutConfig().MaxFailureRate || rated > 0 && low/rated > maxLowRatingRate
		la.lastTally, la.stepStart = version, now
		if la.step < len(la.steps)-1 {
			la.step++
		}
		if la.rolledBack {
			return 0
		}
	}
	return la.steps[la.step]
}

// Rollouts runs every strategy on the same release.
func CompareRollouts(re RolloutScenario) []RolloutOutcome {
	return []RolloutOutcome{
		re.run(&fixedSteps{strategyName: "all at once, looked at every 10 min", steps: []float64{1}, interval: 10 * time.Minute}),
		re.run(&fixedSteps{strategyName: "fixed ladder, a step every 10 min", steps: rolloutConfig().Steps, interval: 10 * time.Minute}),
		re.run(&systemRollout{}),
	}
}

// lagged holds tallies until they are seen.
type delayedTally struct {
	lag     int
	history []rollout.Tally
}

func (la *delayedTally) add(ta rollout.Tally) rollout.Tally {
	la.history = append(la.history, ta)
	return la.history[max(0, len(la.history)-1-la.lag)]
}

func (re RolloutScenario) run(st rolloutStrategy) RolloutOutcome {
	ra := rand.New(rand.NewPCG(re.Seed, 11))
	out := RolloutOutcome{Strategy: st.name()}
	begin := time.Unix(1_800_000_000, 0)
	var young, old rollout.Tally
	seen := [2]delayedTally{{lag: int(re.TallyLag.Seconds())}, {lag: int(re.TallyLag.Seconds())}}
	rated := [2]delayedTally{{lag: int(re.RatingLag.Seconds())}, {lag: int(re.RatingLag.Seconds())}}
	share := 0.0
	for sec := range int(re.Duration.Seconds()) {
		at := time.Duration(sec) * time.Second
		if at < re.DecisionOutage[0] || at >= re.DecisionOutage[1] {
			share = st.share(begin.Add(at), visibleTally(&seen[0], &rated[0], young), visibleTally(&seen[1], &rated[1], old))
		} else {
			visibleTally(&seen[0], &rated[0], young)
			visibleTally(&seen[1], &rated[1], old)
		}
		bad := at >= re.DegradesAt && (re.FailureRate > re.BaselineFailureRate || re.LowRatingRate > re.BaselineLowRatingRate)
		for range re.RequestsPerSecond {
			if ra.Float64() >= share {
				re.simulateRequest(ra, &old, re.BaselineFailureRate, re.BaselineLowRatingRate)
				continue
			}
			if bad {
				out.Exposure++
				re.simulateRequest(ra, &young, re.FailureRate, re.LowRatingRate)
			} else {
				re.simulateRequest(ra, &young, re.BaselineFailureRate, re.BaselineLowRatingRate)
			}
		}
		if share >= 1 && out.FullShareAt == 0 {
			out.FullShareAt = at
		}
		out.RolledBack = share == 0
	}
	return out
}

// view returns what of a tally is seen by now: counts after their lag, ratings
// after theirs.
func visibleTally(counts, ratings *delayedTally, ta rollout.Tally) rollout.Tally {
	seen := counts.add(ta)
	late := ratings.add(ta)
	seen.Rated, seen.Low = late.Rated, late.Low
	return seen
}

func (re RolloutScenario) simulateRequest(ra *rand.Rand, ta *rollout.Tally, failures, low float64) {
	ta.Started++
	if ra.Float64() < failures {
		ta.Failed++
		return
	}
	if ra.Float64() < re.RatedFraction {
		ta.Rated++
		if ra.Float64() < low {
			ta.Low++
		}
	}
}

func (ro RolloutOutcome) String() string {
	return fmt.Sprintf("%s: exposed %d, reversed %t, full after %s", ro.Strategy, ro.Exposure, ro.RolledBack, ro.FullShareAt)
}
