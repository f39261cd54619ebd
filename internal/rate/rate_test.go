package rate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

// countEvenly counts evenly spaced events of the name a and returns the time of the last one.
func countEvenly(me *Meter, perSecond int, from time.Time, seconds float64) time.Time {
	step := time.Second / time.Duration(perSecond)
	now := from
	for range int(seconds * float64(perSecond)) {
		now = now.Add(step)
		me.Count("a", now)
	}
	return now
}

func TestRateOfSteadyEvents(t *testing.T) {
	for _, seconds := range []float64{1, 3, 20} {
		me := Meter{TimeConstant: 4 * time.Second}
		now := countEvenly(&me, 20, t0, seconds)
		require.InDelta(t, 20, me.PerSecond("a", now), 2, seconds)
	}
}

func TestRateFollowsChanges(t *testing.T) {
	me := Meter{TimeConstant: 4 * time.Second}
	now := countEvenly(&me, 10, t0, 20)
	now = countEvenly(&me, 40, now, 10)
	require.InDelta(t, 40, me.PerSecond("a", now), 4)
	require.Less(t, me.PerSecond("a", now.Add(20*time.Second)), 1.0)
}

func TestRatesAreSeparateByName(t *testing.T) {
	me := Meter{TimeConstant: 4 * time.Second}
	require.Zero(t, me.PerSecond("a", t0))
	require.Empty(t, me.All(t0))
	now := countEvenly(&me, 10, t0, 10)
	me.Count("b", now)
	all := me.All(now)
	require.Len(t, all, 2)
	require.Less(t, all["b"], 0.5)
}
