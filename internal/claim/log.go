// Package claim implements durable first-come claims on keys: the version that a session started
// on, and the request that an idempotency key belongs to. Claims are appended by compare-and-swap
// to a fixed number of logs (shards) in the key-value service, so that they survive the loss of
// any box and two agents that both act as the owner of a log can't grant one key twice.
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
	// Prefix is the key prefix of the logs in the key-value service.
	Prefix = "linnetrudder/claims/"
	// Shards is the number of logs.
	Shards = 32
	// ringSlots is the number of documents in a log; the oldest is overwritten.
	ringSlots = 256
	// maxDocumentLines is the number of claims in a full document.
	maxDocumentLines = 1500
	// Retention is the minimum time for which a claim is stored.
	Retention = 4 * time.Hour
	// renewAfter is the age from which a claim that is used again is written again.
	renewAfter = Retention / 4
	// retryDelay is the time until the next call after a failed one.
	retryDelay = 250 * time.Millisecond
)

// Shard returns the number of the log that a key belongs to.
func Shard(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// documentKey returns the key under which the document with a sequence number is stored.
func documentKey(shard int, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", Prefix, shard, seq%ringSlots)
}

// ShardPrefix returns the key prefix of a log's documents.
func ShardPrefix(shard int) string { return fmt.Sprintf("%s%d/", Prefix, shard) }

// Call is a kind of request to the key-value service.
type Call string

// The kinds of requests.
const (
	// Load reads all documents of the log.
	Load Call = "load"
	// Read reads the document under Key.
	Read Call = "read"
	// Swap is a compare-and-swap: it writes Value under Key if the key's modify index is Index.
	Swap Call = "swap"
)

// Op is a request that the caller of Next sends to the key-value service.
type Op struct {
	call  Call
	key   string
	value []byte
	index uint64
}

// Call returns the kind of the request.
func (op Op) Call() Call { return op.call }

// Key returns the key, or the key prefix of a Load.
func (op Op) Key() string { return op.key }

// Value returns the value that a Swap writes.
func (op Op) Value() []byte { return op.value }

// Index returns the modify index that a Swap expects.
func (op Op) Index() uint64 { return op.index }

// Reply is the answer to a claim.
type Reply struct {
	peer string
	line wire.ClaimLine
}

// Peer returns the peer that made the claim.
func (re Reply) Peer() string { return re.peer }

// Line returns the claim with the value that holds the key, and a result code.
func (re Reply) Line() wire.ClaimLine { return re.line }

// waiter is a claim that has not been answered yet.
type waiter struct {
	peer string
	line wire.ClaimLine
	// answerBy is when a claim that need not be durable is answered from memory; zero for one that
	// must be durable.
	answerBy time.Time
	// refuseAt is when the claim is refused if it has not been decided.
	refuseAt time.Time
}

// pending is a change of one key that is not durable yet: a claim, a renewal or a release.
type pending struct {
	hash uint64
	// value is the claimed value, "" for a release.
	value string
	// releases is the value that a release removes.
	releases string
	// renewedAt is set for the renewal of a durable claim: the time at which it was requested.
	renewedAt time.Time
}

// slot describes the document that is stored at one position of the ring.
type slot struct {
	// index is the document's modify index in the store.
	index uint64
	// newestAt is the time of the document's last claim or release.
	newestAt time.Time
}

// Log is the state of one log in the agent that owns it. Its exported fields are set before use;
// it is not safe for concurrent use.
type Log struct {
	// Shard is the log's number.
	Shard int
	// FlushInterval is the minimum time between two writes.
	FlushInterval time.Duration
	// ClaimTimeout is how long a claim may wait to become durable before it is refused.
	ClaimTimeout time.Duration

	// claims holds the durable claims by the hash of their key. A claim is removed before Retention
	// only by a release.
	claims map[uint64]durableClaim
	// loaded is false until the log's documents have been read from the store.
	loaded bool
	// head is the document that claims are appended to, headIndex its modify index in the store.
	head      document
	headIndex uint64
	// ring holds the stored documents by their position in the ring.
	ring map[uint64]slot
	// queue holds the changes that are not durable yet, in order of arrival.
	queue []pending
	// queued holds, by the hash of the key, the value that a key has once the queue is durable.
	queued  map[uint64]string
	waiters []waiter
	// busy is true while a call is in progress.
	busy bool
	// inFlight is the number of changes, from the front of the queue, in the write in progress.
	inFlight int
	// needsRead is true from a swap until a read has shown the document's content and index.
	needsRead bool
	// failing is true after a failed call until one succeeds.
	failing bool
	// notBefore is the earliest time of the next call.
	notBefore time.Time
	lastUsed  time.Time
}

// durableClaim is a claim that is in the store.
type durableClaim struct {
	value string
	at    time.Time
}

// Claim adds a peer's claim and returns the answer if it is known already. wait bounds the time for
// which a claim that need not be durable waits. While calls to the store fail, a claim that must be
// durable is refused immediately, and any claim if the log has not been loaded.
func (lo *Log) Claim(peer string, li wire.ClaimLine, wait time.Duration, now time.Time) []Reply {
	lo.lastUsed = now
	hash := xxhash.Sum64String(li.Key)
	value, isQueued := lo.queued[hash]
	if dc, ok := lo.claims[hash]; ok && !isQueued {
		if now.Sub(dc.at) > renewAfter {
			lo.enqueue(pending{hash: hash, value: dc.value, renewedAt: now.Truncate(time.Second)})
		}
		return []Reply{newReply(peer, li, dc.value)}
	}
	wa := waiter{peer: peer, line: li, refuseAt: now.Add(lo.ClaimTimeout)}
	if lo.failing && now.Before(lo.notBefore) && (li.Durable || !lo.loaded) {
		return []Reply{newRefusal(wa)}
	}
	if !isQueued || value == "" {
		lo.enqueue(pending{hash: hash, value: li.Value})
	}
	if !li.Durable {
		wa.answerBy = now.Add(wait)
	}
	lo.waiters = append(lo.waiters, wa)
	return nil
}

// Release removes the claim of a request that did not run, so that the key may be claimed again. It
// does nothing if the key is claimed by another value.
func (lo *Log) Release(li wire.ClaimLine, now time.Time) {
	lo.lastUsed = now
	hash := xxhash.Sum64String(li.Key)
	value, isQueued := lo.queued[hash]
	if !isQueued {
		value = lo.claims[hash].value
	}
	if value == li.Value && value != "" {
		lo.enqueue(pending{hash: hash, releases: value})
	}
}

func (lo *Log) enqueue(pe pending) {
	if lo.queued == nil {
		lo.queued = map[uint64]string{}
	}
	lo.queued[pe.hash] = pe.value
	lo.queue = append(lo.queue, pe)
}

// Tick answers the claims whose wait is over: from memory if they need not be durable and the log
// is loaded, with a refusal otherwise.
func (lo *Log) Tick(now time.Time) []Reply {
	var res []Reply
	remaining := lo.waiters[:0]
	for _, wa := range lo.waiters {
		hash := xxhash.Sum64String(wa.line.Key)
		switch {
		case lo.loaded && !wa.answerBy.IsZero() && !now.Before(wa.answerBy):
			res = append(res, newReply(wa.peer, wa.line, lo.queued[hash]))
		case !now.Before(wa.refuseAt):
			res = append(res, newRefusal(wa))
			// The claim may be in a write that succeeds later, so release it.
			lo.Release(wa.line, now)
		default:
			remaining = append(remaining, wa)
		}
	}
	lo.waiters = remaining
	return res
}

// answerDecided removes obsolete changes from the queue and answers the claims on keys that have
// no change queued.
func (lo *Log) answerDecided() []Reply {
	lo.pruneQueue()
	var res []Reply
	remaining := lo.waiters[:0]
	for _, wa := range lo.waiters {
		hash := xxhash.Sum64String(wa.line.Key)
		_, isQueued := lo.queued[hash]
		dc, ok := lo.claims[hash]
		switch {
		case isQueued:
			remaining = append(remaining, wa)
		case ok:
			res = append(res, newReply(wa.peer, wa.line, dc.value))
		default:
			res = append(res, newRefusal(wa))
		}
	}
	lo.waiters = remaining
	return res
}

// pruneQueue removes the changes that the durable claims have made obsolete: a claim of a key that
// is claimed already, and a release of a value that no longer holds its key.
func (lo *Log) pruneQueue() {
	queue := lo.queue[:0]
	queued := map[uint64]string{}
	for _, pe := range lo.queue {
		value, isQueued := queued[pe.hash]
		if !isQueued {
			value = lo.claims[pe.hash].value
		}
		if lo.isObsolete(pe, value) {
			continue
		}
		queue = append(queue, pe)
		queued[pe.hash] = pe.value
	}
	lo.queue, lo.queued = queue, queued
}

// isObsolete reports whether a change has no effect on a key that is claimed by the given value.
func (lo *Log) isObsolete(pe pending, value string) bool {
	switch {
	case !pe.renewedAt.IsZero():
		return value != pe.value || !lo.claims[pe.hash].at.Before(pe.renewedAt)
	case pe.value == "":
		return value != pe.releases
	}
	return value != ""
}

// Active reports whether there are queued changes, unanswered claims or a call in progress.
func (lo *Log) Active() bool {
	return len(lo.queue) > 0 || len(lo.waiters) > 0 || lo.busy
}

// Idle reports whether the log has not been used since the given time and is not active.
func (lo *Log) Idle(since time.Time) bool {
	return lo.lastUsed.Before(since) && !lo.Active()
}

// Len returns the number of durable claims in memory.
func (lo *Log) Len() int { return len(lo.claims) }

func newReply(peer string, li wire.ClaimLine, winner string) Reply {
	co := result.OK
	if winner != li.Value {
		co = result.KeyAlreadyUsed
	}
	return Reply{peer: peer, line: wire.ClaimLine{Key: li.Key, Value: winner, Code: co}}
}

func newRefusal(wa waiter) Reply {
	return Reply{peer: wa.peer, line: wire.ClaimLine{Key: wa.line.Key, Value: wa.line.Value, Code: result.ClaimsUnavailable}}
}
