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

// usual is what the servers of the users' sites bear while they are cold.
var usual = Limit{PerSecond: 14, MaxInWindow: 26, Window: time.Second}

// A gateway that has just started has heard of few others.
func TestAGatewayThatHasJustStartedTakesNextToNothing(t *testing.T) {
	var fl Fleet
	fl.Observe(1, t0)
	require.Equal(t, presumed, fl.Estimate(t0.Add(time.Second)))
	fl.Observe(23, t0.Add(2*time.Second))
	require.Equal(t, 23, fl.Estimate(t0.Add(settleTime)))
	fl.Observe(8, t0.Add(10*time.Second))
	require.Equal(t, 23, fl.Estimate(t0.Add(10*time.Second)), "a data centre that is cut off is still there")
	fl.Observe(8, t0.Add(16*time.Second))
	fl.Observe(8, t0.Add(29*time.Second))
	require.Equal(t, 23, fl.Estimate(t0.Add(29*time.Second)))
	fl.Observe(8, t0.Add(32*time.Second))
	require.Equal(t, 8, fl.Estimate(t0.Add(32*time.Second)))
	require.Equal(t, 1, (&Fleet{began: t0}).Estimate(t0.Add(time.Minute)), "alone")
}

// player decides for one gateway whether it sends to a cold server.
type player interface {
	allows(gateway, server int, now time.Time) bool
	sent(gateway, server int, now time.Time)
}

// drawn is what this package does.
type drawn struct {
	uses     [][]Usage
	gateways int
}

func newDrawn(gateways, servers int) *drawn {
	dr := &drawn{uses: make([][]Usage, gateways), gateways: gateways}
	for i := range dr.uses {
		dr.uses[i] = make([]Usage, servers)
	}
	return dr
}

func (dr *drawn) allows(gateway, server int, now time.Time) bool {
	gw := Gateway{Box: fmt.Sprint("box-", gateway), FleetSize: dr.gateways}
	return usual.Wait(&dr.uses[gateway][server], gw, fmt.Sprint("server-", server), now) == 0
}

func (dr *drawn) sent(gateway, server int, now time.Time) { dr.uses[gateway][server].Add(now) }

// parted gives each gateway an equal part and at least one request a second; with one
// gateway in the sum it is the naive way, in which each takes all.
type parted struct {
	gateways int
	log      map[[2]int][]time.Time
}

func (pa *parted) allows(gateway, server int, now time.Time) bool {
	log := pa.log[[2]int{gateway, server}]
	log = slices.DeleteFunc(log, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	pa.log[[2]int{gateway, server}] = log
	return len(log) < max(1, int(usual.PerSecond)/pa.gateways)
}

func (pa *parted) sent(gateway, server int, now time.Time) {
	key := [2]int{gateway, server}
	pa.log[key] = append(pa.log[key], now)
}

// lent lets each gateway send as long as those of which it has heard leave room: reports
// come a fifth of a second late. thinned lets each send only with the chance at which all
// together would fill the room.
type lent struct {
	gateways int
	thinned  bool
	rn       *rand.Rand
	log      map[int][]lentSend
}

type lentSend struct {
	gateway int
	at      time.Time
}

func (le *lent) allows(gateway, server int, now time.Time) bool {
	known := 0
	for _, se := range le.log[server] {
		age := now.Sub(se.at)
		if age < time.Second+200*time.Millisecond && (se.gateway == gateway || age >= 200*time.Millisecond) {
			known++
		}
	}
	room := usual.PerSecond - float64(known)
	if !le.thinned {
		return room >= 1
	}
	return le.rn.Float64() < room/float64(le.gateways)
}

func (le *lent) sent(gateway, server int, now time.Time) {
	le.log[server] = append(le.log[server], lentSend{gateway, now})
}

// played is what came of it.
type played struct {
	// most is the most that reached a server within a second.
	most int
	// used is the part of the servers' rate that was used.
	used float64
}

// play lets requests for cold servers come at so many times what these bear, a part of them
// at once, and counts what arrives. Each request tries three servers, as pool.Pick finds
// another one for it.
func play(pl player, gateways, servers int, demand float64, rn *rand.Rand) played {
	const span = 3 * time.Second
	arrived := make([][]time.Duration, servers)
	wanted := int(demand * usual.PerSecond * float64(servers) * span.Seconds())
	times := make([]time.Duration, wanted)
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
			if !pl.allows(gateway, server, t0.Add(at)) {
				continue
			}
			pl.sent(gateway, server, t0.Add(at))
			way := time.Duration(rn.Int64N(int64(10 * time.Millisecond)))
			if rn.IntN(20) == 0 {
				way += time.Duration(rn.Int64N(int64(200 * time.Millisecond)))
			}
			arrived[server] = append(arrived[server], at+way)
			break
		}
	}
	var out played
	all := 0
	for _, list := range arrived {
		slices.Sort(list)
		all += len(list)
		for i, at := range list {
			first, _ := slices.BinarySearch(list, at-time.Second+1)
			out.most = max(out.most, i-first+1)
		}
	}
	out.used = float64(all) / (usual.PerSecond * float64(servers) * span.Seconds())
	return out
}

// The table of docs/design/warmup.md.
func TestTheBoundHoldsForAllGatewaysTogether(t *testing.T) {
	const servers = 14
	for _, gateways := range []int{1, 4, 23, 103, 300} {
		rn := rand.New(rand.NewPCG(1, uint64(gateways)))
		for _, demand := range []float64{1, 6} {
			worst := map[string]played{}
			for range 6 {
				for _, way := range []struct {
					name   string
					player player
				}{
					{"drawn", newDrawn(gateways, servers)},
					{"naive", &parted{gateways: 1, log: map[[2]int][]time.Time{}}},
					{"parted", &parted{gateways: gateways, log: map[[2]int][]time.Time{}}},
					{"lent", &lent{gateways: gateways, log: map[int][]lentSend{}}},
					{"lent by chances", &lent{gateways: gateways, thinned: true, rn: rn, log: map[int][]lentSend{}}},
				} {
					out := play(way.player, gateways, servers, demand, rn)
					wo := worst[way.name]
					worst[way.name] = played{max(wo.most, out.most), wo.used + out.used/6}
				}
			}
			t.Logf("%d gateways, %v times the rate: %+v", gateways, demand, worst)
			require.LessOrEqual(t, worst["drawn"].most, int(usual.MaxInWindow), "%d gateways", gateways)
			if gateways >= 23 && demand > 1 {
				require.Greater(t, worst["naive"].most, int(usual.MaxInWindow))
			}
			if gateways > int(usual.MaxInWindow) && demand > 1 {
				require.Greater(t, worst["parted"].most, int(usual.MaxInWindow))
				require.Greater(t, worst["lent"].most, int(usual.MaxInWindow))
			}
		}
	}
}

// Gateways that were not counted yet, and some more than were known, stay within the bound.
func TestTheBoundHoldsBesideGatewaysThatWereNotCounted(t *testing.T) {
	rn := rand.New(rand.NewPCG(3, 4))
	for _, known := range []int{4, 20, 23, 60, 103, 300} {
		dr := newDrawn(known+known/10, 14)
		dr.gateways = known
		require.LessOrEqual(t, play(dr, len(dr.uses), 14, 6, rn).most, int(usual.MaxInWindow), known)
	}
}

// The chance that more gateways are drawn for a server than the bound allows.
func TestHowOftenTooManyAreDrawn(t *testing.T) {
	for _, gateways := range []int{30, 103, 410} {
		sh := usual.shareOf(gateways)
		over := 0
		const servers = 4_000
		for s := range servers {
			drawn := 0
			for g := range gateways {
				if lot, _ := usual.draw(fmt.Sprint(g), fmt.Sprint(s), t0); lot < sh.chance {
					drawn++
				}
			}
			if drawn > int(usual.MaxInWindow) {
				over++
			}
		}
		require.LessOrEqual(t, over, 1, gateways)
		require.Equal(t, 1, sh.most)
		require.InDelta(t, 9.3, sh.chance*float64(gateways), 0.2)
	}
	require.Equal(t, 1.0, usual.shareOf(23).chance)
	require.InDelta(t, 23.0/14, usual.shareOf(23).gap.Seconds(), 1e-6)
	require.False(t, math.IsNaN(usual.shareOf(0).chance))
}
