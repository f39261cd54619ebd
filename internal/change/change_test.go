package change

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var start = time.Unix(1_800_000_000, 0)

// memory is a key-value service whose swaps of the configuration meet fates:
// "ok", "lost" (made, not answered), "down", "raced".
type memory struct {
	pairs map[string]kv.Pair
	index uint64
	fates []string
	// race is called before a raced swap.
	race func()
	down bool
}

func newMemory() *memory { return &memory{pairs: map[string]kv.Pair{}} }

func (me *memory) Get(_ context.Context, key string) (kv.Pair, error) {
	if me.down {
		return kv.Pair{}, result.New(result.StoreDown, "")
	}
	return me.pairs[key], nil
}

func (me *memory) Swap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	fate := "ok"
	if key == config.StoreKey && len(me.fates) > 0 {
		fate, me.fates = me.fates[0], me.fates[1:]
	}
	if fate == "down" || me.down {
		return false, result.New(result.StoreUnknown, "")
	}
	if fate == "raced" {
		me.race()
	}
	if me.pairs[key].Index != index {
		return false, nil
	}
	me.index++
	me.pairs[key] = kv.Pair{Key: key, Value: value, Index: me.index}
	if fate == "lost" {
		return false, result.New(result.StoreUnknown, "")
	}
	return true, nil
}

func adding(operation, model string) Request {
	return Request{Operation: operation, Operator: "ana", Summary: "add " + model, Edit: func(doc *config.Document) (*config.Document, error) {
		if doc == nil {
			doc = &config.Document{}
		}
		doc.Models = append(doc.Models, config.Model{Name: model})
		return doc, nil
	}}
}

func apply(me *memory, re Request) (*config.Envelope, error) {
	ch := Writer{Store: me, Backoff: time.Nanosecond}
	return ch.Apply(context.Background(), re, start)
}

func TestALostAnswerIsResolvedByReadingBack(t *testing.T) {
	me := newMemory()
	me.fates = []string{"lost"}
	en, err := apply(me, adding("op-1", "a"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), en.Revision)
	en, err = apply(me, adding("op-1", "a"))
	require.NoError(t, err, "the same operation again")
	require.Equal(t, uint64(1), en.Revision, "is not made twice")
}

func TestAWriteThatMayHaveBeenMadeSaysSo(t *testing.T) {
	me := newMemory()
	me.fates = []string{"down", "down", "down", "down", "down", "down"}
	_, err := apply(me, adding("op-1", "a"))
	var er *result.Error
	require.ErrorAs(t, err, &er)
	require.Equal(t, result.StoreUnknown, er.Code())
	require.Equal(t, result.MayHave, result.Of(er.Code()).Run())
}

func TestARaceNamesTheOtherChange(t *testing.T) {
	me := newMemory()
	_, err := apply(me, adding("op-1", "a"))
	require.NoError(t, err)
	me.fates = []string{"raced"}
	me.race = func() {
		me.fates = nil
		_, err := apply(me, adding("op-2", "b"))
		require.NoError(t, err)
	}
	re := adding("op-3", "c")
	base := uint64(1)
	re.Base = &base
	_, err = apply(me, re)
	require.ErrorContains(t, err, "revision 2 by ana: add b")
}

func TestABadDocumentIsNotWritten(t *testing.T) {
	me := newMemory()
	_, err := apply(me, adding("op-1", ""))
	require.ErrorContains(t, err, "models[0].name")
	require.Empty(t, me.pairs)
}

func TestReplacedRevisionsAreKept(t *testing.T) {
	me := newMemory()
	for i := range historySlots + 3 {
		_, err := apply(me, adding(fmt.Sprintf("op-%d", i), fmt.Sprintf("m%d", i)))
		require.NoError(t, err)
	}
	require.Len(t, me.pairs, historySlots+1)
	kept, err := config.DecodeEnvelope(me.pairs[HistoryKey(historySlots+2)].Value)
	require.NoError(t, err)
	require.Equal(t, uint64(historySlots+2), kept.Revision)
}

// register is the contract: a change that was accepted stands in every later
// state, at the revision that its operator was told.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		revision := state.(uint64)
		told := output.(uint64)
		if told == 0 {
			return true, revision
		}
		return told > revision, told
	},
}

// TestAcceptedChangesNeverRevert lets operators race under lost answers and an
// outage. Every accepted change is found in the final document once; a naive
// writer that puts without compare-and-swap loses some.
func TestAcceptedChangesNeverRevert(t *testing.T) {
	naiveLost := 0
	rapid.Check(t, func(rt *rapid.T) {
		me := newMemory()
		var history []porcupine.Operation
		accepted := map[string]uint64{}
		naive, seen := []string{}, []string{}
		for i := range rapid.IntRange(2, 15).Draw(rt, "changes") {
			name := fmt.Sprintf("m%d", i)
			me.fates = rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "lost", "down", "raced"}), 0, 4).Draw(rt, "fates")
			me.race = func() {
				saved := me.fates
				me.fates = nil
				_, err := apply(me, adding("rival-"+name, "r"+name))
				require.NoError(rt, err)
				accepted["r"+name] = 1
				me.fates = saved
			}
			if rapid.Bool().Draw(rt, "fresh") {
				seen = append([]string{}, naive...)
			}
			naive = append(append([]string{}, seen...), name)
			en, err := apply(me, adding("op-"+name, name))
			told := uint64(0)
			if err == nil {
				ch, ok := en.Find("op-" + name)
				require.True(rt, ok)
				told = ch.Revision
				accepted[name] = told
			}
			history = append(history, porcupine.Operation{ClientId: 0, Input: name, Output: told, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		me.fates = nil
		final, err := config.DecodeEnvelope(me.pairs[config.StoreKey].Value)
		require.NoError(rt, err)
		count := map[string]int{}
		for i := range final.Document.Models {
			count[final.Document.Models[i].Name]++
		}
		for name := range accepted {
			require.Equal(rt, 1, count[name], name)
		}
		if len(naive) < len(history) {
			naiveLost++
		}
		require.True(rt, porcupine.CheckOperations(register, history))
	})
	require.Positive(t, naiveLost, "the naive writer must have lost changes")
}
