package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

var start = time.Unix(1_800_000_000, 0)

func snapshot(revision uint64) *config.Snapshot {
	return config.Compile(revision, &config.Document{})
}

func TestALowerRevisionIsNeverTaken(t *testing.T) {
	re := &Replica{}
	re.PeerUp("old")
	require.NotEmpty(t, re.Received(snapshot(5), start))
	require.Empty(t, re.Received(snapshot(4), start))
	require.Empty(t, re.Offered("old", 3, start))
	require.Equal(t, uint64(5), re.Revision())
}

func TestASilentPeerIsNotWaitedForLong(t *testing.T) {
	re := &Replica{}
	re.PeerUp("a")
	re.PeerUp("b")
	acs := re.Offered("a", 2, start)
	require.Equal(t, "a", acs[0].Peer())
	require.Empty(t, re.Offered("b", 2, start), "one is asked at a time")
	acs = re.Tick(start.Add(wantTimeout))
	require.Equal(t, "b", acs[0].Peer(), "the other one is asked")
	acs = re.PeerDown("b", start.Add(wantTimeout))
	require.Equal(t, "a", acs[0].Peer())
}

// mesh is many replicas and the messages between them.
type mesh struct {
	replicas map[string]*Replica
	// wire holds what was sent and has not arrived; it may be lost, doubled
	// and out of order.
	wire []message
	now  time.Time
}

type message struct {
	from, to string
	do       Kind
	revision uint64
}

func (me *mesh) act(from string, acs []Action) {
	for _, ac := range acs {
		if ac.Kind() != Adopt {
			me.wire = append(me.wire, message{from: from, to: ac.Peer(), do: ac.Kind(), revision: ac.Revision()})
		}
	}
}

func (me *mesh) deliver(ms message) {
	re := me.replicas[ms.to]
	before := re.Revision()
	switch ms.do {
	case Offer:
		me.act(ms.to, re.Offered(ms.from, ms.revision, me.now))
	case Want:
		me.act(ms.to, re.Wanted(ms.from, ms.revision))
	case Give:
		me.act(ms.to, re.Received(snapshot(me.replicas[ms.from].Revision()), me.now))
	}
	if re.Revision() < before {
		panic("a revision went back")
	}
}

// TestEveryReplicaGetsTheHighestRevision spreads revisions over entries and
// agents while messages are lost, doubled and reordered, and processes start
// anew. Once the network holds, all agree on the highest.
func TestEveryReplicaGetsTheHighestRevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		me := &mesh{replicas: map[string]*Replica{}, now: start}
		entries := []string{"e1", "e2", "e3"}
		agents := []string{"a1", "a2"}
		for _, na := range append(append([]string{}, entries...), agents...) {
			me.replicas[na] = &Replica{}
		}
		connect := func(na string, peers []string) {
			for _, peer := range peers {
				me.act(na, me.replicas[na].PeerUp(peer))
				me.act(peer, me.replicas[peer].PeerUp(na))
			}
		}
		for _, en := range entries {
			connect(en, agents)
		}
		highest := uint64(0)
		for range rapid.IntRange(5, 80).Draw(rt, "events") {
			me.now = me.now.Add(100 * time.Millisecond)
			switch ev := rapid.SampledFrom([]string{"write", "deliver", "deliver", "lose", "double", "restart"}).Draw(rt, "event"); {
			case ev == "write":
				highest++
				en := rapid.SampledFrom(entries).Draw(rt, "entry")
				me.act(en, me.replicas[en].Received(snapshot(highest), me.now))
			case ev == "restart":
				ag := rapid.SampledFrom(agents).Draw(rt, "agent")
				for _, en := range entries {
					me.act(en, me.replicas[en].PeerDown(ag, me.now))
				}
				me.replicas[ag] = &Replica{}
				connect(ag, entries)
			case len(me.wire) > 0:
				i := rapid.IntRange(0, len(me.wire)-1).Draw(rt, "message")
				ms := me.wire[i]
				if ev != "double" {
					me.wire = append(me.wire[:i:i], me.wire[i+1:]...)
				}
				if ev != "lose" {
					me.deliver(ms)
				}
			}
		}
		me.heal(entries, agents)
		for na, re := range me.replicas {
			require.Equal(rt, highest, re.Revision(), na)
		}
	})
}

// heal delivers everything, with the offers that heartbeats repeat.
func (me *mesh) heal(entries, agents []string) {
	for range 12 {
		me.now = me.now.Add(wantTimeout)
		for _, en := range entries {
			for _, ag := range agents {
				me.wire = append(me.wire,
					message{from: en, to: ag, do: Offer, revision: me.replicas[en].Revision()},
					message{from: ag, to: en, do: Offer, revision: me.replicas[ag].Revision()})
			}
		}
		for na, re := range me.replicas {
			me.act(na, re.Tick(me.now))
		}
		for len(me.wire) > 0 {
			ms := me.wire[0]
			me.wire = me.wire[1:]
			me.deliver(ms)
		}
	}
}

// TestNaiveTakesWhatComesLast shows what a replica without the rule does with
// the same messages.
func TestNaiveTakesWhatComesLast(t *testing.T) {
	naive := uint64(0)
	re := &Replica{}
	for _, revision := range []uint64{1, 3, 2} {
		naive = revision
		re.Received(snapshot(revision), start)
	}
	require.Equal(t, uint64(2), naive)
	require.Equal(t, uint64(3), re.Revision())
}

// TestAFewOffersReachEverybody spreads one change at the size of a data centre
// of the target, with the fan-outs of the two roles and no heartbeat.
func TestAFewOffersReachEverybody(t *testing.T) {
	const entries, agents = 46, 167
	me := &mesh{replicas: map[string]*Replica{}, now: start}
	var entryNames, agentNames []string
	for i := range entries {
		na := fmt.Sprintf("e%d", i)
		entryNames = append(entryNames, na)
		me.replicas[na] = &Replica{Self: na, Fanout: EntryFanout}
	}
	for i := range agents {
		na := fmt.Sprintf("a%d", i)
		agentNames = append(agentNames, na)
		me.replicas[na] = &Replica{Self: na, Fanout: AgentFanout}
	}
	for _, en := range entryNames {
		for _, ag := range agentNames {
			me.replicas[en].PeerUp(ag)
			me.replicas[ag].PeerUp(en)
		}
	}
	me.act("e0", me.replicas["e0"].Received(snapshot(1), me.now))
	sent := 0
	for ; len(me.wire) > 0; sent++ {
		ms := me.wire[0]
		me.wire = me.wire[1:]
		me.deliver(ms)
	}
	for na, re := range me.replicas {
		require.Equal(t, uint64(1), re.Revision(), na)
	}
	require.Less(t, sent, entries*agents/2, "fewer messages than half the links")
}

// TestALoneAgentTellsEverybody spreads a change where no other process helps,
// and without heartbeats.
func TestALoneAgentTellsEverybody(t *testing.T) {
	const entries = 60
	me := &mesh{replicas: map[string]*Replica{"a": {Self: "a", Fanout: AgentFanout}}, now: start}
	for i := range entries {
		na := fmt.Sprintf("e%d", i)
		me.replicas[na] = &Replica{Self: na, Fanout: EntryFanout}
		me.replicas[na].PeerUp("a")
		me.replicas["a"].PeerUp(na)
	}
	me.act("e0", me.replicas["e0"].Received(snapshot(1), me.now))
	for range 6 {
		for len(me.wire) > 0 {
			ms := me.wire[0]
			me.wire = me.wire[1:]
			me.deliver(ms)
		}
		me.now = me.now.Add(roundEvery)
		for na, re := range me.replicas {
			me.act(na, re.Tick(me.now))
		}
	}
	for na, re := range me.replicas {
		require.Equal(t, uint64(1), re.Revision(), na)
	}
	require.Less(t, me.now.Sub(start), 7*time.Second)
}

func BenchmarkOffered(b *testing.B) {
	for _, peers := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			re := &Replica{}
			for i := range peers {
				re.PeerUp(fmt.Sprintf("peer-%d", i))
			}
			re.Received(snapshot(5), start)
			b.ReportAllocs()
			for b.Loop() {
				re.Offered("peer-1", 5, start)
			}
		})
	}
}
