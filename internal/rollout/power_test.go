package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// badOnOneRoute is a roll-out of a version that fails a part of one route's requests.
type badOnOneRoute struct {
	within time.Duration
	// perSecond is the rate of each route; the first one's requests fail.
	perSecond []float64
	failing   float64
	gateways  int
	extra     float64
}

// outcome is what came of it.
type outcome struct {
	// failed is set if the version was left before everything was finished.
	failed bool
	// toNew and all count requests until the deadline, late those that the version got
	// more than five seconds after its 50th bad answer.
	toNew, all, late int
	bad              int
}

// play runs a roll-out second by second as several gateways do that hear of each other's
// bad answers half a second late.
func (ro badOnOneRoute) play(rn *rand.Rand) outcome {
	var out outcome
	gateways := make([]*Canary, ro.gateways)
	rates := map[string]float64{}
	for i, rate := range ro.perSecond {
		rates[fmt.Sprint(i)] = rate
	}
	plan := Plan{Service: "s", Version: "v2", Within: ro.within, MostShare: 0.15, MostExtra: ro.extra, Servers: 12}
	shares, burst := plan.Shares(rates)
	plan.MostExtra /= float64(ro.gateways)
	for i := range gateways {
		gateways[i] = &Canary{OrderedAt: began, Plan: plan}
		gateways[i].SetShares(shares, burst)
	}
	const step = 10 * time.Millisecond
	phase, fiftieth := Waiting, time.Duration(-1)
	for at := time.Duration(0); at < ro.within+10*time.Second; at += step {
		now := began.Add(at)
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
			bad := isNew && i == 0 && rn.Float64() < ro.failing
			ca.RecordSent(route, isNew, now)
			ca.Observe(fmt.Sprint(rn.IntN(12)), route, isNew, bad)
			if bad {
				if out.bad++; out.bad == 50 {
					fiftieth = at
				}
			}
			if at < ro.within {
				out.all++
				if isNew {
					out.toNew++
				}
			}
			if isNew && fiftieth >= 0 && at > fiftieth+5*time.Second {
				out.late++
			}
		}
	}
	out.failed = phase == Failed
	return out
}

// The table of docs/design/rollouts.md: how often a version that fails a part of one
// route's requests is found before everything is finished.
func TestWhatATrialFinds(t *testing.T) {
	const runs = 60
	for _, tc := range []struct {
		name      string
		within    time.Duration
		perSecond []float64
		failing   float64
		least     float64
	}{
		{"a fifth of 26 a second, half of it fails, 24 s", 24 * time.Second, []float64{5, 9, 12}, 0.5, 0.95},
		{"a fifth of 26 a second, 3 in 10 fail, 24 s", 24 * time.Second, []float64{5, 9, 12}, 0.3, 0.9},
		{"a fifth of 26 a second, half of it fails, 14 s", 14 * time.Second, []float64{5, 9, 12}, 0.5, 0.9},
		{"a fifth of 26 a second, 3 in 10 fail, 14 s", 14 * time.Second, []float64{5, 9, 12}, 0.3, 0.9},
		{"a twentieth of 26 a second, half of it fails, 24 s", 24 * time.Second, []float64{1.3, 12, 13}, 0.5, 0.8},
		{"a fifth of 150 a second, 3 in 10 fail, 24 s", 24 * time.Second, []float64{30, 50, 70}, 0.3, 0.98},
		{"a fifth of 150 a second, 15 in 100 fail, 24 s", 24 * time.Second, []float64{30, 50, 70}, 0.15, 0.9},
	} {
		rn := rand.New(rand.NewPCG(1, 2))
		found, late := 0, 0
		for range runs {
			out := badOnOneRoute{tc.within, tc.perSecond, tc.failing, 3, 30}.play(rn)
			require.LessOrEqual(t, float64(out.toNew), 0.15*float64(out.all)+30, tc.name)
			if out.failed {
				found++
			}
			if out.late > 0 {
				late++
			}
		}
		t.Logf("%s: found in %d of %d, used too long in %d", tc.name, found, runs, late)
		require.GreaterOrEqual(t, float64(found)/runs, tc.least, tc.name)
	}
}
