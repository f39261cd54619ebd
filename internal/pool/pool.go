// Package pool chooses the backend server for an attempt of a gateway: the one
// that most likely holds the start of the prompt, as long as its load allows,
// and otherwise the least loaded. It does no I/O and reads no clock; randomness
// is an argument.
package pool

import (
	"math"
	"slices"
	"time"

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
	// remoteCost is the load that a server in another data centre must have
	// less than one in the own to be preferred, in attempts.
	remoteCost = 2
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
