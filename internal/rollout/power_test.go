package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// badOnOneRoute is a simulated roll-out of a version that fails a fraction of one route's requests.
type badOnOneRoute struct {
	within time.Duration
	// perSecond is the request rate of each route; the requests of the first route fail.
	perSecond   []float64
	failureRate float64
	gateways    int
	extra       float64
}

// simulationResult is the result of a simulated roll-out.
type simulationResult struct {
	// failed is set if the version failed before the roll-out completed.
	failed bool
	// toNew and all count requests before the deadline, late those that the version received more
	// than five seconds after its 50th bad response.
	toNew, all, late int
	bad              int
}

// run simulates the roll-out in steps of 10 ms on several gateways, which receive each other's
// outcomes every 0.5 s.
func (ro badOnOneRoute) run(rn *rand.Rand) simulationResult {
	var out simulationResult
	gateways := make([]*Canary, ro.gateways)
	rates := map[string]float64{}
	for i, rate := range ro.perSecond {
		rates[fmt.Sprint(i)] = rate
	}
	plan := Plan{Service: "s", Version: "v2", Within: ro.within, MostShare: 0.15, MostExtra: ro.extra, Servers: 12}
	shares, burst := plan.Shares(rates)
	plan.MostExtra /= float64(ro.gateways)
	for i := range gateways {
		gateways[i] = &Canary{OrderedAt: orderTime, Plan: plan}
		gateways[i].SetShares(shares, burst)
	}
	const step = 10 * time.Millisecond
	phase, bad50At := Waiting, time.Duration(-1)
	for at := time.Duration(0); at < ro.within+10*time.Second; at += step {
		now := orderTime.Add(at)
		for i, ca := range gateways {
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
		for i, rate := range ro.perSecond {
			if rn.Float64() >= rate*step.Seconds() {
				continue
			}
			route, ca := fmt.Sprint(i), gateways[rn.IntN(ro.gateways)]
			isNew := ca.SelectsRequest(route, rn.Float64(), now)
			bad := isNew && i == 0 && rn.Float64() < ro.failureRate
			ca.RecordSent(route, isNew, now)
			ca.Observe(fmt.Sprint(rn.IntN(12)), route, isNew, bad)
			if bad {
				if out.bad++; out.bad == 50 {
					bad50At = at
				}
			}
			if at < ro.within {
				out.all++
				if isNew {
					out.toNew++
				}
			}
			if isNew && bad50At >= 0 && at > bad50At+5*time.Second {
				out.late++
			}
		}
	}
	out.failed = phase == Failed
	return out
}

// The table in docs/design/rollouts.md: how often a version that fails a fraction of one route's
// requests is detected before the roll-out completes.
func TestTrialDetectsVersionThatIsBadOnOneRoute(t *testing.T) {
	const runs = 60
	for _, tc := range []struct {
		name        string
		within      time.Duration
		perSecond   []float64
		failureRate float64
		minDetected float64
	}{
		{"20 % of 26/s, 50 % fail, 24 s", 24 * time.Second, []float64{5, 9, 12}, 0.5, 0.95},
		{"20 % of 26/s, 30 % fail, 24 s", 24 * time.Second, []float64{5, 9, 12}, 0.3, 0.9},
		{"20 % of 26/s, 50 % fail, 14 s", 14 * time.Second, []float64{5, 9, 12}, 0.5, 0.9},
		{"20 % of 26/s, 30 % fail, 14 s", 14 * time.Second, []float64{5, 9, 12}, 0.3, 0.9},
		{"5 % of 26/s, 50 % fail, 24 s", 24 * time.Second, []float64{1.3, 12, 13}, 0.5, 0.8},
		{"20 % of 150/s, 30 % fail, 24 s", 24 * time.Second, []float64{30, 50, 70}, 0.3, 0.98},
		{"20 % of 150/s, 15 % fail, 24 s", 24 * time.Second, []float64{30, 50, 70}, 0.15, 0.9},
	} {
		rn := rand.New(rand.NewPCG(1, 2))
		detected, late := 0, 0
		for range runs {
			out := badOnOneRoute{tc.within, tc.perSecond, tc.failureRate, 3, 30}.run(rn)
			require.LessOrEqual(t, float64(out.toNew), 0.15*float64(out.all)+30, tc.name)
			if out.failed {
				detected++
			}
			if out.late > 0 {
				late++
			}
		}
		t.Logf("%s: detected in %d of %d, used too long in %d", tc.name, detected, runs, late)
		require.GreaterOrEqual(t, float64(detected)/runs, tc.minDetected, tc.name)
	}
}
