package bill

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/seeded"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var start = time.Unix(1_800_000_000, 0)

var (
	errDown = errors.New("store is down")
	errLost = errors.New("answer lost")
)

// fakeStore is a key-value service that fails as the fates say, one for each
// swap: "ok", "lost" (made, not answered), "down", "raced" (another writer
// comes first).
type fakeStore struct {
	pairs map[string]kv.Pair
	index uint64
	fates []string
	// racing is merged into a document when a swap is raced.
	racing []wire.BillLine
	calls int
}

func (me *fakeStore) Get(_ context.Context, key string) (kv.Pair, error) {
	me.calls++
	return me.pairs[key], nil
}

func (me *fakeStore) put(key string, value []byte) {
	me.index++
	me.pairs[key] = kv.Pair{Key: key, Value: value, Index: me.index}
}

func (me *fakeStore) Swap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	me.calls++
	fate := "ok"
	if len(me.fates) > 0 {
		fate, me.fates = me.fates[0], me.fates[1:]
	}
	switch fate {
	case "down":
		return false, errDown
	case "raced":
		doc, _ := Decode(me.pairs[key].Value)
		doc, _ = Merge(doc, me.racing)
		value, _ := Encode(doc)
		me.put(key, value)
	}
	if me.pairs[key].Index != index {
		return false, nil
	}
	me.put(key, value)
	if fate == "lost" {
		return false, errLost
	}
	return true, nil
}

// count returns how often each line stands in the store.
func (me *fakeStore) count(t require.TestingT) map[lineKey]int {
	n := map[lineKey]int{}
	for _, pair := range me.pairs {
		doc, err := Decode(pair.Value)
		require.NoError(t, err)
		for i := range doc {
			n[keyOf(&doc[i])]++
		}
	}
	return n
}

func line(request string, step int) wire.BillLine {
	return wire.BillLine{Request: request, Step: step, Team: "kitchen-a", Version: "menu@v1", Usage: wire.Usage{Prompt: 500, Completion: 200}, Cost: 9000, Box: "agent-1"}
}

func TestDocumentKeyDependsOnRequestIDOnly(t *testing.T) {
	id := NewRequestID("dc-a")
	key, err := DocumentKey(id)
	require.NoError(t, err)
	again, err := DocumentKey(id)
	require.NoError(t, err)
	require.Equal(t, key, again)
	require.Contains(t, key, Prefix+"dc-a/")
	for _, bad := range []string{"", "dc-a", "dc-a.x", "x.y.z"} {
		_, err := DocumentKey(bad)
		require.Error(t, err, bad)
	}
}

func TestSaveSurvivesLostAnswersAndRaces(t *testing.T) {
	id := NewRequestID("dc")
	key, err := DocumentKey(id)
	require.NoError(t, err)
	other := line(id, 1)
	for _, fates := range [][]string{{"lost"}, {"raced"}, {"down", "lost"}, {"raced", "lost"}, {"lost", "lost"}} {
		me := &fakeStore{pairs: map[string]kv.Pair{}, fates: fates, racing: []wire.BillLine{other}}
		require.NoError(t, Save(t.Context(), me, Write{key: key, lines: []wire.BillLine{line(id, 0)}}))
		require.NoError(t, Save(t.Context(), me, Write{key: key, lines: []wire.BillLine{line(id, 0)}}), "offered again")
		require.Equal(t, 1, me.count(t)[lineKey{id, 0}], fates)
	}
}

func TestOutboxKeepsLinesUntilDurable(t *testing.T) {
	le := Outbox{Capacity: 2, InitialDelay: time.Second, RetryInterval: 10 * time.Second}
	le.Add(line("a", 0), start)
	le.Add(line("a", 0), start)
	require.Equal(t, 1, le.Len())
	require.Empty(t, le.TakeDue(10, start), "the entry hands it on first")
	require.Len(t, le.TakeDue(10, start.Add(time.Second)), 1)
	require.Empty(t, le.TakeDue(10, start.Add(2*time.Second)))
	require.Len(t, le.TakeDue(10, start.Add(12*time.Second)), 1, "nobody has confirmed it")
	le.Add(line("b", 0), start)
	require.True(t, le.Full())
	le.RemoveDurable([]wire.BillLine{{Request: "a"}, {Request: "b"}})
	require.Zero(t, le.Len())
}

func TestRetryIntervalGrowsDuringOutage(t *testing.T) {
	le := Outbox{Capacity: 10, RetryInterval: 20 * time.Second}
	le.Add(line("a", 0), start)
	offers := 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(time.Second) {
		offers += len(le.TakeDue(10, now))
	}
	require.LessOrEqual(t, offers, 11)
	require.GreaterOrEqual(t, offers, 6, "a writer that was lost is replaced in ten minutes")
}

func TestOutboxDropsAcceptedLinesAboveSoftLimit(t *testing.T) {
	le := Outbox{Capacity: 10, SoftLimit: 1}
	le.Add(line("a", 0), start)
	le.RemoveAccepted([]wire.BillLine{line("a", 0)})
	require.Equal(t, 1, le.Len(), "a few are kept all the same")
	le.Add(line("b", 0), start)
	le.RemoveAccepted([]wire.BillLine{line("b", 0)})
	require.Equal(t, 1, le.Len())
}

func TestWriterDeduplicatesLines(t *testing.T) {
	wr := Writer{Capacity: 10}
	id := NewRequestID("dc")
	for range 100 {
		wr.Enqueue("e1", []wire.BillLine{line(id, 0)}, start)
	}
	require.Equal(t, 1, wr.size)
	due, _ := wr.NextWrite(start, true)
	require.Len(t, due.Lines(), 1)
	require.Len(t, wr.HandleWrite(due.Key(), true, start), 1)
}

func TestWriterAcknowledgesOnlyDurableLines(t *testing.T) {
	wr := Writer{FlushInterval: time.Second, Capacity: 10}
	id := NewRequestID("dc")
	wr.Enqueue("e1", []wire.BillLine{line(id, 0)}, start)
	wr.Enqueue("e2", []wire.BillLine{line(id, 0), line("malformed", 0)}, start)
	_, ok := wr.NextWrite(start, false)
	require.False(t, ok, "it gathers first")
	due, ok := wr.NextWrite(start.Add(time.Second), false)
	require.True(t, ok)
	held := wr.HandleWrite(due.Key(), false, start)
	require.Len(t, held, 2)
	require.False(t, held[0].Durable(), "held is not durable")
	due, ok = wr.NextWrite(start.Add(time.Minute), false)
	require.True(t, ok, "what failed waits again")
	acs := wr.HandleWrite(due.Key(), true, start)
	require.Len(t, acs, 2)
	require.Equal(t, "e1", acs[0].Peer())
	require.True(t, acs[0].Durable())
	require.True(t, wr.Idle())
}

// pipeline is the path of bills between a few boxes in one test: two holders of
// each line, two writers, one store.
type pipeline struct {
	t       *rapid.T
	store   *fakeStore
	holders []*Outbox
	writers []*Writer
	now     time.Time
}

func (bi *pipeline) offer(h, w int) {
	lines := bi.holders[h].TakeDue(100, bi.now)
	bi.writers[w].Enqueue(fmt.Sprint(h), lines, bi.now)
}

func (bi *pipeline) write(w int) {
	due, ok := bi.writers[w].NextWrite(bi.now, true)
	if !ok {
		return
	}
	err := Save(context.Background(), bi.store, due)
	for _, ac := range bi.writers[w].HandleWrite(due.Key(), err == nil, bi.now) {
		var h int
		_, _ = fmt.Sscan(ac.Peer(), &h)
		if ac.Durable() {
			bi.holders[h].RemoveDurable(ac.Lines())
		}
	}
}

// TestBilledExactlyOnce kills one holder or writer after another, loses
// answers and takes the store down. Each line stands in the store once at the
// end, as long as one of its two holders lived until then. A naive writer that
// adds what it is given bills twice.
func TestBilledExactlyOnce(t *testing.T) {
	naiveDoubled := 0
	rapid.Check(t, func(rt *rapid.T) {
		bi := &pipeline{t: rt, store: &fakeStore{pairs: map[string]kv.Pair{}}, now: start}
		for range 2 {
			bi.holders = append(bi.holders, &Outbox{Capacity: 1000, RetryInterval: time.Second})
			bi.writers = append(bi.writers, &Writer{Capacity: 1000})
		}
		naive := map[lineKey]int{}
		made := map[lineKey]bool{}
		lost := map[int]bool{}
		for i := range rapid.IntRange(5, 60).Draw(rt, "events") {
			bi.now = bi.now.Add(500 * time.Millisecond)
			h, w := rapid.IntRange(0, 1).Draw(rt, "holder"), rapid.IntRange(0, 1).Draw(rt, "writer")
			switch rapid.SampledFrom([]string{"request", "offer", "offer", "write", "write", "kill holder", "kill writer"}).Draw(rt, "event") {
			case "request":
				li := line(fmt.Sprintf("dc.%08d-0000-7000-8000-000000000000", i), 0)
				made[keyOf(&li)] = true
				for _, le := range bi.holders {
					le.Add(li, bi.now)
				}
			case "offer":
				for _, li := range bi.holders[h].TakeDue(0, bi.now) {
					naive[keyOf(&li)]++
				}
				for key := range bi.holders[h].lines {
					naive[key]++
				}
				bi.offer(h, w)
			case "write":
				fate := rapid.SampledFrom([]string{"ok", "lost", "down", "raced"}).Draw(rt, "fate")
				bi.store.fates = []string{fate}
				bi.write(w)
			case "kill holder":
				if len(lost) == 0 {
					lost[h] = true
					bi.holders[h] = &Outbox{Capacity: 1000, RetryInterval: time.Second}
				}
			case "kill writer":
				bi.writers[w] = &Writer{Capacity: 1000}
			}
		}
		bi.store.fates = nil
		for range 4 {
			bi.now = bi.now.Add(time.Minute)
			bi.offer(0, 0)
			bi.offer(1, 1)
			for range 70 {
				bi.write(0)
				bi.write(1)
			}
		}
		count := bi.store.count(rt)
		for key := range made {
			require.Equal(rt, 1, count[key])
			if naive[key] > 1 {
				naiveDoubled++
			}
		}
		require.Len(rt, count, len(made))
	})
	require.Positive(t, naiveDoubled, "the naive writer must have billed twice")
}

func FuzzDecode(f *testing.F) {
	good, err := Encode([]wire.BillLine{line(NewRequestID("dc"), 0), line(NewRequestID("dc"), 1)})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0xa2, 0x01})
	f.Fuzz(func(t *testing.T, value []byte) {
		doc, err := Decode(value)
		if err != nil {
			return
		}
		again, err := Encode(doc)
		require.NoError(t, err)
		back, err := Decode(again)
		require.NoError(t, err)
		require.Len(t, back, len(doc))
	})
}

func BenchmarkLine(b *testing.B) {
	var lines []wire.BillLine
	for range b.N {
		lines = append(lines, line(NewRequestID("quito-north-a"), 0))
	}
	b.ResetTimer()
	value, err := Encode(lines)
	require.NoError(b, err)
	b.ReportMetric(float64(len(value))/float64(b.N), "stored-B/op")
}
