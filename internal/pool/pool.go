// Package pool chooses the backend server for an attempt of a gateway: the one
// that most likely holds the start of the prompt, as long as its load allows,
// and otherwise the least loaded. It does no I/O and reads no clock; randomness
// is an argument.
package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/latency"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/outlier"
	"github.com/linnetrudder/linnetrudder/internal/quota"
	"github.com/linnetrudder/linnetrudder/internal/warmup"
)

const (
	// attemptWork is what an attempt in progress adds to its server's load besides its prompt.
	attemptWork = 500 * time.Microsecond
	// crowdPart estimates others' load without reports: the part of the other processes that have as
	// much work in progress on a server as this one.
	crowdPart = 0.5
	// remoteCost is the penalty of a server in another data centre, in attempts.
	remoteCost = 2
	// longestQuotaWait bounds the Retry-After for an exhausted quota share: another process may
	// have a share left.
	longestQuotaWait = time.Second
)

// Query describes an attempt that needs a server.
type Query struct {
	Service string
	// Version restricts the choice to servers of one version if Only is set,
	// and to servers of any other version if Except is set.
	Version                    string
	OnlyVersion, ExceptVersion bool
	// ExcludedVersions holds versions that are not used.
	ExcludedVersions []string
	// Prompt is what the server is to read, the zero value for a plain service.
	Prompt Prompt
	// Tried holds the ids of servers that are not to be chosen again.
	Tried []string
	// SubsetSize restricts the choice to that many servers, the same in all processes for the same key;
	// zero for all.
	SubsetSize int
	SubsetKey  uint64
	// PreferIdle asks for a server that runs nothing else, if there is one.
	PreferIdle bool
	// Probe allows a server that may still reject everything after its pause.
	Probe bool
	// ColdLimit is the rate limit of cold servers.
	ColdLimit quota.Limit
}

// fits reports whether a server is eligible for an attempt, now or later.
func (ask *Query) fits(se *directory.Server) bool {
	switch {
	case slices.Contains(ask.Tried, se.ID), slices.Contains(ask.ExcludedVersions, se.Version):
		return false
	case ask.OnlyVersion:
		return se.Version == ask.Version
	default:
		return !ask.ExceptVersion || se.Version != ask.Version
	}
}

// Selection is a server for an attempt and the expected time to the head of its answer.
type Selection struct {
	server *directory.Server
	// home is set if the server ranks first for the prompt by rendezvous hashing.
	home       bool
	wait, read time.Duration
}

// Server returns the server.
func (of Selection) Server() *directory.Server { return of.server }

// PrefillTime returns the expected time for reading the prompt.
func (of Selection) PrefillTime() time.Duration { return of.read }

// TimeToHead returns the expected time until the head of the answer, the server's backlog included.
func (of Selection) TimeToHead() time.Duration { return of.wait + of.read + headOverhead }

// Pool is what one process knows of the backend servers. Its exported fields
// are set before use; it is not safe for concurrent use.
type Pool struct {
	// Box is the process's own, DataCentre that of its data centre.
	Box, DataCentre string
	Directory       *directory.Directory
	// Members is the number of processes that share the servers, this one included. It may
	// change at any time.
	Members int
	// MaxMembers is the most processes that there may be, recently unreachable ones included. It may
	// change at any time.
	MaxMembers int
	// Loads holds the work of the other processes.
	Loads *load.Table
	// Warmup tracks cold servers.
	Warmup warmup.Tracker
	// Limits tracks the rate limits of servers.
	Limits backpressure.Tracker
	// Pauses tracks servers that asked for a pause.
	Pauses backpressure.Pauses

	outliers outlier.Detector
	// speeds tracks how quickly models read.
	speeds   latency.PromptTime
	holdings holdings
	// The maps below are keyed by a server's life (directory.Server.Key).

	// running counts this process's attempts in progress.
	running map[string]int
	// reading is the time for this process's prompts that servers have not read yet.
	reading map[string]time.Duration
	// responses holds when each server last answered.
	responses map[string]time.Time
	// usable, avoided and ejected are buffers of Pick.
	usable, avoided, ejected []*directory.Server
}

// Pick returns a server for an attempt. If every server that fits is avoided or was ejected, it
// returns one of them rather than none.
func (po *Pool) Pick(ask Query, random uint64, now time.Time) (Selection, bool) {
	po.usable, po.avoided, po.ejected = po.usable[:0], po.avoided[:0], po.ejected[:0]
	for _, se := range po.Directory.Servers(ask.Service) {
		switch {
		case !ask.fits(se), !po.accepts(se, ask.ColdLimit, now):
		case !po.outliers.Usable(se.Key(), now):
			po.ejected = append(po.ejected, se)
		case po.avoids(se, ask.Probe, now):
			po.avoided = append(po.avoided, se)
		default:
			po.usable = append(po.usable, se)
		}
	}
	list := po.usable
	if len(list) == 0 {
		list = po.avoided
	}
	if len(list) == 0 {
		list = po.ejected
	}
	if len(list) == 0 {
		return Selection{}, false
	}
	if ask.SubsetSize > 0 && ask.SubsetSize < len(list) {
		list = few(list, ask.SubsetSize, ask.SubsetKey)
	}
	if se := po.silent(list, now); se != nil {
		list = []*directory.Server{se}
	}
	if ask.PreferIdle {
		list = po.idle(list)
	}
	if ask.Prompt.PrefixID != "" {
		return po.holder(list, ask.Prompt, now), true
	}
	return Selection{server: po.leastLoaded(list, random)}, true
}

// waitFor returns how long this process has to wait before it may send to a server: for quotas that
// all processes share, and for a pause that the server asked for. Every way of sending an attempt has
// to check it, since a paused server looks idle.
func (po *Pool) waitFor(se *directory.Server, cold quota.Limit, now time.Time) (quotas, pause time.Duration) {
	gw := quota.Gateway{Box: po.Box, FleetSize: po.MaxMembers}
	quotas = max(po.Warmup.Wait(se.Key(), cold, gw, now), po.Limits.Wait(se.Key(), gw, now))
	return quotas, po.Pauses.LocalRemaining(se.Key(), now)
}

// accepts reports whether this process may send to a server now.
func (po *Pool) accepts(se *directory.Server, cold quota.Limit, now time.Time) bool {
	quotas, pause := po.waitFor(se, cold, now)
	return quotas == 0 && pause == 0
}

// avoids reports whether a server is used only if there is no other, since it may reject everything.
func (po *Pool) avoids(se *directory.Server, probe bool, now time.Time) bool {
	avoid, free := po.Pauses.Avoid(se.Key(), now)
	return avoid && (!probe || !free)
}

// silent returns a limited server that has not answered for a while, nil if there is none. It is
// preferred, so that the end of its limit is noticed.
func (po *Pool) silent(list []*directory.Server, now time.Time) *directory.Server {
	for _, se := range list {
		if po.Limits.Silent(se.Key(), now) {
			return se
		}
	}
	return nil
}

// RetryAfter returns the Retry-After if no eligible server may be sent to now, zero otherwise.
func (po *Pool) RetryAfter(ask Query, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, se := range po.Directory.Servers(ask.Service) {
		if !ask.fits(se) {
			continue
		}
		quotas, pause := po.waitFor(se, ask.ColdLimit, now)
		wait := max(pause, min(quotas, longestQuotaWait))
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// idle returns the servers of a list without known attempts in progress, the whole list if there is
// none.
func (po *Pool) idle(list []*directory.Server) []*directory.Server {
	var idle []*directory.Server
	for _, se := range list {
		if po.attempts(se.Key()) == 0 {
			idle = append(idle, se)
		}
	}
	if len(idle) == 0 {
		return list
	}
	return idle
}

// HasIdle reports whether an attempt may go to a server that runs nothing else.
func (po *Pool) HasIdle(ask Query, now time.Time) bool {
	return slices.ContainsFunc(po.Directory.Servers(ask.Service), func(se *directory.Server) bool {
		return ask.fits(se) && po.attempts(se.Key()) == 0 && po.accepts(se, ask.ColdLimit, now) && po.outliers.Usable(se.Key(), now)
	})
}

// few returns the n servers of a list that rank first for a key.
func few(list []*directory.Server, n int, key uint64) []*directory.Server {
	slices.SortFunc(list, func(a, b *directory.Server) int {
		return cmp.Compare(mix(b.Hash()^key), mix(a.Hash()^key))
	})
	return list[:n]
}

// CountEligible returns the number of eligible servers, whether or not they may be sent to now.
func (po *Pool) CountEligible(ask Query) int {
	n := 0
	for _, se := range po.Directory.Servers(ask.Service) {
		if ask.fits(se) {
			n++
		}
	}
	return n
}

// HasEligible reports whether there is an eligible server, whether or not it may be sent to now.
func (po *Pool) HasEligible(ask Query) bool {
	return slices.ContainsFunc(po.Directory.Servers(ask.Service), ask.fits)
}

// Reserve records that an attempt will be made at the server of an offer.
func (po *Pool) Reserve(of Selection, now time.Time) {
	po.Warmup.RecordSent(of.server.Key(), now)
	po.Limits.RecordSent(of.server.Key(), now)
	po.Pauses.RecordSent(of.server.Key(), now)
}

// load returns the work in progress of all processes on a server, as time. Differences in speed
// between servers are not included.
func (po *Pool) load(id string) time.Duration {
	own := po.reading[id] + attemptWork*time.Duration(po.running[id])
	if po.Loads.HasReports() {
		return own + attemptWork*time.Duration(po.Loads.OnServer(id))
	}
	return time.Duration(float64(own) * max(1, crowdPart*float64(po.Members)))
}

// PrefillTime returns how long a typical server reads that many tokens of a prompt's model.
func (po *Pool) PrefillTime(pr Prompt, tokens float64) time.Duration {
	per, ok := po.speeds.PerToken(pr.Model)
	if !ok {
		per = float64(pr.PrefillPerToken)
	}
	return time.Duration(per * tokens)
}

// Backlog returns the mean work in progress of a service's servers, as time.
func (po *Pool) Backlog(service string) time.Duration {
	list := po.Directory.Servers(service)
	if len(list) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, se := range list {
		sum += po.load(se.Key())
	}
	return sum / time.Duration(len(list))
}

// attempts returns the known attempts in progress on a server.
func (po *Pool) attempts(id string) int { return po.running[id] + int(po.Loads.OnServer(id)) }

// Work returns this process's work in progress by server, for a report.
func (po *Pool) Work() load.Work {
	wo := make(load.Work, len(po.running))
	for id, running := range po.running {
		wo[load.KeyOf(id)] = uint32(running) + uint32((po.reading[id]+attemptWork/2)/attemptWork)
	}
	return wo
}

// leastLoaded returns the server with the fewest attempts, with a penalty for other data centres.
// Ties are broken at random.
func (po *Pool) leastLoaded(list []*directory.Server, random uint64) *directory.Server {
	start := int(random % uint64(len(list)))
	var best *directory.Server
	least := 0
	for i := range list {
		se := list[(start+i)%len(list)]
		attempts := po.attempts(se.Key())
		if se.DataCentre != po.DataCentre {
			attempts += remoteCost
		}
		if best == nil || attempts < least {
			best, least = se, attempts
		}
	}
	return best
}

// Tick drops expired state.
func (po *Pool) Tick(now time.Time) {
	po.Limits.Tick(func(id string) bool { return po.Directory.ByKey(id) != nil }, now)
}
