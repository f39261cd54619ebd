package pool

import "time"

const (
	// heldFor is how long a server is taken to hold what it has read since it was last
	// asked for it; it gives way to others' prompts some time.
	heldFor = 20 * time.Second
	// homeChance and strangerChance are the chances that a server holds the start of a
	// prompt before anything was seen: of the one that ranks first, and of any other.
	homeChance     = 0.7
	strangerChance = 0.0
	// tellingRead is the least time for a shared part from which an answer tells whether
	// it was read.
	tellingRead = 20 * time.Millisecond
	// anyServer stands for all servers.
	anyServer = ""
	// chanceStep is the weight of the newest answer in these chances.
	chanceStep = 0.02
)

// holdings is what one process knows of what servers have read for it, and how often
// they hold what others had them read. The zero value knows nothing.
type holdings struct {
	// read holds when each server last read something, by server and hash of the part.
	read  map[string]map[uint64]time.Time
	swept time.Time
	// seen says that chances have been learnt.
	seen           bool
	home, stranger float64
}

// has reports whether a server is known to hold a part.
func (ho *holdings) has(server string, part uint64, now time.Time) bool {
	at, ok := ho.read[server][part]
	return ok && now.Sub(at) < heldFor
}

// add notes that a server has read a part.
func (ho *holdings) add(server string, part uint64, now time.Time) {
	if ho.read == nil {
		ho.read = map[string]map[uint64]time.Time{}
	}
	if now.Sub(ho.swept) > heldFor {
		ho.sweep(now)
	}
	if ho.read[server] == nil {
		ho.read[server] = map[uint64]time.Time{}
	}
	ho.read[server][part] = now
}

// sweep forgets what was read long ago.
func (ho *holdings) sweep(now time.Time) {
	ho.swept = now
	for _, parts := range ho.read {
		for part, at := range parts {
			if now.Sub(at) >= heldFor {
				delete(parts, part)
			}
		}
	}
}

// forget drops a server that is gone.
func (ho *holdings) forget(server string) { delete(ho.read, server) }

// chance returns how likely a server holds a part of which nothing is known.
func (ho *holdings) chance(home bool) float64 {
	if !ho.seen {
		ho.seen, ho.home, ho.stranger = true, homeChance, strangerChance
	}
	if home {
		return ho.home
	}
	return ho.stranger
}

// learn takes whether a server turned out to hold a part of which nothing was known.
func (ho *holdings) learn(home, held bool) {
	was := ho.chance(home)
	now := was * (1 - chanceStep)
	if held {
		now += chanceStep
	}
	if home {
		ho.home = now
	} else {
		ho.stranger = now
	}
}
