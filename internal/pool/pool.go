// Package pool chooses the backend server for an attempt of a gateway: the one
// that most likely holds the start of the prompt, as long as its load allows,
// and otherwise the least loaded. It does no I/O and reads no clock; randomness
// is an argument.
package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/outlier"
	"github.com/linnetrudder/linnetrudder/internal/pace"
)

const (
	// attemptWork is what an attempt in progress adds to its server's load
	// besides its prompt, in tokens: it slows each step of the others a little.
	attemptWork = 60
	// crowdPart is the part of the other processes that are taken to have as much work
	// in progress on a server as this one, as long as they do not report it. Measured
	// with 4 processes and with 30 (docs/design/platform.md).
	crowdPart = 0.5
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
	// remoteCost is the load that a server in another data centre must have
	// less than one in the own to be preferred, in attempts.
	remoteCost = 2
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

// Ask is what an attempt needs.
type Ask struct {
	Service string
	// Version restricts the choice to servers of one version if Only is set,
	// and to servers of any other version if Except is set.
	Version      string
	Only, Except bool
	// Without holds versions that get nothing.
	Without []string
	// Affinity names the start of the prompt that a server may hold; empty for
	// requests without one.
	Affinity string
	// Held is the work of reading that start, in tokens of the smallest model; a
	// server that holds it is spared it.
	Held float64
	// Work is that of reading the rest of the prompt.
	Work float64
	// Tier is that of the model that is asked.
	Tier Tier
	// Tried holds the ids of servers that are not to be chosen again.
	Tried []string
}

// Pool is what one process knows of the backend servers. Its exported fields
// are set before use; it is not safe for concurrent use.
type Pool struct {
	// DataCentre is the process's own.
	DataCentre string
	Directory  *directory.Directory
	// Members is how many processes share the servers, this one included. It may
	// change at any time.
	Members int
	// Loads holds the work of the other processes.
	Loads *load.Table

	outliers outlier.Detector
	// relative knows which servers are slower than others.
	relative pace.Relative
	// running counts the own attempts in progress by server id.
	running map[string]int
	// reading is the work of the own prompts that servers have not read yet, by
	// server id, in tokens of the smallest model.
	reading map[string]float64
	// heard is when each server last answered anything, by server id.
	heard map[string]time.Time
}

// Pick returns a server for an attempt. If every server that fits was ejected,
// it returns one of them rather than none.
func (po *Pool) Pick(ask Ask, random uint64, now time.Time) (*directory.Server, bool) {
	var usable, ejected []*directory.Server
	for _, se := range po.Directory.Servers(ask.Service) {
		switch {
		case slices.Contains(ask.Tried, se.ID):
		case slices.Contains(ask.Without, se.Version):
		case ask.Only && se.Version != ask.Version:
		case ask.Except && se.Version == ask.Version:
		case po.outliers.Usable(se.ID, now):
			usable = append(usable, se)
		default:
			ejected = append(ejected, se)
		}
	}
	if len(usable) == 0 {
		usable = ejected
	}
	if len(usable) == 0 {
		return nil, false
	}
	if ask.Affinity != "" {
		return po.holder(usable, ask), true
	}
	return po.leastLoaded(usable, random), true
}

// holder returns the server that will probably have read the prompt first: the
// one that ranks first by rendezvous hashing holds its start already, any other
// must read it too, and each has its load to work off before. The smallest model and
// the larger ones have servers of their own, as far as those suffice: a long prompt
// of a large model delays everything beside it, and a server that holds the prompts
// of fewer models holds more of each.
func (po *Pool) holder(list []*directory.Server, ask Ask) *directory.Server {
	own, others := parted(list, ask.Tier)
	home := leading(own, ask.Affinity, 1)[0]
	if po.Loads.Known() {
		own = leading(own, ask.Affinity, candidates)
		others = leading(others, ask.Affinity, otherCandidates)
	}
	best, least := home, po.ahead(home)+po.relative.Factor(home.ID)*ask.Work
	for _, se := range own {
		work := po.ahead(se) + po.relative.Factor(se.ID)*(ask.Work+ask.Held)
		if se != home && work < least {
			best, least = se, work
		}
	}
	for _, se := range others {
		work := po.ahead(se) + po.relative.Factor(se.ID)*(ask.Work+ask.Held) + mixWork
		if work < least {
			best, least = se, work
		}
	}
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

// load returns the work that a server has still to do for all processes, in tokens
// of the smallest model.
func (po *Pool) load(id string) float64 {
	own := po.reading[id] + attemptWork*float64(po.running[id])
	if po.Loads.Known() {
		return own + attemptWork*float64(po.Loads.On(id))
	}
	return own * max(1, crowdPart*float64(po.Members))
}

// attempts returns the attempts in progress at a server, as far as they are known.
func (po *Pool) attempts(id string) int { return po.running[id] + int(po.Loads.On(id)) }

// Work returns the own work that servers have still to do, for a report.
func (po *Pool) Work() load.Work {
	wo := make(load.Work, len(po.running))
	for id, running := range po.running {
		wo[load.KeyOf(id)] = uint32(running) + uint32(math.Round(po.reading[id]/attemptWork))
	}
	return wo
}

// leastLoaded returns the server with the fewest attempts, those in another data
// centre charged for the way; equals are chosen at random.
func (po *Pool) leastLoaded(list []*directory.Server, random uint64) *directory.Server {
	start := int(random % uint64(len(list)))
	var best *directory.Server
	least := 0
	for i := range list {
		se := list[(start+i)%len(list)]
		attempts := po.attempts(se.ID)
		if se.DataCentre != po.DataCentre {
			attempts += remoteCost
		}
		if best == nil || attempts < least {
			best, least = se, attempts
		}
	}
	return best
}

// Started notes an attempt whose prompt is so much work to read.
func (po *Pool) Started(id string, work float64, now time.Time) {
	if po.running == nil {
		po.running = map[string]int{}
		po.reading = map[string]float64{}
	}
	po.running[id]++
	po.reading[id] += work
	po.outliers.Sent(id, now)
}

// Read notes that the prompt of an attempt was read, or is not to be any more.
func (po *Pool) Read(id string, work float64) {
	po.reading[id] = max(0, po.reading[id]-work)
}

// Took notes how long the head of an answer of a kind took whose prompt was so much
// work in tokens.
func (po *Pool) Took(id, kind string, work float64, took time.Duration) {
	po.relative.Observe(id, kind, work, took)
}

// Hear notes that a server answered.
func (po *Pool) Hear(id string, now time.Time) {
	if po.heard == nil {
		po.heard = map[string]time.Time{}
	}
	po.heard[id] = now
}

// Heard returns when a server last answered, the zero time if it never did.
func (po *Pool) Heard(id string) time.Time { return po.heard[id] }

// Ended notes the end of an attempt.
func (po *Pool) Ended(id string) {
	po.running[id]--
	if po.running[id] <= 0 {
		delete(po.running, id)
		delete(po.reading, id)
	}
}

// Running returns the own attempts in progress on a server.
func (po *Pool) Running(id string) int { return po.running[id] }

// Succeeded notes an answer that came as it should. It reports whether an
// ejected server is in use again.
func (po *Pool) Succeeded(id string) bool { return po.outliers.Succeeded(id) }

// Failed notes a failure of a server. It reports whether that ejects it.
func (po *Pool) Failed(id string, now time.Time) bool { return po.outliers.Failed(id, now) }

// Forget drops a server that is gone.
func (po *Pool) Forget(id string) {
	po.outliers.Forget(id)
	po.relative.Forget(id)
	delete(po.heard, id)
}
