package claim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

var start = time.Unix(1_800_000_000, 0)

var errLost = errors.New("answer lost")

// fakeStore is an in-memory key-value service.
type fakeStore struct {
	pairs map[string]kv.Pair
	index uint64
}

func (st *fakeStore) swap(key string, value []byte, index uint64) bool {
	if st.pairs[key].Index != index {
		return false
	}
	st.index++
	st.pairs[key] = kv.Pair{Key: key, Value: value, Index: st.index}
	return true
}

func (st *fakeStore) all() []kv.Pair {
	var pairs []kv.Pair
	for _, pair := range st.pairs {
		pairs = append(pairs, pair)
	}
	return pairs
}

// execute executes one call of a log with an outcome: "ok", "lost" (executed, but the answer is
// lost) or "down" (not executed).
func (st *fakeStore) execute(lo *Log, op Op, outcome string, now time.Time) []Reply {
	var err error
	if outcome != "ok" {
		err = errLost
	}
	switch op.Call() {
	case Load:
		return lo.HandleLoad(st.all(), err, now)
	case Read:
		return lo.HandleRead(st.pairs[op.Key()], err, now)
	}
	made := false
	if outcome != "down" {
		made = st.swap(op.Key(), op.Value(), op.Index())
	}
	return lo.HandleSwap(made, err, now)
}

// runAll executes a log's calls until it has none left, 20 at most.
func (st *fakeStore) runAll(lo *Log, now time.Time) []Reply {
	var res []Reply
	for range 20 {
		op, ok := lo.Next(now)
		if !ok {
			break
		}
		res = append(res, st.execute(lo, op, "ok", now)...)
	}
	return res
}

func newLog() *Log { return &Log{ClaimTimeout: time.Second} }

func durableLine(key, value string) wire.ClaimLine {
	return wire.ClaimLine{Key: key, Value: value, Durable: true}
}

func TestFirstClaimWinsAtEveryOwner(t *testing.T) {
	st := &fakeStore{pairs: map[string]kv.Pair{}}
	one, two := newLog(), newLog()
	require.Empty(t, one.Claim("e1", durableLine("k", "a"), 0, start))
	require.Empty(t, two.Claim("e2", durableLine("k", "b"), 0, start))
	first := st.runAll(one, start)
	second := st.runAll(two, start)
	require.Equal(t, result.OK, first[0].Line().Code)
	require.Equal(t, result.KeyAlreadyUsed, second[0].Line().Code)
	require.Equal(t, "a", second[0].Line().Value)
	third := newLog()
	third.Claim("e3", durableLine("k", "c"), 0, start)
	require.Equal(t, "a", st.runAll(third, start)[0].Line().Value, "a new owner loads it from the store")
}

// Guards against a key that is granted twice because the claim for it could not be read.
func TestUnreadableDocumentGrantsNothing(t *testing.T) {
	st := &fakeStore{pairs: map[string]kv.Pair{"odd": {Key: "odd", Err: errLost}}}
	lo := newLog()
	lo.Claim("e1", durableLine("k", "a"), 0, start)
	for _, re := range st.runAll(lo, start) {
		require.NotEqual(t, result.OK, re.Line().Code)
	}
	require.False(t, lo.loaded)
}

func TestReleaseFreesKey(t *testing.T) {
	st := &fakeStore{pairs: map[string]kv.Pair{}}
	lo := newLog()
	lo.Claim("e", durableLine("k", "a"), 0, start)
	st.runAll(lo, start)
	lo.Release(durableLine("k", "other"), start)
	require.Equal(t, result.KeyAlreadyUsed, lo.Claim("e", durableLine("k", "b"), 0, start)[0].Line().Code)
	lo.Release(durableLine("k", "a"), start)
	require.Empty(t, lo.Claim("e", durableLine("k", "b"), 0, start))
	res := st.runAll(lo, start)
	require.Equal(t, result.OK, res[0].Line().Code)
	fresh := newLog()
	fresh.Claim("e", durableLine("k", "c"), 0, start)
	require.Equal(t, "b", st.runAll(fresh, start)[0].Line().Value)
}

func TestClaimsDuringStoreOutage(t *testing.T) {
	st := &fakeStore{pairs: map[string]kv.Pair{}}
	lo := newLog()
	lo.Claim("e", durableLine("known", "a"), 0, start)
	st.runAll(lo, start)
	lo.Claim("e", durableLine("new", "a"), 0, start)
	op, ok := lo.Next(start)
	require.True(t, ok)
	st.execute(lo, op, "down", start)
	res := lo.Claim("e", durableLine("other", "a"), 0, start)
	require.Equal(t, result.ClaimsUnavailable, res[0].Line().Code, "refused at once")
	res = lo.Claim("e", durableLine("known", "b"), 0, start)
	require.Equal(t, "a", res[0].Line().Value, "durable claims are answered from memory")
	session := wire.ClaimLine{Key: "session", Value: "v1"}
	require.Empty(t, lo.Claim("e", session, 100*time.Millisecond, start))
	res = lo.Tick(start.Add(100 * time.Millisecond))
	require.Equal(t, "v1", res[0].Line().Value, "a claim that need not be durable is answered from memory")
	res = lo.Tick(start.Add(time.Second))
	require.Equal(t, result.ClaimsUnavailable, res[0].Line().Code)
	later := st.runAll(lo, start.Add(time.Minute))
	require.Empty(t, later, "all claims have been answered")
	require.Empty(t, lo.Claim("e", durableLine("new", "b"), 0, start.Add(time.Minute)), "the refused claim was released")
}

func TestUnloadedLogGrantsNothing(t *testing.T) {
	st := &fakeStore{pairs: map[string]kv.Pair{}}
	lo := newLog()
	lo.Claim("e", wire.ClaimLine{Key: "session", Value: "v2"}, time.Millisecond, start)
	op, _ := lo.Next(start)
	st.execute(lo, op, "down", start)
	require.Empty(t, lo.Tick(start.Add(time.Millisecond)), "the store may hold a claim of the session for another version")
	res := lo.Tick(start.Add(time.Second))
	require.Equal(t, result.ClaimsUnavailable, res[0].Line().Code)
}

func TestLogContinuesInNextDocument(t *testing.T) {
	st := &fakeStore{pairs: map[string]kv.Pair{}}
	lo := newLog()
	now := start
	for i := range 4000 {
		lo.Claim("e", durableLine(fmt.Sprintf("k%d", i), "v"), 0, now)
	}
	require.Len(t, st.runAll(lo, now), 4000)
	require.Len(t, st.pairs, 3)
	fresh := newLog()
	fresh.Claim("e", durableLine("k1", "other"), 0, now)
	require.Equal(t, "v", st.runAll(fresh, now)[0].Line().Value)
	require.Equal(t, 4000, fresh.Len())
}

func TestClaimInUseIsRenewed(t *testing.T) {
	st := &fakeStore{pairs: map[string]kv.Pair{}}
	lo := newLog()
	now := start
	lo.Claim("e", durableLine("k", "v1"), 0, now)
	st.runAll(lo, now)
	for range 8 {
		now = now.Add(Retention / 2)
		require.Equal(t, "v1", lo.Claim("e", durableLine("k", "v2"), 0, now)[0].Line().Value)
		st.runAll(lo, now)
	}
	fresh := newLog()
	fresh.Claim("e", durableLine("k", "v2"), 0, now)
	require.Equal(t, "v1", st.runAll(fresh, now)[0].Line().Value)
}

// operation is one claim or release of a client.
type operation struct {
	key, value string
	release    bool
}

// unknownOutcome is the outcome of a claim that was refused or not answered: it may have been
// stored nevertheless.
const unknownOutcome = "?"

// model is the sequential specification: a key is claimed by at most one value at a time.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, op, won := state.(string), input.(operation), output.(string)
		if op.release {
			if holder == op.value {
				holder = ""
			}
			return true, holder
		}
		if holder == "" {
			holder = op.value
		}
		return won == unknownOutcome || won == holder, holder
	},
}

// TestClaimsAreLinearizable runs three owners of one log against one store with lost answers,
// outages and races, and checks the answers of the clients. Owners that answer from their own
// memory alone violate the same specification.
func TestClaimsAreLinearizable(t *testing.T) {
	naiveViolations := 0
	rapid.Check(t, func(rt *rapid.T) {
		st := &fakeStore{pairs: map[string]kv.Pair{}}
		owners := []*Log{newLog(), newLog(), newLog()}
		var history []porcupine.Operation
		calls := map[string]porcupine.Operation{}
		naive := []map[string]string{{}, {}, {}}
		winners := map[string]map[string]bool{}
		// won holds the granted claims that have not been released.
		var won []operation
		clock := int64(0)
		now := start
		record := func(replies []Reply) {
			for _, re := range replies {
				clock++
				op := calls[re.Peer()]
				if re.Line().Code == result.ClaimsUnavailable {
					continue
				}
				op.Output, op.Return = re.Line().Value, clock
				history = append(history, op)
				delete(calls, re.Peer())
				if re.Line().Code == result.OK {
					won = append(won, op.Input.(operation))
				}
			}
		}
		for i := range rapid.IntRange(5, 60).Draw(rt, "events") {
			clock++
			now = now.Add(100 * time.Millisecond)
			h := rapid.IntRange(0, 2).Draw(rt, "owner")
			lo := owners[h]
			switch rapid.SampledFrom([]string{"claim", "claim", "call", "call", "call", "release", "restart"}).Draw(rt, "event") {
			case "claim":
				client := fmt.Sprintf("c%d", i)
				key := rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "key")
				calls[client] = porcupine.Operation{ClientId: i, Input: operation{key: key, value: client}, Call: clock}
				record(lo.Claim(client, durableLine(key, client), 0, now))
				if naive[h][key] == "" {
					naive[h][key] = client
				}
				if winners[key] == nil {
					winners[key] = map[string]bool{}
				}
				winners[key][naive[h][key]] = true
			case "call":
				if op, ok := lo.Next(now); ok {
					outcome := rapid.SampledFrom([]string{"ok", "ok", "lost", "down"}).Draw(rt, "outcome")
					record(st.execute(lo, op, outcome, now))
				}
			case "release":
				if len(won) > 0 {
					op := won[0]
					won = won[1:]
					op.release = true
					lo.Release(wire.ClaimLine{Key: op.key, Value: op.value}, now)
					calls[fmt.Sprintf("r%d", i)] = porcupine.Operation{ClientId: i, Input: op, Call: clock}
				}
			case "restart":
				owners[h] = newLog()
			}
		}
		for _, op := range calls {
			op.Output, op.Return = unknownOutcome, clock+1
			history = append(history, op)
		}
		require.True(rt, porcupine.CheckOperations(model, history))
		for _, all := range winners {
			if len(all) > 1 {
				naiveViolations++
			}
		}
	})
	require.Positive(t, naiveViolations, "the naive owners must have granted one key twice")
}

func FuzzDecode(f *testing.F) {
	good, err := encode(document{Seq: 1, Lines: []line{{Hash: 1, Value: "v", At: 2}}})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := decode(data)
		if err != nil {
			return
		}
		again, err := encode(doc)
		require.NoError(t, err)
		back, err := decode(again)
		require.NoError(t, err)
		require.Equal(t, doc.Seq, back.Seq)
		require.Len(t, back.Lines, len(doc.Lines))
	})
}

func BenchmarkClaim(b *testing.B) {
	st := &fakeStore{pairs: map[string]kv.Pair{}}
	lo := newLog()
	b.ReportAllocs()
	for i := range b.N {
		lo.Claim("e", durableLine(fmt.Sprintf("k%d", i), "menu@v1"), 0, start)
		if i%50 == 0 {
			st.runAll(lo, start)
		}
	}
	b.ReportMetric(float64(st.bytes())/float64(b.N), "stored-B/op")
}

func (st *fakeStore) bytes() int {
	n := 0
	for _, pair := range st.pairs {
		n += len(pair.Value)
	}
	return n
}
