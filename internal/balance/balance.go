// Package balance selects the backend server for an attempt: the less loaded of two random servers,
// preferably in the same data centre. It does no I/O and reads no clock; randomness is an argument.
package balance

import (
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// spilloverLoad is the load per slot from which servers in other data centres are considered: as
// many attempts are queued as are running.
const spilloverLoad = 2.0

// server is the state of a backend server.
type server struct {
	name, dataCentre string
	// up is set while the link to the server's agent is open.
	up bool
	// leaving is set by SetLeaving and cleared only by LinkUp.
	leaving bool
	// draining is the state that the agent reported last.
	draining bool
	// slots, running and queued are the values that the agent reported last.
	slots, running, queued int
	// sent counts the attempts sent since the last report.
	sent int
}

func (se *server) usable() bool { return se.up && !se.leaving && !se.draining }

// load returns the attempts per slot, including those that were sent since the last report.
func (se *server) load() float64 {
	return float64(se.running+se.queued+se.sent) / float64(max(1, se.slots))
}

// serverPool holds the usable servers of a version or plain service.
type serverPool struct{ local, remote []*server }

// Balancer tracks the backend servers for one entry. Its exported fields are set before use. It is
// not safe for concurrent use.
type Balancer struct {
	// DataCentre is the entry's data centre.
	DataCentre string

	servers map[string]*server
	// pools is rebuilt when the configuration or a link changes, so that the cost of Pick does not
	// depend on the number of servers.
	pools    map[string]serverPool
	snapshot *config.Snapshot
}

// Reconfigure applies a newer configuration.
func (ba *Balancer) Reconfigure(sn *config.Snapshot) {
	ba.snapshot = sn
	ba.rebuild()
}

// LinkUp records that the link to a server's agent was opened.
func (ba *Balancer) LinkUp(name, dataCentre string) {
	if ba.servers == nil {
		ba.servers = map[string]*server{}
	}
	ba.servers[name] = &server{name: name, dataCentre: dataCentre, up: true}
	ba.rebuild()
}

// LinkDown records that the link to a server's agent was closed.
func (ba *Balancer) LinkDown(name string) {
	if se := ba.servers[name]; se != nil {
		se.up = false
		ba.rebuild()
	}
}

// SetLeaving records that the list of boxes marks a server as leaving, so that it gets no new
// attempts.
func (ba *Balancer) SetLeaving(name string) {
	if se := ba.servers[name]; se != nil && !se.leaving {
		se.leaving = true
		ba.rebuild()
	}
}

// SetLoad records an agent's load report.
func (ba *Balancer) SetLoad(name string, lo wire.Load) {
	se := ba.servers[name]
	if se == nil {
		return
	}
	se.running, se.queued, se.slots, se.sent = lo.Running, lo.Queued, lo.Slots, 0
	if lo.Leaving != se.draining {
		se.draining = lo.Leaving
		ba.rebuild()
	}
}

// AttemptSent records that an attempt was sent to a server.
func (ba *Balancer) AttemptSent(name string) {
	if se := ba.servers[name]; se != nil {
		se.sent++
	}
}

// Has reports whether any usable server provides the version or service.
func (ba *Balancer) Has(target string) bool {
	po := ba.pools[target]
	return len(po.local)+len(po.remote) > 0
}

// Pick returns a server that provides the version or service and is not in tried. random is uniform
// over all 64-bit numbers.
func (ba *Balancer) Pick(target string, tried []string, random uint64) (string, bool) {
	po := ba.pools[target]
	local := twoChoices(po.local, tried, random)
	if local != nil && local.load() < spilloverLoad {
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

// twoChoices draws two servers and returns the less loaded one. If both are in tried, it returns
// the first one after the second that is not.
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
		return firstUntried(list, tried, (random>>32)%n)
	case first == nil:
		return second
	case second == nil || first.load() <= second.load():
		return first
	}
	return second
}

func firstUntried(list []*server, tried []string, from uint64) *server {
	for i := range uint64(len(list)) {
		se := list[(from+i)%uint64(len(list))]
		if !slices.Contains(tried, se.name) {
			return se
		}
	}
	return nil
}

func (ba *Balancer) rebuild() {
	ba.pools = map[string]serverPool{}
	if ba.snapshot == nil {
		return
	}
	doc := ba.snapshot.Document()
	for i := range doc.Servers {
		co := &doc.Servers[i]
		se := ba.servers[co.Name]
		if se == nil || !se.usable() || co.Leaving || doc.Evacuated(co.DataCentre) {
			continue
		}
		if se.slots == 0 {
			se.slots = co.Slots
		}
		for _, target := range co.Versions {
			ba.add(target, se)
		}
		for _, target := range co.Services {
			ba.add(target, se)
		}
	}
}

func (ba *Balancer) add(target string, se *server) {
	po := ba.pools[target]
	if se.dataCentre == ba.DataCentre {
		po.local = append(po.local, se)
	} else {
		po.remote = append(po.remote, se)
	}
	ba.pools[target] = po
}
