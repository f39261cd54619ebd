package usage

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestWindowsPartitionTime(t *testing.T) {
	at := time.UnixMilli(353445120 * 5000)
	require.Equal(t, Window(353445120), WindowAt(at, 5*time.Second))
	require.Equal(t, Window(353445119), WindowAt(at.Add(-1), 5*time.Second))
	require.Equal(t, at, Window(353445119).End(5*time.Second))
}

func TestEntriesAreEncodedAsArrays(t *testing.T) {
	data, err := cbor.Marshal(Entry{Process: 1 << 60, Window: 353445120, Team: "hule930", Count: 412})
	require.NoError(t, err)
	require.Less(t, len(data), 28)
	var en Entry
	require.NoError(t, cbor.Unmarshal(data, &en))
	require.Equal(t, Entry{Process: 1 << 60, Window: 353445120, Team: "hule930", Count: 412}, en)
}

func TestOldWindowsAreDropped(t *testing.T) {
	var le Ledger
	le.Add(1, 100, "a")
	le.Add(1, 100+retainedWindows, "a")
	require.Equal(t, map[string]int{"a": 1}, le.Totals(100))
	le.Add(1, 101+retainedWindows, "a")
	require.Empty(t, le.Totals(100))
	le.Add(1, 100, "a")
	require.Empty(t, le.Totals(100))
	entries, _ := le.Since(0, 0)
	require.Len(t, entries, 2)
}

func TestEntriesAreNotSentBackToTheirSender(t *testing.T) {
	var le Ledger
	le.Merge([]Entry{{Process: 1, Window: 5, Team: "a", Count: 2}}, 7)
	le.Merge([]Entry{{Process: 2, Window: 5, Team: "a", Count: 3}}, 8)
	entries, next := le.Since(0, 7)
	require.Equal(t, []Entry{{Process: 2, Window: 5, Team: "a", Count: 3}}, entries)
	entries, again := le.Since(next, 7)
	require.Empty(t, entries)
	require.Equal(t, next, again)
}

// Messages that arrive late, twice or not at all do not change the totals once the newest has arrived.
func TestTotalsDoNotDependOnLostOrRepeatedMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := make([]Ledger, rapid.IntRange(1, 4).Draw(rt, "processes"))
		cursors := make([]uint64, len(sources))
		var collector Ledger
		var old [][]Entry
		want := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(sources)-1).Draw(rt, "process")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				entries, next := sources[i].Since(cursors[i], 0)
				old = append(old, entries)
				if rapid.Bool().Draw(rt, "delivered") {
					collector.Merge(entries, 9)
					cursors[i] = next
				}
			case 1:
				if len(old) > 0 {
					collector.Merge(old[rapid.IntRange(0, len(old)-1).Draw(rt, "repeated")], 9)
				}
			default:
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team")
				sources[i].Add(uint64(i+1), 7, team)
				want[team]++
			}
		}
		for i := range sources {
			entries, _ := sources[i].Since(cursors[i], 0)
			collector.Merge(entries, 9)
		}
		require.Equal(rt, want, collector.Totals(7))
	})
}
