package node

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/replica"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// maxDiffs is the number of latest revisions that can be sent as diffs. A peer that is further behind
// gets the complete document.
const maxDiffs = 32

// revisionDiff is the difference between two revisions that were in force in this process in
// succession.
type revisionDiff struct {
	from, to uint64
	// diff is the JSON encoding of the differences.
	diff []byte
	// digest is the checksum of the document at revision to.
	digest uint64
}

// adopt brings the replica's snapshot into force. The caller holds no.mu.
func (no *Node) adopt() {
	old := no.snapshot.Load()
	sn := no.replica.Snapshot()
	no.snapshot.Store(sn)
	if old != nil {
		no.recordDiff(old, sn)
	}
	no.Record(timeline.Entry{Event: event.ConfigInForce, Revision: sn.Revision()})
	no.OnAdopt(sn)
}

// recordDiff appends the diff between two revisions and drops the oldest one beyond maxDiffs. If
// the diff can't be encoded, all diffs are dropped, since the list must have no gap.
func (no *Node) recordDiff(old, sn *config.Snapshot) {
	diff, err := json.Marshal(config.Diff(old.Document(), sn.Document()))
	if err != nil {
		no.diffs = nil
		return
	}
	no.diffs = append(no.diffs, revisionDiff{from: old.Revision(), to: sn.Revision(), diff: diff, digest: sn.Digest()})
	if len(no.diffs) > maxDiffs {
		no.diffs = no.diffs[1:]
	}
}

// sendConfig sends a peer the changes since the revision that it has: as diffs if there are diffs
// from that revision on, otherwise as the complete document. The caller holds no.mu.
func (no *Node) sendConfig(peer string, peerRevision uint64) {
	for i := range no.diffs {
		if no.diffs[i].from == peerRevision {
			no.sendDiffs(peer, no.diffs[i:])
			return
		}
	}
	sn := no.replica.Snapshot()
	doc, err := json.Marshal(sn.Document())
	if err != nil {
		no.Record(timeline.Entry{Event: event.ConfigRefused, Detail: err.Error()})
		return
	}
	no.send(peer, &wire.Frame{
		Kind:   wire.Config,
		Config: &wire.ConfigUpdate{Revision: sn.Revision(), Document: doc},
		Stamp:  no.stamp(),
	})
}

func (no *Node) sendDiffs(peer string, diffs []revisionDiff) {
	for _, rd := range diffs {
		no.send(peer, &wire.Frame{
			Kind:   wire.Config,
			Config: &wire.ConfigUpdate{Revision: rd.to, Base: rd.from, Document: rd.diff, Digest: rd.digest},
			Stamp:  no.stamp(),
		})
	}
}

// receiveConfig handles a configuration from a peer. If a diff can't be applied, the complete
// document is requested. The caller holds no.mu.
func (no *Node) receiveConfig(li *link.Link, cu *wire.ConfigUpdate) []replica.Action {
	if cu.Revision <= no.replica.Revision() {
		return nil
	}
	sn, err := no.decode(cu)
	if err != nil {
		no.Record(timeline.Entry{Event: event.ConfigRefused, Detail: li.Peer.Box() + ": " + err.Error()})
		if cu.Base != 0 {
			li.Send(&wire.Frame{Kind: wire.Want, Revision: 0})
		}
		return nil
	}
	return no.replica.Received(sn, time.Now())
}

var (
	errBaseMismatch   = eris.New("base of configuration diff is not the revision in force")
	errDigestMismatch = eris.New("configuration diff results in a document with a different digest")
)

func (no *Node) decode(cu *wire.ConfigUpdate) (*config.Snapshot, error) {
	if cu.Base != 0 {
		return no.decodeDiff(cu)
	}
	var doc config.Document
	if err := json.Unmarshal(cu.Document, &doc); err != nil {
		return nil, eris.Wrap(err, "decode configuration")
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	return config.Compile(cu.Revision, &doc), nil
}

func (no *Node) decodeDiff(cu *wire.ConfigUpdate) (*config.Snapshot, error) {
	if cu.Base != no.replica.Revision() {
		return nil, errBaseMismatch
	}
	var diff []config.Difference
	if err := json.Unmarshal(cu.Document, &diff); err != nil {
		return nil, eris.Wrap(err, "decode configuration diff")
	}
	doc, err := config.Patch(no.replica.Snapshot().Document(), diff)
	if err != nil {
		return nil, err
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	sn := config.Compile(cu.Revision, doc)
	if sn.Digest() != cu.Digest {
		return nil, errDigestMismatch
	}
	return sn, nil
}
