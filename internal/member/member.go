// Package member knows which entries of the data centre are alive, from what
// the agents say, and which of them watch the key-value service. There is no
// election: a duty done twice costs a read, and none is done by nobody,
// because an entry that hears of no other takes it on. It does no I/O and
// reads no clock.
package member

import (
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
)

// WatchKey ranks the entries for the duties of a data centre.
const WatchKey = "watch"

// watcherCount is how many entries of a data centre watch the store.
const watcherCount = 2

// View is one entry's picture of its data centre. It is not safe for
// concurrent use.
type View struct {
	// Self is the entry's own box, set before use.
	Self string

	// entriesByAgent holds, for each connected agent, the entries connected to it.
	entriesByAgent map[string][]string
}

// SetEntries notes the entries that an agent is connected to.
func (vi *View) SetEntries(agent string, entries []string) {
	if vi.entriesByAgent == nil {
		vi.entriesByAgent = map[string][]string{}
	}
	vi.entriesByAgent[agent] = slices.Clone(entries)
}

// RemoveAgent forgets what a lost agent said.
func (vi *View) RemoveAgent(agent string) { delete(vi.entriesByAgent, agent) }

// Entries returns every living entry, this one included, in order.
func (vi *View) Entries() []string {
	all := []string{vi.Self}
	for _, entries := range vi.entriesByAgent {
		all = append(all, entries...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// IsWatcher reports whether this entry is one of those that watch the store.
func (vi *View) IsWatcher() bool {
	ranked := rendezvous.Rank(WatchKey, vi.Entries())
	return slices.Contains(ranked[:min(watcherCount, len(ranked))], vi.Self)
}

// IsLeader reports whether this entry is the first of those that watch. At most a
// few lead at once while entries come and go; what a leader does must bear
// that.
func (vi *View) IsLeader() bool {
	return rendezvous.First(WatchKey, vi.Entries()) == vi.Self
}
