// Package member tracks which entries of a data centre are alive, as reported by the agents, and
// which of them watch the key-value service. There is no election. Entries with different views may
// take the same duty, which costs an additional read; but each duty has at least one entry, since
// an entry that knows no other takes all. It does no I/O and reads no clock.
package member

import (
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
)

// WatchKey is the rendezvous key by which the entries of a data centre are ranked for its duties.
const WatchKey = "watch"

// watcherCount is the number of entries of a data centre that watch the store.
const watcherCount = 2

// View is one entry's view of its data centre. It is not safe for concurrent use.
type View struct {
	// Self is the box of the entry itself, set before use.
	Self string

	// entriesByAgent holds the entries that are connected to each connected agent.
	entriesByAgent map[string][]string
}

// SetEntries records the entries that an agent is connected to.
func (vi *View) SetEntries(agent string, entries []string) {
	if vi.entriesByAgent == nil {
		vi.entriesByAgent = map[string][]string{}
	}
	vi.entriesByAgent[agent] = slices.Clone(entries)
}

// RemoveAgent removes the entries that a lost agent reported.
func (vi *View) RemoveAgent(agent string) { delete(vi.entriesByAgent, agent) }

// Entries returns every live entry in order, including this one.
func (vi *View) Entries() []string {
	all := []string{vi.Self}
	for _, entries := range vi.entriesByAgent {
		all = append(all, entries...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// IsWatcher reports whether this entry is one of the watchers of the store.
func (vi *View) IsWatcher() bool {
	ranked := rendezvous.Rank(WatchKey, vi.Entries())
	return slices.Contains(ranked[:min(watcherCount, len(ranked))], vi.Self)
}

// IsLeader reports whether this entry is ranked first among the watchers. While entries join and
// leave, a few may be leader at once; the duties of a leader must tolerate that.
func (vi *View) IsLeader() bool {
	return rendezvous.First(WatchKey, vi.Entries()) == vi.Self
}
