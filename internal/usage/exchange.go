package usage

import "time"

// Message carries counts from one process to another. The fields are exported because the codec
// needs them.
type Message struct {
	// Process identifies the sender.
	Process uint64 `cbor:"1,keyasint"`
	// Entries holds entries that the receiver does not have yet.
	Entries []Entry `cbor:"2,keyasint,omitempty"`
	// Next is the sequence number of the sender to continue from.
	Next uint64 `cbor:"3,keyasint,omitempty"`
	// Received is the sequence number up to which the sender has the entries of the process
	// ReceivedOf, the receiver.
	Received   uint64 `cbor:"4,keyasint,omitempty"`
	ReceivedOf uint64 `cbor:"5,keyasint,omitempty"`
	// WallMicros is the sender's time of day in Unix microseconds: of a collector to a gateway of its group,
	// the time that it determined from several machines, and otherwise that of its own clock.
	WallMicros int64 `cbor:"6,keyasint"`
}

// Cursor is the state of the exchange with one other process.
type Cursor struct {
	// peer identifies the other process, zero before its first reply.
	peer uint64
	// sent is the sequence number up to which the other process has this one's entries, received the
	// one up to which this process has the other's.
	sent, received uint64
}

// Outgoing returns the message to another process. needed is set if that process needs counts.
func (ru *Runner) Outgoing(cu Cursor, needed bool) *Message {
	me := &Message{Process: ru.Process, Received: cu.received, ReceivedOf: cu.peer, Next: cu.sent}
	ru.locked(func(now time.Time) {
		if needed {
			me.Entries, me.Next = ru.ledger.Since(cu.sent, cu.peer)
		}
		me.WallMicros = ru.time.Own(now).UnixMicro()
	})
	return me
}

// Replied applies the reply to a message that was sent, and returns the cursor to continue with.
// collector is set if the reply comes from the collector of this gateway's group.
func (ru *Runner) Replied(cu Cursor, sent, reply *Message, collector bool) Cursor {
	if reply == nil {
		return cu
	}
	next := Cursor{peer: reply.Process, sent: sent.Next, received: reply.Next}
	if reply.Process != cu.peer {
		next.sent = 0 // the process has started since, and lacks what its predecessor received
	}
	ru.locked(func(now time.Time) {
		ru.ledger.Merge(reply.Entries, reply.Process)
		if collector {
			ru.time.SetReference(time.UnixMicro(reply.WallMicros), now)
		} else {
			ru.time.ObservePeer(reply.Process, time.UnixMicro(reply.WallMicros), now)
		}
	})
	return next
}

// Receive applies a message and returns the reply to it. group is set if the sender is a gateway of
// this collector's group, needed if the sender needs counts.
func (ru *Runner) Receive(me *Message, group, needed bool) *Message {
	if me == nil {
		return nil
	}
	reply := &Message{Process: ru.Process}
	if me.ReceivedOf == ru.Process {
		reply.Next = me.Received
	}
	ru.locked(func(now time.Time) {
		ru.ledger.Merge(me.Entries, me.Process)
		ru.time.ObservePeer(me.Process, time.UnixMicro(me.WallMicros), now)
		if needed {
			reply.Entries, reply.Next = ru.ledger.Since(reply.Next, me.Process)
		}
		at := ru.time.Own(now)
		if group {
			at = ru.time.Now(now)
		}
		reply.WallMicros = at.UnixMicro()
	})
	return reply
}
