package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/directory"
)

const (
	// candidates is how many servers are compared for a prompt, of all and of those in the own data
	// centre. With all of them, processes that share delayed reports would choose the same idle one.
	candidates = 3
	// strangerCost is the weight of the shared part for a server that does not hold it: reading it
	// also evicts other prompts.
	strangerCost = 2
	// nearRead is the reading time up to which a shared part is read once in each data centre.
	nearRead = 200 * time.Millisecond
	// wayCost is the cost of each KB of a request to another data centre.
	wayCost = 5 * time.Millisecond
	// headOverhead is the time to the head of an answer besides the prompt's.
	headOverhead = 20 * time.Millisecond
)

// Prompt is what a model is to read. The zero value is that of a request without one.
type Prompt struct {
	// Model is the model that reads it.
	Model string
	// PrefillPerToken is the assumed reading time of a token until answers of the model show it.
	PrefillPerToken time.Duration
	// PrefixID names the part that other requests share, FullID all of it, which only later
	// requests of the same session share.
	PrefixID, FullID string
	// PrefixTokens and SuffixTokens are the tokens of the shared part and of the rest.
	PrefixTokens, SuffixTokens int
	// SizeKB is the size of the request.
	SizeKB float64
}

// start and whole hash a prompt's parts with its model, to which the cache belongs.
func (pr Prompt) start() uint64 { return xxhash.Sum64String(pr.Model + "\x00" + pr.PrefixID) }

func (pr Prompt) whole() uint64 { return xxhash.Sum64String(pr.Model + "\x01" + pr.FullID) }

// reading is how long a typical server reads the parts of a prompt.
type reading struct{ shared, own time.Duration }

func (po *Pool) readingOf(pr Prompt) reading {
	return reading{shared: po.PrefillTime(pr, float64(pr.PrefixTokens)), own: po.PrefillTime(pr, float64(pr.SuffixTokens))}
}

// expected returns the expected reading time of a prompt on a server.
func (po *Pool) expected(se *directory.Server, pr Prompt, re reading, home bool, now time.Time) time.Duration {
	took := re.own
	switch {
	case pr.FullID != "" && po.holdings.has(se.Key(), pr.whole(), now):
		return 0
	case !po.holdings.has(se.Key(), pr.start(), now):
		took += time.Duration((1 - po.holdings.chance(home)) * float64(re.shared))
	}
	return took
}

// holder returns the server with the least expected time for a prompt: its backlog, the parts that it
// has to read, and the way to another data centre. Servers that rank first by rendezvous hashing most
// likely hold the prompt's start.
func (po *Pool) holder(list []*directory.Server, pr Prompt, now time.Time) Selection {
	re, start := po.readingOf(pr), pr.start()
	var best Selection
	least := time.Duration(0)
	weigh := func(se *directory.Server, home bool) {
		of := Selection{server: se, home: home, wait: po.load(se.Key()), read: po.expected(se, pr, re, home, now)}
		cost := of.wait + re.own
		if !home && !po.holdings.has(se.Key(), start, now) {
			cost += strangerCost * re.shared
		}
		if se.DataCentre != po.DataCentre {
			cost += time.Duration(pr.SizeKB * float64(wayCost))
		}
		if best.server == nil || cost < least {
			best, least = of, cost
		}
	}
	var all, near leaders
	for _, se := range list {
		weight := start ^ se.Hash()
		all.add(se, weight)
		if se.DataCentre == po.DataCentre {
			near.add(se, weight)
		}
	}
	for i, se := range all.servers() {
		weigh(se, i == 0)
	}
	for i, se := range near.servers() {
		weigh(se, i == 0 && re.shared <= nearRead)
	}
	return best
}

// leaders holds the servers that rank first by rendezvous hashing, in order. The zero value holds
// none.
type leaders struct {
	list  [candidates]*directory.Server
	ranks [candidates]uint64
	n     int
}

// add adds a server by the hash of its id and the key.
func (le *leaders) add(se *directory.Server, hash uint64) {
	rank := mix(hash)
	at := le.n
	for at > 0 && rank > le.ranks[at-1] {
		at--
	}
	if at == candidates {
		return
	}
	le.n = min(le.n+1, candidates)
	copy(le.list[at+1:le.n], le.list[at:])
	copy(le.ranks[at+1:le.n], le.ranks[at:])
	le.list[at], le.ranks[at] = se, rank
}

func (le *leaders) servers() []*directory.Server { return le.list[:le.n] }

// mix spreads the bits of a hash evenly: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
