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

func TestLowerRevisionIsNeverAdopted(t *testing.T) {
	re := &Replica{}
	re.PeerUp("old")
	require.NotEmpty(t, re.Received(snapshot(5), start))
	require.Empty(t, re.Received(snapshot(4), start))
	require.Empty(t, re.Offered("old", 3, start))
	require.Equal(t, uint64(5), re.Revision())
}

func TestUnresponsivePeerIsReplaced(t *testing.T) {
	re := &Replica{}
	re.PeerUp("a")
	re.PeerUp("b")
	acs := re.Offered("a", 2, start)
	require.Equal(t, "a", acs[0].Peer())
	require.Empty(t, re.Offered("b", 2, start), "one peer is asked at a time")
	acs = re.Tick(start.Add(wantTimeout))
	require.Equal(t, "b", acs[0].Peer(), "the other peer is asked")
	acs = re.PeerDown("b", start.Add(wantTimeout))
	require.Equal(t, "a", acs[0].Peer())
}

// network is a set of replicas and the messages between them.
type network struct {
	replicas map[string]*Replica
	// inFlight holds the messages that have not been delivered. They may be lost, duplicated and
	// reordered.
	inFlight []message
	now      time.Time
}

type message struct {
	from, to string
	kind     Kind
	revision uint64
}

func (ne *network) send(from string, acs []Action) {
	for _, ac := range acs {
		if ac.Kind() != Adopt {
			ne.inFlight = append(ne.inFlight, message{from: from, to: ac.Peer(), kind: ac.Kind(), revision: ac.Revision()})
		}
	}
}

func (ne *network) deliver(ms message) {
	re := ne.replicas[ms.to]
	before := re.Revision()
	switch ms.kind {
	case Offer:
		ne.send(ms.to, re.Offered(ms.from, ms.revision, ne.now))
	case Want:
		ne.send(ms.to, re.Wanted(ms.from, ms.revision))
	case Give:
		ne.send(ms.to, re.Received(snapshot(ne.replicas[ms.from].Revision()), ne.now))
	}
	if re.Revision() < before {
		panic("a revision decreased")
	}
}

// Revisions are written while messages are lost, duplicated and reordered and agents restart. After
// the network has recovered, all replicas have the highest revision.
func TestEveryReplicaGetsTheHighestRevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ne := &network{replicas: map[string]*Replica{}, now: start}
		entries := []string{"e1", "e2", "e3"}
		agents := []string{"a1", "a2"}
		for _, na := range append(append([]string{}, entries...), agents...) {
			ne.replicas[na] = &Replica{}
		}
		connect := func(na string, peers []string) {
			for _, peer := range peers {
				ne.send(na, ne.replicas[na].PeerUp(peer))
				ne.send(peer, ne.replicas[peer].PeerUp(na))
			}
		}
		for _, en := range entries {
			connect(en, agents)
		}
		highest := uint64(0)
		for range rapid.IntRange(5, 80).Draw(rt, "events") {
			ne.now = ne.now.Add(100 * time.Millisecond)
			switch ev := rapid.SampledFrom([]string{"write", "deliver", "deliver", "lose", "duplicate", "restart"}).Draw(rt, "event"); {
			case ev == "write":
				highest++
				en := rapid.SampledFrom(entries).Draw(rt, "entry")
				ne.send(en, ne.replicas[en].Received(snapshot(highest), ne.now))
			case ev == "restart":
				ag := rapid.SampledFrom(agents).Draw(rt, "agent")
				for _, en := range entries {
					ne.send(en, ne.replicas[en].PeerDown(ag, ne.now))
				}
				ne.replicas[ag] = &Replica{}
				connect(ag, entries)
			case len(ne.inFlight) > 0:
				i := rapid.IntRange(0, len(ne.inFlight)-1).Draw(rt, "message")
				ms := ne.inFlight[i]
				if ev != "duplicate" {
					ne.inFlight = append(ne.inFlight[:i:i], ne.inFlight[i+1:]...)
				}
				if ev != "lose" {
					ne.deliver(ms)
				}
			}
		}
		ne.deliverAll(entries, agents)
		for na, re := range ne.replicas {
			require.Equal(rt, highest, re.Revision(), na)
		}
	})
}

// deliverAll delivers all messages, including the offers that heartbeats repeat.
func (ne *network) deliverAll(entries, agents []string) {
	for range 12 {
		ne.now = ne.now.Add(wantTimeout)
		for _, en := range entries {
			for _, ag := range agents {
				ne.inFlight = append(ne.inFlight,
					message{from: en, to: ag, kind: Offer, revision: ne.replicas[en].Revision()},
					message{from: ag, to: en, kind: Offer, revision: ne.replicas[ag].Revision()})
			}
		}
		for na, re := range ne.replicas {
			ne.send(na, re.Tick(ne.now))
		}
		for len(ne.inFlight) > 0 {
			ms := ne.inFlight[0]
			ne.inFlight = ne.inFlight[1:]
			ne.deliver(ms)
		}
	}
}

// A naive replica that adopts the last message goes back to a lower revision; a Replica does not.
func TestLastMessageDoesNotReplaceAHigherRevision(t *testing.T) {
	naive := uint64(0)
	re := &Replica{}
	for _, revision := range []uint64{1, 3, 2} {
		naive = revision
		re.Received(snapshot(revision), start)
	}
	require.Equal(t, uint64(2), naive)
	require.Equal(t, uint64(3), re.Revision())
}

// A change reaches every process of a data centre of the target size with the fan-outs of the two
// roles, without heartbeats and with few messages.
func TestFanoutReachesEveryProcess(t *testing.T) {
	const entries, agents = 46, 167
	ne := &network{replicas: map[string]*Replica{}, now: start}
	var entryNames, agentNames []string
	for i := range entries {
		na := fmt.Sprintf("e%d", i)
		entryNames = append(entryNames, na)
		ne.replicas[na] = &Replica{Self: na, Fanout: EntryFanout}
	}
	for i := range agents {
		na := fmt.Sprintf("a%d", i)
		agentNames = append(agentNames, na)
		ne.replicas[na] = &Replica{Self: na, Fanout: AgentFanout}
	}
	for _, en := range entryNames {
		for _, ag := range agentNames {
			ne.replicas[en].PeerUp(ag)
			ne.replicas[ag].PeerUp(en)
		}
	}
	ne.send("e0", ne.replicas["e0"].Received(snapshot(1), ne.now))
	sent := 0
	for ; len(ne.inFlight) > 0; sent++ {
		ms := ne.inFlight[0]
		ne.inFlight = ne.inFlight[1:]
		ne.deliver(ms)
	}
	for na, re := range ne.replicas {
		require.Equal(t, uint64(1), re.Revision(), na)
	}
	require.Less(t, sent, entries*agents/2, "fewer messages than half the number of connections")
}

// A change reaches all entries through the only agent, without heartbeats: its fan-out is smaller
// than the number of entries, so that further rounds of offers are needed.
func TestSingleAgentReachesEveryEntry(t *testing.T) {
	const entries = 60
	ne := &network{replicas: map[string]*Replica{"a": {Self: "a", Fanout: AgentFanout}}, now: start}
	for i := range entries {
		na := fmt.Sprintf("e%d", i)
		ne.replicas[na] = &Replica{Self: na, Fanout: EntryFanout}
		ne.replicas[na].PeerUp("a")
		ne.replicas["a"].PeerUp(na)
	}
	ne.send("e0", ne.replicas["e0"].Received(snapshot(1), ne.now))
	for range 6 {
		for len(ne.inFlight) > 0 {
			ms := ne.inFlight[0]
			ne.inFlight = ne.inFlight[1:]
			ne.deliver(ms)
		}
		ne.now = ne.now.Add(roundInterval)
		for na, re := range ne.replicas {
			ne.send(na, re.Tick(ne.now))
		}
	}
	for na, re := range ne.replicas {
		require.Equal(t, uint64(1), re.Revision(), na)
	}
	require.Less(t, ne.now.Sub(start), 7*time.Second)
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
