package pool

import "time"

const (
	// heldFor is how long after its last use a part of a prompt is assumed to be cached by its server.
	heldFor = 20 * time.Second
	// homeChance and strangerChance are the initial chances that a server holds the start of a
	// prompt: the one that ranks first, and any other.
	homeChance     = 0.7
	strangerChance = 0.0
	// leastTellingRead is the least reading time of a shared part from which an answer shows whether
	// it was cached.
	leastTellingRead = 20 * time.Millisecond
	// anyServer stands for all servers.
	anyServer = ""
	// chanceStep is the weight of the newest answer in these chances.
	chanceStep = 0.02
)

// holdings tracks which parts of prompts servers have read for this process, and the chances that
// they hold what they read for others. The zero value is empty.
type holdings struct {
	// read holds when each server last read something, by server and hash of the part.
	read  map[string]map[uint64]time.Time
	swept time.Time
	// seen is set once home and stranger are estimates.
	seen           bool
	home, stranger float64
}

// has reports whether a server is known to hold a part.
func (ho *holdings) has(server string, part uint64, now time.Time) bool {
	at, ok := ho.read[server][part]
	return ok && now.Sub(at) < heldFor
}

// add records that a server has read a part.
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

// sweep drops parts that were read long ago.
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

// chance returns the probability that a server holds a part that it did not read for this process.
func (ho *holdings) chance(home bool) float64 {
	if !ho.seen {
		ho.seen, ho.home, ho.stranger = true, homeChance, strangerChance
	}
	if home {
		return ho.home
	}
	return ho.stranger
}

// learn updates that probability.
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
