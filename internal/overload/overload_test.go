package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// observe makes a number of observations.
func (ga *Gate) observe(times int, load float64) {
	for range times {
		ga.Observe(load, true)
	}
}

func TestGateAcceptsFewerConnectionsWhileProcessorTimeIsShort(t *testing.T) {
	var ga Gate
	ga.Observe(1.2, true)
	require.False(t, ga.IsRejecting(), "a single observation")
	ga.observe(10, 1.1)
	require.True(t, ga.IsRejecting())
	require.False(t, ga.Accepts(0))
	ga.observe(100, 1.1)
	require.False(t, ga.Accepts(1-2*minAccepted))
	require.True(t, ga.Accepts(1-minAccepted), "some are always accepted")
	ga.observe(50, 0.1)
	require.True(t, ga.Accepts(0))
	require.False(t, ga.IsRejecting())
}

// Between the two thresholds nothing changes, so that the fraction does not oscillate.
func TestGateKeepsItsFractionAtAHighLoad(t *testing.T) {
	var ga Gate
	ga.observe(20, 1.1)
	ga.observe(20, (minLoad+maxLoad)/2)
	before := ga.rejected
	ga.observe(20, (minLoad+maxLoad)/2)
	require.InDelta(t, before, ga.rejected, 1e-9)
	require.Positive(t, before)
}

// Connections are accepted if their callers can't connect elsewhere.
func TestGateAcceptsAllIfNothingMayBeRejected(t *testing.T) {
	var ga Gate
	ga.observe(20, 1.1)
	require.True(t, ga.IsRejecting())
	ga.Observe(1.1, false)
	require.False(t, ga.IsRejecting())
	require.True(t, ga.Accepts(0))
}
