package trial

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// seeds is how many markets a test looks at.
const versionSeeds = 8

func newVersionScenario(seed uint64, cascade bool) VersionScenario {
	return VersionScenario{Requests: 60_000, RatedFraction: 0.3, WrongFraction: 0.02, RatingDelay: 500, Seed: seed, CascadeDrafts: cascade}
}

func byStrategy(all []VersionOutcome) map[string]VersionOutcome {
	by := map[string]VersionOutcome{}
	for _, ou := range all {
		by[ou.Strategy] = ou
	}
	return by
}

func TestCostAtTheQualityTarget(t *testing.T) {
	t.Parallel()
	ratio := 0.0
	for seed := range uint64(versionSeeds) {
		by := byStrategy(CompareVersions(newVersionScenario(seed, false)))
		ours := by["linnetrudder"]
		require.GreaterOrEqual(t, ours.TargetMet, 0.99, "seed %d: the target is met", seed)
		require.Less(t, by["always the small one"].TargetMet, 0.5)
		require.Less(t, by["round robin"].TargetMet, 0.7)
		require.Less(t, ours.Cost, 0.6*by["always the large one"].Cost)
		ratio += ours.Cost / by["best fixed in hindsight"].Cost / versionSeeds
	}
	require.Less(t, ratio, 1.1, "within a tenth of the best fixed assignment, cold start included")
}

func TestCascadeCostsLessAtSameTarget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(versionSeeds) {
		without := byStrategy(CompareVersions(newVersionScenario(seed, false)))["linnetrudder"]
		with := byStrategy(CompareVersions(newVersionScenario(seed, true)))["linnetrudder"]
		t.Log(with)
		require.GreaterOrEqual(t, with.TargetMet, 0.99)
		require.Less(t, with.Cost, without.Cost)
	}
}
