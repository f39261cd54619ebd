package entry

import "github.com/linnetrudder/linnetrudder/internal/claim"

// maxPinsPerGeneration is the maximum number of sessions in one generation of the cache.
const maxPinsPerGeneration = 20_000

// pinRotationInterval is the time between two rotations. Two of them are shorter than the time for
// which a claim is retained.
const pinRotationInterval = claim.Retention / 4

// pinCache caches the versions of sessions in two generations. A cached version expires after two
// rotations at most, even if it is in use. The session's claim is then requested again, which
// extends its retention.
type pinCache struct {
	// current receives new entries. When it is full it becomes previous, and the old previous is
	// dropped.
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

// rotate starts a new generation. It is also called every pinRotationInterval.
func (pc *pinCache) rotate() {
	pc.previous = pc.current
	pc.current = map[string]string{}
}
