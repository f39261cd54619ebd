package rollout

import (
	"maps"
	"slices"
)

const (
	// normalRate is the rate of bad answers that is taken for normal when
	// nothing is known, badRate the least that must be caught.
	normalRate = 0.02
	badRate    = 0.15
	// normalSlow and badSlow are the rates of slow answers of a good version and
	// of one that must be caught.
	normalSlow = 0.05
	badSlow    = 0.4
	// badServers is the part of the servers tried that must have given bad
	// answers: a bad version is bad everywhere, while a failing server of a good
	// one is alone or with few (the users' disruptions strike up to a fifth).
	badServers = 0.3
	// suspectRate is the part of a server's answers from which bad ones count
	// against it.
	suspectRate = 0.2
	// fewestBad is the least number of such servers, if there are so many.
	fewestBad = 2
	// alarmSum is the cumulative log likelihood ratio at which a version counts
	// as bad; a good one that fails as often as the old one, 0.14, gets there in
	// one of a hundred roll-outs of 60 outcomes (see the tests).
	alarmSum = 7
	// shiftSum is the highest sum with which everything moves: a version under
	// suspicion is tried on, which costs a duty at most.
	shiftSum = 2
)

// failures is the test of one route's failures.
type failures struct {
	// sum is the cumulative test; it is never below zero.
	sum float64
	// oldTried and oldBad count the old version's outcomes.
	oldTried, oldBad int
}

// add takes outcomes of the new version.
func (fa *failures) add(tried, bad int) {
	normal := min(0.5, smooth(float64(fa.oldBad), float64(fa.oldTried), normalRate))
	fa.sum = sum(fa.sum, float64(bad), float64(tried), normal, min(0.9, max(badRate, worse*normal)))
}

// Outcomes is what one gateway tells the others of the new version.
type Outcomes struct {
	// Tried and Bad count by route.
	Tried map[string]int `json:"tried"`
	Bad   map[string]int `json:"bad"`
	// Paced counts the answers whose pace says something, Slow the slow ones.
	Paced int `json:"paced"`
	Slow  int `json:"slow"`
	// Servers are those that gave bad or slow answers.
	Servers []string `json:"servers"`
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
	ca.tried++
	count := 0
	if bad {
		ca.bad++
		count = 1
	}
	ca.mark(server, bad)
	fa.add(1, count)
	if ca.own.Tried == nil {
		ca.own.Tried, ca.own.Bad = map[string]int{}, map[string]int{}
	}
	ca.own.Tried[route]++
	ca.own.Bad[route] += count
}

// ObservePace takes whether an answer of the new version was several times slower
// than the old one is at its best. It says something only while the version is
// tried, when its servers have next to nothing to do.
func (ca *Canary) ObservePace(server string, slow bool) {
	if ca.Phase() != Trying {
		return
	}
	count := 0
	if slow {
		count = 1
	}
	ca.mark(server, slow)
	ca.own.Paced++
	ca.own.Slow += count
	ca.addPace(1, count)
}

func (ca *Canary) addPace(paced, slow int) {
	ca.slow = sum(ca.slow, float64(slow), float64(paced), normalSlow, badSlow)
}

// Own returns what this gateway has to tell the others.
func (ca *Canary) Own() Outcomes {
	out := Outcomes{
		Tried: maps.Clone(ca.own.Tried), Bad: maps.Clone(ca.own.Bad), Paced: ca.own.Paced, Slow: ca.own.Slow,
	}
	for server, so := range ca.servers {
		if so.suspect() {
			out.Servers = append(out.Servers, server)
		}
	}
	slices.Sort(out.Servers)
	return out
}

// BadKnown returns the bad and slow answers that are known of all gateways.
func (ca *Canary) BadKnown() int {
	_, bad := ca.Counts()
	for _, out := range ca.peers {
		bad += out.Slow
		for _, n := range out.Bad {
			bad += n
		}
	}
	return bad
}

// OwnTried returns how many outcomes this gateway has to tell.
func (ca *Canary) OwnTried() int { return ca.tried + ca.own.Paced }

// Merge takes what another gateway tells.
func (ca *Canary) Merge(peer string, out Outcomes) {
	old := ca.peers[peer]
	for route, tried := range out.Tried {
		more, bad := tried-old.Tried[route], out.Bad[route]-old.Bad[route]
		if more > 0 && bad >= 0 && bad <= more {
			ca.route(route).add(more, bad)
		}
	}
	if paced, slow := out.Paced-old.Paced, out.Slow-old.Slow; ca.Phase() == Trying && paced > 0 && slow >= 0 && slow <= paced {
		ca.addPace(paced, slow)
	}
	for _, server := range out.Servers {
		ca.mark(server, true)
	}
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

// serverOutcomes counts what one server of the new version answered.
type serverOutcomes struct{ tried, bad int }

// suspect reports whether the server's bad answers are more than chance ones.
func (so serverOutcomes) suspect() bool {
	return so.bad > 0 && float64(so.bad) >= suspectRate*float64(so.tried)
}

func (ca *Canary) mark(server string, bad bool) {
	if ca.servers == nil {
		ca.servers = map[string]serverOutcomes{}
	}
	so := ca.servers[server]
	so.tried++
	if bad {
		so.bad++
	}
	ca.servers[server] = so
}

// Bad reports whether the new version counts as bad.
func (ca *Canary) Bad() bool { return ca.worst() >= alarmSum && ca.widespread() }

// worst returns the highest of the cumulative tests.
func (ca *Canary) worst() float64 {
	worst := ca.slow
	for _, fa := range ca.routes {
		worst = max(worst, fa.sum)
	}
	return worst
}

// widespread reports whether bad answers came from enough of the servers.
func (ca *Canary) widespread() bool {
	bad := 0
	for _, so := range ca.servers {
		if so.suspect() {
			bad++
		}
	}
	seen := len(ca.servers)
	return bad >= min(fewestBad, seen) && float64(bad) >= badServers*float64(seen)
}
