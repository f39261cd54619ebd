// Package balance chooses the backend server for an attempt: of two drawn at
// random the less loaded one, in the own data centre first. It does no I/O
// and reads no clock; randomness is an argument.
package balance

import (
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// fullLoad is the load for each slot at which other data centres are looked
// at: as much again waits as runs.
const fullLoad = 2.0

// server is what is known of one backend server.
type server struct {
	name, dataCentre string
	// up is true while the link to its agent is open.
	up bool
	// leaving is set once the list of boxes says so; it is cleared only by Up.
	leaving bool
	// draining is what the agent reported last.
	draining bool
	// slots, running and queued are as last reported.
	slots, running, queued int
	// sent counts the attempts sent since the last report.
	sent int
}

func (se *server) usable() bool { return se.up && !se.leaving && !se.draining }

// load returns the attempts for each slot, those on the way included.
func (se *server) load() float64 {
	return float64(se.running+se.queued+se.sent) / float64(max(1, se.slots))
}

// pool is the servers that hold one version or answer one service.
type pool struct{ local, remote []*server }

// Balancer is what an entry knows of all backend servers. Its exported fields
// are set before use; it is not safe for concurrent use.
type Balancer struct {
	// DataCentre is the entry's own.
	DataCentre string

	servers map[string]*server
	// pools is rebuilt when the configuration or a link changes, so that a
	// choice reads two servers however many there are.
	pools    map[string]pool
	snapshot *config.Snapshot
}

// Reconfigure takes a newer configuration.
func (bo *Balancer) Reconfigure(sn *config.Snapshot) {
	bo.snapshot = sn
	bo.rebuild()
}

// LinkUp notes that the link to a server's agent is open.
func (bo *Balancer) LinkUp(name, dataCentre string) {
	if bo.servers == nil {
		bo.servers = map[string]*server{}
	}
	bo.servers[name] = &server{name: name, dataCentre: dataCentre, up: true}
	bo.rebuild()
}

// LinkDown notes that the link to a server's agent has ended.
func (bo *Balancer) LinkDown(name string) {
	if se := bo.servers[name]; se != nil {
		se.up = false
		bo.rebuild()
	}
}

// SetLeaving notes that a server takes nothing new.
func (bo *Balancer) SetLeaving(name string) {
	if se := bo.servers[name]; se != nil && !se.leaving {
		se.leaving = true
		bo.rebuild()
	}
}

// SetLoad notes what an agent reported.
func (bo *Balancer) SetLoad(name string, lo wire.Load) {
	se := bo.servers[name]
	if se == nil {
		return
	}
	se.running, se.queued, se.slots, se.sent = lo.Running, lo.Queued, lo.Slots, 0
	if lo.Leaving != se.draining {
		se.draining = lo.Leaving
		bo.rebuild()
	}
}

// AttemptSent notes an attempt that was sent.
func (bo *Balancer) AttemptSent(name string) {
	if se := bo.servers[name]; se != nil {
		se.sent++
	}
}

// Has reports whether any usable server holds the version or service.
func (bo *Balancer) Has(what string) bool {
	po := bo.pools[what]
	return len(po.local)+len(po.remote) > 0
}

// Pick returns a server that holds the version or service and was not tried
// yet. random is uniform over all 64-bit numbers.
func (bo *Balancer) Pick(what string, tried []string, random uint64) (string, bool) {
	po := bo.pools[what]
	local := twoChoices(po.local, tried, random)
	if local != nil && local.load() < fullLoad {
		return local.name, true
	}
	remote := twoChoices(po.remote, tried, random)
	switch {
	case local == nil && remote == nil:
		return "", false
	case remote == nil:
		return local.name, true
	case local == nil || remote.load() < local.load()/2:
		return remote.name, true
	}
	return local.name, true
}

// twoChoices draws two servers and returns the less loaded. Where both were
// tried it goes on from the second to the first that was not.
func twoChoices(list []*server, tried []string, random uint64) *server {
	n := uint64(len(list))
	if n == 0 {
		return nil
	}
	first := list[(random&0xffffffff)%n]
	second := list[(random>>32)%n]
	if slices.Contains(tried, first.name) {
		first = nil
	}
	if slices.Contains(tried, second.name) {
		second = nil
	}
	switch {
	case first == nil && second == nil:
		return untried(list, tried, (random>>32)%n)
	case first == nil:
		return second
	case second == nil || first.load() <= second.load():
		return first
	}
	return second
}

func untried(list []*server, tried []string, from uint64) *server {
	for i := range uint64(len(list)) {
		se := list[(from+i)%uint64(len(list))]
		if !slices.Contains(tried, se.name) {
			return se
		}
	}
	return nil
}

func (bo *Balancer) rebuild() {
	bo.pools = map[string]pool{}
	if bo.snapshot == nil {
		return
	}
	doc := bo.snapshot.Document()
	for i := range doc.Servers {
		co := &doc.Servers[i]
		se := bo.servers[co.Name]
		if se == nil || !se.usable() || co.Leaving || doc.Evacuated(co.DataCentre) {
			continue
		}
		if se.slots == 0 {
			se.slots = co.Slots
		}
		for _, what := range co.Versions {
			bo.add(what, se)
		}
		for _, what := range co.Services {
			bo.add(what, se)
		}
	}
}

func (bo *Balancer) add(what string, se *server) {
	po := bo.pools[what]
	if se.dataCentre == bo.DataCentre {
		po.local = append(po.local, se)
	} else {
		po.remote = append(po.remote, se)
	}
	bo.pools[what] = po
}
