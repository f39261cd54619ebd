// Package departure propagates which backend servers stopped accepting requests, ahead of the other
// changes of the key-value service. Changes travel in order, and a large one delays all that follow it.
// Departures are a few bytes each and are included in the load reports that gateways exchange all the
// time. It does no I/O and reads no clock.
package departure

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// maxDepartures bounds the departures that a gateway keeps for others. The oldest ones are dropped.
const maxDepartures = 1024

// Departure is the end of the time in which a server accepts requests. The fields are exported because
// the codec needs them.
type Departure struct {
	// Server is the key of the server instance.
	Server string `cbor:"1,keyasint"`
	// Revision is the revision of the key-value service after the departure.
	Revision revision.Revision `cbor:"2,keyasint"`
}

// Message reports departures to another gateway. The fields are exported because the codec needs them.
type Message struct {
	// Known is the revision up to which the sender knows all departures, Age an upper bound of the time
	// since that was all of them.
	Known revision.Revision `cbor:"1,keyasint"`
	Age   time.Duration     `cbor:"2,keyasint,omitempty"`
	// After is the revision after which Departures holds all departures up to Known. It is zero if some
	// may be missing.
	After      revision.Revision `cbor:"3,keyasint,omitempty"`
	Departures []Departure       `cbor:"4,keyasint,omitempty"`
}

// Log holds the departures that a gateway knows. The zero value knows nothing. It is not safe for
// concurrent use.
type Log struct {
	// known is the revision up to which all departures are known. It never decreases. from is the revision
	// after which list holds all of them, in no particular order.
	known, from revision.Revision
	list        []Departure
	// confirmed is the time up to which all departures are known from other gateways, source the box of
	// the one that confirmed it.
	confirmed time.Time
	source    string
}

// Reset processes a complete state of the key-value service: departures since an earlier revision are
// not known. servers lists the keys of the instances that the state shows as departed.
func (lo *Log) Reset(to revision.Revision, servers []string) {
	if to.Era != lo.known.Era {
		lo.list = nil
	}
	lo.add(to, servers)
	lo.from = to
	lo.advance(to)
}

// Append processes changes of the key-value service up to a revision that follow on the state of this
// gateway. servers lists the keys of the instances that departed.
func (lo *Log) Append(to revision.Revision, servers []string) {
	if to.Era != lo.known.Era {
		lo.Reset(to, servers)
		return
	}
	lo.add(to, servers)
	lo.advance(to)
}

// add adds departures at a revision.
func (lo *Log) add(at revision.Revision, servers []string) {
	for _, server := range servers {
		lo.put(Departure{Server: server, Revision: at})
	}
}

// put adds a departure. It returns false if that or a later one of the same instance is present.
func (lo *Log) put(de Departure) bool {
	if i := slices.IndexFunc(lo.list, func(other Departure) bool { return other.Server == de.Server }); i >= 0 {
		if !de.Revision.After(lo.list[i].Revision) {
			return false
		}
		lo.list = slices.Delete(lo.list, i, i+1)
	}
	lo.list = append(lo.list, de)
	if len(lo.list) > maxDepartures {
		lo.from = later(lo.from, lo.list[0].Revision)
		lo.list = slices.Delete(lo.list, 0, 1)
	}
	return true
}

func (lo *Log) advance(to revision.Revision) { lo.known = later(lo.known, to) }

// Return drops the departure of a server instance that accepts requests again.
func (lo *Log) Return(server string) {
	lo.list = slices.DeleteFunc(lo.list, func(de Departure) bool { return de.Server == server })
}

// Known returns the revision up to which all departures are known.
func (lo *Log) Known() revision.Revision { return lo.known }

// Confirmed returns the time up to which all departures are known from other gateways, and the box of the
// one that confirmed it.
func (lo *Log) Confirmed() (at time.Time, source string) { return lo.confirmed, lo.source }

// Message returns a message for a gateway that knows all departures up to a revision. age is an upper
// bound of the time since all departures were known here.
func (lo *Log) Message(receiverKnows revision.Revision, age time.Duration) *Message {
	if lo.known.IsZero() {
		return nil
	}
	me := &Message{Known: lo.known, Age: age}
	if receiverKnows.Era == lo.known.Era && !lo.from.After(receiverKnows) {
		me.After = receiverKnows
	}
	if !lo.known.After(receiverKnows) {
		return me
	}
	for _, de := range lo.list {
		if de.Revision.After(receiverKnows) {
			me.Departures = append(me.Departures, de)
		}
	}
	return me
}

// Receive processes a message from another gateway and returns the departures that were not known. If
// the message is the response to a request, sent is when the request was sent, otherwise zero.
func (lo *Log) Receive(me Message, box string, sent time.Time) []Departure {
	if lo.known.IsZero() {
		return nil // the state is read first
	}
	var unknown []Departure
	for _, de := range me.Departures {
		if de.Server != "" && de.Revision.After(lo.known) && lo.put(de) {
			unknown = append(unknown, de)
		}
	}
	if me.After.IsZero() || me.After.Era != lo.known.Era || me.Known.Era != lo.known.Era || me.After.After(lo.known) {
		return unknown
	}
	lo.advance(me.Known)
	if at := sent.Add(-max(0, me.Age)); !sent.IsZero() && at.After(lo.confirmed) {
		lo.confirmed, lo.source = at, box
	}
	return unknown
}

func later(a, b revision.Revision) revision.Revision {
	if a.After(b) {
		return a
	}
	return b
}
