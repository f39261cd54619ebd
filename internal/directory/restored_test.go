package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrainingServerStaysUnusedAfterItsEntryIsRestored(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s", Born: 1, Seq: 3})
	di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 3})
	di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 4, Draining: true})
	require.False(t, di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 2}), "an earlier entry")
	require.Equal(t, []string{"a"}, ids(&di))

	di.MarkLost("b", at(1))
	require.Nil(t, di.Get("b"), "a server that is shutting down has no grace period")
	di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 3})
	require.Equal(t, []string{"a"}, ids(&di), "its entry reappears")
	di.Put(Server{ID: "b", Service: "s", Born: 2, Seq: 1})
	require.Len(t, ids(&di), 2, "its next instance")
}

func TestServerWithALostEntryIsUsedDuringTheGracePeriod(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s", Seq: 1})
	di.Put(Server{ID: "b", Service: "s", Seq: 1})
	di.Put(Server{ID: "c", Service: "s", Seq: 1})
	for _, id := range []string{"a", "b", "c", "none"} {
		di.MarkLost(id, t0)
	}
	require.Len(t, ids(&di), 3)
	di.Put(Server{ID: "a", Service: "s", Seq: 2})
	di.MarkLost("b", at(1.9))
	require.Empty(t, di.Tick(at(1.9)))
	require.Len(t, di.Tick(at(2)), 2)
	require.Equal(t, []string{"a"}, ids(&di))
	di.Remove("a", at(2.1))
	require.Empty(t, ids(&di), "a removal after the restore takes effect immediately")
}

func TestEndedServerListedByARestoredStoreIsQuarantined(t *testing.T) {
	var di Directory
	for _, id := range []string{"ended", "listed", "rewritten"} {
		di.Put(Server{ID: id, Service: "s", Born: 1, Seq: 5})
		di.Remove(id, t0)
	}
	for _, id := range []string{"ended", "listed", "rewritten"} {
		require.True(t, di.Quarantine(Server{ID: id, Service: "s", Born: 1, Seq: 4}, at(1)))
	}
	require.False(t, di.Quarantine(Server{ID: "ended", Service: "s", Born: 2, Seq: 1}, at(1)), "its next instance")
	require.False(t, di.Quarantine(Server{ID: "new", Service: "s"}, at(1)))
	require.Empty(t, ids(&di))
	di.Put(Server{ID: "rewritten", Service: "s", Born: 1, Seq: 6})
	require.Equal(t, []string{"rewritten"}, ids(&di), "it has written its entry again")
	di.Remove("ended", at(3))
	require.Empty(t, di.ReleaseQuarantined(at(1).Add(quarantineTime-1)))
	released := di.ReleaseQuarantined(at(1).Add(quarantineTime))
	require.Len(t, released, 1)
	require.Equal(t, "listed", released[0].ID)
	require.Empty(t, di.ReleaseQuarantined(at(100)))
}

func TestEndedSinceOmitsServersThatAreListedAgain(t *testing.T) {
	var di Directory
	for i, id := range []string{"d", "c", "b", "a"} {
		di.Put(Server{ID: id, Service: "s", Born: 1})
		di.Remove(id, at(float64(i)))
	}
	di.Put(Server{ID: "b", Service: "s", Born: 2})
	require.Equal(t, []string{"a", "c"}, di.EndedSince(t0))
	require.Empty(t, di.EndedSince(at(3)))
}

func TestEndedInstancesExpire(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s"})
	di.Remove("a", t0)
	di.Tick(t0.Add(departureRetention - time.Second))
	require.True(t, di.Quarantine(Server{ID: "a", Service: "s"}, t0))
	di.Tick(t0.Add(departureRetention))
	require.False(t, di.Quarantine(Server{ID: "b", Service: "s"}, t0))
	require.Empty(t, di.departed)
}
