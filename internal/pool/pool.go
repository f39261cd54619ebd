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
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/outlier"
	"github.com/linnetrudder/linnetrudder/internal/pace"
	"github.com/linnetrudder/linnetrudder/internal/quota"
	"github.com/linnetrudder/linnetrudder/internal/warmup"
)

const (
	// attemptWork is what an attempt in progress adds to its server's load besides its
	// prompt: it slows each step of the others a little.
	attemptWork = 500 * time.Microsecond
	// crowdPart is the part of the other processes that are taken to have as much work
	// in progress on a server as this one, as long as they do not report it. Measured
	// with 4 processes and with 30 (docs/design/platform.md).
	crowdPart = 0.5
	// remoteCost is the load that a server in another data centre must have
	// less than one in the own to be preferred, in attempts.
	remoteCost = 2
	// longestQuotaWait bounds the Retry-After for an exhausted quota share: another process may
	// have a share left.
	longestQuotaWait = time.Second
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
	// Prompt is what the server is to read, the zero value for a plain service.
	Prompt Prompt
	// Tried holds the ids of servers that are not to be chosen again.
	Tried []string
	// Few restricts the choice to so many of the servers that could be chosen, the same in
	// all processes for the same key; zero for all.
	Few    int
	FewKey uint64
	// Alone asks for a server that runs nothing else, if there is one.
	Alone bool
	// Probe allows a server that may still reject everything after its pause.
	Probe bool
	// Cold bounds what the service's servers get that are cold.
	Cold quota.Limit
}

// fits reports whether an attempt may go to a server at all, now or later.
func (ask *Ask) fits(se *directory.Server) bool {
	switch {
	case slices.Contains(ask.Tried, se.ID), slices.Contains(ask.Without, se.Version):
		return false
	case ask.Only:
		return se.Version == ask.Version
	default:
		return !ask.Except || se.Version != ask.Version
	}
}

// Offer is a server for an attempt and how long the head of its answer will take.
type Offer struct {
	server *directory.Server
	// home is set if the server ranks first for the prompt.
	home       bool
	wait, read time.Duration
}

// Server returns the server.
func (of Offer) Server() *directory.Server { return of.server }

// Read returns how long the server will most likely read the prompt.
func (of Offer) Read() time.Duration { return of.read }

// Head returns the time until the head of the answer: what is in progress at the server
// comes first.
func (of Offer) Head() time.Duration { return of.wait + of.read + headOverhead }

// Pool is what one process knows of the backend servers. Its exported fields
// are set before use; it is not safe for concurrent use.
type Pool struct {
	// Box is the process's own, DataCentre that of its data centre.
	Box, DataCentre string
	Directory       *directory.Directory
	// Members is how many processes share the servers, this one included. It may
	// change at any time.
	Members int
	// Fleet is how many processes there may be, of which some may not have been heard of
	// just now. It may change at any time.
	Fleet int
	// Loads holds the work of the other processes.
	Loads *load.Table
	// Warmup tracks cold servers.
	Warmup warmup.Tracker
	// Limits tracks the rate limits of servers.
	Limits backpressure.Tracker
	// Pauses tracks servers that asked for a pause.
	Pauses backpressure.Pauses

	outliers outlier.Detector
	// speeds knows how quickly models read.
	speeds   pace.Reading
	holdings holdings
	// What follows is known of one life of a server each, by directory.Server.Key.

	// running counts the own attempts in progress.
	running map[string]int
	// reading is the time for the own prompts that servers have not read yet.
	reading map[string]time.Duration
	// heard is when each server last answered anything.
	heard map[string]time.Time
	// usable, avoided and ejected are buffers of Pick.
	usable, avoided, ejected []*directory.Server
}

// Pick returns a server for an attempt. If every server that fits is avoided or was ejected, it
// returns one of them rather than none.
func (po *Pool) Pick(ask Ask, random uint64, now time.Time) (Offer, bool) {
	po.usable, po.avoided, po.ejected = po.usable[:0], po.avoided[:0], po.ejected[:0]
	for _, se := range po.Directory.Servers(ask.Service) {
		switch {
		case !ask.fits(se), !po.accepts(se, ask.Cold, now):
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
		return Offer{}, false
	}
	if ask.Few > 0 && ask.Few < len(list) {
		list = few(list, ask.Few, ask.FewKey)
	}
	if se := po.silent(list, now); se != nil {
		list = []*directory.Server{se}
	}
	if ask.Alone {
		list = po.idle(list)
	}
	if ask.Prompt.Start != "" {
		return po.holder(list, ask.Prompt, now), true
	}
	return Offer{server: po.leastLoaded(list, random)}, true
}

// waitFor returns how long a server gets nothing from this process, zero if it may get something
// now: because of limits that all processes share, and of a pause that it asked this process for.
// Every way of sending an attempt has to ask here, since a paused server looks idle.
func (po *Pool) waitFor(se *directory.Server, cold quota.Limit, now time.Time) (quotas, pause time.Duration) {
	gw := quota.Gateway{Box: po.Box, Fleet: po.Fleet}
	quotas = max(po.Warmup.Wait(se.Key(), cold, gw, now), po.Limits.Wait(se.Key(), gw, now))
	return quotas, po.Pauses.Left(se.Key(), now)
}

// accepts reports whether a server may get something from this process now.
func (po *Pool) accepts(se *directory.Server, cold quota.Limit, now time.Time) bool {
	quotas, pause := po.waitFor(se, cold, now)
	return quotas == 0 && pause == 0
}

// avoids reports whether an attempt should only go to a server if there is no other, since it may
// reject everything.
func (po *Pool) avoids(se *directory.Server, probe bool, now time.Time) bool {
	avoid, free := po.Pauses.Avoid(se.Key(), now)
	return avoid && (!probe || !free)
}

// silent returns a limited server that has not answered for a while, nil if there is none. Few processes
// may call it, and if these prefer others nobody learns that its limit has ended.
func (po *Pool) silent(list []*directory.Server, now time.Time) *directory.Server {
	for _, se := range list {
		if po.Limits.Silent(se.Key(), now) {
			return se
		}
	}
	return nil
}

// Wait returns when a caller should retry if each server that fits may get nothing from this
// process now, zero otherwise.
func (po *Pool) Wait(ask Ask, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, se := range po.Directory.Servers(ask.Service) {
		if !ask.fits(se) {
			continue
		}
		quotas, pause := po.waitFor(se, ask.Cold, now)
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

// idle returns the servers of a list at which nothing is in progress as far as is known, all of
// it if there is none.
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

// AnyIdle reports whether an attempt may go to a server that runs nothing else.
func (po *Pool) AnyIdle(ask Ask, now time.Time) bool {
	return slices.ContainsFunc(po.Directory.Servers(ask.Service), func(se *directory.Server) bool {
		return ask.fits(se) && po.attempts(se.Key()) == 0 && po.accepts(se, ask.Cold, now) && po.outliers.Usable(se.Key(), now)
	})
}

// few returns so many of a list of servers, those that rank first for a key.
func few(list []*directory.Server, n int, key uint64) []*directory.Server {
	slices.SortFunc(list, func(a, b *directory.Server) int {
		return cmp.Compare(mix(b.Hash()^key), mix(a.Hash()^key))
	})
	return list[:n]
}

// Count returns how many servers there are for an attempt, those included that may get
// nothing just now.
func (po *Pool) Count(ask Ask) int {
	n := 0
	for _, se := range po.Directory.Servers(ask.Service) {
		if ask.fits(se) {
			n++
		}
	}
	return n
}

// Any reports whether there is a server for an attempt, also if it may get nothing just now.
func (po *Pool) Any(ask Ask) bool {
	return slices.ContainsFunc(po.Directory.Servers(ask.Service), ask.fits)
}

// Reserve notes that an attempt will be made at the server of an offer.
func (po *Pool) Reserve(of Offer, now time.Time) {
	po.Warmup.Sent(of.server.Key(), now)
	po.Limits.Sent(of.server.Key(), now)
	po.Pauses.Sent(of.server.Key(), now)
}

// load returns how long a server has to work for what all processes have in progress
// there. How quick servers are compared with each other is left out: learnt from how long
// their answers took it was worth 0.726 and 0.744 without on six days on which a part of
// them was slow, and 0.003 to 0.018 less on others.
func (po *Pool) load(id string) time.Duration {
	own := po.reading[id] + attemptWork*time.Duration(po.running[id])
	if po.Loads.Known() {
		return own + attemptWork*time.Duration(po.Loads.On(id))
	}
	return time.Duration(float64(own) * max(1, crowdPart*float64(po.Members)))
}

// ReadTime returns how long a usual server takes for so many tokens of a prompt's model.
func (po *Pool) ReadTime(pr Prompt, tokens float64) time.Duration {
	per, ok := po.speeds.PerToken(pr.Model)
	if !ok {
		per = float64(pr.PerToken)
	}
	return time.Duration(per * tokens)
}

// Backlog returns how long the servers of a service have to work on average for what is
// in progress.
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

// attempts returns the attempts in progress at a server, as far as they are known.
func (po *Pool) attempts(id string) int { return po.running[id] + int(po.Loads.On(id)) }

// Work returns the own work that servers have still to do, for a report.
func (po *Pool) Work() load.Work {
	wo := make(load.Work, len(po.running))
	for id, running := range po.running {
		wo[load.KeyOf(id)] = uint32(running) + uint32((po.reading[id]+attemptWork/2)/attemptWork)
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

// Started notes an attempt whose prompt takes a server so long to read. Like what follows
// it names a life of a server by its key.
func (po *Pool) Started(id string, read time.Duration, now time.Time) {
	if po.running == nil {
		po.running = map[string]int{}
		po.reading = map[string]time.Duration{}
	}
	po.running[id]++
	po.reading[id] += read
	po.outliers.Sent(id, now)
}

// Read notes that the prompt of an attempt was read, or is not to be any more.
func (po *Pool) Read(id string, read time.Duration) {
	po.reading[id] = max(0, po.reading[id]-read)
}

// Took notes how long the head of an answer took, from the offer on.
func (po *Pool) Took(of Offer, pr Prompt, took time.Duration, now time.Time) {
	id := of.server.Key()
	if pr.Start == "" {
		return
	}
	known := po.holdings.has(id, pr.start(), now)
	again := pr.Whole != "" && po.holdings.has(anyServer, pr.whole(), now)
	if !again {
		po.learn(of, pr, took-headOverhead, known)
	}
	po.holdings.add(id, pr.start(), now)
	if pr.Whole != "" {
		po.holdings.add(id, pr.whole(), now)
		po.holdings.add(anyServer, pr.whole(), now)
	}
}

// learn takes how long a prompt took that no server had read before: how quickly its
// model reads, and whether the server held its start if that was not known.
func (po *Pool) learn(of Offer, pr Prompt, took time.Duration, known bool) {
	po.speeds.Observe(pr.Model, pr.Own, took)
	re := po.readingOf(pr)
	if known || re.shared < tellingRead {
		return
	}
	po.holdings.learn(of.home, took < of.wait+re.own+re.shared/2)
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

// Unreachable notes that a server takes no connection. It reports whether that ejects it.
func (po *Pool) Unreachable(id string, now time.Time) bool { return po.outliers.Unreachable(id, now) }

// Forget drops what was observed of a server whose entry ended. What the server reported about itself
// stays: its entry may lapse and reappear within one life.
func (po *Pool) Forget(id string) {
	po.outliers.Forget(id)
	po.holdings.forget(id)
	po.Warmup.Forget(id)
	delete(po.heard, id)
}

// ForgetLife drops everything that is known of a server's life that has ended.
func (po *Pool) ForgetLife(id string) {
	po.Forget(id)
	po.Limits.Forget(id)
}

// Tick drops expired state.
func (po *Pool) Tick(now time.Time) {
	po.Limits.Tick(func(id string) bool { return po.Directory.Life(id) != nil }, now)
}
