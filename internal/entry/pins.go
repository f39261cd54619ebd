package entry

import "github.com/linnetrudder/linnetrudder/internal/claim"

// maxPinsPerGeneration is how many sessions one generation of the cache holds.
const maxPinsPerGeneration = 20_000

// pinRotationInterval is the time between two generations. Two of them are less than what
// a home keeps a claim for.
const pinRotationInterval = claim.Retention / 4

// pinCache remembers the versions of sessions in two generations. An entry of
// it lives for two turns at the most, whether it is used or not: then the claim
// is made again, and its home keeps it longer.
type pinCache struct {
	// current takes new entries; once full it becomes previous, and previous goes.
	current, previous map[string]string
}

func (pc *pinCache) get(key string) string {
	if version, ok := pc.current[key]; ok {
		return version
	}
	return pc.previous[key]
}

func (pc *pinCache) put(key, version string) {
	if pc.current == nil || len(pc.current) >= maxPinsPerGeneration {
		pc.rotate()
	}
	pc.current[key] = version
}

// rotate begins a new generation. The clock does so too, every pinTurn.
func (pc *pinCache) rotate() {
	pc.previous = pc.current
	pc.current = map[string]string{}
}
