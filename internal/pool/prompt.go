package pool

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/directory"
)

const (
	// candidates is how many servers of the own tier are weighed for a prompt, and
	// otherCandidates how many of the others. Reports are some tenths of a second old:
	// if all processes weighed all servers, they would all send to the same idle one at
	// once. Eight of all servers instead of four made no difference.
	candidates      = 3
	otherCandidates = 2
	// smallPart is the part of the servers that the smallest of several models uses
	// first. It does a fifth of the work on the users' sites; its answers come before
	// all others, so that its servers should have time. Measured: 0.22, 0.25 and 0.3
	// differ by less than the noise (docs/design/platform.md).
	smallPart = 0.3
	// mixWork is what a model's prompt must be sooner by on the other models' servers
	// to go there, in tokens of the smallest model: 0.35 s on the users' servers, what
	// a usual prompt of the largest model delays those beside it.
	mixWork = 100_000
)

// Tier says which of several models is asked.
type Tier string

// The tiers.
const (
	// AnyTier is that of a service without models, or whose caller chose one.
	AnyTier Tier = ""
	// Small is the smallest model, Large any other.
	Small Tier = "small"
	Large Tier = "large"
)

// holder returns the server that will probably have read the prompt first: the
// one that ranks first by rendezvous hashing holds its start already, any other
// must read it too, and each has its load to work off before. The smallest model and
// the larger ones have servers of their own, as far as those suffice: a long prompt
// of a large model delays everything beside it, and a server that holds the prompts
// of fewer models holds more of each.
func (po *Pool) holder(list []*directory.Server, ask Ask) *directory.Server {
	own, others := parted(list, ask.Tier)
	ranked := leading(own, ask.Affinity, candidates)
	home := ranked[0]
	if po.Loads.Known() {
		own = ranked
		others = leading(others, ask.Affinity, otherCandidates)
	}
	best, least := home, po.ahead(home)+po.relative.Factor(home.ID)*ask.Work
	weigh := func(list []*directory.Server, extra float64) {
		for _, se := range list {
			work := po.ahead(se) + po.relative.Factor(se.ID)*(ask.Work+ask.Held) + extra
			if se != home && work < least {
				best, least = se, work
			}
		}
	}
	weigh(own, 0)
	weigh(others, mixWork)
	return best
}

// ahead returns how long a server has to work for what is in progress there, as the
// work that a usual server does in that time.
func (po *Pool) ahead(se *directory.Server) float64 {
	return po.relative.Factor(se.ID) * po.load(se.ID)
}

// parted returns the servers that a tier uses first, and those that it uses if that
// is better all the same.
func parted(list []*directory.Server, tier Tier) (own, others []*directory.Server) {
	small := int(math.Ceil(smallPart * float64(len(list))))
	switch {
	case tier == AnyTier || small == len(list):
		return list, nil
	case tier == Small:
		return list[:small], list[small:]
	default:
		return list[small:], list[:small]
	}
}

// leading returns the servers that rank first for a key, the first one in front.
func leading(list []*directory.Server, key string, most int) []*directory.Server {
	type ranked struct {
		server *directory.Server
		rank   uint64
	}
	first := make([]ranked, 0, most+1)
	for _, se := range list {
		ra := ranked{se, xxhash.Sum64String(key + "\x00" + se.ID)}
		at, _ := slices.BinarySearchFunc(first, ra, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		if at < most {
			first = slices.Insert(first, at, ra)
			first = first[:min(most, len(first))]
		}
	}
	servers := make([]*directory.Server, len(first))
	for i, ra := range first {
		servers[i] = ra.server
	}
	return servers
}
