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

// fakeStore is a key-value service in memory. The swaps of the configuration have the given
// outcomes, one after the other: "ok", "lost" (made, but the response is lost), "down" or "raced"
// (made after a concurrent change, so that it fails).
type fakeStore struct {
	pairs    map[string]kv.Pair
	index    uint64
	outcomes []string
	// race is called before a raced swap.
	race func()
	down bool
}

func newFakeStore() *fakeStore { return &fakeStore{pairs: map[string]kv.Pair{}} }

func (st *fakeStore) Get(_ context.Context, key string) (kv.Pair, error) {
	if st.down {
		return kv.Pair{}, result.New(result.StoreDown, "")
	}
	return st.pairs[key], nil
}

func (st *fakeStore) Swap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	outcome := "ok"
	if key == config.StoreKey && len(st.outcomes) > 0 {
		outcome, st.outcomes = st.outcomes[0], st.outcomes[1:]
	}
	if outcome == "down" || st.down {
		return false, result.New(result.StoreUnknown, "")
	}
	if outcome == "raced" {
		st.race()
	}
	if st.pairs[key].Index != index {
		return false, nil
	}
	st.index++
	st.pairs[key] = kv.Pair{Key: key, Value: value, Index: st.index}
	if outcome == "lost" {
		return false, result.New(result.StoreUnknown, "")
	}
	return true, nil
}

func addModel(operation, model string) Request {
	return Request{Operation: operation, Operator: "ana", Summary: "add " + model, Edit: func(doc *config.Document) (*config.Document, error) {
		if doc == nil {
			doc = &config.Document{}
		}
		doc.Models = append(doc.Models, config.Model{Name: model})
		return doc, nil
	}}
}

func apply(st *fakeStore, re Request) (*config.Envelope, error) {
	wr := Writer{Store: st, Backoff: time.Nanosecond}
	return wr.Apply(context.Background(), re, start)
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	st := newFakeStore()
	st.outcomes = []string{"lost"}
	en, err := apply(st, addModel("op-1", "a"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), en.Revision)
	en, err = apply(st, addModel("op-1", "a"))
	require.NoError(t, err, "the same operation again")
	require.Equal(t, uint64(1), en.Revision, "it is not made twice")
}

func TestFailureReportsThatTheWriteMayHaveBeenMade(t *testing.T) {
	st := newFakeStore()
	st.outcomes = []string{"down", "down", "down", "down", "down", "down"}
	_, err := apply(st, addModel("op-1", "a"))
	var er *result.Error
	require.ErrorAs(t, err, &er)
	require.Equal(t, result.StoreUnknown, er.Code())
	require.Equal(t, result.MayHaveRun, result.Lookup(er.Code()).Run())
}

func TestConflictNamesTheOtherChange(t *testing.T) {
	st := newFakeStore()
	_, err := apply(st, addModel("op-1", "a"))
	require.NoError(t, err)
	st.outcomes = []string{"raced"}
	st.race = func() {
		st.outcomes = nil
		_, err := apply(st, addModel("op-2", "b"))
		require.NoError(t, err)
	}
	re := addModel("op-3", "c")
	base := uint64(1)
	re.Base = &base
	_, err = apply(st, re)
	require.ErrorContains(t, err, "revision 2 by ana: add b")
}

func TestInvalidDocumentIsNotWritten(t *testing.T) {
	st := newFakeStore()
	_, err := apply(st, addModel("op-1", ""))
	require.ErrorContains(t, err, "models[0].name")
	require.Empty(t, st.pairs)
}

func TestReplacedRevisionsAreStored(t *testing.T) {
	st := newFakeStore()
	for i := range historySlots + 3 {
		_, err := apply(st, addModel(fmt.Sprintf("op-%d", i), fmt.Sprintf("m%d", i)))
		require.NoError(t, err)
	}
	require.Len(t, st.pairs, historySlots+1)
	stored, err := config.DecodeEnvelope(st.pairs[HistoryKey(historySlots+2)].Value)
	require.NoError(t, err)
	require.Equal(t, uint64(historySlots+2), stored.Revision)
}

// register is the sequential specification: the revision that is returned for each accepted change
// is higher than all earlier ones. Output zero is a change that was not accepted.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		revision := state.(uint64)
		accepted := output.(uint64)
		if accepted == 0 {
			return true, revision
		}
		return accepted > revision, accepted
	},
}

// Operators change the configuration concurrently under lost responses and outages. The final
// document contains every accepted change exactly once; a naive writer without compare-and-swap
// loses some.
func TestAcceptedChangesAreNeverLost(t *testing.T) {
	naiveLost := 0
	rapid.Check(t, func(rt *rapid.T) {
		st := newFakeStore()
		var history []porcupine.Operation
		accepted := map[string]uint64{}
		naive, seen := []string{}, []string{}
		for i := range rapid.IntRange(2, 15).Draw(rt, "changes") {
			name := fmt.Sprintf("m%d", i)
			st.outcomes = rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "lost", "down", "raced"}), 0, 4).Draw(rt, "outcomes")
			st.race = func() {
				saved := st.outcomes
				st.outcomes = nil
				_, err := apply(st, addModel("concurrent-"+name, "r"+name))
				require.NoError(rt, err)
				accepted["r"+name] = 1
				st.outcomes = saved
			}
			if rapid.Bool().Draw(rt, "fresh") {
				seen = append([]string{}, naive...)
			}
			naive = append(append([]string{}, seen...), name)
			en, err := apply(st, addModel("op-"+name, name))
			returned := uint64(0)
			if err == nil {
				ch, ok := en.Find("op-" + name)
				require.True(rt, ok)
				returned = ch.Revision
				accepted[name] = returned
			}
			history = append(history, porcupine.Operation{ClientId: 0, Input: name, Output: returned, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		st.outcomes = nil
		final, err := config.DecodeEnvelope(st.pairs[config.StoreKey].Value)
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
