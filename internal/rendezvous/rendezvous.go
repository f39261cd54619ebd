// Package rendezvous implements rendezvous hashing (highest random weight). Processes with the same
// list of names rank them in the same order without communicating, and a change to the list moves as
// few keys as possible.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in descending order of their weights for the key.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// First returns the name with the highest weight for the key, or "" if there are no names. It takes
// one pass over the names and does not sort them.
func First(key string, names []string) string {
	best, maxWeight := "", uint64(0)
	for _, na := range names {
		if we := weight(key, na); best == "" || we > maxWeight || we == maxWeight && na < best {
			best, maxWeight = na, we
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
