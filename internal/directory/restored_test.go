package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeavingServerStaysUnusedAfterItsEntryIsRestored(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s", Born: 1, Seq: 3})
	di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 3})
	di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 4, Draining: true})
	require.False(t, di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 2}), "the entry before")
	require.Equal(t, []string{"a"}, ids(&di))

	di.MarkLost("b", at(1))
	require.Nil(t, di.Get("b"), "a server that leaves is not waited for")
	di.Put(Server{ID: "b", Service: "s", Born: 1, Seq: 3})
	require.Equal(t, []string{"a"}, ids(&di), "its entry reappears")
	di.Put(Server{ID: "b", Service: "s", Born: 2, Seq: 1})
	require.Len(t, ids(&di), 2, "its next life")
}

func TestServerWhoseEntryWasLostIsUsedUntilItIsWrittenAgain(t *testing.T) {
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
	require.Empty(t, ids(&di), "an entry that ends after the restore is gone at once")
}

func TestEndedServerIsNotUsedWhileARestoredServiceListsIt(t *testing.T) {
	var di Directory
	for _, id := range []string{"ended", "back", "written"} {
		di.Put(Server{ID: id, Service: "s", Born: 1, Seq: 5})
		di.Remove(id, t0)
	}
	for _, id := range []string{"ended", "back", "written"} {
		require.True(t, di.Quarantine(Server{ID: id, Service: "s", Born: 1, Seq: 4}, at(1)))
	}
	require.False(t, di.Quarantine(Server{ID: "ended", Service: "s", Born: 2, Seq: 1}, at(1)), "its next life")
	require.False(t, di.Quarantine(Server{ID: "new", Service: "s"}, at(1)))
	require.Empty(t, ids(&di))
	di.Put(Server{ID: "written", Service: "s", Born: 1, Seq: 6})
	require.Equal(t, []string{"written"}, ids(&di), "it writes")
	di.Remove("ended", at(3))
	require.Empty(t, di.ReleaseQuarantined(at(1).Add(revivedHold-1)))
	back := di.ReleaseQuarantined(at(1).Add(revivedHold))
	require.Len(t, back, 1)
	require.Equal(t, "back", back[0].ID)
	require.Empty(t, di.ReleaseQuarantined(at(100)))
}

func TestEndedServersAreNamedUnlessTheyAreListedAgain(t *testing.T) {
	var di Directory
	for i, id := range []string{"d", "c", "b", "a"} {
		di.Put(Server{ID: id, Service: "s", Born: 1})
		di.Remove(id, at(float64(i)))
	}
	di.Put(Server{ID: "b", Service: "s", Born: 2})
	require.Equal(t, []string{"a", "c"}, di.EndedSince(t0))
	require.Empty(t, di.EndedSince(at(3)))
}

func TestEndedLivesAreForgotten(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s"})
	di.Remove("a", t0)
	di.Tick(t0.Add(leavingKept - time.Second))
	require.True(t, di.Quarantine(Server{ID: "a", Service: "s"}, t0))
	di.Tick(t0.Add(leavingKept))
	require.False(t, di.Quarantine(Server{ID: "b", Service: "s"}, t0))
	require.Empty(t, di.past)
}
