package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/directory"
)

const (
	// candidates is how many servers are weighed for a prompt, of all and again of those
	// in the own data centre. Reports are some tenths of a second old: if all processes
	// weighed all servers, they would all send to the same idle one at once. 2, 3 and 5
	// differ by 0.003 in worth over 36 days.
	candidates = 3
	// strangerCost is how many times the shared part of a prompt counts for a server
	// that does not hold it: besides the time it takes there, it makes others' prompts
	// give way. 1, 1.5, 2 and 3 give 0.648, 0.658, 0.665 and 0.663 in worth over the
	// days with trouble of 36 days.
	strangerCost = 2
	// nearRead is the time in which a shared part is read up to which each data centre
	// has a server of its own for it: the way there costs more than reading it twice.
	nearRead = 200 * time.Millisecond
	// wayCost is what each KB of a request counts on its way to another data centre.
	// None, 3 and 10 ms are worth the same; 10 ms take a tenth from the bytes.
	wayCost = 5 * time.Millisecond
	// headOverhead is what the head of an answer takes besides its prompt.
	headOverhead = 20 * time.Millisecond
)

// Prompt is what a model is to read. The zero value is that of a request without one.
type Prompt struct {
	// Model is the model that reads it.
	Model string
	// PerToken is how long the model takes for a token as long as that is not known from
	// its answers.
	PerToken time.Duration
	// Start names the part that other requests share, Whole all of it, which only later
	// requests of the same session share.
	Start, Whole string
	// Shared and Own are the tokens of the shared part and of the rest.
	Shared, Own int
	// KB is the size of the request.
	KB float64
}

// start and whole name what a server may hold: memory belongs to a model.
func (pr Prompt) start() uint64 { return xxhash.Sum64String(pr.Model + "\x00" + pr.Start) }

func (pr Prompt) whole() uint64 { return xxhash.Sum64String(pr.Model + "\x01" + pr.Whole) }

// reading is how long a usual server takes for the parts of a prompt.
type reading struct{ shared, own time.Duration }

func (po *Pool) readingOf(pr Prompt) reading {
	return reading{shared: po.ReadTime(pr, float64(pr.Shared)), own: po.ReadTime(pr, float64(pr.Own))}
}

// expected returns how long a server will most likely read a prompt.
func (po *Pool) expected(se *directory.Server, pr Prompt, re reading, home bool, now time.Time) time.Duration {
	took := re.own
	switch {
	case pr.Whole != "" && po.holdings.has(se.Key(), pr.whole(), now):
		return 0
	case !po.holdings.has(se.Key(), pr.start(), now):
		took += time.Duration((1 - po.holdings.chance(home)) * float64(re.shared))
	}
	return took
}

// holder returns the server that suits a prompt best: the one that ranks first by
// rendezvous hashing most likely holds its start, in its own data centre another one
// may, any other must read it too; each has its load to work off before, and the way to
// another data centre costs.
func (po *Pool) holder(list []*directory.Server, pr Prompt, now time.Time) Offer {
	re, start := po.readingOf(pr), pr.start()
	var best Offer
	least := time.Duration(0)
	weigh := func(se *directory.Server, home bool) {
		of := Offer{server: se, home: home, wait: po.load(se.Key()), read: po.expected(se, pr, re, home, now)}
		cost := of.wait + re.own
		if !home && !po.holdings.has(se.Key(), start, now) {
			cost += strangerCost * re.shared
		}
		if se.DataCentre != po.DataCentre {
			cost += time.Duration(pr.KB * float64(wayCost))
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

// leaders holds the servers that rank first by rendezvous hashing, the first one in
// front. The zero value holds none.
type leaders struct {
	list  [candidates]*directory.Server
	ranks [candidates]uint64
	n     int
}

// add takes a server whose id and key have a hash.
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
