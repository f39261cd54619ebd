package trial

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// versionSeeds is the number of seeds that a test runs.
const versionSeeds = 8

func newVersionScenario(seed uint64, cascade bool) VersionScenario {
	return VersionScenario{Requests: 60_000, RatedFraction: 0.3, WrongFraction: 0.02, RatingDelay: 500, Seed: seed, Cascade: cascade}
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
		system := by["linnetrudder"]
		require.GreaterOrEqual(t, system.TargetMet, 0.99, "seed %d", seed)
		require.Less(t, by["always the small one"].TargetMet, 0.5)
		require.Less(t, by["round robin"].TargetMet, 0.7)
		require.Less(t, system.Cost, 0.6*by["always the large one"].Cost)
		ratio += system.Cost / by["best fixed in hindsight"].Cost / versionSeeds
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
