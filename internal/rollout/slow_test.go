package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/comparison"
	"github.com/linnetrudder/linnetrudder/internal/latency"
)

// slowJudge decides whether a stream was slow.
type slowJudge interface {
	// judge is called for each stream in the order in which their paces are known.
	judge(isNew bool, load int, gaps []time.Duration, now time.Time) (slow, ok bool)
}

// likeWork compares the pace of a stream with those of the old version on servers with a similar load.
type likeWork struct {
	reference comparison.Reference
	factor    float64
}

func (lw *likeWork) judge(isNew bool, load int, gaps []time.Duration, now time.Time) (slow, ok bool) {
	var pace latency.Pace
	at := now
	pace.Event(at)
	for _, gap := range gaps {
		at = at.Add(gap)
		pace.Event(at)
	}
	took, ok := pace.Take()
	if !ok {
		return false, false
	}
	wo := comparison.Work{Kind: "m", Load: load}
	slow, ok = lw.reference.IsSlow(wo, took, lw.factor, now)
	if !isNew {
		lw.reference.Add(wo, took, now)
	}
	return slow, ok
}

// multipleOfBest compares the mean gap of a stream with the old version's best one.
type multipleOfBest struct {
	floors baseline
	factor float64
}

func (mb *multipleOfBest) judge(isNew bool, _ int, gaps []time.Duration, _ time.Time) (slow, ok bool) {
	sum := time.Duration(0)
	for _, gap := range gaps {
		sum += gap
	}
	mean := sum / time.Duration(len(gaps))
	if !isNew {
		mb.floors.Observe("m", mean)
	}
	best := mb.floors.Latency("m")
	return float64(mean) > mb.factor*float64(best), best > 0
}

// slowRollout is a simulated roll-out of a version of which a part of the responses is slower by a factor.
type slowRollout struct {
	within    time.Duration
	perSecond float64
	gateways  int
	slower    float64
	part      float64
	// oldLoad and newLoad are the mean loads of the servers of both versions. slowServers is the part of the
	// servers of each version that are four times slower by themselves.
	oldLoad, newLoad float64
	slowServers      float64
}

// simulatedStep is the time between two events of a server without other requests.
const simulatedStep = 15 * time.Millisecond

// stream returns the gaps of a stream at a server with a load: each further request adds to each gap, and
// prompts that are read meanwhile add to some.
func stream(rn *rand.Rand, load int, slower float64) []time.Duration {
	gaps := make([]time.Duration, 2+rn.IntN(30))
	step := slower * float64(simulatedStep) * (1 + 0.03*float64(min(load, 130)))
	for i := range gaps {
		gap := step * (1 + 0.05*rn.Float64())
		if rn.Float64() < min(0.5, 0.04*float64(load)) {
			gap += slower * rn.Float64() * 80 * float64(time.Millisecond)
		}
		gaps[i] = time.Duration(gap)
		if i > 0 && rn.Float64() < 0.05 { // two events are read together
			gaps[i-1] += gaps[i]
			gaps[i] = 0
		}
	}
	return gaps
}

// simulatedLoad returns the load of a server, around a mean.
func simulatedLoad(rn *rand.Rand, mean float64) int {
	return int(mean * math.Exp(0.7*rn.NormFloat64()))
}

// pending is a stream whose pace becomes known later.
type pending struct {
	at      time.Duration
	gateway int
	server  string
	isNew   bool
	load    int
	gaps    []time.Duration
}

// run simulates the roll-out in steps of 50 ms. It reports whether the version failed, and how many of its
// responses were judged until then.
func (sr slowRollout) run(rn *rand.Rand, newJudge func() slowJudge) (failed bool, judged int) {
	plan := Plan{Service: "s", Version: "v2", Within: sr.within, MostShare: 0.15, MostExtra: 30, Servers: 12}
	shares, burst := plan.Shares(map[string]float64{"a": sr.perSecond / 2, "b": sr.perSecond / 2})
	plan.MostExtra /= float64(sr.gateways)
	gateways, judges := make([]*Canary, sr.gateways), make([]slowJudge, sr.gateways)
	for i := range gateways {
		gateways[i] = &Canary{OrderedAt: orderTime, Plan: plan}
		gateways[i].SetShares(shares, burst)
		judges[i] = newJudge()
	}
	const step = 50 * time.Millisecond
	const before = 10 * time.Second // the gateways have served the old version
	var queue []pending
	phase := Waiting
	for at := -before; at < sr.within+maxOverrun+time.Second && phase != Failed && phase != Complete; at += step {
		now := orderTime.Add(at)
		for i, ca := range gateways {
			if at < 0 {
				break
			}
			ca.Enter(phase)
			if at%(500*time.Millisecond) == 0 {
				for j, other := range gateways {
					if i != j {
						other.Merge(fmt.Sprint(i), ca.Own())
					}
				}
			}
			ca.FailIfBad(now)
			if ca.Phase() == Failed {
				phase = Failed
			} else if ph, due := ca.Due(now); due {
				phase = ph
			}
		}
		for arrivals := sr.perSecond * step.Seconds(); arrivals > 0; arrivals-- {
			if rn.Float64() >= arrivals {
				break
			}
			route, gw := []string{"a", "b"}[rn.IntN(2)], rn.IntN(sr.gateways)
			isNew := at >= 0 && gateways[gw].SelectsRequest(route, rn.Float64(), now)
			number, slower, mean := rn.IntN(12), 1.0, sr.oldLoad
			if isNew {
				mean = sr.newLoad
				if rn.Float64() < sr.part {
					slower = sr.slower
				}
			}
			if float64(number) < sr.slowServers*12 {
				slower *= 4
			}
			load := simulatedLoad(rn, mean)
			gaps := stream(rn, load, slower)
			took := time.Duration(0)
			for _, gap := range gaps[:min(len(gaps), 8)] {
				took += gap
			}
			if at >= 0 {
				gateways[gw].RecordSent(route, isNew, now)
				gateways[gw].Observe(fmt.Sprint(isNew, number), route, isNew, false)
			}
			queue = append(queue, pending{at + took, gw, fmt.Sprint(isNew, number), isNew, load, gaps})
		}
		rest := queue[:0]
		for _, pe := range queue {
			if pe.at > at {
				rest = append(rest, pe)
				continue
			}
			slow, ok := judges[pe.gateway].judge(pe.isNew, pe.load, pe.gaps, now)
			if ok && at >= 0 {
				gateways[pe.gateway].ObserveLatency(pe.server, pe.isNew, slow, now)
				if pe.isNew && phase == Trying {
					judged++
				}
			}
		}
		queue = rest
	}
	return phase == Failed, judged
}

// rolloutSize is the size of a simulated roll-out.
type rolloutSize struct {
	within    time.Duration
	perSecond float64
	gateways  int
}

func rolloutSizes() []rolloutSize {
	var list []rolloutSize
	for _, within := range []time.Duration{8 * time.Second, 15 * time.Second, 24 * time.Second} {
		list = append(list, rolloutSize{within, 26, 4}, rolloutSize{within, 150, 4}, rolloutSize{within, 150, 27})
	}
	return list
}

// stopped returns how many of a number of roll-outs fail.
func (sr slowRollout) stopped(runs int, sz rolloutSize, newJudge func() slowJudge) int {
	rn := rand.New(rand.NewPCG(1, 2))
	sr.within, sr.perSecond, sr.gateways = sz.within, sz.perSecond, sz.gateways
	n := 0
	for range runs {
		if failed, _ := sr.run(rn, newJudge); failed {
			n++
		}
	}
	return n
}

// The table in docs/design/rollouts.md. A version that is twice as slow must be found in 95 of 100
// roll-outs, and at most 1 in 100 good ones stopped.
func TestSlowVersionsAreStoppedAndGoodOnesAreNot(t *testing.T) {
	runs := 6
	if testing.Verbose() {
		runs = 100
	}
	good, slow := slowRollout{oldLoad: 8, newLoad: 1, slower: 1}, slowRollout{oldLoad: 8, newLoad: 1, part: 1}
	with := func(sr slowRollout, change func(sr *slowRollout)) slowRollout {
		change(&sr)
		return sr
	}
	for _, tc := range []struct {
		name string
		sr   slowRollout
		// least and most are bounds on the stopped parts of the roll-outs; most is 1 where there is none.
		least, most float64
	}{
		{"good", good, 0, 0.01},
		{"good, in a burst", with(good, func(sr *slowRollout) { sr.oldLoad, sr.newLoad = 100, 4 }), 0, 0.01},
		{"good, as loaded as the old one", with(good, func(sr *slowRollout) { sr.newLoad = 8 }), 0, 0.01},
		{"good, a sixth of the servers slow", with(good, func(sr *slowRollout) { sr.slowServers = 1.0 / 6 }), 0, 0.01},
		{"1.5 times slower", with(slow, func(sr *slowRollout) { sr.slower = 1.5 }), 0, 1},
		{"2 times", with(slow, func(sr *slowRollout) { sr.slower = 2 }), 0.95, 1},
		{"2 times in half of the responses", with(slow, func(sr *slowRollout) { sr.slower, sr.part = 2, 0.5 }), 0, 1},
		{"2 times in 0.3", with(slow, func(sr *slowRollout) { sr.slower, sr.part = 2, 0.3 }), 0, 1},
		{"2.5 times", with(slow, func(sr *slowRollout) { sr.slower = 2.5 }), 0.95, 1},
		{"3 times", with(slow, func(sr *slowRollout) { sr.slower = 3 }), 0.95, 1},
		{"4.5 times", with(slow, func(sr *slowRollout) { sr.slower = 4.5 }), 0.95, 1},
		{"4.5 times in half", with(slow, func(sr *slowRollout) { sr.slower, sr.part = 4.5, 0.5 }), 0, 1},
		{"4.5 times in 0.3", with(slow, func(sr *slowRollout) { sr.slower, sr.part = 4.5, 0.3 }), 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			like, best := make([]int, 0, 9), make([]int, 0, 9)
			for _, sz := range rolloutSizes() {
				n := tc.sr.stopped(runs, sz, func() slowJudge { return &likeWork{factor: 2} })
				like = append(like, n)
				require.GreaterOrEqual(t, float64(n)/float64(runs), tc.least, sz)
				require.LessOrEqual(t, float64(n)/float64(runs), tc.most, sz)
				if testing.Verbose() {
					best = append(best, tc.sr.stopped(runs, sz, func() slowJudge { return &multipleOfBest{factor: 3} }))
				}
			}
			t.Logf("%s: stopped of %d: compared on like work %v, 3 times the best %v", tc.name, runs, like, best)
		})
	}
}
