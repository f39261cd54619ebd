// Package pool selects the backend server for an attempt of a gateway: the server that most likely
// has the prompt's prefix cached, as long as its load allows, and otherwise the least loaded
// server. It does no I/O and reads no clock; randomness is an argument.
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
	// attemptWork is what an attempt in progress adds to its server's load besides the prefill
	// time.
	attemptWork = 500 * time.Microsecond
	// loadedMemberShare estimates the load of the other processes while there are no reports: the
	// fraction of them that have as much work in progress on a server as this process.
	loadedMemberShare = 0.5
	// remotePenalty is the number of attempts added to the load of a server in another data
	// centre.
	remotePenalty = 2
	// responsiveWindow is how long after its last response a server is assumed to accept requests.
	responsiveWindow = time.Second
	// maxQuotaRetryAfter bounds the Retry-After for an exhausted quota share: another process may
	// have quota left.
	maxQuotaRetryAfter = time.Second
)

// Query describes an attempt that needs a server.
type Query struct {
	Service string
	// Version restricts the selection to servers of this version if OnlyVersion is set, and to
	// servers of any other version if ExceptVersion is set.
	Version                    string
	OnlyVersion, ExceptVersion bool
	// ExcludedVersions lists versions whose servers are not eligible.
	ExcludedVersions []string
	// Prompt is the prompt to process, the zero value for a plain service.
	Prompt Prompt
	// Tried lists the ids of servers that are not eligible because they were already tried.
	Tried []string
	// SubsetSize restricts the selection to a subset of this many servers, which is the same in
	// all processes for the same SubsetKey; zero selects from all servers.
	SubsetSize int
	SubsetKey  uint64
	// PreferIdle prefers a server without attempts in progress.
	PreferIdle bool
	// Probe allows a server that may still reject all requests although its pause has ended.
	Probe bool
	// Rejected is set if a server rejected an earlier attempt of the request. Servers that reject
	// everything look idle, so that load is no reason to prefer one of them then.
	Rejected bool
	// ColdLimit is the rate limit for cold servers.
	ColdLimit quota.Limit
}

// matches reports whether a server is eligible for the attempt, now or later.
func (qu *Query) matches(se *directory.Server) bool {
	switch {
	case slices.Contains(qu.Tried, se.ID), slices.Contains(qu.ExcludedVersions, se.Version):
		return false
	case qu.OnlyVersion:
		return se.Version == qu.Version
	default:
		return !qu.ExceptVersion || se.Version != qu.Version
	}
}

// Selection is the server selected for an attempt and the expected time to its response head.
type Selection struct {
	server *directory.Server
	// home is set if the server ranks first for the prompt by rendezvous hashing.
	home bool
	// wait is the time until the server has processed its backlog, prefill the prefill time of the
	// prompt. Both are estimates.
	wait, prefill time.Duration
}

// Server returns the selected server.
func (sel Selection) Server() *directory.Server { return sel.server }

// PrefillTime returns the expected prefill time of the prompt.
func (sel Selection) PrefillTime() time.Duration { return sel.prefill }

// TimeToHead returns the expected time until the response head, including the server's backlog.
func (sel Selection) TimeToHead() time.Duration { return sel.wait + sel.prefill + headOverhead }

// Pool tracks the backend servers for one process. Its exported fields are set before use. It is
// not safe for concurrent use.
type Pool struct {
	// Box and DataCentre identify where this process runs.
	Box, DataCentre string
	Directory       *directory.Directory
	// Members is the number of processes that share the servers, including this one. It may change
	// at any time.
	Members int
	// MaxMembers is the largest possible number of such processes, including recently unreachable
	// ones. It may change at any time.
	MaxMembers int
	// Units returns how many units of shared quotas this process holds, one if it is nil.
	Units func(now time.Time) float64
	// Loads holds the work in progress of the other processes.
	Loads *load.Table
	// Warmup tracks cold servers.
	Warmup warmup.Tracker
	// Limits tracks the rate limits of servers.
	Limits backpressure.Tracker
	// Pauses tracks servers that asked for a pause.
	Pauses backpressure.Pauses

	outliers outlier.Detector
	// speeds tracks the prefill speed of models.
	speeds   latency.PromptTime
	prefixes prefixCache
	// The maps below are keyed by server instance (directory.Server.Key).

	// running counts this process's attempts in progress.
	running map[string]int
	// pendingPrefill is the expected time for this process's prompts that have not been processed
	// yet.
	pendingPrefill map[string]time.Duration
	// responses holds when each server last responded.
	responses map[string]time.Time
	// usable, avoided and ejected are buffers that Pick reuses.
	usable, avoided, ejected []*directory.Server
}

// Pick selects a server for an attempt. If every matching server is avoided or ejected, it returns
// one of them rather than none.
func (po *Pool) Pick(qu Query, random uint64, now time.Time) (Selection, bool) {
	po.usable, po.avoided, po.ejected = po.usable[:0], po.avoided[:0], po.ejected[:0]
	for _, se := range po.Directory.Servers(qu.Service) {
		switch {
		case !qu.matches(se), !po.maySend(se, qu.ColdLimit, now):
		case !po.outliers.Usable(se.Key(), now):
			po.ejected = append(po.ejected, se)
		case po.avoids(se, qu.Probe, now):
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
	if qu.SubsetSize > 0 && qu.SubsetSize < len(list) {
		list = subset(list, qu.SubsetSize, qu.SubsetKey)
	}
	if se := po.limitedAndSilent(list, now); se != nil {
		list = []*directory.Server{se}
	}
	if qu.PreferIdle {
		list = po.idle(list)
	}
	if qu.Rejected {
		list = po.responsive(list, now)
	}
	switch {
	case qu.Prompt.PrefixID != "":
		return po.cheapestForPrompt(list, qu.Prompt, now), true
	case qu.Rejected:
		return Selection{server: list[random%uint64(len(list))]}, true
	}
	return Selection{server: po.leastLoaded(list, random)}, true
}

// responsive returns the servers of a list that responded to this process within responsiveWindow, or
// the whole list if there are none.
func (po *Pool) responsive(list []*directory.Server, now time.Time) []*directory.Server {
	var responsive []*directory.Server
	for _, se := range list {
		if at, ok := po.responses[se.Key()]; ok && now.Sub(at) < responsiveWindow {
			responsive = append(responsive, se)
		}
	}
	if len(responsive) == 0 {
		return list
	}
	return responsive
}

// waitFor returns how long this process has to wait before it may send to a server: because of
// quotas that all processes share, and because of a pause that the server requested. Every code
// path that sends an attempt has to check it, since a paused server looks idle.
func (po *Pool) waitFor(se *directory.Server, cold quota.Limit, now time.Time) (quotas, pause time.Duration) {
	gw := quota.Gateway{Box: po.Box, FleetSize: po.MaxMembers}
	if po.Units != nil {
		gw.Units = po.Units(now)
	}
	quotas = max(po.Warmup.Wait(se.Key(), cold, gw, now), po.Limits.Wait(se.Key(), gw, now))
	return quotas, po.Pauses.LocalRemaining(se.Key(), now)
}

// maySend reports whether this process may send to a server now.
func (po *Pool) maySend(se *directory.Server, cold quota.Limit, now time.Time) bool {
	quotas, pause := po.waitFor(se, cold, now)
	return quotas == 0 && pause == 0
}

// avoids reports whether a server is used only if there is no other, since it may reject all
// requests.
func (po *Pool) avoids(se *directory.Server, probe bool, now time.Time) bool {
	avoid, free := po.Pauses.Avoid(se.Key(), now)
	return avoid && (!probe || !free)
}

// limitedAndSilent returns a rate-limited server that has not responded for a while, or nil. Such a
// server is preferred, so that the end of its limit is detected.
func (po *Pool) limitedAndSilent(list []*directory.Server, now time.Time) *directory.Server {
	for _, se := range list {
		if po.Limits.Silent(se.Key(), now) {
			return se
		}
	}
	return nil
}

// RetryAfter returns the Retry-After value if no eligible server accepts requests now, zero
// otherwise.
func (po *Pool) RetryAfter(qu Query, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, se := range po.Directory.Servers(qu.Service) {
		if !qu.matches(se) {
			continue
		}
		quotas, pause := po.waitFor(se, qu.ColdLimit, now)
		wait := max(pause, min(quotas, maxQuotaRetryAfter))
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// idle returns the servers of a list without known attempts in progress, or the whole list if there
// are none.
func (po *Pool) idle(list []*directory.Server) []*directory.Server {
	var idle []*directory.Server
	for _, se := range list {
		if po.Attempts(se.Key()) == 0 {
			idle = append(idle, se)
		}
	}
	if len(idle) == 0 {
		return list
	}
	return idle
}

// HasIdle reports whether there is a usable server without attempts in progress.
func (po *Pool) HasIdle(qu Query, now time.Time) bool {
	return slices.ContainsFunc(po.Directory.Servers(qu.Service), func(se *directory.Server) bool {
		return qu.matches(se) && po.Attempts(se.Key()) == 0 && po.maySend(se, qu.ColdLimit, now) && po.outliers.Usable(se.Key(), now)
	})
}

// subset returns the n servers of a list that rank first for a key.
func subset(list []*directory.Server, n int, key uint64) []*directory.Server {
	slices.SortFunc(list, func(a, b *directory.Server) int {
		return cmp.Compare(mix(b.Hash()^key), mix(a.Hash()^key))
	})
	return list[:n]
}

// CountEligible returns the number of eligible servers, whether or not they accept requests now.
func (po *Pool) CountEligible(qu Query) int {
	n := 0
	for _, se := range po.Directory.Servers(qu.Service) {
		if qu.matches(se) {
			n++
		}
	}
	return n
}

// HasEligible reports whether there is an eligible server, whether or not it accepts requests now.
func (po *Pool) HasEligible(qu Query) bool {
	return slices.ContainsFunc(po.Directory.Servers(qu.Service), qu.matches)
}

// Reserve records that an attempt will be sent to the selected server.
func (po *Pool) Reserve(sel Selection, now time.Time) {
	po.Warmup.RecordSent(sel.server.Key(), now)
	po.Limits.RecordSent(sel.server.Key(), now)
	po.Pauses.RecordSent(sel.server.Key(), now)
}

// load returns the work in progress of all processes on a server, as time. It ignores differences
// in speed between servers.
func (po *Pool) load(key string) time.Duration {
	own := po.pendingPrefill[key] + attemptWork*time.Duration(po.running[key])
	if po.Loads.HasReports() {
		return own + attemptWork*time.Duration(po.Loads.OnServer(key))
	}
	return time.Duration(float64(own) * max(1, loadedMemberShare*float64(po.Members)))
}

// PrefillTime returns the time that a typical server needs to process a number of tokens with the
// prompt's model.
func (po *Pool) PrefillTime(pr Prompt, tokens float64) time.Duration {
	per, ok := po.speeds.PerToken(pr.Model)
	if !ok {
		per = float64(pr.PrefillPerToken)
	}
	return time.Duration(per * tokens)
}

// Backlog returns the mean work in progress on the servers of a service, as time.
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

// Attempts returns the number of known attempts in progress on a server.
func (po *Pool) Attempts(key string) int { return po.running[key] + int(po.Loads.OnServer(key)) }

// Work returns this process's work in progress by server, for a report to other processes.
func (po *Pool) Work() load.Work {
	wo := make(load.Work, len(po.running))
	for key, running := range po.running {
		wo[load.KeyOf(key)] = uint32(running) + uint32((po.pendingPrefill[key]+attemptWork/2)/attemptWork)
	}
	return wo
}

// leastLoaded returns the server with the fewest attempts in progress, with a penalty for servers
// in other data centres. Ties are broken at random.
func (po *Pool) leastLoaded(list []*directory.Server, random uint64) *directory.Server {
	offset := int(random % uint64(len(list)))
	var best *directory.Server
	least := 0
	for i := range list {
		se := list[(offset+i)%len(list)]
		attempts := po.Attempts(se.Key())
		if se.DataCentre != po.DataCentre {
			attempts += remotePenalty
		}
		if best == nil || attempts < least {
			best, least = se, attempts
		}
	}
	return best
}

// Tick removes the state of servers that no longer exist.
func (po *Pool) Tick(now time.Time) {
	po.Limits.Tick(func(key string) bool { return po.Directory.ByKey(key) != nil }, now)
}
