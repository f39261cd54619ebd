// Package pool chooses the backend server for an attempt of a gateway: the one
// that most likely holds the start of the prompt, as long as its load allows,
// and otherwise the least loaded. It does no I/O and reads no clock; randomness
// is an argument.
package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/outlier"
)

const (
	// affinityBound is how much more than the mean load a server may have and
	// still be chosen for the prompt that it holds (consistent hashing with
	// bounded loads uses 1.25 to 2).
	affinityBound = 1.5
	// affinityRoom is the load, in attempts, up to which a server is chosen for
	// the prompt that it holds, however idle the others are.
	affinityRoom = 3
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
	// Affinity is the start of the prompt that a server may hold; empty for
	// requests without one.
	Affinity string
	// Tried holds the ids of servers that are not to be chosen again.
	Tried []string
}

// Pool is what one process knows of the backend servers. Its exported fields
// are set before use; it is not safe for concurrent use.
type Pool struct {
	// DataCentre is the process's own.
	DataCentre string
	Directory  *directory.Directory

	outliers outlier.Detector
	// running counts the own attempts in progress by server id.
	running map[string]int
}

// Pick returns a server for an attempt. If every server that fits was ejected,
// it returns one of them rather than none.
func (po *Pool) Pick(ask Ask, random uint64, now time.Time) (*directory.Server, bool) {
	var usable, ejected []*directory.Server
	for _, se := range po.Directory.Servers(ask.Service) {
		switch {
		case slices.Contains(ask.Tried, se.ID):
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
		return po.holder(usable, ask.Affinity), true
	}
	return po.leastLoaded(usable, random), true
}

// holder returns the server that ranks first for the prompt by rendezvous
// hashing among those whose load is within the bound.
func (po *Pool) holder(list []*directory.Server, key string) *directory.Server {
	total := 0
	for _, se := range list {
		total += po.running[se.ID]
	}
	bound := max(affinityRoom, affinityBound*float64(total+1)/float64(len(list)))
	var best *directory.Server
	most := uint64(0)
	for _, se := range list {
		if float64(po.running[se.ID]) > bound {
			continue
		}
		if we := xxhash.Sum64String(key + "\x00" + se.ID); best == nil || we > most {
			best, most = se, we
		}
	}
	return best
}

// leastLoaded returns the server with the fewest own attempts, those in
// another data centre charged for the way; equals are chosen at random.
func (po *Pool) leastLoaded(list []*directory.Server, random uint64) *directory.Server {
	start := int(random % uint64(len(list)))
	var best *directory.Server
	least := 0
	for i := range list {
		se := list[(start+i)%len(list)]
		load := po.running[se.ID]
		if se.DataCentre != po.DataCentre {
			load += remoteCost
		}
		if best == nil || load < least {
			best, least = se, load
		}
	}
	return best
}

// Started notes an attempt.
func (po *Pool) Started(id string, now time.Time) {
	if po.running == nil {
		po.running = map[string]int{}
	}
	po.running[id]++
	po.outliers.Sent(id, now)
}

// Ended notes the end of an attempt.
func (po *Pool) Ended(id string) {
	po.running[id]--
	if po.running[id] <= 0 {
		delete(po.running, id)
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
func (po *Pool) Forget(id string) { po.outliers.Forget(id) }
