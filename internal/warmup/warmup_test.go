package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/quota"
)

var t0 = time.Unix(1000, 0)

// typicalLimit is the limit of a server on the users' sites.
var typicalLimit = quota.Limit{PerSecond: 14, MaxInWindow: 26, Window: Window}

var onlyGateway = quota.Gateway{Box: "a", FleetSize: 1}

func TestOnlyColdServersAreLimited(t *testing.T) {
	var tr Tracker
	for range 100 {
		require.Zero(t, tr.Wait("a", typicalLimit, onlyGateway, t0))
		tr.RecordSent("a", t0)
	}
	require.True(t, tr.MarkCold("a", time.Second, t0))
	require.Zero(t, tr.Wait("a", typicalLimit, onlyGateway, t0.Add(-1)))
	require.False(t, tr.MarkCold("a", time.Second, t0), "it is cold already")
	tr.RecordSent("a", t0)
	require.Positive(t, tr.Wait("a", typicalLimit, onlyGateway, t0.Add(10*time.Millisecond)))
	require.Zero(t, tr.Wait("a", quota.Limit{}, onlyGateway, t0.Add(10*time.Millisecond)), "a service without a limit")
	require.Zero(t, tr.Wait("a", typicalLimit, onlyGateway, t0.Add(time.Second)), "the server is warm")
	require.Equal(t, []string{"a"}, tr.Tick(t0.Add(time.Second)))
	require.Empty(t, tr.Tick(t0.Add(time.Second)))
}

func TestColdTimeIsNeverShortened(t *testing.T) {
	var tr Tracker
	require.True(t, tr.MarkCold("a", 3*time.Second, t0))
	require.False(t, tr.MarkCold("a", time.Second, t0.Add(time.Second)))
	require.Equal(t, 2*time.Second, tr.Remaining("a", t0.Add(time.Second)))
	require.False(t, tr.MarkCold("a", 0, t0.Add(time.Second)), "an entry without a cold time")
	require.Equal(t, 2*time.Second, tr.Remaining("a", t0.Add(time.Second)))
	require.False(t, tr.MarkCold("a", 3*time.Second, t0.Add(time.Second)))
	require.Equal(t, 3*time.Second, tr.Remaining("a", t0.Add(time.Second)))
	tr.Forget("a")
	require.Zero(t, tr.Remaining("a", t0.Add(time.Second)))
}
