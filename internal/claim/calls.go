package claim

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/kv"
)

// Next returns the request to send to the store now, if any.
func (lo *Log) Next(now time.Time) (Op, bool) {
	if lo.busy || now.Before(lo.notBefore) || len(lo.queue) == 0 && lo.loaded {
		return Op{}, false
	}
	op, err := lo.next(now)
	if err != nil {
		return Op{}, false
	}
	lo.busy = true
	return op, true
}

func (lo *Log) next(now time.Time) (Op, error) {
	switch {
	case !lo.loaded:
		return Op{call: Load, key: ShardPrefix(lo.Shard)}, nil
	case lo.needsRead:
		return Op{call: Read, key: documentKey(lo.Shard, lo.head.Seq)}, nil
	}
	if len(lo.head.Lines) >= maxDocumentLines && !lo.advance(now) {
		return Op{}, errLogFull
	}
	doc := document{Seq: lo.head.Seq, Lines: slices.Clone(lo.head.Lines)}
	lo.inFlight = min(len(lo.queue), maxDocumentLines-len(doc.Lines))
	for _, pe := range lo.queue[:lo.inFlight] {
		doc.Lines = append(doc.Lines, line{Hash: pe.hash, Value: pe.value, At: now.Unix()})
	}
	value, err := encode(doc)
	return Op{call: Swap, key: documentKey(lo.Shard, lo.head.Seq), value: value, index: lo.headIndex}, err
}

// errLogFull means that the oldest document of the ring has claims within Retention.
var errLogFull = eris.New("claim log is full")

// advance makes the next document the head if its slot has no claims within Retention, and removes
// expired claims from memory. It reports whether it did.
func (lo *Log) advance(now time.Time) bool {
	next := lo.ring[(lo.head.Seq+1)%ringSlots]
	if !next.newestAt.IsZero() && now.Sub(next.newestAt) < Retention {
		return false
	}
	lo.head = document{Seq: lo.head.Seq + 1}
	lo.headIndex = next.index
	for hash, dc := range lo.claims {
		if now.Sub(dc.at) > Retention {
			delete(lo.claims, hash)
		}
	}
	return true
}

// HandleLoad processes the answer to a Load and returns the replies to claims that it decides.
func (lo *Log) HandleLoad(pairs []kv.Pair, err error, now time.Time) []Reply {
	for _, pair := range pairs {
		err = errors.Join(err, pair.Err) // claims may be missing, which must not be granted again
	}
	if !lo.finishCall(err, now) {
		return nil
	}
	lo.claims = map[uint64]durableClaim{}
	lo.ring = map[uint64]slot{}
	lo.head, lo.headIndex = document{Seq: 1}, 0
	docs := make([]document, 0, len(pairs))
	for _, pair := range pairs {
		doc, err := decode(pair.Value)
		if err != nil {
			continue
		}
		docs = append(docs, doc)
		lo.setSlot(doc, pair.Index)
		if doc.Seq >= lo.head.Seq {
			lo.head, lo.headIndex = doc, pair.Index
		}
	}
	slices.SortFunc(docs, func(a, b document) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, doc := range docs {
		lo.apply(doc.Lines, now)
	}
	lo.loaded = true
	lo.needsRead = false
	return lo.answerDecided()
}

// HandleRead processes the answer to the Read after a Swap.
func (lo *Log) HandleRead(pair kv.Pair, err error, now time.Time) []Reply {
	if !lo.finishCall(err, now) {
		return nil
	}
	lo.needsRead = false
	lo.inFlight = 0
	doc, err := decode(pair.Value)
	switch {
	case pair.Index == 0 || err != nil || doc.Seq < lo.head.Seq:
		lo.headIndex = pair.Index
	case doc.Seq == lo.head.Seq:
		lo.apply(doc.Lines[min(len(lo.head.Lines), len(doc.Lines)):], now)
		lo.head, lo.headIndex = doc, pair.Index
		lo.setSlot(doc, pair.Index)
	default:
		// Other owners have overwritten the slot with a newer document: the ring has wrapped.
		lo.loaded = false
	}
	return lo.answerDecided()
}

// HandleSwap processes the answer to a Swap. made is false if another owner wrote first; after an
// error the write may or may not have been made.
func (lo *Log) HandleSwap(made bool, err error, now time.Time) []Reply {
	// The answer to a write doesn't contain the new index, so a read follows in any case.
	lo.needsRead = true
	if !lo.finishCall(err, now) || !made {
		return nil
	}
	lo.notBefore = now.Add(lo.FlushInterval)
	for _, pe := range lo.queue[:lo.inFlight] {
		li := line{Hash: pe.hash, Value: pe.value, At: now.Unix()}
		lo.head.Lines = append(lo.head.Lines, li)
		lo.apply([]line{li}, now)
	}
	lo.inFlight = 0
	return lo.answerDecided()
}

// finishCall records the outcome of a call and reports whether it succeeded.
func (lo *Log) finishCall(err error, now time.Time) bool {
	lo.busy = false
	lo.failing = err != nil
	if lo.failing {
		lo.notBefore = now.Add(retryDelay)
	}
	return !lo.failing
}

// setSlot records the stored document of a ring position.
func (lo *Log) setSlot(doc document, index uint64) {
	sl := slot{index: index}
	if n := len(doc.Lines); n > 0 {
		sl.newestAt = time.Unix(doc.Lines[n-1].At, 0)
	}
	lo.ring[doc.Seq%ringSlots] = sl
}

// apply updates the durable claims with lines, which are in the order of the log.
func (lo *Log) apply(lines []line, now time.Time) {
	for _, li := range lines {
		at := time.Unix(li.At, 0)
		switch {
		case li.Value == "" || now.Sub(at) > Retention:
			delete(lo.claims, li.Hash)
		default:
			lo.claims[li.Hash] = durableClaim{value: li.Value, at: at}
		}
	}
}
