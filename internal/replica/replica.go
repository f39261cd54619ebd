// Package replica decides how a configuration spreads over the connections
// between entries and agents and that it never goes back. It does no I/O and
// reads no clock.
package replica

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
)

// Kind is what the shell must do.
type Kind string

// The things to do.
const (
	// Adopt takes the snapshot into force in this process.
	Adopt Kind = "adopt"
	// Offer tells a peer which revision is held here.
	Offer Kind = "offer"
	// Want asks a peer for what is newer than the revision held here.
	Want Kind = "want"
	// Give sends a peer the configuration above the revision it named.
	Give Kind = "give"
)

// Action is one thing to do.
type Action struct {
	do       Kind
	peer     string
	revision uint64
}

// Kind returns what to do.
func (ac Action) Kind() Kind { return ac.do }

// Peer returns the peer to do it with, if any.
func (ac Action) Peer() string { return ac.peer }

// Revision returns the revision to offer or adopt, the one to ask above, or
// the one the peer holds.
func (ac Action) Revision() uint64 { return ac.revision }

// The fan-outs of the two roles. An entry has a few hundred agents, an agent a
// few dozen entries; with these, a change reaches every process of a data
// centre of the target's size in a few hops (docs/CAPACITY.md).
const (
	EntryFanout = 40
	AgentFanout = 6
)

// roundEvery is the time after which it is seen how many of those who were told
// of a revision did not have it.
const roundEvery = 500 * time.Millisecond

// wantTimeout is how long one peer may take to answer before another is asked.
const wantTimeout = time.Second

// Replica is the configuration as one process holds it. Its exported fields
// are set before use; it is not safe for concurrent use.
type Replica struct {
	// Self is the process's own box.
	Self string
	// Fanout bounds the peers that a new revision is offered to at first; zero
	// means all. More are told while most of those who were did not have it;
	// the others hear of it from one another, or from heartbeats.
	Fanout int

	// snapshot is the highest revision ever held; it never goes back.
	snapshot *config.Snapshot
	// peers holds the highest revision each connected peer has offered.
	peers map[string]uint64
	// told holds the highest revision that each peer was offered.
	told map[string]uint64
	// round is the newest batch of offers.
	round round
	// asked is the peer that was asked last, "" if none is to answer.
	asked   string
	askedAt time.Time
}

// round is a batch of offers of one revision.
type round struct {
	revision uint64
	at       time.Time
	// sent counts the offers, wanted the peers that did not have it yet.
	sent, wanted int
}

// Snapshot returns the revision in force, nil before the first.
func (re *Replica) Snapshot() *config.Snapshot { return re.snapshot }

// Revision returns the number of the revision in force.
func (re *Replica) Revision() uint64 { return re.snapshot.Revision() }

// PeerUp greets a new peer with the revision held here.
func (re *Replica) PeerUp(peer string) []Action {
	if re.peers == nil {
		re.peers = map[string]uint64{}
		re.told = map[string]uint64{}
	}
	re.peers[peer] = 0
	return []Action{re.offer(peer)}
}

// PeerDown forgets a peer; if it owed an answer, another is asked.
func (re *Replica) PeerDown(peer string, now time.Time) []Action {
	delete(re.peers, peer)
	delete(re.told, peer)
	if re.asked != peer {
		return nil
	}
	re.asked = ""
	return re.ask(now)
}

// Offered notes what a peer holds and asks for it if it is newer.
func (re *Replica) Offered(peer string, revision uint64, now time.Time) []Action {
	if _, ok := re.peers[peer]; !ok {
		return nil
	}
	re.peers[peer] = max(re.peers[peer], revision)
	if revision <= re.Revision() {
		return nil
	}
	return re.ask(now)
}

// Wanted answers a peer that holds the given revision.
func (re *Replica) Wanted(peer string, revision uint64) []Action {
	if re.Revision() <= revision {
		return []Action{re.offer(peer)}
	}
	if re.round.revision == re.Revision() && re.told[peer] == re.Revision() {
		re.round.wanted++
	}
	return []Action{{do: Give, peer: peer, revision: revision}}
}

// Received takes a snapshot from a peer or from the store. A revision that is
// not above the one in force is dropped, whoever sends it.
func (re *Replica) Received(sn *config.Snapshot, now time.Time) []Action {
	if sn.Revision() <= re.Revision() {
		return nil
	}
	re.snapshot = sn
	re.asked = ""
	acs := append([]Action{{do: Adopt, revision: sn.Revision()}}, re.spread(re.Fanout, now)...)
	return append(acs, re.ask(now)...)
}

// Tick asks another peer if the one asked has not answered, and goes on
// spreading a revision that most of those who were told did not have.
func (re *Replica) Tick(now time.Time) []Action {
	acs := re.ask(now)
	ro := re.round
	if ro.sent == 0 || ro.revision != re.Revision() || now.Sub(ro.at) < roundEvery || 2*ro.wanted < ro.sent {
		return acs
	}
	return append(acs, re.spread(2*ro.sent, now)...)
}

// spread offers the revision in force to some peers that were not told of it.
func (re *Replica) spread(most int, now time.Time) []Action {
	var acs []Action
	for _, peer := range re.recipients(most) {
		acs = append(acs, re.offer(peer))
	}
	re.round = round{revision: re.Revision(), at: now, sent: len(acs)}
	return acs
}

func (re *Replica) offer(peer string) Action {
	re.told[peer] = re.Revision()
	return Action{do: Offer, peer: peer, revision: re.Revision()}
}

// PeersBehind returns how many connected peers have not yet offered the revision
// in force.
func (re *Replica) PeersBehind() int {
	n := 0
	for _, have := range re.peers {
		if have < re.Revision() {
			n++
		}
	}
	return n
}

// PeerRevisions returns a copy of what each connected peer has offered.
func (re *Replica) PeerRevisions() map[string]uint64 {
	all := make(map[string]uint64, len(re.peers))
	for peer, have := range re.peers {
		all[peer] = have
	}
	return all
}

// ask asks the peer with the highest revision, unless one that was asked may
// still answer.
func (re *Replica) ask(now time.Time) []Action {
	if re.asked != "" && now.Sub(re.askedAt) < wantTimeout {
		return nil
	}
	best := ""
	for _, peer := range re.sortedPeers() {
		if re.better(peer, best) {
			best = peer
		}
	}
	if best == "" {
		re.asked = ""
		return nil
	}
	re.asked, re.askedAt = best, now
	return []Action{{do: Want, peer: best, revision: re.Revision()}}
}

// better reports whether a peer is a better one to ask than another: it holds
// more, or as much and was not the one asked last.
func (re *Replica) better(peer, than string) bool {
	have := re.peers[peer]
	if have <= re.Revision() {
		return false
	}
	if than == "" || have > re.peers[than] {
		return true
	}
	return have == re.peers[than] && than == re.asked
}

// recipients returns peers that are not known to hold the revision in force and
// were not told of it, at most a number of them unless that is zero: other ones
// for each revision and process, so that together they reach everybody.
func (re *Replica) recipients(most int) []string {
	var behind []string
	for _, peer := range re.sortedPeers() {
		if re.peers[peer] < re.Revision() && re.told[peer] < re.Revision() {
			behind = append(behind, peer)
		}
	}
	if most == 0 || len(behind) <= most {
		return behind
	}
	key := re.Self + "/" + strconv.FormatUint(re.Revision(), 10)
	return rendezvous.Rank(key, behind)[:most]
}

func (re *Replica) sortedPeers() []string {
	return slices.Sorted(maps.Keys(re.peers))
}
