package backpressure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/quota"
)

// way decides for each gateway whether it sends to a server that names a rate.
type way interface {
	allows(gateway int, now time.Time) bool
	sent(gateway int, now time.Time)
}

// taken is what this package does: parts or draws, made anew from time to time.
type taken struct {
	server   string
	trackers []Tracker
}

func newTaken(server string, gateways int, perSecond float64) *taken {
	ta := &taken{server: server, trackers: make([]Tracker, gateways)}
	for i := range ta.trackers {
		ta.trackers[i].Report(server, &perSecond, t0)
	}
	return ta
}

func (ta *taken) allows(gateway int, now time.Time) bool {
	gw := quota.Gateway{Box: fmt.Sprint("box-", gateway), FleetSize: len(ta.trackers)}
	return ta.trackers[gateway].Wait(ta.server, gw, now) == 0
}

func (ta *taken) sent(gateway int, now time.Time) { ta.trackers[gateway].RecordSent(ta.server, now) }

// once draws the gateways that send for good.
type once struct {
	server string
	limit  quota.Limit
	uses   []quota.Usage
}

func (on *once) allows(gateway int, now time.Time) bool {
	gw := quota.Gateway{Box: fmt.Sprint("box-", gateway), FleetSize: len(on.uses)}
	return on.limit.Wait(&on.uses[gateway], gw, on.server, now) == 0
}

func (on *once) sent(gateway int, now time.Time) { on.uses[gateway].Add(now) }

// parted gives each gateway an equal part of a number within the window and one at the least;
// with one gateway in the sum each takes all.
type parted struct {
	most int
	log  map[int][]time.Time
}

func (pa *parted) allows(gateway int, now time.Time) bool {
	pa.log[gateway] = slices.DeleteFunc(pa.log[gateway], func(at time.Time) bool { return now.Sub(at) >= window })
	return len(pa.log[gateway]) < pa.most
}

func (pa *parted) sent(gateway int, now time.Time) { pa.log[gateway] = append(pa.log[gateway], now) }

// lent lets each gateway send as long as those of which it has heard leave room: reports come a
// fifth of a second late.
type lent struct {
	room int
	log  []lentSend
}

type lentSend struct {
	gateway int
	at      time.Time
}

func (le *lent) allows(gateway int, now time.Time) bool {
	le.log = slices.DeleteFunc(le.log, func(se lentSend) bool { return now.Sub(se.at) >= window })
	known := 0
	for _, se := range le.log {
		if se.gateway == gateway || now.Sub(se.at) >= 200*time.Millisecond {
			known++
		}
	}
	return known < le.room
}

func (le *lent) sent(gateway int, now time.Time) { le.log = append(le.log, lentSend{gateway, now}) }

// outcome is what one server got.
type outcome struct {
	// most is the most within a window, used the part of the named rate that was used, silent
	// the longest time without a request.
	most   int
	used   float64
	silent time.Duration
}

// play lets callers come to gateways drawn by lot, many at the same moment each ten seconds and
// at random for the rest.
func play(wa way, gateways int, perSecond float64, rn *rand.Rand) outcome {
	const lasts = 60 * time.Second
	var times []time.Duration
	for at := time.Duration(0); at < lasts; at += 10 * time.Second {
		for range 200 {
			times = append(times, at)
		}
	}
	for range 6000 {
		times = append(times, time.Duration(rn.Int64N(int64(lasts))))
	}
	slices.Sort(times)
	var arrived []time.Duration
	for _, at := range times {
		if gateway := rn.IntN(gateways); wa.allows(gateway, t0.Add(at)) {
			wa.sent(gateway, t0.Add(at))
			arrived = append(arrived, at+time.Duration(rn.Int64N(int64(200*time.Millisecond))))
		}
	}
	slices.Sort(arrived)
	out := outcome{used: float64(len(arrived)) / (perSecond * lasts.Seconds())}
	before := time.Duration(0)
	for i, at := range arrived {
		first, _ := slices.BinarySearch(arrived, at-window+1)
		out.most = max(out.most, i-first+1)
		out.silent = max(out.silent, at-before)
		before = at
	}
	out.silent = max(out.silent, lasts-before)
	return out
}

// The table of docs/design/backpressure.md.
func TestTheBoundHoldsForAllGatewaysTogether(t *testing.T) {
	for _, perSecond := range []float64{0.2, 1.6, 6} {
		li := quotaFor(perSecond)
		for _, gateways := range []int{1, 4, 13, 23, 103, 300} {
			rn := rand.New(rand.NewPCG(1, uint64(gateways)))
			worst := map[string]outcome{}
			const plays = 10
			for pl := range plays {
				server := fmt.Sprint("server-", pl)
				for name, wa := range map[string]way{
					"all": &parted{most: max(1, int(perSecond*window.Seconds())), log: map[int][]time.Time{}},
					"parted": &parted{
						most: max(1, int(perSecond*window.Seconds()/float64(gateways))), log: map[int][]time.Time{},
					},
					"lent": &lent{room: int(perSecond*window.Seconds()) + 1},
					"once": &once{
						server: server, limit: quota.Limit{PerSecond: li.PerSecond, MaxInWindow: li.MaxInWindow, Window: li.Window}, uses: make([]quota.Usage, gateways),
					},
					"taken": newTaken(server, gateways, perSecond),
				} {
					out, wo := play(wa, gateways, perSecond, rn), worst[name]
					worst[name] = outcome{max(wo.most, out.most), wo.used + out.used/plays, max(wo.silent, out.silent)}
				}
			}
			t.Logf("%v a second, %d gateways, %v allowed: %+v", perSecond, gateways, int(li.MaxInWindow), worst)
			require.LessOrEqual(t, worst["taken"].most, int(li.MaxInWindow), "%v, %d gateways", perSecond, gateways)
			if gateways > int(li.MaxInWindow) {
				require.Greater(t, worst["all"].most, int(li.MaxInWindow))
				require.Greater(t, worst["parted"].most, int(li.MaxInWindow))
				require.Greater(t, worst["lent"].most, int(li.MaxInWindow))
			}
		}
	}
}
