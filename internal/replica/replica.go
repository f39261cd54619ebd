// Package replica decides how a configuration is propagated over the connections between entries
// and agents, and ensures that its revision never decreases. It does no I/O and reads no clock.
package replica

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
)

// Kind is the kind of an action that the caller must carry out.
type Kind string

// The kinds of actions.
const (
	// Adopt puts the replica's snapshot into force in this process.
	Adopt Kind = "adopt"
	// Offer sends a peer the number of the revision in force here.
	Offer Kind = "offer"
	// Want requests from a peer any configuration newer than the revision in force here.
	Want Kind = "want"
	// Give sends a peer the configuration that is newer than the revision that it has.
	Give Kind = "give"
)

// Action is a decision of a replica, for the caller to carry out.
type Action struct {
	kind     Kind
	peer     string
	revision uint64
}

// Kind returns what to do.
func (ac Action) Kind() Kind { return ac.kind }

// Peer returns the peer that the action addresses, if any.
func (ac Action) Peer() string { return ac.peer }

// Revision returns the revision to adopt or to offer, the one after which changes are requested, or
// the one that the peer has.
func (ac Action) Revision() uint64 { return ac.revision }

// The fan-outs of the two roles. An entry is connected to a few hundred agents, an agent to a few
// dozen entries. With these fan-outs, a change reaches every process of a data centre of the target
// size in a few hops (docs/CAPACITY.md).
const (
	EntryFanout = 40
	AgentFanout = 6
)

// roundInterval is the time after a round of offers at which the requests in response to it are
// evaluated.
const roundInterval = 500 * time.Millisecond

// wantTimeout is how long a peer may take to answer a request before another peer is asked.
const wantTimeout = time.Second

// Replica is one process's copy of the configuration. Its exported fields are set before use; it is
// not safe for concurrent use.
type Replica struct {
	// Self is the box of this process.
	Self string
	// Fanout bounds the peers to which a new revision is offered in the first round; zero means
	// all. Further rounds follow while at least half of the peers in the previous one did not have
	// it. The remaining peers receive it from one another, or detect it from heartbeats.
	Fanout int

	// snapshot is the configuration in force. Its revision never decreases.
	snapshot *config.Snapshot
	// peers holds the highest revision that each connected peer has offered.
	peers map[string]uint64
	// offered holds the highest revision that was offered to each peer.
	offered map[string]uint64
	// round is the latest round of offers.
	round round
	// requestedFrom is the peer whose response to a request is pending, "" for none.
	requestedFrom string
	requestedAt   time.Time
}

// round is a set of simultaneous offers of one revision.
type round struct {
	revision uint64
	at       time.Time
	// sent counts the offers, wanted the peers that requested the revision in response.
	sent, wanted int
}

// Snapshot returns the revision in force, nil before the first.
func (re *Replica) Snapshot() *config.Snapshot { return re.snapshot }

// Revision returns the number of the revision in force, zero before the first.
func (re *Replica) Revision() uint64 { return re.snapshot.Revision() }

// PeerUp adds a peer and offers it the revision in force.
func (re *Replica) PeerUp(peer string) []Action {
	if re.peers == nil {
		re.peers = map[string]uint64{}
		re.offered = map[string]uint64{}
	}
	re.peers[peer] = 0
	return []Action{re.offer(peer)}
}

// PeerDown removes a peer. If its response to a request was pending, another peer is asked.
func (re *Replica) PeerDown(peer string, now time.Time) []Action {
	delete(re.peers, peer)
	delete(re.offered, peer)
	if re.requestedFrom != peer {
		return nil
	}
	re.requestedFrom = ""
	return re.request(now)
}

// Offered records the revision that a peer has and requests it if it is newer.
func (re *Replica) Offered(peer string, revision uint64, now time.Time) []Action {
	if _, ok := re.peers[peer]; !ok {
		return nil
	}
	re.peers[peer] = max(re.peers[peer], revision)
	if revision <= re.Revision() {
		return nil
	}
	return re.request(now)
}

// Wanted answers the request of a peer that has the given revision.
func (re *Replica) Wanted(peer string, revision uint64) []Action {
	if re.Revision() <= revision {
		return []Action{re.offer(peer)}
	}
	if re.round.revision == re.Revision() && re.offered[peer] == re.Revision() {
		re.round.wanted++
	}
	return []Action{{kind: Give, peer: peer, revision: revision}}
}

// Received adopts a snapshot from a peer or from the store and propagates it. A revision that is
// not higher than the one in force is ignored, whatever its source.
func (re *Replica) Received(sn *config.Snapshot, now time.Time) []Action {
	if sn.Revision() <= re.Revision() {
		return nil
	}
	re.snapshot = sn
	re.requestedFrom = ""
	acs := append([]Action{{kind: Adopt, revision: sn.Revision()}}, re.propagate(re.Fanout, now)...)
	return append(acs, re.request(now)...)
}

// Tick asks another peer if a request was not answered in time, and starts another round of offers
// if at least half of the peers in the last one did not have the revision.
func (re *Replica) Tick(now time.Time) []Action {
	acs := re.request(now)
	ro := re.round
	if ro.sent == 0 || ro.revision != re.Revision() || now.Sub(ro.at) < roundInterval || 2*ro.wanted < ro.sent {
		return acs
	}
	return append(acs, re.propagate(2*ro.sent, now)...)
}

// propagate offers the revision in force to peers to which it was not offered before, at most limit
// of them unless that is zero.
func (re *Replica) propagate(limit int, now time.Time) []Action {
	var acs []Action
	for _, peer := range re.recipients(limit) {
		acs = append(acs, re.offer(peer))
	}
	re.round = round{revision: re.Revision(), at: now, sent: len(acs)}
	return acs
}

func (re *Replica) offer(peer string) Action {
	re.offered[peer] = re.Revision()
	return Action{kind: Offer, peer: peer, revision: re.Revision()}
}

// PeersBehind returns how many connected peers have not yet offered the revision in force.
func (re *Replica) PeersBehind() int {
	n := 0
	for _, have := range re.peers {
		if have < re.Revision() {
			n++
		}
	}
	return n
}

// PeerRevisions returns the highest revision that each connected peer has offered.
func (re *Replica) PeerRevisions() map[string]uint64 {
	all := make(map[string]uint64, len(re.peers))
	for peer, have := range re.peers {
		all[peer] = have
	}
	return all
}

// request requests the configuration from the peer with the highest revision, unless the response
// to an earlier request is pending.
func (re *Replica) request(now time.Time) []Action {
	if re.requestedFrom != "" && now.Sub(re.requestedAt) < wantTimeout {
		return nil
	}
	best := ""
	for _, peer := range re.sortedPeers() {
		if re.better(peer, best) {
			best = peer
		}
	}
	if best == "" {
		re.requestedFrom = ""
		return nil
	}
	re.requestedFrom, re.requestedAt = best, now
	return []Action{{kind: Want, peer: best, revision: re.Revision()}}
}

// better reports whether a peer is a better source than another: it has a higher revision, or the
// same one and was not the last to be asked.
func (re *Replica) better(peer, than string) bool {
	have := re.peers[peer]
	if have <= re.Revision() {
		return false
	}
	if than == "" || have > re.peers[than] {
		return true
	}
	return have == re.peers[than] && than == re.requestedFrom
}

// recipients returns the peers to which the revision in force is to be offered next: those that are
// not known to have it and were not offered it. If there are more than limit and limit is not zero,
// it selects limit of them by rendezvous hashing of its own name and the revision: different
// processes select different peers, so that together they reach every peer.
func (re *Replica) recipients(limit int) []string {
	var behind []string
	for _, peer := range re.sortedPeers() {
		if re.peers[peer] < re.Revision() && re.offered[peer] < re.Revision() {
			behind = append(behind, peer)
		}
	}
	if limit == 0 || len(behind) <= limit {
		return behind
	}
	key := re.Self + "/" + strconv.FormatUint(re.Revision(), 10)
	return rendezvous.Rank(key, behind)[:limit]
}

func (re *Replica) sortedPeers() []string {
	return slices.Sorted(maps.Keys(re.peers))
}
