package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newLoadScenario(load, burst float64) LoadScenario {
	return LoadScenario{Load: load, FirstTeamWeight: burst, Duration: 2 * time.Minute, Seed: 1}
}

func TestGoodputUnderOverload(t *testing.T) {
	t.Parallel()
	best := 0.0
	for _, load := range []float64{0.5, 1, 1.5, 3, 10} {
		all := CompareLoads(newLoadScenario(load, 1))
		naive, ours := all[0], all[1]
		t.Log(load, naive, ours)
		best = max(best, ours.Goodput)
		if load > 1 {
			require.Greater(t, ours.Goodput, 0.95*best, "load %.1f", load)
			require.Greater(t, ours.Goodput, 1.5*naive.Goodput, "load %.1f", load)
			require.Zero(t, ours.WastedSlotTime)
			require.Less(t, ours.RefusalLatency, naive.RefusalLatency)
		}
	}
}

func TestBurstOfOneTeamDoesNotStarveOthers(t *testing.T) {
	t.Parallel()
	// Four teams ask for 15% of what there is each, which is less than their
	// fifth; the first asks for three times everything.
	all := CompareLoads(newLoadScenario(3.6, 20))
	naive, ours := all[0], all[1]
	t.Log(naive, ours)
	require.Greater(t, ours.OtherTeamsServed, 0.95)
	require.Less(t, naive.OtherTeamsServed, 0.5)
}

func TestGoodputWithHalfOfPoolLost(t *testing.T) {
	t.Parallel()
	ru := newLoadScenario(0.8, 1)
	ru.HalfLostAt = 30 * time.Second
	all := CompareLoads(ru)
	naive, ours := all[0], all[1]
	t.Log(naive, ours)
	// 0.8 of the load is asked for all the time, and a half of the pool is there
	// for a third of it.
	ideal := (0.8*2 + 0.5) / 3 / (5.0 / 6)
	require.Greater(t, ours.Goodput, 0.95*ideal)
	require.Less(t, naive.Goodput, 0.5*ideal)
	require.Zero(t, ours.WastedSlotTime)
}
