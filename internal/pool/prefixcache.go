package pool

import "time"

const (
	// cacheTTL is how long after its last use a prompt section is assumed to stay in a server's
	// cache.
	cacheTTL = 20 * time.Second
	// initialHomeHitRate and initialOtherHitRate are the initial probabilities that a server has a
	// prompt's prefix cached: for the server that ranks first for the prompt and for any other.
	initialHomeHitRate  = 0.7
	initialOtherHitRate = 0.0
	// minHitTestPrefill is the shortest prefill time of a prefix for which the time of a response
	// shows whether the prefix was cached.
	minHitTestPrefill = 20 * time.Millisecond
	// anyServer is the key under which prompts are recorded that any server has processed.
	anyServer = ""
	// hitRateSmoothing is the weight of the newest response in the hit rates.
	hitRateSmoothing = 0.02
)

// prefixCache tracks which prompt sections (prefixes and full prompts) servers have processed for
// this process, and how often they have sections cached that they processed for others. The zero
// value is empty.
type prefixCache struct {
	// lastUse holds when each server last processed a section, by server and hash of the section.
	lastUse   map[string]map[uint64]time.Time
	lastSweep time.Time
	// initialized is set once homeHitRate and otherHitRate have their initial values.
	initialized               bool
	homeHitRate, otherHitRate float64
}

// has reports whether a server is expected to have a section cached from this process's requests.
func (pc *prefixCache) has(server string, section uint64, now time.Time) bool {
	at, ok := pc.lastUse[server][section]
	return ok && now.Sub(at) < cacheTTL
}

// add records that a server has processed a section.
func (pc *prefixCache) add(server string, section uint64, now time.Time) {
	if pc.lastUse == nil {
		pc.lastUse = map[string]map[uint64]time.Time{}
	}
	if now.Sub(pc.lastSweep) > cacheTTL {
		pc.sweep(now)
	}
	if pc.lastUse[server] == nil {
		pc.lastUse[server] = map[uint64]time.Time{}
	}
	pc.lastUse[server][section] = now
}

// sweep removes sections that have not been used for cacheTTL.
func (pc *prefixCache) sweep(now time.Time) {
	pc.lastSweep = now
	for _, sections := range pc.lastUse {
		for section, at := range sections {
			if now.Sub(at) >= cacheTTL {
				delete(sections, section)
			}
		}
	}
}

// forget removes the sections of a server.
func (pc *prefixCache) forget(server string) { delete(pc.lastUse, server) }

// hitRate returns the probability that a server has a section cached that it did not process for
// this process. home is set for the server that ranks first for the prompt.
func (pc *prefixCache) hitRate(home bool) float64 {
	if !pc.initialized {
		pc.initialized, pc.homeHitRate, pc.otherHitRate = true, initialHomeHitRate, initialOtherHitRate
	}
	if home {
		return pc.homeHitRate
	}
	return pc.otherHitRate
}

// observeHit updates the hit rate of home or other servers.
func (pc *prefixCache) observeHit(home, hit bool) {
	old := pc.hitRate(home)
	now := old * (1 - hitRateSmoothing)
	if hit {
		now += hitRateSmoothing
	}
	if home {
		pc.homeHitRate = now
	} else {
		pc.otherHitRate = now
	}
}
