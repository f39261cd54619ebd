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

// memory is a key-value service in memory.
type memory struct {
	pairs map[string]kv.Pair
	index uint64
}

func (me *memory) swap(key string, value []byte, index uint64) bool {
	if me.pairs[key].Index != index {
		return false
	}
	me.index++
	me.pairs[key] = kv.Pair{Key: key, Value: value, Index: me.index}
	return true
}

func (me *memory) all() []kv.Pair {
	var pairs []kv.Pair
	for _, pair := range me.pairs {
		pairs = append(pairs, pair)
	}
	return pairs
}

// answer makes one call for a log. fate says what becomes of it.
func (me *memory) answer(lo *Log, op Op, fate string, now time.Time) []Reply {
	var err error
	if fate != "ok" {
		err = errLost
	}
	switch op.Call() {
	case Load:
		return lo.HandleLoad(me.all(), err, now)
	case Read:
		return lo.HandleRead(me.pairs[op.Key()], err, now)
	}
	made := false
	if fate != "down" {
		made = me.swap(op.Key(), op.Value(), op.Index())
	}
	return lo.HandleSwap(made, err, now)
}

// run lets a log make calls until it has nothing to do.
func (me *memory) run(lo *Log, now time.Time) []Reply {
	var res []Reply
	for range 20 {
		op, ok := lo.Next(now)
		if !ok {
			break
		}
		res = append(res, me.answer(lo, op, "ok", now)...)
	}
	return res
}

func newLog() *Log { return &Log{ClaimTimeout: time.Second} }

func claimOf(key, value string) wire.ClaimLine {
	return wire.ClaimLine{Key: key, Value: value, Durable: true}
}

func TestTheFirstClaimWinsAtEveryHome(t *testing.T) {
	me := &memory{pairs: map[string]kv.Pair{}}
	one, two := newLog(), newLog()
	require.Empty(t, one.Claim("e1", claimOf("k", "a"), 0, start))
	require.Empty(t, two.Claim("e2", claimOf("k", "b"), 0, start))
	first := me.run(one, start)
	second := me.run(two, start)
	require.Equal(t, result.OK, first[0].Line().Code)
	require.Equal(t, result.KeyAlreadyUsed, second[0].Line().Code)
	require.Equal(t, "a", second[0].Line().Value)
	third := newLog()
	third.Claim("e3", claimOf("k", "c"), 0, start)
	require.Equal(t, "a", me.run(third, start)[0].Line().Value, "a new home finds it in the store")
}

func TestARefusedRequestGivesItsKeyBack(t *testing.T) {
	me := &memory{pairs: map[string]kv.Pair{}}
	lo := newLog()
	lo.Claim("e", claimOf("k", "a"), 0, start)
	me.run(lo, start)
	lo.Release(claimOf("k", "other"), start)
	require.Equal(t, result.KeyAlreadyUsed, lo.Claim("e", claimOf("k", "b"), 0, start)[0].Line().Code)
	lo.Release(claimOf("k", "a"), start)
	require.Empty(t, lo.Claim("e", claimOf("k", "b"), 0, start))
	res := me.run(lo, start)
	require.Equal(t, result.OK, res[0].Line().Code)
	fresh := newLog()
	fresh.Claim("e", claimOf("k", "c"), 0, start)
	require.Equal(t, "b", me.run(fresh, start)[0].Line().Value)
}

func TestWhileTheStoreIsDown(t *testing.T) {
	me := &memory{pairs: map[string]kv.Pair{}}
	lo := newLog()
	lo.Claim("e", claimOf("known", "a"), 0, start)
	me.run(lo, start)
	lo.Claim("e", claimOf("new", "a"), 0, start)
	op, ok := lo.Next(start)
	require.True(t, ok)
	me.answer(lo, op, "down", start)
	res := lo.Claim("e", claimOf("other", "a"), 0, start)
	require.Equal(t, result.ClaimsUnavailable, res[0].Line().Code, "refused at once")
	res = lo.Claim("e", claimOf("known", "b"), 0, start)
	require.Equal(t, "a", res[0].Line().Value, "what is durable is still known")
	session := wire.ClaimLine{Key: "session", Value: "v1"}
	require.Empty(t, lo.Claim("e", session, 100*time.Millisecond, start))
	res = lo.Tick(start.Add(100 * time.Millisecond))
	require.Equal(t, "v1", res[0].Line().Value, "a session may start from memory")
	res = lo.Tick(start.Add(time.Second))
	require.Equal(t, result.ClaimsUnavailable, res[0].Line().Code)
	later := me.run(lo, start.Add(time.Minute))
	require.Empty(t, later, "nobody waits any more")
	require.Empty(t, lo.Claim("e", claimOf("new", "b"), 0, start.Add(time.Minute)), "the refused claim was given back")
}

func TestAnUnloadedHomeInventsNothing(t *testing.T) {
	me := &memory{pairs: map[string]kv.Pair{}}
	lo := newLog()
	lo.Claim("e", wire.ClaimLine{Key: "session", Value: "v2"}, time.Millisecond, start)
	op, _ := lo.Next(start)
	me.answer(lo, op, "down", start)
	require.Empty(t, lo.Tick(start.Add(time.Millisecond)), "the session may have started on another version")
	res := lo.Tick(start.Add(time.Second))
	require.Equal(t, result.ClaimsUnavailable, res[0].Line().Code)
}

func TestAFullLogGoesOnAndKeepsWhatItMust(t *testing.T) {
	me := &memory{pairs: map[string]kv.Pair{}}
	lo := newLog()
	now := start
	for i := range 4000 {
		lo.Claim("e", claimOf(fmt.Sprintf("k%d", i), "v"), 0, now)
	}
	require.Len(t, me.run(lo, now), 4000)
	require.Len(t, me.pairs, 3)
	fresh := newLog()
	fresh.Claim("e", claimOf("k1", "other"), 0, now)
	require.Equal(t, "v", me.run(fresh, now)[0].Line().Value)
	require.Equal(t, 4000, fresh.Len())
}

func TestAClaimInUseIsKeptLonger(t *testing.T) {
	me := &memory{pairs: map[string]kv.Pair{}}
	lo := newLog()
	now := start
	lo.Claim("e", claimOf("k", "v1"), 0, now)
	me.run(lo, now)
	for range 8 {
		now = now.Add(Retention / 2)
		require.Equal(t, "v1", lo.Claim("e", claimOf("k", "v2"), 0, now)[0].Line().Value)
		me.run(lo, now)
	}
	fresh := newLog()
	fresh.Claim("e", claimOf("k", "v2"), 0, now)
	require.Equal(t, "v1", me.run(fresh, now)[0].Line().Value)
}

// operation is one claim or release as a client saw it.
type operation struct {
	key, value string
	release    bool
}

// unknown is the outcome of a claim that got no answer or was refused: it may
// have landed all the same.
const unknown = "?"

// model is the contract: a key is held by at most one value at a time.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
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
		return won == unknown || won == holder, holder
	},
}

// TestClaimsAreLinearizable drives three homes of one log over one store that
// loses answers, is down and lets them race, and checks the answers that
// clients got. A naive home that trusts its memory breaks the same contract.
func TestClaimsAreLinearizable(t *testing.T) {
	naiveBroken := 0
	rapid.Check(t, func(rt *rapid.T) {
		me := &memory{pairs: map[string]kv.Pair{}}
		homes := []*Log{newLog(), newLog(), newLog()}
		var history []porcupine.Operation
		calls := map[string]porcupine.Operation{}
		naive := []map[string]string{{}, {}, {}}
		winners := map[string]map[string]bool{}
		// won holds the claims that were won and may be released.
		var won []operation
		clock := int64(0)
		now := start
		got := func(res []Reply) {
			for _, re := range res {
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
			h := rapid.IntRange(0, 2).Draw(rt, "home")
			lo := homes[h]
			switch rapid.SampledFrom([]string{"claim", "claim", "call", "call", "call", "release", "restart"}).Draw(rt, "event") {
			case "claim":
				client := fmt.Sprintf("c%d", i)
				key := rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "key")
				calls[client] = porcupine.Operation{ClientId: i, Input: operation{key: key, value: client}, Call: clock}
				got(lo.Claim(client, claimOf(key, client), 0, now))
				if naive[h][key] == "" {
					naive[h][key] = client
				}
				if winners[key] == nil {
					winners[key] = map[string]bool{}
				}
				winners[key][naive[h][key]] = true
			case "call":
				if op, ok := lo.Next(now); ok {
					fate := rapid.SampledFrom([]string{"ok", "ok", "lost", "down"}).Draw(rt, "fate")
					got(me.answer(lo, op, fate, now))
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
				homes[h] = newLog()
			}
		}
		for _, op := range calls {
			op.Output, op.Return = unknown, clock+1
			history = append(history, op)
		}
		require.True(rt, porcupine.CheckOperations(model, history))
		for _, all := range winners {
			if len(all) > 1 {
				naiveBroken++
			}
		}
	})
	require.Positive(t, naiveBroken, "the naive homes must have let two win")
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
	me := &memory{pairs: map[string]kv.Pair{}}
	lo := newLog()
	b.ReportAllocs()
	for i := range b.N {
		lo.Claim("e", claimOf(fmt.Sprintf("k%d", i), "menu@v1"), 0, start)
		if i%50 == 0 {
			me.run(lo, start)
		}
	}
	b.ReportMetric(float64(me.bytes())/float64(b.N), "stored-B/op")
}

func (me *memory) bytes() int {
	n := 0
	for _, pair := range me.pairs {
		n += len(pair.Value)
	}
	return n
}
