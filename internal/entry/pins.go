package entry

import "github.com/linnetrudder/linnetrudder/internal/claim"

// maxPins is how many sessions one generation of the cache holds.
const maxPins = 20_000

// pinTurn is the time between two generations. Two of them are less than what
// a home keeps a claim for.
const pinTurn = claim.Retention / 4

// pinCache remembers the versions of sessions in two generations. An entry of
// it lives for two turns at the most, whether it is used or not: then the claim
// is made again, and its home keeps it longer.
type pinCache struct {
	// young takes new entries; once full it becomes old, and old goes.
	young, old map[string]string
}

func (pc *pinCache) get(key string) string {
	if version, ok := pc.young[key]; ok {
		return version
	}
	return pc.old[key]
}

func (pc *pinCache) put(key, version string) {
	if pc.young == nil || len(pc.young) >= maxPins {
		pc.turn()
	}
	pc.young[key] = version
}

// turn begins a new generation. The clock does so too, every pinTurn.
func (pc *pinCache) turn() {
	pc.old = pc.young
	pc.young = map[string]string{}
}
