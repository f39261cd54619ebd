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
	errDown = errors.New("store is unavailable")
	errLost = errors.New("answer lost")
)

// fakeStore is a key-value service whose swaps have the given outcomes: "ok", "lost" (executed, but
// the answer is lost), "down" (not executed) or "raced" (another writer wrote first).
type fakeStore struct {
	pairs    map[string]kv.Pair
	index    uint64
	outcomes []string
	// racing holds the lines that the other writer adds in a "raced" swap.
	racing []wire.BillLine
	calls  int
}

func (st *fakeStore) Get(_ context.Context, key string) (kv.Pair, error) {
	st.calls++
	return st.pairs[key], nil
}

func (st *fakeStore) put(key string, value []byte) {
	st.index++
	st.pairs[key] = kv.Pair{Key: key, Value: value, Index: st.index}
}

func (st *fakeStore) Swap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	st.calls++
	outcome := "ok"
	if len(st.outcomes) > 0 {
		outcome, st.outcomes = st.outcomes[0], st.outcomes[1:]
	}
	switch outcome {
	case "down":
		return false, errDown
	case "raced":
		doc, _ := Decode(st.pairs[key].Value)
		doc, _ = Merge(doc, st.racing)
		value, _ := Encode(doc)
		st.put(key, value)
	}
	if st.pairs[key].Index != index {
		return false, nil
	}
	st.put(key, value)
	if outcome == "lost" {
		return false, errLost
	}
	return true, nil
}

// count returns how often each line is in the store.
func (st *fakeStore) count(t require.TestingT) map[lineKey]int {
	n := map[lineKey]int{}
	for _, pair := range st.pairs {
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
	for _, outcomes := range [][]string{{"lost"}, {"raced"}, {"down", "lost"}, {"raced", "lost"}, {"lost", "lost"}} {
		st := &fakeStore{pairs: map[string]kv.Pair{}, outcomes: outcomes, racing: []wire.BillLine{other}}
		require.NoError(t, Save(t.Context(), st, Write{key: key, lines: []wire.BillLine{line(id, 0)}}))
		require.NoError(t, Save(t.Context(), st, Write{key: key, lines: []wire.BillLine{line(id, 0)}}), "saved again")
		require.Equal(t, 1, st.count(t)[lineKey{id, 0}], outcomes)
	}
}

func TestOutboxKeepsLinesUntilDurable(t *testing.T) {
	ou := Outbox{Capacity: 2, InitialDelay: time.Second, RetryInterval: 10 * time.Second}
	ou.Add(line("a", 0), start)
	ou.Add(line("a", 0), start)
	require.Equal(t, 1, ou.Len())
	require.Empty(t, ou.TakeDue(10, start), "the line is sent after InitialDelay")
	require.Len(t, ou.TakeDue(10, start.Add(time.Second)), 1)
	require.Empty(t, ou.TakeDue(10, start.Add(2*time.Second)))
	require.Len(t, ou.TakeDue(10, start.Add(12*time.Second)), 1, "an unconfirmed line is sent again")
	ou.Add(line("b", 0), start)
	require.True(t, ou.Full())
	ou.RemoveDurable([]wire.BillLine{{Request: "a"}, {Request: "b"}})
	require.Zero(t, ou.Len())
}

func TestRetryIntervalGrowsDuringOutage(t *testing.T) {
	ou := Outbox{Capacity: 10, RetryInterval: 20 * time.Second}
	ou.Add(line("a", 0), start)
	sends := 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(time.Second) {
		sends += len(ou.TakeDue(10, now))
	}
	require.LessOrEqual(t, sends, 11)
	require.GreaterOrEqual(t, sends, 6, "a line reaches the replacement of a lost writer within ten minutes")
}

func TestOutboxDropsAcceptedLinesAboveSoftLimit(t *testing.T) {
	ou := Outbox{Capacity: 10, SoftLimit: 1}
	ou.Add(line("a", 0), start)
	ou.RemoveAccepted([]wire.BillLine{line("a", 0)})
	require.Equal(t, 1, ou.Len(), "accepted lines stay up to SoftLimit")
	ou.Add(line("b", 0), start)
	ou.RemoveAccepted([]wire.BillLine{line("b", 0)})
	require.Equal(t, 1, ou.Len())
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
	require.False(t, ok, "the batch waits for FlushInterval")
	due, ok := wr.NextWrite(start.Add(time.Second), false)
	require.True(t, ok)
	failed := wr.HandleWrite(due.Key(), false, start)
	require.Len(t, failed, 2)
	require.False(t, failed[0].Durable(), "lines in memory are not durable")
	due, ok = wr.NextWrite(start.Add(time.Minute), false)
	require.True(t, ok, "the lines of a failed write are written again")
	acs := wr.HandleWrite(due.Key(), true, start)
	require.Len(t, acs, 2)
	require.Equal(t, "e1", acs[0].Peer())
	require.True(t, acs[0].Durable())
	require.True(t, wr.Idle())
}

// pipeline is the path of bill lines in a test: two outboxes for each line, two writers, one store.
type pipeline struct {
	t        *rapid.T
	store    *fakeStore
	outboxes []*Outbox
	writers  []*Writer
	now      time.Time
}

func (pi *pipeline) send(h, w int) {
	lines := pi.outboxes[h].TakeDue(100, pi.now)
	pi.writers[w].Enqueue(fmt.Sprint(h), lines, pi.now)
}

func (pi *pipeline) write(w int) {
	due, ok := pi.writers[w].NextWrite(pi.now, true)
	if !ok {
		return
	}
	err := Save(context.Background(), pi.store, due)
	for _, ac := range pi.writers[w].HandleWrite(due.Key(), err == nil, pi.now) {
		var h int
		_, _ = fmt.Sscan(ac.Peer(), &h)
		if ac.Durable() {
			pi.outboxes[h].RemoveDurable(ac.Lines())
		}
	}
}

// TestBilledExactlyOnce replaces writers and one of two outboxes, loses answers and makes the store
// unavailable. At the end each line is in the store exactly once, since one of its two outboxes has
// survived. A naive writer that appends each line that it receives bills twice.
func TestBilledExactlyOnce(t *testing.T) {
	naiveDuplicates := 0
	rapid.Check(t, func(rt *rapid.T) {
		pi := &pipeline{t: rt, store: &fakeStore{pairs: map[string]kv.Pair{}}, now: start}
		for range 2 {
			pi.outboxes = append(pi.outboxes, &Outbox{Capacity: 1000, RetryInterval: time.Second})
			pi.writers = append(pi.writers, &Writer{Capacity: 1000})
		}
		naive := map[lineKey]int{}
		created := map[lineKey]bool{}
		lost := map[int]bool{}
		for i := range rapid.IntRange(5, 60).Draw(rt, "events") {
			pi.now = pi.now.Add(500 * time.Millisecond)
			h, w := rapid.IntRange(0, 1).Draw(rt, "outbox"), rapid.IntRange(0, 1).Draw(rt, "writer")
			switch rapid.SampledFrom([]string{"request", "send", "send", "write", "write", "lose outbox", "lose writer"}).Draw(rt, "event") {
			case "request":
				li := line(fmt.Sprintf("dc.%08d-0000-7000-8000-000000000000", i), 0)
				created[keyOf(&li)] = true
				for _, ou := range pi.outboxes {
					ou.Add(li, pi.now)
				}
			case "send":
				for _, li := range pi.outboxes[h].TakeDue(0, pi.now) {
					naive[keyOf(&li)]++
				}
				for key := range pi.outboxes[h].lines {
					naive[key]++
				}
				pi.send(h, w)
			case "write":
				outcome := rapid.SampledFrom([]string{"ok", "lost", "down", "raced"}).Draw(rt, "outcome")
				pi.store.outcomes = []string{outcome}
				pi.write(w)
			case "lose outbox":
				if len(lost) == 0 {
					lost[h] = true
					pi.outboxes[h] = &Outbox{Capacity: 1000, RetryInterval: time.Second}
				}
			case "lose writer":
				pi.writers[w] = &Writer{Capacity: 1000}
			}
		}
		pi.store.outcomes = nil
		for range 4 {
			pi.now = pi.now.Add(time.Minute)
			pi.send(0, 0)
			pi.send(1, 1)
			for range 70 {
				pi.write(0)
				pi.write(1)
			}
		}
		count := pi.store.count(rt)
		for key := range created {
			require.Equal(rt, 1, count[key])
			if naive[key] > 1 {
				naiveDuplicates++
			}
		}
		require.Len(rt, count, len(created))
	})
	require.Positive(t, naiveDuplicates, "the naive writer must have billed twice")
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
