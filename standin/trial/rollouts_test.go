package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// release is a good version; tests change what is wrong with it.
func newRolloutScenario(seed uint64) RolloutScenario {
	return RolloutScenario{
		RequestsPerSecond: 50, BaselineFailureRate: 0.01, BaselineLowRatingRate: 0.08, FailureRate: 0.01, LowRatingRate: 0.08, RatedFraction: 0.3,
		TallyLag: 5 * time.Second, RatingLag: time.Minute, Duration: 2 * time.Hour, Seed: seed,
	}
}

// sums adds up what each strategy did over many seeds.
type totals struct {
	exposure, reversed, full int
}

func totalsByStrategy(n int, change func(re *RolloutScenario)) map[string]totals {
	by := map[string]totals{}
	for seed := range n {
		re := newRolloutScenario(uint64(seed))
		change(&re)
		for _, ou := range CompareRollouts(re) {
			su := by[ou.Strategy]
			su.exposure += ou.Exposure
			if ou.RolledBack {
				su.reversed++
			}
			if ou.FullShareAt > 0 {
				su.full++
			}
			by[ou.Strategy] = su
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
	require.Zero(t, by[systemName].reversed)
	require.Equal(t, seedCount, by[systemName].full)
	require.LessOrEqual(t, by[systemName].reversed, by[fixedStepsName].reversed, "no more false alarms than the ladder")
}

func TestBadVersionsAreRolledBack(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(re *RolloutScenario)
	}{
		{"fails from the start", func(re *RolloutScenario) { re.FailureRate = 0.2 }},
		{"fails a little", func(re *RolloutScenario) { re.FailureRate = 0.08 }},
		{"low ratings", func(re *RolloutScenario) { re.LowRatingRate = 0.4 }},
		{"turns bad half-way", func(re *RolloutScenario) { re.FailureRate, re.DegradesAt = 0.3, 20*time.Minute }},
		{"turns bad after all", func(re *RolloutScenario) { re.FailureRate, re.DegradesAt = 0.3, 90*time.Minute }},
		{"interrupted", func(re *RolloutScenario) {
			re.FailureRate = 0.2
			re.DecisionOutage = [2]time.Duration{2 * time.Second, 10 * time.Minute}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			by := totalsByStrategy(seedCount, tc.change)
			t.Log(by)
			require.Equal(t, seedCount, by[systemName].reversed)
			if tc.name == "interrupted" {
				// Nobody decides for ten minutes, so both keep the first share.
				require.LessOrEqual(t, by[systemName].exposure, by[fixedStepsName].exposure)
				return
			}
			require.Less(t, by[systemName].exposure, by[fixedStepsName].exposure)
		})
	}
}
