package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is where a timed roll-out of a gateway stands. It is kept in the
// key-value service, so that all gateways compute the same share.
type Phase string

// The phases, in order. Failed may follow each but Complete, after which the
// old version's servers are stopped and nothing can go back.
const (
	// Trying gives a small share of the sessions to the new version.
	Trying Phase = "trying"
	// Shifting gives everything to the new version, while requests that the
	// old version runs come to their end.
	Shifting Phase = "shifting"
	// Complete means that the old version gets nothing and may be stopped.
	Complete Phase = "complete"
	// Failed means that the new version gets nothing.
	Failed Phase = "failed"
)

const (
	// tryingPart is the part of the most that a bad version may get that is used
	// for sessions while the version is tried; singlePart that for requests that
	// belong to no session, which may go either way at any time. More would leave
	// no time between the shift and the deadline.
	tryingPart = 1.0 / 3
	singlePart = 0.6
	// shareMargin is left of that bound when everything moves, since requests do
	// not come evenly.
	shareMargin = 0.01
	// finishBefore is how long before its deadline a roll-out is finished. A process
	// may learn of an order 0.4 s late, a write may take a quarter of a second, and
	// operators look at the status now and then: 0.16 s before was too late.
	finishBefore = 1200 * time.Millisecond
	// settle is the least time between the shift and the end, in which every
	// process learns of the shift and short requests come to their end.
	settle = 500 * time.Millisecond
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
)

// Plan is an order to move a service to a version within a time.
type Plan struct {
	Service string
	Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
	// MostShare is the part of all requests in that time that a bad version may
	// get. A version may be bad only under load, so that the bound is kept by a
	// version of which nothing bad is known as well: everything moves late.
	MostShare float64
	// SessionGap is the longest pause within a session.
	SessionGap time.Duration
}

// tryingShare returns the part of new sessions that the version gets at first,
// singleShare that of requests that belong to no session.
func (pl Plan) tryingShare() float64 { return pl.MostShare * tryingPart }
func (pl Plan) singleShare() float64 { return pl.MostShare * singlePart }

// shiftAfter returns when everything moves, if the version got a share until
// then: so late that it stays within its bound however bad it turns out.
func (pl Plan) shiftAfter(share float64) time.Duration {
	rest := (pl.MostShare - share - shareMargin) / (1 - share)
	return time.Duration(float64(pl.Within) * (1 - rest))
}

// Canary is one gateway's view of a timed roll-out. Its exported fields are
// set before use; it is not safe for concurrent use.
type Canary struct {
	Plan Plan
	// Began is when this process first saw the order.
	Began time.Time

	phase Phase
	// routes holds the tests of failures, one for each route, since a version may
	// be bad on one only.
	routes map[string]*failures
	// slow is the cumulative test of slow answers; it is never below zero.
	slow float64
	// tried and bad count the new version's outcomes here.
	tried, bad int
	// own counts them by route.
	own Outcomes
	// peers holds what other gateways have told of theirs.
	peers map[string]Outcomes
	// shifted is when this process first looked after the shift.
	shifted time.Time
	// singles is set once a request of no session came.
	singles bool
	// sessions holds the sessions seen while the version is tried; swept is when
	// those that are over were last forgotten.
	sessions map[string]seen
	swept    time.Time
	// servers counts the outcomes of each server of the new version.
	servers map[string]serverOutcomes
}

// Phase returns the phase in force.
func (ca *Canary) Phase() Phase {
	if ca.phase == "" {
		return Trying
	}
	return ca.phase
}

// Enter takes a phase that was stored. A phase never goes back.
func (ca *Canary) Enter(ph Phase) {
	if order[ph] > order[ca.Phase()] {
		ca.phase = ph
	}
}

// order ranks the phases; what is stored as complete overrules a gateway that
// took the version for bad on its own.
var order = map[Phase]int{Trying: 0, Shifting: 1, Failed: 2, Complete: 3}

// New reports whether a session's request goes to the new version. Every
// gateway computes the same from the stored phase. Sessions from before the
// order keep the old version, so that none moves in the first gap of a session;
// one that this process has seen keeps what it had.
func (ca *Canary) New(session string, now time.Time) bool {
	switch ca.Phase() {
	case Trying:
		if was, ok := ca.kept(session, now); ok {
			return was
		}
		isNew := now.Sub(ca.Began) >= ca.Plan.SessionGap && place(ca.Plan.Version, session) < ca.Plan.tryingShare()
		ca.keep(session, isNew, now)
		return isNew
	case Shifting, Complete:
		return true
	}
	return false
}

// NewSingle reports whether a request that belongs to no session goes to the new
// version. draw is uniform over [0, 1).
func (ca *Canary) NewSingle(draw float64) bool {
	ca.singles = true
	if ca.Phase() == Trying {
		return draw < ca.Plan.singleShare()
	}
	return ca.Phase() != Failed
}

// seen is what a session had when it was last seen.
type seen struct {
	isNew bool
	at    time.Time
}

// kept returns what a session had, if it still goes on.
func (ca *Canary) kept(session string, now time.Time) (isNew, ok bool) {
	se, ok := ca.sessions[session]
	if !ok || now.Sub(se.at) > ca.Plan.SessionGap {
		return false, false
	}
	ca.keep(session, se.isNew, now)
	return se.isNew, true
}

// keep remembers a session, and forgets those that are over once in a while.
func (ca *Canary) keep(session string, isNew bool, now time.Time) {
	if ca.sessions == nil || now.Sub(ca.swept) > ca.Plan.SessionGap {
		for id, se := range ca.sessions {
			if now.Sub(se.at) > ca.Plan.SessionGap {
				delete(ca.sessions, id)
			}
		}
		ca.swept = now
	}
	if ca.sessions == nil {
		ca.sessions = map[string]seen{}
	}
	ca.sessions[session] = seen{isNew: isNew, at: now}
}

// place maps a session evenly to [0, 1).
func place(version, session string) float64 {
	return float64(xxhash.Sum64String(version+"\x00"+session)>>11) / (1 << 53)
}

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
// answered. It reports whether the new version now counts as bad.
func (ca *Canary) Observe(server, route string, isNew, bad bool) bool {
	fa := ca.route(route)
	if !isNew {
		fa.oldTried++
		if bad {
			fa.oldBad++
		}
		return false
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
	return ca.Bad()
}

// ObservePace takes whether an answer of the new version was several times slower
// than the old one is at its best. It says something only while the version is
// tried, when its servers have next to nothing to do.
func (ca *Canary) ObservePace(server string, slow bool) bool {
	if ca.Phase() != Trying {
		return false
	}
	count := 0
	if slow {
		count = 1
	}
	ca.mark(server, slow)
	ca.own.Paced++
	ca.own.Slow += count
	ca.addPace(1, count)
	return ca.Bad()
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

// Merge takes what another gateway tells. It reports whether the new version now
// counts as bad.
func (ca *Canary) Merge(peer string, out Outcomes) bool {
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
	return ca.Bad()
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

// Counts returns the new version's outcomes here; a slow one counts as bad.
func (ca *Canary) Counts() (tried, bad int) { return ca.tried, ca.bad + ca.own.Slow }

// settled reports whether the shift has been in force for a while.
func (ca *Canary) settled(now time.Time) bool { return now.Sub(ca.shifted) >= settle }

// share returns the part of the requests that the version gets while it is tried.
func (ca *Canary) share() float64 {
	if ca.singles {
		return ca.Plan.singleShare()
	}
	return ca.Plan.tryingShare()
}

// Due returns the phase that should be stored now, or false if the present one
// holds.
func (ca *Canary) Due(now time.Time) (Phase, bool) {
	elapsed := now.Sub(ca.Began)
	switch ph := ca.Phase(); {
	case ph == Failed || ph == Complete:
		return "", false
	case ph == Shifting && ca.shifted.IsZero():
		ca.shifted = now
		return "", false
	case ca.Bad():
		return Failed, true
	case ph == Trying && elapsed >= ca.Plan.shiftAfter(ca.share()) && ca.worst() <= alarmSum/2:
		return Shifting, true
	case ph == Shifting && elapsed >= ca.Plan.Within-finishBefore && ca.settled(now):
		return Complete, true
	}
	return "", false
}
