package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/directory"
)

const (
	// candidates is the number of servers that are compared for a prompt, among all servers and
	// among those in the process's own data centre. If all servers were compared, processes that
	// share the same delayed reports would all select the same idle server.
	candidates = 3
	// cacheMissWeight is the weight of a prefix's prefill time on a server without it: processing
	// the prefix there also evicts other prompts from the cache.
	cacheMissWeight = 2
	// maxLocalPrefill is the prefill time up to which a prefix is cached once in each data centre
	// rather than once in all.
	maxLocalPrefill = 200 * time.Millisecond
	// remoteCostPerKB is the cost of sending a KB of a request to another data centre.
	remoteCostPerKB = 5 * time.Millisecond
	// headOverhead is the part of the time to a response head that does not depend on the prompt.
	headOverhead = 20 * time.Millisecond
)

// Prompt describes the prompt of a request. The zero value means that the request has none.
type Prompt struct {
	// Model is the model that processes the prompt.
	Model string
	// PrefillPerToken is the assumed prefill time per token until responses of the model give an
	// estimate.
	PrefillPerToken time.Duration
	// PrefixID identifies the prefix that other requests share, FullID the whole prompt, which
	// only later requests of the same session share.
	PrefixID, FullID string
	// PrefixTokens and SuffixTokens are the numbers of tokens in the prefix and in the rest.
	PrefixTokens, SuffixTokens int
	// SizeKB is the size of the request.
	SizeKB float64
}

// prefixHash and fullHash include the model, since each model has its own cache.
func (pr Prompt) prefixHash() uint64 { return xxhash.Sum64String(pr.Model + "\x00" + pr.PrefixID) }

func (pr Prompt) fullHash() uint64 { return xxhash.Sum64String(pr.Model + "\x01" + pr.FullID) }

// prefill is the time that a typical server needs to process the prefix and the rest of a prompt.
type prefill struct{ prefix, suffix time.Duration }

func (po *Pool) prefillOf(pr Prompt) prefill {
	return prefill{prefix: po.PrefillTime(pr, float64(pr.PrefixTokens)), suffix: po.PrefillTime(pr, float64(pr.SuffixTokens))}
}

// expectedPrefill returns the expected prefill time of a prompt on a server.
func (po *Pool) expectedPrefill(se *directory.Server, pr Prompt, pf prefill, home bool, now time.Time) time.Duration {
	took := pf.suffix
	switch {
	case pr.FullID != "" && po.prefixes.has(se.Key(), pr.fullHash(), now):
		return 0
	case !po.prefixes.has(se.Key(), pr.prefixHash(), now):
		took += time.Duration((1 - po.prefixes.hitRate(home)) * float64(pf.prefix))
	}
	return took
}

// cheapestForPrompt returns the server with the lowest expected cost for a prompt: its backlog, the
// prompt sections that it has to process, and the transfer to another data centre. Servers that
// rank first by rendezvous hashing most likely have the prefix cached.
func (po *Pool) cheapestForPrompt(list []*directory.Server, pr Prompt, now time.Time) Selection {
	pf, key := po.prefillOf(pr), pr.prefixHash()
	var best Selection
	least := time.Duration(0)
	consider := func(se *directory.Server, home bool) {
		sel := Selection{server: se, home: home, wait: po.load(se.Key()), prefill: po.expectedPrefill(se, pr, pf, home, now)}
		cost := sel.wait + pf.suffix
		if !home && !po.prefixes.has(se.Key(), key, now) {
			cost += cacheMissWeight * pf.prefix
		}
		if se.DataCentre != po.DataCentre {
			cost += time.Duration(pr.SizeKB * float64(remoteCostPerKB))
		}
		if best.server == nil || cost < least {
			best, least = sel, cost
		}
	}
	var all, near topRanked
	for _, se := range list {
		hash := key ^ se.Hash()
		all.add(se, hash)
		if se.DataCentre == po.DataCentre {
			near.add(se, hash)
		}
	}
	for i, se := range all.servers() {
		consider(se, i == 0)
	}
	for i, se := range near.servers() {
		consider(se, i == 0 && pf.prefix <= maxLocalPrefill)
	}
	return best
}

// topRanked holds the servers that rank first by rendezvous hashing, in order. The zero value is
// empty.
type topRanked struct {
	list  [candidates]*directory.Server
	ranks [candidates]uint64
	n     int
}

// add inserts a server by the hash of its id and the key.
func (tr *topRanked) add(se *directory.Server, hash uint64) {
	rank := mix(hash)
	at := tr.n
	for at > 0 && rank > tr.ranks[at-1] {
		at--
	}
	if at == candidates {
		return
	}
	tr.n = min(tr.n+1, candidates)
	copy(tr.list[at+1:tr.n], tr.list[at:])
	copy(tr.ranks[at+1:tr.n], tr.ranks[at:])
	tr.list[at], tr.ranks[at] = se, rank
}

func (tr *topRanked) servers() []*directory.Server { return tr.list[:tr.n] }

// mix spreads the bits of a hash evenly: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
