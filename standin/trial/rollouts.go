package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
)

// RolloutScenario is the input of the roll-out experiment: a new version replaces the current one.
type RolloutScenario struct {
	// RequestsPerSecond is the model's request rate.
	RequestsPerSecond int
	// BaselineFailureRate and BaselineLowRatingRate are the rates of failures and of low ratings of
	// the current version.
	BaselineFailureRate, BaselineLowRatingRate float64
	// FailureRate and LowRatingRate are the rates of the new version from DegradesAt on; before that
	// it has the rates of the current version.
	FailureRate, LowRatingRate float64
	DegradesAt                 time.Duration
	// RatedFraction is the fraction of responses that are rated. Ratings become visible after
	// RatingLag, counts of requests and failures after TallyLag.
	RatedFraction       float64
	TallyLag, RatingLag time.Duration
	// DecisionOutage is the start and the end of a time during which the share is not changed.
	DecisionOutage [2]time.Duration
	// Duration is the simulated time.
	Duration time.Duration
	Seed     uint64
}

// RolloutOutcome is the result of one strategy in the roll-out experiment.
type RolloutOutcome struct {
	Strategy string
	// Exposure is the number of requests that were sent to the new version while it was degraded.
	Exposure   int
	RolledBack bool
	// FullShareAt is when the new version first got all requests; zero if never.
	FullShareAt time.Duration
}

// rolloutStrategy decides the new version's share once a second.
type rolloutStrategy interface {
	share(now time.Time, version, others rollout.Tally) float64
	name() string
}

// rolloutConfig returns the roll-out that operators configure, the same for all strategies.
func rolloutConfig() *config.Rollout {
	return &config.Rollout{
		Model: "m", To: "v2", Steps: []float64{0.01, 0.05, 0.2, 0.5, 1}, HoldSeconds: 60, MaxFailureRate: 0.05,
	}
}

// systemRollout is the strategy of linnetrudder.
type systemRollout struct{ progress rollout.Progress }

func (*systemRollout) name() string { return "linnetrudder" }

func (sr *systemRollout) share(now time.Time, version, others rollout.Tally) float64 {
	next, share := rollout.Decide(rolloutConfig(), sr.progress, now, version, others)
	sr.progress = next
	return share
}

// fixedSteps raises the share by fixed steps at fixed intervals. Before each step it checks the rates of
// failures and of low ratings since the last one.
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

func (fs *fixedSteps) name() string { return fs.strategyName }

// maxLowRatingRate is the rate of low ratings above which fixedSteps rolls back.
const maxLowRatingRate = 0.25

func (fs *fixedSteps) share(now time.Time, version, _ rollout.Tally) float64 {
	if !fs.started {
		fs.started, fs.stepStart = true, now
	}
	if fs.rolledBack {
		return 0
	}
	if now.Sub(fs.stepStart) >= fs.interval {
		started := float64(version.Started - fs.lastTally.Started)
		failed := float64(version.Failed - fs.lastTally.Failed)
		rated, low := version.Rated-fs.lastTally.Rated, version.Low-fs.lastTally.Low
		fs.rolledBack = started > 0 && failed/started > rolloutConfig().MaxFailureRate || rated > 0 && low/rated > maxLowRatingRate
		fs.lastTally, fs.stepStart = version, now
		if fs.step < len(fs.steps)-1 {
			fs.step++
		}
		if fs.rolledBack {
			return 0
		}
	}
	return fs.steps[fs.step]
}

// CompareRollouts runs every strategy on the same scenario.
func CompareRollouts(rs RolloutScenario) []RolloutOutcome {
	return []RolloutOutcome{
		rs.run(&fixedSteps{strategyName: "all at once, looked at every 10 min", steps: []float64{1}, interval: 10 * time.Minute}),
		rs.run(&fixedSteps{strategyName: "fixed ladder, a step every 10 min", steps: rolloutConfig().Steps, interval: 10 * time.Minute}),
		rs.run(&systemRollout{}),
	}
}

// delayedTally delays tallies by a lag in seconds.
type delayedTally struct {
	lag     int
	history []rollout.Tally
}

// add records the tally of the current second and returns the one of lag seconds ago.
func (dt *delayedTally) add(ta rollout.Tally) rollout.Tally {
	dt.history = append(dt.history, ta)
	return dt.history[max(0, len(dt.history)-1-dt.lag)]
}

// run simulates the scenario with one strategy.
func (rs RolloutScenario) run(st rolloutStrategy) RolloutOutcome {
	ra := rand.New(rand.NewPCG(rs.Seed, 11))
	out := RolloutOutcome{Strategy: st.name()}
	begin := time.Unix(1_800_000_000, 0)
	var newTally, oldTally rollout.Tally
	counts := [2]delayedTally{{lag: int(rs.TallyLag.Seconds())}, {lag: int(rs.TallyLag.Seconds())}}
	ratings := [2]delayedTally{{lag: int(rs.RatingLag.Seconds())}, {lag: int(rs.RatingLag.Seconds())}}
	share := 0.0
	for sec := range int(rs.Duration.Seconds()) {
		at := time.Duration(sec) * time.Second
		if at < rs.DecisionOutage[0] || at >= rs.DecisionOutage[1] {
			share = st.share(begin.Add(at), visibleTally(&counts[0], &ratings[0], newTally), visibleTally(&counts[1], &ratings[1], oldTally))
		} else {
			visibleTally(&counts[0], &ratings[0], newTally)
			visibleTally(&counts[1], &ratings[1], oldTally)
		}
		degraded := at >= rs.DegradesAt && (rs.FailureRate > rs.BaselineFailureRate || rs.LowRatingRate > rs.BaselineLowRatingRate)
		for range rs.RequestsPerSecond {
			if ra.Float64() >= share {
				rs.simulateRequest(ra, &oldTally, rs.BaselineFailureRate, rs.BaselineLowRatingRate)
				continue
			}
			if degraded {
				out.Exposure++
				rs.simulateRequest(ra, &newTally, rs.FailureRate, rs.LowRatingRate)
			} else {
				rs.simulateRequest(ra, &newTally, rs.BaselineFailureRate, rs.BaselineLowRatingRate)
			}
		}
		if share >= 1 && out.FullShareAt == 0 {
			out.FullShareAt = at
		}
		out.RolledBack = share == 0
	}
	return out
}

// visibleTally records a tally and returns the one that is visible now: ratings have a longer lag than
// counts.
func visibleTally(counts, ratings *delayedTally, ta rollout.Tally) rollout.Tally {
	visible := counts.add(ta)
	rated := ratings.add(ta)
	visible.Rated, visible.Low = rated.Rated, rated.Low
	return visible
}

// simulateRequest draws the result of one request, with the given rates of failures and low ratings, and
// adds it to a tally.
func (rs RolloutScenario) simulateRequest(ra *rand.Rand, ta *rollout.Tally, failureRate, lowRatingRate float64) {
	ta.Started++
	if ra.Float64() < failureRate {
		ta.Failed++
		return
	}
	if ra.Float64() < rs.RatedFraction {
		ta.Rated++
		if ra.Float64() < lowRatingRate {
			ta.Low++
		}
	}
}

// String returns the outcome for logs.
func (ro RolloutOutcome) String() string {
	return fmt.Sprintf("%s: exposed %d, reversed %t, full after %s", ro.Strategy, ro.Exposure, ro.RolledBack, ro.FullShareAt)
}
