// Package claim makes first-come claims that outlive every box: the version a
// session started on, and the request an idempotency key belongs to. Claims
// are appended to a few logs in the key-value service by compare-and-swap, so
// two agents that both take themselves for a log's home cannot both win.
// Log does no I/O and reads no clock.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

const (
	// Prefix is where the logs live in the key-value service.
	Prefix = "linnetrudder/claims/"
	// Shards is how many logs there are.
	Shards = 32
	// ringSlots is how many documents a log has; the oldest is reused.
	ringSlots = 256
	// documentLines is how many claims fill a document.
	documentLines = 1500
	// Retention is how long a claim is kept at least.
	Retention = 4 * time.Hour
	// renewAfter is the age at which a claim that is still in use is kept
	// longer.
	renewAfter = Retention / 4
	// retryPause is the time between two calls after one failed.
	retryPause = 250 * time.Millisecond
)

// Shard returns the log that a key belongs to.
func Shard(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// documentKey returns the store's key of the document with a sequence number.
func documentKey(shard int, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", Prefix, shard, seq%ringSlots)
}

// ShardPrefix returns the prefix under which a log's documents live.
func ShardPrefix(shard int) string { return fmt.Sprintf("%s%d/", Prefix, shard) }

// Call says what a log needs from the key-value service.
type Call string

// The calls.
const (
	// Load reads all documents of the log.
	Load Call = "load"
	// Read reads the document under Key again.
	Read Call = "read"
	// Swap writes Value under Key if its index is still Index.
	Swap Call = "swap"
)

// Op is one call to make.
type Op struct {
	call  Call
	key   string
	value []byte
	index uint64
}

// Call returns which call to make.
func (op Op) Call() Call { return op.call }

// Key returns the key, or the prefix of a Load.
func (op Op) Key() string { return op.key }

// Value returns what to write.
func (op Op) Value() []byte { return op.value }

// Index returns what the key's index must be.
func (op Op) Index() uint64 { return op.index }

// Reply answers a claim.
type Reply struct {
	peer string
	line wire.ClaimLine
}

// Peer returns whom to answer.
func (re Reply) Peer() string { return re.peer }

// Line returns the claim with its winner and code.
func (re Reply) Line() wire.ClaimLine { return re.line }

// waiter is a peer that waits for a claim.
type waiter struct {
	peer string
	line wire.ClaimLine
	// until is when a claim that need not be durable is answered all the
	// same; zero for one that must be.
	until time.Time
	// giveUp is when it is refused.
	giveUp time.Time
}

// pending is a change of one key that is not durable yet: a claim, or the
// release of one.
type pending struct {
	hash uint64
	// value is what the key is claimed as, "" for a release.
	value string
	// of is the value that a release gives up.
	of string
	// renews is set for a claim that is held already and must be kept longer;
	// it is when that was asked.
	renews time.Time
}

// slot is what is known of one document's place in the ring.
type slot struct {
	index uint64
	// newest is when the last claim in it was made.
	newest time.Time
}

// Log is one log as its home holds it. Its exported fields are set before
// use; it is not safe for concurrent use.
type Log struct {
	// Shard is the log's number.
	Shard int
	// FlushInterval is the least time between two writes.
	FlushInterval time.Duration
	// ClaimTimeout is how long a claim waits to become durable before it is
	// refused.
	ClaimTimeout time.Duration

	// known holds the durable claims. Nothing leaves it before Retention but
	// by a release.
	known map[uint64]known
	// loaded is false until the store's documents were read.
	loaded bool
	// head is the document that is appended to; headIndex its store index.
	head      document
	headIndex uint64
	// ring holds what is known of each slot.
	ring map[uint64]slot
	// queue is in the order of arrival.
	queue []pending
	// queued holds the value that each key has once the queue is durable.
	queued  map[uint64]string
	waiters []waiter
	// busy is true while a call is under way.
	busy bool
	// writing is how many of the queue's first are in the write under way.
	writing int
	// uncertain is true from a swap until a read shows what the document
	// holds and under which index.
	uncertain bool
	// failing is true from a failed call to the next that is answered.
	failing   bool
	notBefore time.Time
	used      time.Time
}

// known is a durable claim.
type known struct {
	value string
	at    time.Time
}

// Claim takes a claim of a peer. wait bounds how long one that need not be
// durable waits. While the store gives no answer, a claim is refused at once.
func (lo *Log) Claim(peer string, li wire.ClaimLine, wait time.Duration, now time.Time) []Reply {
	lo.used = now
	hash := xxhash.Sum64String(li.Key)
	value, waits := lo.queued[hash]
	if kn, ok := lo.known[hash]; ok && !waits {
		if now.Sub(kn.at) > renewAfter {
			lo.enqueue(pending{hash: hash, value: kn.value, renews: now.Truncate(time.Second)})
		}
		return []Reply{won(peer, li, kn.value)}
	}
	wa := waiter{peer: peer, line: li, giveUp: now.Add(lo.ClaimTimeout)}
	if lo.failing && now.Before(lo.notBefore) && (li.Durable || !lo.loaded) {
		return []Reply{refused(wa)}
	}
	if !waits || value == "" {
		lo.enqueue(pending{hash: hash, value: li.Value})
	}
	if !li.Durable {
		wa.until = now.Add(wait)
	}
	lo.waiters = append(lo.waiters, wa)
	return nil
}

// Release gives up a claim whose request did not run, so that the key may be
// claimed again. It does nothing unless the key is held by this value.
func (lo *Log) Release(li wire.ClaimLine, now time.Time) {
	lo.used = now
	hash := xxhash.Sum64String(li.Key)
	value, waits := lo.queued[hash]
	if !waits {
		value = lo.known[hash].value
	}
	if value == li.Value && value != "" {
		lo.enqueue(pending{hash: hash, of: value})
	}
}

func (lo *Log) enqueue(pe pending) {
	if lo.queued == nil {
		lo.queued = map[uint64]string{}
	}
	lo.queued[pe.hash] = pe.value
	lo.queue = append(lo.queue, pe)
}

// Tick answers claims that have waited long enough: from memory where that is
// allowed, with a refusal where it is not.
func (lo *Log) Tick(now time.Time) []Reply {
	var res []Reply
	kept := lo.waiters[:0]
	for _, wa := range lo.waiters {
		hash := xxhash.Sum64String(wa.line.Key)
		switch {
		case lo.loaded && !wa.until.IsZero() && !now.Before(wa.until):
			res = append(res, won(wa.peer, wa.line, lo.queued[hash]))
		case !now.Before(wa.giveUp):
			res = append(res, refused(wa))
			// The claim may be in a write that lands; then it is released.
			lo.Release(wa.line, now)
		default:
			kept = append(kept, wa)
		}
	}
	lo.waiters = kept
	return res
}

// settle drops from the queue what is decided and answers its waiters.
func (lo *Log) settle() []Reply {
	lo.prune()
	var res []Reply
	kept := lo.waiters[:0]
	for _, wa := range lo.waiters {
		hash := xxhash.Sum64String(wa.line.Key)
		_, waits := lo.queued[hash]
		kn, ok := lo.known[hash]
		switch {
		case waits:
			kept = append(kept, wa)
		case ok:
			res = append(res, won(wa.peer, wa.line, kn.value))
		default:
			res = append(res, refused(wa))
		}
	}
	lo.waiters = kept
	return res
}

// prune drops each change that the durable claims have overtaken: a claim of
// a key that is held, and a release of what is not held any more.
func (lo *Log) prune() {
	queue := lo.queue[:0]
	queued := map[uint64]string{}
	for _, pe := range lo.queue {
		value, waits := queued[pe.hash]
		if !waits {
			value = lo.known[pe.hash].value
		}
		if lo.overtaken(pe, value) {
			continue
		}
		queue = append(queue, pe)
		queued[pe.hash] = pe.value
	}
	lo.queue, lo.queued = queue, queued
}

// overtaken reports whether a change has nothing to do any more, the key
// being held by the given value.
func (lo *Log) overtaken(pe pending, value string) bool {
	switch {
	case !pe.renews.IsZero():
		return value != pe.value || !lo.known[pe.hash].at.Before(pe.renews)
	case pe.value == "":
		return value != pe.of
	}
	return value != ""
}

// Active reports whether anything waits for the log or the store.
func (lo *Log) Active() bool {
	return len(lo.queue) > 0 || len(lo.waiters) > 0 || lo.busy
}

// Idle reports whether the log was not used since a time and owes nothing.
func (lo *Log) Idle(since time.Time) bool {
	return lo.used.Before(since) && !lo.Active()
}

// Len returns how many durable claims are held.
func (lo *Log) Len() int { return len(lo.known) }

func won(peer string, li wire.ClaimLine, winner string) Reply {
	co := result.OK
	if winner != li.Value {
		co = result.KeyAlreadyUsed
	}
	return Reply{peer: peer, line: wire.ClaimLine{Key: li.Key, Value: winner, Code: co}}
}

func refused(wa waiter) Reply {
	return Reply{peer: wa.peer, line: wire.ClaimLine{Key: wa.line.Key, Value: wa.line.Value, Code: result.ClaimsUnavailable}}
}
