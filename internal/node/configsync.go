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

// maxDiffs is how many of the newest changes can be sent as differences; a
// peer that is further behind gets the whole document.
const maxDiffs = 32

// revisionDiff is the difference between two revisions that were in force here one
// after the other.
type revisionDiff struct {
	from, to uint64
	// diff is the encoded list of differences.
	diff []byte
	// digest is the checksum of the document at to.
	digest uint64
}

// adopt takes the replica's snapshot into force; the lock is held.
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

// sendConfig sends a peer what is above the revision it holds: the kept steps if
// they reach back that far, the whole document otherwise; the lock is held.
func (no *Node) sendConfig(peer string, have uint64) {
	for i := range no.diffs {
		if no.diffs[i].from == have {
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

func (no *Node) sendDiffs(peer string, steps []revisionDiff) {
	for _, st := range steps {
		no.send(peer, &wire.Frame{
			Kind:   wire.Config,
			Config: &wire.ConfigUpdate{Revision: st.to, Base: st.from, Document: st.diff, Digest: st.digest},
			Stamp:  no.stamp(),
		})
	}
}

// receiveConfig takes a configuration from a peer; the lock is held. Differences
// that do not fit are answered by a request for the whole document.
func (no *Node) receiveConfig(li *link.Link, se *wire.ConfigUpdate) []replica.Action {
	if se.Revision <= no.replica.Revision() {
		return nil
	}
	sn, err := no.decode(se)
	if err != nil {
		no.Record(timeline.Entry{Event: event.ConfigRefused, Detail: li.Peer.Box() + ": " + err.Error()})
		if se.Base != 0 {
			li.Send(&wire.Frame{Kind: wire.Want, Revision: 0})
		}
		return nil
	}
	return no.replica.Received(sn, time.Now())
}

var (
	errBaseMismatch   = eris.New("differences from a revision that is not held")
	errDigestMismatch = eris.New("differences lead to another document")
)

func (no *Node) decode(se *wire.ConfigUpdate) (*config.Snapshot, error) {
	if se.Base != 0 {
		return no.decodeDiff(se)
	}
	var doc config.Document
	if err := json.Unmarshal(se.Document, &doc); err != nil {
		return nil, eris.Wrap(err, "decode configuration")
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	return config.Compile(se.Revision, &doc), nil
}

func (no *Node) decodeDiff(se *wire.ConfigUpdate) (*config.Snapshot, error) {
	if se.Base != no.replica.Revision() {
		return nil, errBaseMismatch
	}
	var diff []config.Difference
	if err := json.Unmarshal(se.Document, &diff); err != nil {
		return nil, eris.Wrap(err, "decode differences")
	}
	doc, err := config.Patch(no.replica.Snapshot().Document(), diff)
	if err != nil {
		return nil, err
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	sn := config.Compile(se.Revision, doc)
	if sn.Digest() != se.Digest {
		return nil, errDigestMismatch
	}
	return sn, nil
}
