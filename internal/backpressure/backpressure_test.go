package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func rate(r float64) *float64 { return &r }

func TestALimitHoldsUntilAnAnswerNamesNone(t *testing.T) {
	var tr Tracker
	require.Equal(t, Unchanged, tr.Heard("a", nil, t0))
	require.Equal(t, Limited, tr.Heard("a", rate(2), t0))
	require.Equal(t, Unchanged, tr.Heard("a", rate(2.1), t0))
	require.Equal(t, Limited, tr.Heard("a", rate(4), t0))
	perSecond, ok := tr.PerSecond("a")
	require.True(t, ok)
	require.InDelta(t, 4, perSecond, 1e-9)
	_, ok = tr.PerSecond("b")
	require.False(t, ok)
	require.Equal(t, Unlimited, tr.Heard("a", nil, t0))
	_, ok = tr.PerSecond("a")
	require.False(t, ok)
}

func TestTheUseOfALimitIsCounted(t *testing.T) {
	var tr Tracker
	tr.Sent("a")
	tr.Heard("a", rate(2), t0)
	tr.Sent("a")
	tr.Sent("a")
	sent, lasts := tr.Use("a", t0.Add(time.Second))
	require.Equal(t, 2, sent)
	require.Equal(t, time.Second, lasts)
	tr.Forget("a")
	sent, lasts = tr.Use("a", t0)
	require.Zero(t, sent)
	require.Zero(t, lasts)
}
