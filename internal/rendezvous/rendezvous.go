// Package rendezvous ranks names for a key by highest random weight, so that
// processes with the same list agree without a word and a change of the list
// moves only what it must.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in order of weight for the key, heaviest first.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// First returns the heaviest name, "" if there is none. It costs one pass.
func First(key string, names []string) string {
	best, most := "", uint64(0)
	for _, na := range names {
		if we := weight(key, na); best == "" || we > most || we == most && na < best {
			best, most = na, we
		}
	}
	return best
}

func weight(key, name string) uint64 {
	var di xxhash.Digest
	di.Reset()
	_, _ = di.WriteString(key)
	_, _ = di.WriteString("\x00")
	_, _ = di.WriteString(name)
	return di.Sum64()
}
