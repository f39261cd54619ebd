package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/kv"
)

// Next returns the call to make now, if any.
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
	case lo.uncertain:
		return Op{call: Read, key: documentKey(lo.Shard, lo.head.Seq)}, nil
	}
	if len(lo.head.Lines) >= documentLines && !lo.turn(now) {
		return Op{}, errFull
	}
	doc := document{Seq: lo.head.Seq, Lines: slices.Clone(lo.head.Lines)}
	lo.writing = min(len(lo.queue), documentLines-len(doc.Lines))
	for _, pe := range lo.queue[:lo.writing] {
		doc.Lines = append(doc.Lines, line{Hash: pe.hash, Value: pe.value, At: now.Unix()})
	}
	value, err := encode(doc)
	return Op{call: Swap, key: documentKey(lo.Shard, lo.head.Seq), value: value, index: lo.headIndex}, err
}

// errFull says that the ring holds no document old enough to be reused.
var errFull = eris.New("claim log is full")

// turn goes on to the next document if its slot holds nothing that must be
// kept, and forgets claims that are past their time.
func (lo *Log) turn(now time.Time) bool {
	next := lo.ring[(lo.head.Seq+1)%ringSlots]
	if !next.newest.IsZero() && now.Sub(next.newest) < Retention {
		return false
	}
	lo.head = document{Seq: lo.head.Seq + 1}
	lo.headIndex = next.index
	for hash, kn := range lo.known {
		if now.Sub(kn.at) > Retention {
			delete(lo.known, hash)
		}
	}
	return true
}

// HandleLoad takes the answer to a Load.
func (lo *Log) HandleLoad(pairs []kv.Pair, err error, now time.Time) []Reply {
	if !lo.answered(err, now) {
		return nil
	}
	lo.known = map[uint64]known{}
	lo.ring = map[uint64]slot{}
	lo.head, lo.headIndex = document{Seq: 1}, 0
	docs := make([]document, 0, len(pairs))
	for _, pair := range pairs {
		doc, err := decode(pair.Value)
		if err != nil {
			continue
		}
		docs = append(docs, doc)
		lo.note(doc, pair.Index)
		if doc.Seq >= lo.head.Seq {
			lo.head, lo.headIndex = doc, pair.Index
		}
	}
	slices.SortFunc(docs, func(a, b document) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, doc := range docs {
		lo.learn(doc.Lines, now)
	}
	lo.loaded = true
	lo.uncertain = false
	return lo.settle()
}

// HandleRead takes the answer to a HandleRead after a swap.
func (lo *Log) HandleRead(pair kv.Pair, err error, now time.Time) []Reply {
	if !lo.answered(err, now) {
		return nil
	}
	lo.uncertain = false
	lo.writing = 0
	doc, err := decode(pair.Value)
	switch {
	case pair.Index == 0 || err != nil || doc.Seq < lo.head.Seq:
		lo.headIndex = pair.Index
	case doc.Seq == lo.head.Seq:
		lo.learn(doc.Lines[min(len(lo.head.Lines), len(doc.Lines)):], now)
		lo.head, lo.headIndex = doc, pair.Index
		lo.note(doc, pair.Index)
	default:
		// The ring went all round while this home was away.
		lo.loaded = false
	}
	return lo.settle()
}

// HandleSwap takes the answer to a Swap. made is false if another home wrote
// first; with an error the write may or may not have landed.
func (lo *Log) HandleSwap(made bool, err error, now time.Time) []Reply {
	// The index after a write is not in its answer, so a read comes next in
	// any case.
	lo.uncertain = true
	if !lo.answered(err, now) || !made {
		return nil
	}
	lo.notBefore = now.Add(lo.FlushInterval)
	for _, pe := range lo.queue[:lo.writing] {
		li := line{Hash: pe.hash, Value: pe.value, At: now.Unix()}
		lo.head.Lines = append(lo.head.Lines, li)
		lo.learn([]line{li}, now)
	}
	lo.writing = 0
	return lo.settle()
}

// answered notes how a call went. It reports whether it was answered.
func (lo *Log) answered(err error, now time.Time) bool {
	lo.busy = false
	lo.failing = err != nil
	if lo.failing {
		lo.notBefore = now.Add(retryPause)
	}
	return !lo.failing
}

func (lo *Log) note(doc document, index uint64) {
	sl := slot{index: index}
	if n := len(doc.Lines); n > 0 {
		sl.newest = time.Unix(doc.Lines[n-1].At, 0)
	}
	lo.ring[doc.Seq%ringSlots] = sl
}

// learn applies lines in the order of the log.
func (lo *Log) learn(lines []line, now time.Time) {
	for _, li := range lines {
		at := time.Unix(li.At, 0)
		switch {
		case li.Value == "" || now.Sub(at) > Retention:
			delete(lo.known, li.Hash)
		default:
			lo.known[li.Hash] = known{value: li.Value, at: at}
		}
	}
}
