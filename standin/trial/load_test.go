package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newLoadScenario(load, firstTeamWeight float64) LoadScenario {
	return LoadScenario{Load: load, FirstTeamWeight: firstTeamWeight, Duration: 2 * time.Minute, Seed: 1}
}

func TestGoodputUnderOverload(t *testing.T) {
	t.Parallel()
	best := 0.0
	for _, load := range []float64{0.5, 1, 1.5, 3, 10} {
		all := CompareLoads(newLoadScenario(load, 1))
		naive, system := all[0], all[1]
		t.Log(load, naive, system)
		best = max(best, system.Goodput)
		if load > 1 {
			require.Greater(t, system.Goodput, 0.95*best, "load %.1f", load)
			require.Greater(t, system.Goodput, 1.5*naive.Goodput, "load %.1f", load)
			require.Zero(t, system.WastedSlotTime)
			require.Less(t, system.RefusalLatency, naive.RefusalLatency)
		}
	}
}

func TestBurstOfOneTeamDoesNotStarveOthers(t *testing.T) {
	t.Parallel()
	// Four teams request 15% of the capacity each, which is less than their share of a fifth; the
	// first team requests three times the whole capacity.
	all := CompareLoads(newLoadScenario(3.6, 20))
	naive, system := all[0], all[1]
	t.Log(naive, system)
	require.Greater(t, system.OtherTeamsServed, 0.95)
	require.Less(t, naive.OtherTeamsServed, 0.5)
}

func TestGoodputWithHalfOfPoolLost(t *testing.T) {
	t.Parallel()
	ls := newLoadScenario(0.8, 1)
	ls.HalfLostAt = 30 * time.Second
	all := CompareLoads(ls)
	naive, system := all[0], all[1]
	t.Log(naive, system)
	// The offered load is 0.8 of the full capacity; for a third of the time half of the pool is
	// unreachable.
	ideal := (0.8*2 + 0.5) / 3 / (5.0 / 6)
	require.Greater(t, system.Goodput, 0.95*ideal)
	require.Less(t, naive.Goodput, 0.5*ideal)
	require.Zero(t, system.WastedSlotTime)
}
