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

// strategy decides for each gateway whether it sends to a server that reports a rate.
type strategy interface {
	allows(gateway int, now time.Time) bool
	sent(gateway int, now time.Time)
}

// repeatedSelection is the strategy of this package: equal shares, or a selection of gateways that
// is repeated.
type repeatedSelection struct {
	server   string
	trackers []Tracker
}

func newRepeatedSelection(server string, gateways int, perSecond float64) *repeatedSelection {
	rs := &repeatedSelection{server: server, trackers: make([]Tracker, gateways)}
	for i := range rs.trackers {
		rs.trackers[i].Report(server, &perSecond, t0)
	}
	return rs
}

func (rs *repeatedSelection) allows(gateway int, now time.Time) bool {
	gw := quota.Gateway{Box: fmt.Sprint("box-", gateway), FleetSize: len(rs.trackers)}
	return rs.trackers[gateway].Wait(rs.server, gw, now) == 0
}

func (rs *repeatedSelection) sent(gateway int, now time.Time) {
	rs.trackers[gateway].RecordSent(rs.server, now)
}

// singleSelection selects the sending gateways only once.
type singleSelection struct {
	server string
	limit  quota.Limit
	uses   []quota.Usage
}

func (ss *singleSelection) allows(gateway int, now time.Time) bool {
	gw := quota.Gateway{Box: fmt.Sprint("box-", gateway), FleetSize: len(ss.uses)}
	return ss.limit.Wait(&ss.uses[gateway], gw, ss.server, now) == 0
}

func (ss *singleSelection) sent(gateway int, now time.Time) { ss.uses[gateway].Add(now) }

// equalShares allows each gateway limit requests within the window: an equal share of the total, at
// least one, or the total itself if each gateway uses the full limit.
type equalShares struct {
	limit int
	log   map[int][]time.Time
}

func (ep *equalShares) allows(gateway int, now time.Time) bool {
	ep.log[gateway] = slices.DeleteFunc(ep.log[gateway], func(at time.Time) bool { return now.Sub(at) >= window })
	return len(ep.log[gateway]) < ep.limit
}

func (ep *equalShares) sent(gateway int, now time.Time) {
	ep.log[gateway] = append(ep.log[gateway], now)
}

// reportedUse lets each gateway send while the requests reported by the others, 0.2 s late, do not
// exhaust the limit.
type reportedUse struct {
	maxKnown int
	log      []reportedRequest
}

type reportedRequest struct {
	gateway int
	at      time.Time
}

func (ru *reportedUse) allows(gateway int, now time.Time) bool {
	ru.log = slices.DeleteFunc(ru.log, func(re reportedRequest) bool { return now.Sub(re.at) >= window })
	known := 0
	for _, re := range ru.log {
		if re.gateway == gateway || now.Sub(re.at) >= 200*time.Millisecond {
			known++
		}
	}
	return known < ru.maxKnown
}

func (ru *reportedUse) sent(gateway int, now time.Time) {
	ru.log = append(ru.log, reportedRequest{gateway, now})
}

// result is what one server received in a simulation.
type result struct {
	// maxArrivals is the maximum number of arrivals within a window, used the used fraction of the
	// reported rate, silent the longest time without an arrival.
	maxArrivals int
	used        float64
	silent      time.Duration
}

// simulate sends requests to random gateways: 200 at the same time every ten seconds and 6000 at
// random times.
func simulate(st strategy, gateways int, perSecond float64, rn *rand.Rand) result {
	const duration = 60 * time.Second
	var times []time.Duration
	for at := time.Duration(0); at < duration; at += 10 * time.Second {
		for range 200 {
			times = append(times, at)
		}
	}
	for range 6000 {
		times = append(times, time.Duration(rn.Int64N(int64(duration))))
	}
	slices.Sort(times)
	var arrived []time.Duration
	for _, at := range times {
		if gateway := rn.IntN(gateways); st.allows(gateway, t0.Add(at)) {
			st.sent(gateway, t0.Add(at))
			arrived = append(arrived, at+time.Duration(rn.Int64N(int64(200*time.Millisecond))))
		}
	}
	slices.Sort(arrived)
	out := result{used: float64(len(arrived)) / (perSecond * duration.Seconds())}
	previous := time.Duration(0)
	for i, at := range arrived {
		first, _ := slices.BinarySearch(arrived, at-window+1)
		out.maxArrivals = max(out.maxArrivals, i-first+1)
		out.silent = max(out.silent, at-previous)
		previous = at
	}
	out.silent = max(out.silent, duration-previous)
	return out
}

// The table in docs/design/backpressure.md.
func TestLimitHoldsForAllGatewaysTogether(t *testing.T) {
	for _, perSecond := range []float64{0.2, 1.6, 6} {
		li := quotaFor(perSecond)
		for _, gateways := range []int{1, 4, 13, 23, 103, 300} {
			rn := rand.New(rand.NewPCG(1, uint64(gateways)))
			worst := map[string]result{}
			const runs = 10
			for run := range runs {
				server := fmt.Sprint("server-", run)
				for name, st := range map[string]strategy{
					"full limit each": &equalShares{limit: max(1, int(perSecond*window.Seconds())), log: map[int][]time.Time{}},
					"equal shares": &equalShares{
						limit: max(1, int(perSecond*window.Seconds()/float64(gateways))), log: map[int][]time.Time{},
					},
					"reported use": &reportedUse{maxKnown: int(perSecond*window.Seconds()) + 1},
					"single selection": &singleSelection{
						server: server, limit: quota.Limit{PerSecond: li.PerSecond, MaxInWindow: li.MaxInWindow, Window: li.Window}, uses: make([]quota.Usage, gateways),
					},
					"repeated selection": newRepeatedSelection(server, gateways, perSecond),
				} {
					out, wo := simulate(st, gateways, perSecond, rn), worst[name]
					worst[name] = result{max(wo.maxArrivals, out.maxArrivals), wo.used + out.used/runs, max(wo.silent, out.silent)}
				}
			}
			t.Logf("%v/s, %d gateways, %v allowed: %+v", perSecond, gateways, int(li.MaxInWindow), worst)
			require.LessOrEqual(t, worst["repeated selection"].maxArrivals, int(li.MaxInWindow), "%v, %d gateways", perSecond, gateways)
			if gateways > int(li.MaxInWindow) {
				require.Greater(t, worst["full limit each"].maxArrivals, int(li.MaxInWindow))
				require.Greater(t, worst["equal shares"].maxArrivals, int(li.MaxInWindow))
				require.Greater(t, worst["reported use"].maxArrivals, int(li.MaxInWindow))
			}
		}
	}
}
