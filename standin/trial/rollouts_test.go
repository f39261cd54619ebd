package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newRolloutScenario returns a scenario in which the new version is as good as the current one; tests
// make it worse.
func newRolloutScenario(seed uint64) RolloutScenario {
	return RolloutScenario{
		RequestsPerSecond: 50, BaselineFailureRate: 0.01, BaselineLowRatingRate: 0.08, FailureRate: 0.01, LowRatingRate: 0.08, RatedFraction: 0.3,
		TallyLag: 5 * time.Second, RatingLag: time.Minute, Duration: 2 * time.Hour, Seed: seed,
	}
}

// totals sums up the outcomes of one strategy over many seeds.
type totals struct {
	exposure, rolledBack, fullShare int
}

// totalsByStrategy runs a scenario, modified by change, with n seeds.
func totalsByStrategy(n int, change func(rs *RolloutScenario)) map[string]totals {
	by := map[string]totals{}
	for seed := range n {
		rs := newRolloutScenario(uint64(seed))
		change(&rs)
		for _, ou := range CompareRollouts(rs) {
			to := by[ou.Strategy]
			to.exposure += ou.Exposure
			if ou.RolledBack {
				to.rolledBack++
			}
			if ou.FullShareAt > 0 {
				to.fullShare++
			}
			by[ou.Strategy] = to
		}
	}
	return by
}

const (
	fixedStepsName = "fixed ladder, a step every 10 min"
	systemName     = "linnetrudder"
	seedCount      = 40
)

func TestGoodVersionsReachFullShare(t *testing.T) {
	t.Parallel()
	by := totalsByStrategy(seedCount, func(*RolloutScenario) {})
	t.Log(by)
	require.Zero(t, by[systemName].rolledBack)
	require.Equal(t, seedCount, by[systemName].fullShare)
	require.LessOrEqual(t, by[systemName].rolledBack, by[fixedStepsName].rolledBack, "no more false positives than with fixed steps")
}

func TestBadVersionsAreRolledBack(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(rs *RolloutScenario)
	}{
		{"fails from the start", func(rs *RolloutScenario) { rs.FailureRate = 0.2 }},
		{"fails slightly", func(rs *RolloutScenario) { rs.FailureRate = 0.08 }},
		{"low ratings", func(rs *RolloutScenario) { rs.LowRatingRate = 0.4 }},
		{"degrades during the roll-out", func(rs *RolloutScenario) { rs.FailureRate, rs.DegradesAt = 0.3, 20*time.Minute }},
		{"degrades after the roll-out", func(rs *RolloutScenario) { rs.FailureRate, rs.DegradesAt = 0.3, 90*time.Minute }},
		{"decisions interrupted", func(rs *RolloutScenario) {
			rs.FailureRate = 0.2
			rs.DecisionOutage = [2]time.Duration{2 * time.Second, 10 * time.Minute}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			by := totalsByStrategy(seedCount, tc.change)
			t.Log(by)
			require.Equal(t, seedCount, by[systemName].rolledBack)
			if tc.name == "decisions interrupted" {
				// The share is not changed for ten minutes, so both strategies stay at the first share
				// and may have the same exposure.
				require.LessOrEqual(t, by[systemName].exposure, by[fixedStepsName].exposure)
				return
			}
			require.Less(t, by[systemName].exposure, by[fixedStepsName].exposure)
		})
	}
}
