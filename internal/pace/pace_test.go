package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheUsualTimeFollowsWhatIsObserved(t *testing.T) {
	var me Meter
	require.Zero(t, me.Usual("m"))
	me.Observe("m", time.Second)
	require.Equal(t, time.Second, me.Usual("m"))
	for range 100 {
		me.Observe("m", 2*time.Second)
	}
	require.InDelta(t, 2, me.Usual("m").Seconds(), 0.01)
	require.Zero(t, me.Usual("other"))
}
