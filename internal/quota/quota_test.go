package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

// typicalLimit is the limit of a cold server on the users' sites.
var typicalLimit = Limit{PerSecond: 14, MaxInWindow: 26, Window: time.Second}

// A gateway that has just started knows few others and must assume a large fleet.
func TestFleetEstimateIsAnUpperBound(t *testing.T) {
	var fl Fleet
	fl.Observe(1, t0)
	require.Equal(t, assumedGateways, fl.Estimate(t0.Add(time.Second)))
	fl.Observe(23, t0.Add(2*time.Second))
	require.Equal(t, 23, fl.Estimate(t0.Add(settleTime)))
	fl.Observe(8, t0.Add(10*time.Second))
	require.Equal(t, 23, fl.Estimate(t0.Add(10*time.Second)), "gateways of a partitioned data centre still count")
	fl.Observe(8, t0.Add(16*time.Second))
	fl.Observe(8, t0.Add(29*time.Second))
	require.Equal(t, 23, fl.Estimate(t0.Add(29*time.Second)))
	fl.Observe(8, t0.Add(32*time.Second))
	require.Equal(t, 8, fl.Estimate(t0.Add(32*time.Second)))
	require.Equal(t, 1, (&Fleet{firstObserved: t0}).Estimate(t0.Add(time.Minute)), "a single gateway")
}

// Guards against shares of limits that stay small for countRetention because gateways were counted twice at the start.
func TestCountsBeforeAllGatewaysAreKnownAreNotRetained(t *testing.T) {
	var fl Fleet
	fl.Observe(1, t0)
	fl.Observe(53, t0.Add(1500*time.Millisecond))
	fl.Observe(27, t0.Add(2*time.Second))
	require.Equal(t, assumedGateways, fl.Estimate(t0.Add(2*time.Second)))
	fl.Observe(27, t0.Add(settleTime))
	require.Equal(t, 27, fl.Estimate(t0.Add(settleTime)))
}

// strategy decides for each gateway whether it sends to a cold server.
type strategy interface {
	allows(gateway, server int, now time.Time) bool
	sent(gateway, server int, now time.Time)
}

// selection is the strategy of this package.
type selection struct {
	uses     [][]Usage
	gateways int
}

func newSelection(gateways, servers int) *selection {
	se := &selection{uses: make([][]Usage, gateways), gateways: gateways}
	for i := range se.uses {
		se.uses[i] = make([]Usage, servers)
	}
	return se
}

func (se *selection) allows(gateway, server int, now time.Time) bool {
	gw := Gateway{Box: fmt.Sprint("box-", gateway), FleetSize: se.gateways}
	return typicalLimit.Wait(&se.uses[gateway][server], gw, fmt.Sprint("server-", server), now) == 0
}

func (se *selection) sent(gateway, server int, now time.Time) { se.uses[gateway][server].Add(now) }

// equalShares gives each gateway an equal share and at least one request per second. With one
// gateway it gives the full limit to each.
type equalShares struct {
	gateways int
	log      map[[2]int][]time.Time
}

func (ep *equalShares) allows(gateway, server int, now time.Time) bool {
	log := ep.log[[2]int{gateway, server}]
	log = slices.DeleteFunc(log, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	ep.log[[2]int{gateway, server}] = log
	return len(log) < max(1, int(typicalLimit.PerSecond)/ep.gateways)
}

func (ep *equalShares) sent(gateway, server int, now time.Time) {
	key := [2]int{gateway, server}
	ep.log[key] = append(ep.log[key], now)
}

// reportedUse lets each gateway send while the requests reported by the others, 0.2 s late, do not
// exhaust the limit. With randomized set, a gateway sends only with the probability at which all
// gateways together use the remainder.
type reportedUse struct {
	gateways   int
	randomized bool
	rn         *rand.Rand
	log        map[int][]reportedRequest
}

type reportedRequest struct {
	gateway int
	at      time.Time
}

func (ru *reportedUse) allows(gateway, server int, now time.Time) bool {
	known := 0
	for _, re := range ru.log[server] {
		age := now.Sub(re.at)
		if age < time.Second+200*time.Millisecond && (re.gateway == gateway || age >= 200*time.Millisecond) {
			known++
		}
	}
	remaining := typicalLimit.PerSecond - float64(known)
	if !ru.randomized {
		return remaining >= 1
	}
	return ru.rn.Float64() < remaining/float64(ru.gateways)
}

func (ru *reportedUse) sent(gateway, server int, now time.Time) {
	ru.log[server] = append(ru.log[server], reportedRequest{gateway, now})
}

// result is the result of a simulation.
type result struct {
	// maxArrivals is the maximum number of arrivals at a server within a second.
	maxArrivals int
	// used is the used fraction of the servers' total rate.
	used float64
}

// simulate sends requests to cold servers at a multiple of their rate, demand, a quarter of them at
// the start, and counts the arrivals. Each request tries up to three servers, as pool.Pick does.
func simulate(st strategy, gateways, servers int, demand float64, rn *rand.Rand) result {
	const span = 3 * time.Second
	arrived := make([][]time.Duration, servers)
	requests := int(demand * typicalLimit.PerSecond * float64(servers) * span.Seconds())
	times := make([]time.Duration, requests)
	for i := range times {
		if i%4 == 0 {
			times[i] = 0
		} else {
			times[i] = time.Duration(rn.Int64N(int64(span)))
		}
	}
	slices.Sort(times)
	for _, at := range times {
		gateway := rn.IntN(gateways)
		for range 3 {
			server := rn.IntN(servers)
			if !st.allows(gateway, server, t0.Add(at)) {
				continue
			}
			st.sent(gateway, server, t0.Add(at))
			transit := time.Duration(rn.Int64N(int64(10 * time.Millisecond)))
			if rn.IntN(20) == 0 {
				transit += time.Duration(rn.Int64N(int64(200 * time.Millisecond)))
			}
			arrived[server] = append(arrived[server], at+transit)
			break
		}
	}
	var out result
	all := 0
	for _, list := range arrived {
		slices.Sort(list)
		all += len(list)
		for i, at := range list {
			first, _ := slices.BinarySearch(list, at-time.Second+1)
			out.maxArrivals = max(out.maxArrivals, i-first+1)
		}
	}
	out.used = float64(all) / (typicalLimit.PerSecond * float64(servers) * span.Seconds())
	return out
}

// The table in docs/design/warmup.md.
func TestLimitHoldsForAllGatewaysTogether(t *testing.T) {
	const servers = 14
	for _, gateways := range []int{1, 4, 23, 103, 300} {
		rn := rand.New(rand.NewPCG(1, uint64(gateways)))
		for _, demand := range []float64{1, 6} {
			worst := map[string]result{}
			for range 6 {
				for _, tc := range []struct {
					name     string
					strategy strategy
				}{
					{"selection", newSelection(gateways, servers)},
					{"full limit each", &equalShares{gateways: 1, log: map[[2]int][]time.Time{}}},
					{"equal shares", &equalShares{gateways: gateways, log: map[[2]int][]time.Time{}}},
					{"reported use", &reportedUse{gateways: gateways, log: map[int][]reportedRequest{}}},
					{"reported use, randomized", &reportedUse{gateways: gateways, randomized: true, rn: rn, log: map[int][]reportedRequest{}}},
				} {
					out := simulate(tc.strategy, gateways, servers, demand, rn)
					wo := worst[tc.name]
					worst[tc.name] = result{max(wo.maxArrivals, out.maxArrivals), wo.used + out.used/6}
				}
			}
			t.Logf("%d gateways, %v times the rate: %+v", gateways, demand, worst)
			require.LessOrEqual(t, worst["selection"].maxArrivals, int(typicalLimit.MaxInWindow), "%d gateways", gateways)
			if gateways >= 23 && demand > 1 {
				require.Greater(t, worst["full limit each"].maxArrivals, int(typicalLimit.MaxInWindow))
			}
			if gateways > int(typicalLimit.MaxInWindow) && demand > 1 {
				require.Greater(t, worst["equal shares"].maxArrivals, int(typicalLimit.MaxInWindow))
				require.Greater(t, worst["reported use"].maxArrivals, int(typicalLimit.MaxInWindow))
			}
		}
	}
}

// Uncounted gateways, up to 10 % of the known number, must not cause the limit to be exceeded.
func TestLimitHoldsWithUncountedGateways(t *testing.T) {
	rn := rand.New(rand.NewPCG(3, 4))
	for _, known := range []int{4, 20, 23, 60, 103, 300} {
		se := newSelection(known+known/10, 14)
		se.gateways = known
		require.LessOrEqual(t, simulate(se, len(se.uses), 14, 6, rn).maxArrivals, int(typicalLimit.MaxInWindow), known)
	}
}

// The number of gateways selected for a server must exceed the limit very rarely.
func TestSelectionRarelyExceedsTheLimit(t *testing.T) {
	for _, gateways := range []int{30, 103, 410} {
		sh := typicalLimit.shareOf(1, gateways)
		over := 0
		const servers = 4_000
		for s := range servers {
			selected := 0
			for g := range gateways {
				if value, _ := typicalLimit.draw(fmt.Sprint(g), fmt.Sprint(s), t0); value < sh.probability {
					selected++
				}
			}
			if selected > int(typicalLimit.MaxInWindow) {
				over++
			}
		}
		require.LessOrEqual(t, over, 1, gateways)
		require.Equal(t, 1, sh.maxInWindow)
		require.InDelta(t, 9.3, sh.probability*float64(gateways), 0.2)
	}
	require.Equal(t, 1.0, typicalLimit.shareOf(1, 23).probability)
	require.InDelta(t, 23.0/14, typicalLimit.shareOf(1, 23).minInterval.Seconds(), 1e-6)
	require.False(t, math.IsNaN(typicalLimit.shareOf(1, 0).probability))
}
