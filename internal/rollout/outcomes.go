package rollout

import (
	"math"
	"time"
)

const (
	// defaultFailureRate is the assumed normal rate of bad responses without data, minBadRate the
	// minimum rate that must be detected.
	defaultFailureRate = 0.02
	minBadRate         = 0.15
	// highBadRate is the rate of a version that fails half of its requests.
	highBadRate = 0.5
	// minNormalSlowRate and maxNormalSlowRate bound the normal rate of slow responses, which is
	// taken from the old version: concurrent prompt processing slows the responses of both.
	// badSlowRate is the minimum rate that must be detected.
	minNormalSlowRate = 0.05
	maxNormalSlowRate = 0.25
	badSlowRate       = 0.45
	// minOldTimed is the number of responses of the old version from which on the new one's must be compared
	// before the shift.
	minOldTimed = 10
	// clearRate is the rate of bad responses that must be ruled out before a roll-out completes,
	// clearThreshold the log likelihood ratio for it: seven good responses.
	clearRate      = 0.3
	clearThreshold = 2.3
	// minRouteFraction is the fraction of a service's requests from which a route must be clear.
	// Bad responses on a rarer route are too few to be detected or to do much harm.
	minRouteFraction = 0.1
	// badThreshold is the cumulative log likelihood ratio at which a version counts as bad. A good
	// version that fails as often as the old one, at a rate of 0.14, reaches it in 1 % of the
	// roll-outs with 60 outcomes (see the tests).
	badThreshold = 7
	// suspicionThreshold is the maximum sum at which the shift may happen. Above it the trial
	// continues, which costs a missed deadline at most.
	suspicionThreshold = 2
)

// failureTest is the failure test of one route. A version may fail rarely or half of the time, and
// each rate has a cumulative sum of its own: with the few trials of a rare route, three failures
// distinguish a rate of one half from the normal one, while a lower rate takes more.
type failureTest struct {
	// highSum and lowSum are the cumulative sums for a high and a low failure rate; never below
	// zero.
	highSum, lowSum float64
	// oldTried and oldBad count the outcomes of the old version, newTried and newBad those of the
	// new one.
	oldTried, oldBad int
	newTried, newBad int
	servers          serverSet
}

// normalRate returns the failure rate of the old version.
func (ft *failureTest) normalRate() float64 {
	return min(0.5, smoothedRate(float64(ft.oldBad), float64(ft.oldTried), defaultFailureRate))
}

// add records outcomes of the new version.
func (ft *failureTest) add(tried, bad int) {
	normal := ft.normalRate()
	ft.newTried += tried
	ft.newBad += bad
	ft.lowSum = cusum(ft.lowSum, float64(bad), float64(tried), normal, min(0.9, max(minBadRate, badFactor*normal)))
	ft.highSum = cusum(ft.highSum, float64(bad), float64(tried), normal, min(0.9, max(highBadRate, badFactor*normal)))
}

// maxSum returns the higher of the two cumulative sums.
func (ft *failureTest) maxSum() float64 { return max(ft.highSum, ft.lowSum) }

// isClear reports whether the evidence for the new version suffices.
func (ft *failureTest) isClear() bool {
	normal := ft.normalRate()
	bad := min(0.9, max(clearRate, badFactor*normal))
	return evidenceForGood(float64(ft.newTried), float64(ft.newBad), normal, bad) >= clearThreshold
}

// latencyTest is the test for slow responses.
type latencyTest struct {
	// sum is the cumulative sum of the test; never below zero.
	sum float64
	// oldTimed and oldSlow count the responses of the old version, newTimed and newSlow those of the new one
	// on all gateways.
	oldTimed, oldSlow int
	newTimed, newSlow int
	servers           serverSet
}

// normalRate returns the rate of slow responses of the old version.
func (lt *latencyTest) normalRate() float64 {
	return min(maxNormalSlowRate, smoothedRate(float64(lt.oldSlow), float64(lt.oldTimed), minNormalSlowRate))
}

func (lt *latencyTest) add(timed, slow int) {
	lt.newTimed += timed
	lt.newSlow += slow
	lt.sum = cusum(lt.sum, float64(slow), float64(timed), lt.normalRate(), badSlowRate)
}

// isClear reports whether the evidence that the version is not slow suffices. It does where the responses of
// the old version are not timed either.
func (lt *latencyTest) isClear() bool {
	if lt.oldTimed < minOldTimed {
		return true
	}
	return evidenceForGood(float64(lt.newTimed), float64(lt.newSlow), lt.normalRate(), badSlowRate) >= clearThreshold
}

// RouteOutcomes holds the outcomes of the new version for one route on one gateway.
type RouteOutcomes struct {
	Tried int `json:"tried"`
	Bad   int `json:"bad"`
	// Servers are the servers that gave bad responses.
	Servers []string `json:"servers,omitempty"`
}

// Outcomes holds the outcomes of the new version on one gateway, for the other gateways.
type Outcomes struct {
	Routes map[string]RouteOutcomes `json:"routes"`
	// Timed counts the responses whose latency was evaluated, Slow the slow ones of them.
	// SlowServers are the servers that gave slow responses.
	Timed       int      `json:"paced"`
	Slow        int      `json:"slow"`
	SlowServers []string `json:"slow_servers,omitempty"`
}

// totals returns the sums over all routes.
func (ou Outcomes) totals() (tried, bad int) {
	for _, ro := range ou.Routes {
		tried += ro.Tried
		bad += ro.Bad
	}
	return tried, bad
}

// count returns the number of outcomes.
func (ou Outcomes) count() int {
	tried, _ := ou.totals()
	return tried + ou.Timed
}

// Observe records the outcome of a request on a server of one of the versions.
func (ca *Canary) Observe(server, route string, isNew, bad bool) {
	ft := ca.routeTest(route)
	if !isNew {
		ft.oldTried++
		if bad {
			ft.oldBad++
		}
		return
	}
	count := 0
	if bad {
		count = 1
	}
	ft.servers.add(server, bad)
	ft.add(1, count)
	if ca.own.Routes == nil {
		ca.own.Routes = map[string]RouteOutcomes{}
	}
	own := ca.own.Routes[route]
	own.Tried++
	own.Bad += count
	ca.own.Routes[route] = own
}

// ObserveLatency records whether a response of one of the versions was several times slower than
// the old version at its best. It is evaluated only until the shift, after which the old version's
// servers are more loaded than the new version's. It is not evaluated in the burst of a
// concentrated trial, where the new version's servers have the same load but no prompts cached yet:
// a good version counted as slow on a simulated day without disruptions with 32 gateways.
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
		ca.slow.oldTimed++
		ca.slow.oldSlow += count
		return
	}
	ca.slow.servers.add(server, slow)
	ca.slow.add(1, count)
	ca.own.Timed++
	ca.own.Slow += count
}

// Counts returns the new version's outcomes on this gateway; a slow response counts as bad.
func (ca *Canary) Counts() (tried, bad int) {
	tried, bad = ca.own.totals()
	return tried, bad + ca.own.Slow
}

// Own returns this gateway's outcomes for the other gateways.
func (ca *Canary) Own() Outcomes {
	out := ca.own
	out.Routes = make(map[string]RouteOutcomes, len(ca.own.Routes))
	for name, ro := range ca.own.Routes {
		ro.Servers = ca.routes[name].servers.bad()
		out.Routes[name] = ro
	}
	out.SlowServers = ca.slow.servers.bad()
	return out
}

// TotalBad returns the known number of bad and slow responses on all gateways.
func (ca *Canary) TotalBad() int {
	_, bad := ca.Counts()
	for _, out := range ca.peers {
		_, failed := out.totals()
		bad += failed + out.Slow
	}
	return bad
}

// OwnCount returns the number of outcomes on this gateway.
func (ca *Canary) OwnCount() int {
	return ca.own.count()
}

// Merge records the outcomes that another gateway's process reports. Reports older than the latest
// one are ignored, since they may arrive on two paths.
func (ca *Canary) Merge(peer string, out Outcomes) {
	old := ca.peers[peer]
	if out.count() < old.count() {
		return
	}
	for name, ro := range out.Routes {
		ft := ca.routeTest(name)
		more, bad := ro.Tried-old.Routes[name].Tried, ro.Bad-old.Routes[name].Bad
		if more > 0 && bad >= 0 && bad <= more {
			ft.add(more, bad)
		}
		ft.servers.addBad(ro.Servers)
	}
	if timed, slow := out.Timed-old.Timed, out.Slow-old.Slow; ca.Phase() == Trying && timed > 0 && slow >= 0 && slow <= timed {
		ca.slow.add(timed, slow)
	}
	ca.slow.servers.addBad(out.SlowServers)
	if ca.peers == nil {
		ca.peers = map[string]Outcomes{}
	}
	ca.peers[peer] = out
}

func (ca *Canary) routeTest(name string) *failureTest {
	if ca.routes == nil {
		ca.routes = map[string]*failureTest{}
	}
	if ca.routes[name] == nil {
		ca.routes[name] = &failureTest{}
	}
	return ca.routes[name]
}

// Bad reports whether the new version counts as bad: one of the tests exceeds its threshold by
// responses from enough of the servers.
func (ca *Canary) Bad() bool {
	if ca.slow.sum >= badThreshold && ca.slowEverywhere() {
		return true
	}
	for _, ft := range ca.routes {
		if ft.maxSum() >= badThreshold && ft.servers.widespread(ca.concentrated(), 0) {
			return true
		}
	}
	return false
}

// Compared describes the test for slow responses: how many responses of the new version were compared with
// the old one's on all gateways, how many of them were slow, and the part of slow responses from which on
// that many would have shown a bad version, more than one if none would have.
func (ca *Canary) Compared() (timed, slow int, detectable float64) {
	lt := &ca.slow
	normal := lt.normalRate()
	forSlow, forFast := math.Log(badSlowRate/normal), math.Log((1-normal)/(1-badSlowRate))
	detectable = (badThreshold/math.Max(1, float64(lt.newTimed)) + forFast) / (forSlow + forFast)
	return lt.newTimed, lt.newSlow, detectable
}

// slowEverywhere reports whether slow responses came from enough of the version's servers.
func (ca *Canary) slowEverywhere() bool {
	return ca.slow.servers.widespread(ca.concentrated(), expectedTried(ca.Plan.Servers, ca.slow.newTimed))
}

// suspicious reports whether the evidence against the version exceeds chance. The trial then
// continues, which costs a missed deadline at most. A few slow responses of single servers are
// chance.
func (ca *Canary) suspicious() bool {
	if ca.slow.sum > suspicionThreshold && ca.slowEverywhere() {
		return true
	}
	for _, ft := range ca.routes {
		if ft.maxSum() > suspicionThreshold {
			return true
		}
	}
	return false
}

// cleared reports whether the evidence for the version suffices on each significant route. It is
// false on a process that has just started and received no response: one of three gateways that
// were restarted in turn completed the roll-out of a bad version 0.7 s after its start, while
// another had seen 18 bad responses of 49.
func (ca *Canary) cleared() bool {
	total := 0
	for _, ft := range ca.routes {
		total += ft.oldTried + ft.newTried
	}
	if total == 0 {
		return false
	}
	for _, ft := range ca.routes {
		if float64(ft.oldTried+ft.newTried) >= minRouteFraction*float64(total) && !ft.isClear() {
			return false
		}
	}
	return true
}
