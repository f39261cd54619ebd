package rollout

import "time"

const (
	// normalRate is the rate of bad answers that is taken for normal when
	// nothing is known, badRate the least that must be caught.
	normalRate = 0.02
	badRate    = 0.15
	// oftenRate is the rate of a version that fails half of the time.
	oftenRate = 0.5
	// normalSlow and mostNormalSlow bound the rate of slow answers of a good version,
	// which is taken to be the old one's: prompts that are read beside them slow answers
	// of either. badSlow is the least rate that must be caught.
	normalSlow     = 0.05
	mostNormalSlow = 0.25
	badSlow        = 0.45
	// clearRate is the rate of bad answers that is to be ruled out before everything is
	// finished, clearSum the log likelihood ratio that does: seven good answers.
	clearRate = 0.3
	clearSum  = 2.3
	// clearedPart is the part of a service's requests from which a route must be clear. A
	// rarer one's bad answers are too few to be found, or to do much harm.
	clearedPart = 0.1
	// alarmSum is the cumulative log likelihood ratio at which a version counts
	// as bad; a good one that fails as often as the old one, 0.14, gets there in
	// one of a hundred roll-outs of 60 outcomes (see the tests).
	alarmSum = 7
	// shiftSum is the highest sum with which everything moves: a version under
	// suspicion is tried on, which costs a duty at most.
	shiftSum = 2
)

// failures is the test of one route's failures. A version may fail now and then or
// half of the time; each rate has a cumulative sum of its own, since the few trials of a
// rare route tell a rate of a half from the normal one after three failures, and a
// lower one after some more.
type failures struct {
	// often and sometimes are the cumulative tests; they are never below zero.
	often, sometimes float64
	// oldTried and oldBad count the old version's outcomes, newTried and newBad those of
	// the new one.
	oldTried, oldBad int
	newTried, newBad int
	servers          spread
}

// normal returns the rate at which the old version fails.
func (fa *failures) normal() float64 {
	return min(0.5, smooth(float64(fa.oldBad), float64(fa.oldTried), normalRate))
}

// add takes outcomes of the new version.
func (fa *failures) add(tried, bad int) {
	normal := fa.normal()
	fa.newTried += tried
	fa.newBad += bad
	fa.sometimes = sum(fa.sometimes, float64(bad), float64(tried), normal, min(0.9, max(badRate, worse*normal)))
	fa.often = sum(fa.often, float64(bad), float64(tried), normal, min(0.9, max(oftenRate, worse*normal)))
}

func (fa *failures) worst() float64 { return max(fa.often, fa.sometimes) }

// clear reports whether enough speaks for the new version.
func (fa *failures) clear() bool {
	normal := fa.normal()
	bad := min(0.9, max(clearRate, worse*normal))
	return evidence(float64(fa.newTried), float64(fa.newBad), normal, bad) >= clearSum
}

// slowness is the test of slow answers.
type slowness struct {
	// sum is the cumulative test; it is never below zero.
	sum float64
	// oldPaced and oldSlow count the old version's answers.
	oldPaced, oldSlow int
	servers           spread
}

func (sl *slowness) add(paced, slow int) {
	normal := min(mostNormalSlow, smooth(float64(sl.oldSlow), float64(sl.oldPaced), normalSlow))
	sl.sum = sum(sl.sum, float64(slow), float64(paced), normal, badSlow)
}

// RouteOutcomes is what one gateway tells the others of the new version on one route.
type RouteOutcomes struct {
	Tried int `json:"tried"`
	Bad   int `json:"bad"`
	// Servers are those that gave bad answers.
	Servers []string `json:"servers,omitempty"`
}

// Outcomes is what one gateway tells the others of the new version.
type Outcomes struct {
	Routes map[string]RouteOutcomes `json:"routes"`
	// Timed counts the answers whose pace says something, Slow the slow ones, and
	// SlowServers are those that gave them.
	Timed       int      `json:"paced"`
	Slow        int      `json:"slow"`
	SlowServers []string `json:"slow_servers,omitempty"`
}

// tried and bad add up the routes.
func (ou Outcomes) tried() (tried, bad int) {
	for _, ro := range ou.Routes {
		tried += ro.Tried
		bad += ro.Bad
	}
	return tried, bad
}

// known returns how many outcomes there are.
func (ou Outcomes) known() int {
	tried, _ := ou.tried()
	return tried + ou.Timed
}

// Observe takes the outcome of a request that a server of one of the versions
// answered.
func (ca *Canary) Observe(server, route string, isNew, bad bool) {
	fa := ca.route(route)
	if !isNew {
		fa.oldTried++
		if bad {
			fa.oldBad++
		}
		return
	}
	count := 0
	if bad {
		count = 1
	}
	fa.servers.mark(server, bad)
	fa.add(1, count)
	if ca.own.Routes == nil {
		ca.own.Routes = map[string]RouteOutcomes{}
	}
	own := ca.own.Routes[route]
	own.Tried++
	own.Bad += count
	ca.own.Routes[route] = own
}

// ObserveLatency takes whether an answer of one of the versions was several times slower
// than the old one is at its best. It says something only until the shift, when the new
// version's servers have less to do than the old one's. In the burst of a concentrated trial
// they have as much and hold no prompts yet: on a quiet day of a fleet of 32 gateways a good
// version was taken for slow.
func (ca *Canary) ObserveLatency(server string, isNew, slow bool, now time.Time) {
	if ph := ca.Phase(); ph != Trying && ph != Waiting {
		return
	}
	if isNew && ca.concentrated() && ca.inBurst(now) {
		return
	}
	count := 0
	if slow {
		count = 1
	}
	if !isNew {
		ca.slow.oldPaced++
		ca.slow.oldSlow += count
		return
	}
	ca.slow.servers.mark(server, slow)
	ca.slow.add(1, count)
	ca.own.Timed++
	ca.own.Slow += count
}

// Counts returns the new version's outcomes here; a slow one counts as bad.
func (ca *Canary) Counts() (tried, bad int) {
	tried, bad = ca.own.tried()
	return tried, bad + ca.own.Slow
}

// Own returns what this gateway has to tell the others.
func (ca *Canary) Own() Outcomes {
	out := ca.own
	out.Routes = make(map[string]RouteOutcomes, len(ca.own.Routes))
	for name, ro := range ca.own.Routes {
		ro.Servers = ca.routes[name].servers.suspects()
		out.Routes[name] = ro
	}
	out.SlowServers = ca.slow.servers.suspects()
	return out
}

// TotalBad returns the bad and slow answers that are known of all gateways.
func (ca *Canary) TotalBad() int {
	_, bad := ca.Counts()
	for _, out := range ca.peers {
		_, failed := out.tried()
		bad += failed + out.Slow
	}
	return bad
}

// OwnCount returns how many outcomes this gateway has to tell.
func (ca *Canary) OwnCount() int {
	return ca.own.known()
}

// Merge takes what another gateway's process tells. What is older than it has told before
// says nothing: tallies may come on two ways.
func (ca *Canary) Merge(peer string, out Outcomes) {
	old := ca.peers[peer]
	if out.known() < old.known() {
		return
	}
	for name, ro := range out.Routes {
		fa := ca.route(name)
		more, bad := ro.Tried-old.Routes[name].Tried, ro.Bad-old.Routes[name].Bad
		if more > 0 && bad >= 0 && bad <= more {
			fa.add(more, bad)
		}
		fa.servers.markAll(ro.Servers)
	}
	if paced, slow := out.Timed-old.Timed, out.Slow-old.Slow; ca.Phase() == Trying && paced > 0 && slow >= 0 && slow <= paced {
		ca.slow.add(paced, slow)
	}
	ca.slow.servers.markAll(out.SlowServers)
	if ca.peers == nil {
		ca.peers = map[string]Outcomes{}
	}
	ca.peers[peer] = out
}

func (ca *Canary) route(name string) *failures {
	if ca.routes == nil {
		ca.routes = map[string]*failures{}
	}
	if ca.routes[name] == nil {
		ca.routes[name] = &failures{}
	}
	return ca.routes[name]
}

// Bad reports whether the new version counts as bad: one of the tests gave the alarm by
// answers from enough of the servers.
func (ca *Canary) Bad() bool {
	if ca.slow.sum >= alarmSum && ca.slow.servers.wide(ca.concentrated()) {
		return true
	}
	for _, fa := range ca.routes {
		if fa.worst() >= alarmSum && fa.servers.wide(ca.concentrated()) {
			return true
		}
	}
	return false
}

// suspicious reports whether more speaks against the version than chance would: it is
// tried on then, which costs a duty at most. A few slow answers of single servers are
// chance.
func (ca *Canary) suspicious() bool {
	if ca.slow.sum > shiftSum && ca.slow.servers.wide(ca.concentrated()) {
		return true
	}
	for _, fa := range ca.routes {
		if fa.worst() > shiftSum {
			return true
		}
	}
	return false
}

// cleared reports whether enough speaks for the version on each route that counts. A process
// that has just started and has seen no answer knows nothing: one of three that were
// restarted in turn finished a bad version 0.7 s after its start, of which another one had
// seen 18 bad answers of 49.
func (ca *Canary) cleared() bool {
	all := 0
	for _, fa := range ca.routes {
		all += fa.oldTried + fa.newTried
	}
	if all == 0 {
		return false
	}
	for _, fa := range ca.routes {
		if float64(fa.oldTried+fa.newTried) >= clearedPart*float64(all) && !fa.clear() {
			return false
		}
	}
	return true
}
