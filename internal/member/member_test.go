package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newViews returns the views of a number of entries that have the same agents.
func newViews(entries int) []*View {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	var all []*View
	for _, na := range names {
		vi := &View{Self: na}
		vi.SetEntries("agent-1", names)
		vi.SetEntries("agent-2", names[:1])
		all = append(all, vi)
	}
	return all
}

func count(all []*View, duty func(vi *View) bool) int {
	n := 0
	for _, vi := range all {
		if duty(vi) {
			n++
		}
	}
	return n
}

func TestTwoWatchersAndOneLeader(t *testing.T) {
	for _, entries := range []int{2, 3, 46} {
		all := newViews(entries)
		require.Equal(t, 2, count(all, (*View).IsWatcher))
		require.Equal(t, 1, count(all, (*View).IsLeader))
	}
	single := &View{Self: "e"}
	require.True(t, single.IsWatcher())
	require.True(t, single.IsLeader())
}

func TestLostLeaderIsReplaced(t *testing.T) {
	all := newViews(10)
	for i, vi := range all {
		if !vi.IsLeader() {
			continue
		}
		rest := append(append([]*View{}, all[:i]...), all[i+1:]...)
		var names []string
		for _, ot := range rest {
			names = append(names, ot.Self)
		}
		for _, ot := range rest {
			ot.RemoveAgent("agent-2")
			ot.SetEntries("agent-1", names)
		}
		require.Equal(t, 2, count(rest, (*View).IsWatcher))
		require.Equal(t, 1, count(rest, (*View).IsLeader))
		return
	}
	t.Fatal("no entry is the leader")
}

func TestEntryWithoutAgentsIsWatcher(t *testing.T) {
	vi := newViews(10)[9]
	vi.RemoveAgent("agent-1")
	vi.RemoveAgent("agent-2")
	require.True(t, vi.IsWatcher(), "an entry that knows no other must watch, or no entry might")
}
