package directory

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/outage"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func ids(di *Directory) []string {
	var list []string
	for _, se := range di.Servers("s") {
		list = append(list, se.ID)
	}
	return list
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s"})
	di.Put(Server{ID: "b", Service: "s"})
	di.Put(Server{ID: "b", Service: "s", Draining: true})
	require.Equal(t, []string{"a"}, ids(&di))
	require.NotNil(t, di.Get("b"))
}

// newConnectedDirectory returns an empty directory and the service that its entries are from, which
// answered at t0.
func newConnectedDirectory() (*outage.Tracker, *Directory) {
	se := &outage.Tracker{}
	se.HandleAnswer(t0, t0)
	return se, &Directory{Service: se}
}

func TestRemovedServerIsDroppedImmediately(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s"})
	di.Remove("a", t0)
	require.Empty(t, ids(&di))
}

func TestEntryLostInAnOutageHasTimeToReappear(t *testing.T) {
	se, di := newConnectedDirectory()
	di.Put(Server{ID: "a", Service: "s"})
	di.Put(Server{ID: "b", Service: "s"})
	se.HandleFailure(at(1), at(1))
	se.HandleAnswer(at(10), at(10))
	di.Remove("a", at(10.1))
	di.Remove("b", at(10.1))
	require.Len(t, ids(di), 2)
	di.Put(Server{ID: "a", Service: "s"})
	require.Empty(t, di.Tick(at(11.9)))
	dropped := di.Tick(at(12))
	require.Len(t, dropped, 1)
	require.Equal(t, "b", dropped[0].ID)
	require.Equal(t, []string{"a"}, ids(di))
	di.Remove("a", at(13))
	require.Empty(t, ids(di), "a removal outside an outage takes effect immediately")
}

func TestNothingIsDroppedDuringAStoreOutage(t *testing.T) {
	se, di := newConnectedDirectory()
	di.Put(Server{ID: "a", Service: "s"})
	se.HandleFailure(t0, t0)
	di.Remove("a", at(1))
	require.Empty(t, di.Tick(at(60)))
	require.Len(t, ids(di), 1)
	se.HandleAnswer(at(70), at(70))
	require.Empty(t, di.Tick(at(71.9)), "the server has time to write its entry again")
	require.Len(t, di.Tick(at(72)), 1)
}

// Guards against a cut connection or a rejected call being taken for an outage: a server whose entry was
// removed just afterwards received requests for two more seconds.
func TestEntryRemovedAfterAFailedCallIsDroppedImmediately(t *testing.T) {
	se, di := newConnectedDirectory()
	di.Put(Server{ID: "a", Service: "s"})
	di.Put(Server{ID: "b", Service: "s"})
	se.HandleFailure(at(1), at(1))
	di.Remove("b", at(1.05))
	se.HandleAnswer(at(1.1), at(1.1))
	di.Remove("a", at(1.1))
	require.Empty(t, ids(di))
}

// Models a startup in a deployment of a thousand gateways, where the entries of ten thousand
// servers arrive one by one.
func BenchmarkPutAll(b *testing.B) {
	const servers = 10_000
	for b.Loop() {
		var di Directory
		for i := range servers {
			di.Put(Server{ID: strconv.Itoa(i), Service: "s"})
		}
		if len(di.Servers("s")) != servers {
			b.Fatal("servers are missing")
		}
	}
}

// Processes that list the same servers must order them identically, regardless of the order in which
// the entries arrived.
func TestServersAreOrderedByID(t *testing.T) {
	var ascending, descending Directory
	for i := range 20 {
		ascending.Put(Server{ID: fmt.Sprint(i), Service: "svc"})
		descending.Put(Server{ID: fmt.Sprint(19 - i), Service: "svc"})
	}
	require.Equal(t, ascending.Servers("svc"), descending.Servers("svc"))
}

func TestHeartbeatDoesNotRebuildTheLists(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "svc", Address: "1"})
	list := di.Servers("svc")
	di.Put(Server{ID: "a", Service: "svc", Address: "2"})
	require.Equal(t, "2", list[0].Address)
	require.Equal(t, list, di.Servers("svc"))
	di.Put(Server{ID: "a", Service: "svc", Draining: true})
	require.Empty(t, di.Servers("svc"))
	di.Put(Server{ID: "a", Service: "other"})
	require.Len(t, di.Servers("other"), 1)
}

// Guards against reporting a server as removed twice: once when its draining entry is removed and
// again when the grace period of its missing entry ends.
func TestMissingServerThatDrainsIsDroppedOnce(t *testing.T) {
	se, di := newConnectedDirectory()
	di.Put(Server{ID: "a", Service: "s"})
	se.HandleFailure(t0, t0)
	di.Remove("a", at(1))
	se.HandleAnswer(at(2), at(2))
	di.Put(Server{ID: "a", Service: "s"})
	di.Remove("a", at(3))
	di.Put(Server{ID: "a", Service: "s", Draining: true})
	di.Remove("a", at(3.5))
	require.Empty(t, di.Tick(at(60)))
	di.Put(Server{ID: "b", Service: "s"})
	se.HandleFailure(at(60), at(60))
	di.Remove("b", at(61))
	di.Drop("b")
	se.HandleAnswer(at(62), at(62))
	require.Empty(t, di.Tick(at(90)))
}

func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s", DataCentre: "dc0"})
	di.Put(Server{ID: "b", Service: "s", DataCentre: "dc1"})
	require.True(t, di.Evacuate("dc1"))
	require.False(t, di.Evacuate("dc1"), "already evacuated")
	require.True(t, di.Evacuate("nowhere"))
	require.Equal(t, []string{"a"}, ids(&di))
	di.Put(Server{ID: "c", Service: "s", DataCentre: "dc1"})
	require.Equal(t, []string{"a"}, ids(&di), "a server that starts there during the evacuation")
	di.Put(Server{ID: "a", Service: "s", DataCentre: "dc1"})
	require.Empty(t, ids(&di), "a server that moved there")
	require.Equal(t, []string{"dc1", "nowhere"}, di.Evacuated())
	require.Len(t, di.Restore("dc1"), 3)
	require.Empty(t, di.Restore("dc1"))
	require.Len(t, ids(&di), 3)
}

func TestEntryOfAnEarlierInstanceIsIgnored(t *testing.T) {
	var di Directory
	require.True(t, di.Put(Server{ID: "a", Service: "s", Born: 100, Address: "1"}))
	first := di.Get("a").Key()
	require.True(t, di.Put(Server{ID: "a", Service: "s", Born: 200, Address: "2"}))
	require.NotEqual(t, first, di.Get("a").Key())
	require.False(t, di.Put(Server{ID: "a", Service: "s", Born: 100, Address: "1", Draining: true}))
	require.False(t, di.Put(Server{ID: "a", Service: "s", Address: "1"}), "an entry without a start time")
	require.Equal(t, "2", di.Get("a").Address)
	require.Equal(t, []string{"a"}, ids(&di))
}

// Servers that do not report a start time are identified by their id alone.
func TestServerWithoutStartTimeIsIdentifiedByItsID(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s"})
	require.Equal(t, "a", di.Get("a").Key())
	require.Equal(t, "a", (&Server{ID: "a"}).Key())
	require.Equal(t, (&Server{ID: "a", Born: 7}).Key(), "a@7")
}

func TestKeyIdentifiesOneInstance(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a@b", Service: "s"})
	di.Put(Server{ID: "c", Born: 1000, Service: "s"})
	require.NotNil(t, di.ByKey("a@b"))
	require.NotNil(t, di.ByKey(di.Get("c").Key()))
	require.Nil(t, di.ByKey("c"))
	require.Nil(t, di.ByKey("d"))
	di.Put(Server{ID: "c", Born: 2000, Service: "s"})
	require.Nil(t, di.ByKey((&Server{ID: "c", Born: 1000}).Key()))
}

func TestAnnouncedShutdownOutlastsTheEntry(t *testing.T) {
	se, di := newConnectedDirectory()
	di.Put(Server{ID: "a", Service: "s", Born: 1})
	di.Put(Server{ID: "b", Service: "s", Born: 1})
	key := di.Get("a").Key()
	require.True(t, di.MarkLeaving(key, t0))
	require.False(t, di.MarkLeaving(key, at(1)), "already known")
	require.Equal(t, []string{"b"}, ids(di))
	require.True(t, di.IsDraining(di.Get("a")))

	di.Put(Server{ID: "a", Service: "s", Born: 1})
	require.Equal(t, []string{"b"}, ids(di), "an outdated entry says that it is ready")
	se.HandleFailure(at(1), at(1))
	di.Remove("a", at(2))
	require.Nil(t, di.Get("a"), "a server that is shutting down has no grace period")
	se.HandleAnswer(at(3), at(3))
	di.Put(Server{ID: "a", Service: "s", Born: 1})
	require.Equal(t, []string{"b"}, ids(di), "its entry reappears")
	di.Drop("a")
	di.Put(Server{ID: "a", Service: "s", Born: 2})
	require.Len(t, ids(di), 2, "its next instance")
}

func TestAnnouncedShutdownsExpireWithTheirServers(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "listed", Service: "s"})
	di.MarkLeaving("listed", t0)
	di.MarkLeaving("gone", t0)
	di.Tick(t0.Add(departureRetention - 1))
	require.Equal(t, []string{"gone", "listed"}, di.Leaving())
	di.Tick(t0.Add(departureRetention))
	require.Equal(t, []string{"listed"}, di.Leaving())
	_, ok := di.LeavingSince("gone")
	require.False(t, ok)
}

func TestExcludedServerIsUnusedUntilTheStateIsReached(t *testing.T) {
	var di Directory
	di.Put(Server{ID: "a", Service: "s"})
	until := func(number uint64) revision.Revision { return revision.Revision{Number: number} }
	require.True(t, di.Exclude("a", until(7)))
	require.False(t, di.Exclude("a", until(6)))
	require.Empty(t, di.Servers("s"))
	di.StateReached(until(6))
	require.Empty(t, di.Servers("s"))
	di.StateReached(until(7))
	require.Len(t, di.Servers("s"), 1, "the entry decides")
}

func TestServerExcludedBeforeItsEntryArrivesIsUnused(t *testing.T) {
	var di Directory
	require.True(t, di.Exclude("b@1", revision.Revision{Number: 9}))
	di.Put(Server{ID: "b", Born: 1, Service: "s"})
	require.Empty(t, di.Servers("s"))
	di.Put(Server{ID: "c", Service: "s", Draining: true})
	require.False(t, di.Exclude("c", revision.Revision{Number: 9}), "it gets no requests already")
}

// Guards against a server whose own entries count as outdated after another writer gave it a large sequence number.
func TestEntriesCountAgainAfterAnImplausibleSequenceNumber(t *testing.T) {
	di := &Directory{}
	di.Put(Server{ID: "a", Service: "s", Seq: 100})
	require.False(t, di.Put(Server{ID: "a", Service: "s", Seq: 99}), "an earlier entry")
	di.Put(Server{ID: "a", Service: "s", Seq: 1 << 53})
	require.True(t, di.Put(Server{ID: "a", Service: "s", Seq: 101, Draining: true}))
	require.True(t, di.Get("a").Draining)
}
