package cpuload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUtilizationIsThePartOfTheAllottedTime(t *testing.T) {
	t0 := time.Unix(1000, 0)
	me := Meter{Cores: 0.2}
	require.Zero(t, me.utilization(time.Second, t0), "the time before the first reading")
	require.InDelta(t, 0.5, me.utilization(1010*time.Millisecond, t0.Add(100*time.Millisecond)), 1e-9)
	require.InDelta(t, 1, me.utilization(1030*time.Millisecond, t0.Add(200*time.Millisecond)), 1e-9)
	require.Zero(t, me.utilization(1040*time.Millisecond, t0.Add(200*time.Millisecond)), "no time has passed")
}

func TestProcessorTimeOfThisProcessIsRead(t *testing.T) {
	me := Meter{Cores: 1}
	began := time.Now()
	_, err := me.Read(began)
	require.NoError(t, err)
	n := 0
	for time.Since(began) < 50*time.Millisecond {
		n++
	}
	load, err := me.Read(time.Now())
	require.NoError(t, err)
	require.Positive(t, load)
	load, err = (&Meter{}).Read(time.Now())
	require.NoError(t, err)
	require.Zero(t, load, "not known")
}
