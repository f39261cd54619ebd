// Package node implements the functions that entries and agents have in common: the configuration in
// force and its propagation over links, the log, the timeline and the admin port.
package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/replica"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Node holds the state that every process has. Its exported fields must be set before use; its
// methods are safe for concurrent use.
type Node struct {
	Settings settings.Settings
	Log      zerolog.Logger
	Ring     *timeline.Ring
	// Fanout is the maximum number of peers to which a change is offered simultaneously.
	Fanout int
	// OnAdopt is called for each revision that comes into force. Calls don't overlap; the node's lock
	// is held during each.
	OnAdopt func(sn *config.Snapshot)

	// mu guards replica, diffs and links.
	mu      sync.Mutex
	replica replica.Replica
	// diffs holds the latest revision diffs. Each one starts at the revision at which the previous
	// one ends.
	diffs []revisionDiff
	// links holds the open link to each peer.
	links map[string]*link.Link
	// snapshot is the replica's snapshot. It can be read without the lock.
	snapshot atomic.Pointer[config.Snapshot]
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
}

// Identity returns the process's identity for handshakes with peers.
func (no *Node) Identity() link.Identity {
	return link.Identity{
		Box:        no.Settings.Box,
		DataCentre: no.Settings.DataCentre,
		SharedKey:  no.Settings.SharedKey,
	}
}

// Snapshot returns the configuration in force, nil before the first.
func (no *Node) Snapshot() *config.Snapshot { return no.snapshot.Load() }

// Stopping reports whether a planned stop has begun.
func (no *Node) Stopping() bool { return no.stopping.Load() }

// Stop begins a planned stop.
func (no *Node) Stop() {
	if no.stopping.CompareAndSwap(false, true) {
		no.Record(timeline.Entry{Event: event.ProcessStopping})
	}
}

// Record logs an event and adds it to the timeline.
func (no *Node) Record(en timeline.Entry) {
	if en.Revision == 0 {
		en.Revision = no.Snapshot().Revision()
	}
	en = no.Ring.Add(en, time.Now())
	level := zerolog.InfoLevel
	if en.Event >= event.RequestReceived && en.Event < event.ConfigAccepted {
		level = zerolog.DebugLevel
	}
	no.Log.WithLevel(level).
		Int("event", int(en.Event)).
		Uint64("revision", en.Revision).
		Str("request", en.Request).
		Str("team", en.Team).
		Str("version", en.Version).
		Str("detail", en.Detail).
		Msg(en.Name)
}

// AddLink adds a link. It replaces an older link to the same peer, which is not closed here.
func (no *Node) AddLink(li *link.Link) {
	no.Record(timeline.Entry{Event: event.LinkUp, Detail: li.Peer.Box()})
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.links == nil {
		no.links = map[string]*link.Link{}
		no.replica.Self, no.replica.Fanout = no.Settings.Box, no.Fanout
	}
	no.links[li.Peer.Box()] = li
	no.apply(no.replica.PeerUp(li.Peer.Box()))
}

// RemoveLink removes a link after it was closed for the given reason. It reports whether it was the
// latest link to the peer; otherwise it does nothing.
func (no *Node) RemoveLink(li *link.Link, reason error) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	box := li.Peer.Box()
	if no.links[box] != li {
		return false
	}
	delete(no.links, box)
	no.apply(no.replica.PeerDown(box, time.Now()))
	no.Record(timeline.Entry{Event: event.LinkDown, Detail: box + ": " + reason.Error()})
	return true
}

// Link returns the open link to a peer, or nil.
func (no *Node) Link(box string) *link.Link {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.links[box]
}

// Links returns the open links.
func (no *Node) Links() []*link.Link {
	no.mu.Lock()
	defer no.mu.Unlock()
	list := make([]*link.Link, 0, len(no.links))
	for _, li := range no.links {
		list = append(list, li)
	}
	return list
}

// Install adopts a configuration from the store if its revision is higher than the one in force.
func (no *Node) Install(sn *config.Snapshot) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.apply(no.replica.Received(sn, time.Now()))
}

// PeerRevisions returns the highest revision that each connected peer has offered.
func (no *Node) PeerRevisions() map[string]uint64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.replica.PeerRevisions()
}

// Tick checks the timeouts of the configuration's propagation, for example the one after which an
// unanswered request is sent to another peer.
func (no *Node) Tick(now time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.apply(no.replica.Tick(now))
}

// HandleConfigFrame handles the frames that propagate the configuration. It reports whether the frame
// needs no further handling; a heartbeat does.
func (no *Node) HandleConfigFrame(li *link.Link, fr *wire.Frame) bool {
	if fr.Stamp != nil {
		no.Ring.Observe(*fr.Stamp)
	}
	box := li.Peer.Box()
	now := time.Now()
	no.mu.Lock()
	defer no.mu.Unlock()
	switch fr.Kind {
	case wire.Heartbeat:
		no.apply(no.replica.Offered(box, fr.Revision, now))
		return false
	case wire.Offer:
		no.apply(no.replica.Offered(box, fr.Revision, now))
	case wire.Want:
		if fr.Nonce != 0 {
			li.Send(&wire.Frame{Kind: wire.Offer, Revision: no.replica.Revision(), Nonce: fr.Nonce})
		}
		no.apply(no.replica.Wanted(box, fr.Revision))
	case wire.Config:
		no.apply(no.receiveConfig(li, fr.Config))
	default:
		return false
	}
	return true
}

// apply executes the replica's decisions. The caller holds no.mu.
func (no *Node) apply(acs []replica.Action) {
	for _, ac := range acs {
		switch ac.Kind() {
		case replica.Adopt:
			no.adopt()
		case replica.Offer:
			no.send(ac.Peer(), &wire.Frame{Kind: wire.Offer, Revision: ac.Revision(), Stamp: no.stamp()})
		case replica.Want:
			no.send(ac.Peer(), &wire.Frame{Kind: wire.Want, Revision: ac.Revision()})
		case replica.Give:
			no.sendConfig(ac.Peer(), ac.Revision())
		}
	}
}

func (no *Node) send(peer string, fr *wire.Frame) {
	if li := no.links[peer]; li != nil {
		li.Send(fr)
	}
}

func (no *Node) stamp() *timeline.Stamp {
	st := no.Ring.Now(time.Now())
	return &st
}

// Stamp returns the current stamp, to be sent with a message.
func (no *Node) Stamp() *timeline.Stamp { return no.stamp() }
