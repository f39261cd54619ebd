package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var orderTime = time.Unix(1000, 0)

// inBurst is a time in the burst of the trial of waitingCanary's roll-out.
var inBurst = orderTime.Add(17 * time.Second)

// trialCanary returns a roll-out in its trial.
func trialCanary() *Canary {
	ca := waitingCanary()
	ca.Enter(Trying)
	return ca
}

// waitingCanary returns a roll-out that has just been ordered.
func waitingCanary() *Canary {
	ca := &Canary{OrderedAt: orderTime, Plan: Plan{Service: "s", Version: "v2", Within: 20 * time.Second, MostShare: 0.15}}
	ca.SetShares(Shares{AnyRoute: 0.05}, 0)
	return ca
}

func TestSessionsAreAssignedEquallyOnAllGatewaysAndNeverReturn(t *testing.T) {
	a, b := trialCanary(), trialCanary()
	count := 0
	for i := range 10_000 {
		session := fmt.Sprint(i)
		require.Equal(t, a.SelectsSession(session, "r", inBurst), b.SelectsSession(session, "r", inBurst))
		if a.SelectsSession(session, "r", inBurst) {
			count++
		}
	}
	require.InDelta(t, 0.05*10_000, count, 120)
	a.Enter(Shifting)
	require.True(t, a.SelectsSession("any", "r", inBurst))
	a.Enter(Trying)
	require.Equal(t, Shifting, a.Phase(), "phases never go back")
	a.Enter(Failed)
	require.False(t, a.SelectsSession("any", "r", inBurst))
}

// Guards against sessions from before the order moving to the new version in the first half of the
// roll-out, which happened whenever such a session continued on another gateway than the one that
// served its last request.
func TestNoSessionMovesInTheFirstHalf(t *testing.T) {
	ca := waitingCanary()
	for at := time.Duration(0); at < ca.Plan.Within/2; at += time.Second / 10 {
		_, due := ca.Due(orderTime.Add(at))
		require.False(t, due, at)
	}
	for i := range 1000 {
		require.False(t, ca.SelectsSession(fmt.Sprint(i), "r", inBurst))
	}
	ph, due := ca.Due(orderTime.Add(ca.Plan.Within / 2))
	require.True(t, due)
	require.Equal(t, Trying, ph)
}

// A version that is bad only at full load must not have received more than its share by the
// deadline.
func TestShareBoundAppliesToVersionsWithoutKnownFailures(t *testing.T) {
	for _, within := range []time.Duration{12 * time.Second, 14 * time.Second, 24 * time.Second, time.Minute} {
		for _, burst := range []int{1, 3} {
			checkShare(t, within, burst, func(ca *Canary, n int, now time.Time) bool { return ca.SelectsRequest("r", float64(n%100)/100, now) })
			checkShare(t, within, burst, func(ca *Canary, n int, now time.Time) bool { return ca.SelectsSession(fmt.Sprint(n), "r", now) })
		}
	}
}

// checkShare simulates a roll-out with a request rate that is multiplied by burst in the last
// quarter. With a burst the roll-out may be late, since the share has priority.
func checkShare(t *testing.T, within time.Duration, burst int, isNew func(ca *Canary, n int, now time.Time) bool) {
	t.Helper()
	ca := waitingCanary()
	ca.Plan.Within = within
	ca.shares, ca.burst = ca.Plan.Shares(map[string]float64{"r": 100})
	all, toNew := 0, 0
	for at := time.Duration(0); at < within; at += 10 * time.Millisecond {
		now := orderTime.Add(at)
		if ph, due := ca.Due(now); due {
			ca.Enter(ph)
		}
		arrivals := 1
		if at > within*3/4 {
			arrivals = burst
		}
		for range arrivals {
			all++
			to := isNew(ca, all, now)
			ca.RecordSent("r", to, now)
			ca.Observe("server", "r", to, false)
			if to {
				toNew++
			}
		}
	}
	if burst == 1 {
		require.Equal(t, Complete, ca.Phase(), within)
	}
	require.LessOrEqual(t, float64(toNew), 0.15*float64(all), "%s %d", within, burst)
	require.Greater(t, float64(toNew), 0.1*float64(all), "%s: the allowed share is used", within)
}

func TestGoodVersionCompletesInTime(t *testing.T) {
	ca := trialCanary()
	for range 100 {
		ca.Observe("a", "r", true, false)
	}
	_, due := ca.Due(orderTime.Add(18000 * time.Millisecond))
	require.False(t, due)
	ca.phaseSince = orderTime.Add(10 * time.Second)
	ph, due := ca.Due(orderTime.Add(18140 * time.Millisecond))
	require.True(t, due)
	require.Equal(t, Shifting, ph)
	ca.Enter(ph)
	_, due = ca.Due(orderTime.Add(18150 * time.Millisecond))
	require.False(t, due, "time for the other processes to learn of the shift")
	_, due = ca.Due(orderTime.Add(18640 * time.Millisecond))
	require.False(t, due)
	ph, _ = ca.Due(orderTime.Add(18660 * time.Millisecond))
	require.Equal(t, Complete, ph)
}

// When the store becomes available just before the deadline, the trial must still last minTrialTime
// before the shift.
func TestLateTrialLastsForItsMinimumTime(t *testing.T) {
	ca := waitingCanary()
	late := orderTime.Add(ca.Plan.Within - time.Second)
	ph, _ := ca.Due(late)
	require.Equal(t, Trying, ph)
	ca.Enter(ph)
	ca.Due(late)
	_, due := ca.Due(late.Add(minTrialTime - time.Millisecond))
	require.False(t, due)
	_, due = ca.Due(late.Add(minTrialTime))
	require.True(t, due)
}

func TestBadVersionIsDetectedAfterFewAnswers(t *testing.T) {
	for _, rate := range []float64{0.3, 0.5, 1} {
		ra := rand.New(rand.NewPCG(1, 2))
		worst := 0
		for range 200 {
			ca := trialCanary()
			bad := 0
			for !ca.Bad() {
				isBad := ra.Float64() < rate
				if isBad {
					bad++
				}
				ca.Observe(fmt.Sprint(ra.IntN(12)), "r", true, isBad)
			}
			worst = max(worst, bad)
		}
		require.LessOrEqual(t, worst, 10, rate)
	}
}

func TestGoodVersionRarelyCountsAsBad(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	falseAlarms := 0
	for range 1000 {
		ca := trialCanary()
		for range 100 {
			ca.Observe("o", "r", false, ra.Float64() < 0.01)
			ca.Observe(fmt.Sprint(ra.IntN(12)), "r", true, ra.Float64() < 0.01)
		}
		if ca.Bad() {
			falseAlarms++
		}
	}
	require.LessOrEqual(t, falseAlarms, 10)
}

func TestVersionThatFailsAsOftenAsTheOldOneIsNotBad(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	falseAlarms := 0
	for range 500 {
		ca := trialCanary()
		for range 400 {
			ca.Observe("o", "r", false, ra.Float64() < 0.14)
		}
		for range 60 {
			ca.Observe(fmt.Sprint(ra.IntN(12)), "r", true, ra.Float64() < 0.14)
		}
		if ca.Bad() {
			falseAlarms++
		}
	}
	require.LessOrEqual(t, falseAlarms, 5)
}

// A gateway that detects a bad version only after the other gateways completed the roll-out must
// not return to the old version, whose servers are stopped.
func TestCompleteRolloutIsNotReverted(t *testing.T) {
	ca := trialCanary()
	ca.Enter(Shifting)
	for i := range 20 {
		ca.Observe(fmt.Sprint(i), "r", true, true)
	}
	require.True(t, ca.Bad())
	ca.Enter(Failed)
	ca.Enter(Complete)
	require.Equal(t, Complete, ca.Phase())
	require.True(t, ca.SelectsSession("any", "r", inBurst))
	_, due := ca.Due(orderTime.Add(time.Minute))
	require.False(t, due)
	ca.Enter(Failed)
	require.Equal(t, Complete, ca.Phase())
}

// Guards against a roll-back of a good version because two of its servers failed on their own.
func TestFailingServersDoNotMakeAVersionBad(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		ca := trialCanary()
		for range 300 {
			server := ra.IntN(18)
			ca.Observe(fmt.Sprint(server), "r", true, server < 3 && ra.Float64() < 0.5)
		}
		require.False(t, ca.Bad())
	}
}

// Several gateways together detect a version that fails on one rare route, although another route
// often fails on both versions.
func TestGatewaysTogetherDetectVersionThatIsBadOnOneRoute(t *testing.T) {
	gateways := []*Canary{trialCanary(), trialCanary(), trialCanary(), trialCanary()}
	ra := rand.New(rand.NewPCG(1, 2))
	for _, ca := range gateways {
		for range 200 {
			ca.Observe("o", "often fails", false, ra.Float64() < 0.2)
			ca.Observe("o", "never fails", false, false)
		}
	}
	bad := 0
	for n := 0; n < 200 && !gateways[0].Bad(); n++ {
		i := n % len(gateways)
		isBad := n%8 == 0
		if isBad {
			bad++
		}
		gateways[i].Observe(fmt.Sprint(n%3), "never fails", true, isBad)
		gateways[i].Observe(fmt.Sprint(n%3), "often fails", true, ra.Float64() < 0.2)
		for j, ca := range gateways {
			if j != i {
				ca.Merge(fmt.Sprint("box ", i), gateways[i].Own())
			}
		}
	}
	require.True(t, gateways[0].Bad())
	require.LessOrEqual(t, bad, 12)
}

func TestRepeatedOutcomesOfAPeerCountOnce(t *testing.T) {
	ca, peer := trialCanary(), trialCanary()
	for i := range 3 {
		peer.Observe(fmt.Sprint(i), "r", true, true)
	}
	for range 10 {
		ca.Merge("peer", peer.Own())
	}
	require.InDelta(t, peer.routeTest("r").maxSum(), ca.routeTest("r").maxSum(), 1e-9)
}

func TestSlowVersionIsDetectedButSlowServersAreNot(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	ca := trialCanary()
	n := 0
	for ; !ca.Bad() && n < 200; n++ {
		server := fmt.Sprint(ra.IntN(12))
		ca.Observe(server, "r", true, false)
		ca.ObserveLatency(server, true, ra.Float64() < 0.4, orderTime)
	}
	require.Less(t, n, 40)
	for range 100 {
		ca = trialCanary()
		for range 100 {
			server := ra.IntN(18)
			ca.Observe(fmt.Sprint(server), "r", true, false)
			ca.ObserveLatency(fmt.Sprint(server), true, server < 3 || ra.Float64() < 0.01, orderTime)
		}
		require.False(t, ca.Bad())
	}
}

func TestBadVersionFailsAfterConfirmation(t *testing.T) {
	ca := trialCanary()
	for i := range 10 {
		ca.Observe(fmt.Sprint(i), "r", true, true)
	}
	require.True(t, ca.Bad())
	require.False(t, ca.FailIfBad(orderTime))
	require.False(t, ca.FailIfBad(orderTime.Add(badConfirmTime/2)))
	for range 200 {
		ca.Merge("peer", Outcomes{Routes: map[string]RouteOutcomes{"r": {Tried: 300}}})
	}
	require.False(t, ca.FailIfBad(orderTime.Add(badConfirmTime)), "good outcomes of the other gateways prevail")
	for i := range 30 {
		ca.Observe(fmt.Sprint(i), "r", true, true)
	}
	require.False(t, ca.FailIfBad(orderTime.Add(2*badConfirmTime)))
	require.True(t, ca.FailIfBad(orderTime.Add(3*badConfirmTime)))
	require.Equal(t, Failed, ca.Phase())
}

// While the slow responses are too few to fail a version but exceed chance, the trial must
// continue. A slow version received all requests in two of four simulated runs.
func TestTrialContinuesForSuspiciousVersion(t *testing.T) {
	ca := trialCanary()
	for i, slow := range []bool{true, true, false, false, false} {
		ca.ObserveLatency(fmt.Sprint(i), true, slow, orderTime)
	}
	require.False(t, ca.Bad())
	ca.Due(orderTime)
	_, due := ca.Due(orderTime.Add(ca.Plan.Within))
	require.False(t, due)
	for range 20 {
		ca.ObserveLatency("a", true, false, orderTime)
	}
	_, due = ca.Due(orderTime.Add(ca.Plan.Within))
	require.True(t, due)
}

func TestNewOrderWithdrawsVersions(t *testing.T) {
	listed := []string{"v1", "v2", "v3"}
	for _, tc := range []struct {
		withdrawn []string
		version   string
		phase     Phase
		target    string
		want      []string
	}{
		{nil, "", "", "v2", nil},
		{nil, "v2", Failed, "v3", []string{"v2"}},
		{nil, "v2", Trying, "v3", []string{"v2"}},
		{nil, "v2", Failed, "v2", nil},
		{nil, "v2", Shifting, "v3", []string{"v1"}},
		{nil, "v2", Complete, "v3", []string{"v1"}},
		{nil, "v2", Complete, "v1", []string{"v3"}},
		{[]string{"v2"}, "v3", Failed, "v4", []string{"v2", "v3"}},
		{[]string{"v2"}, "v3", Failed, "v2", []string{"v3"}},
	} {
		require.ElementsMatch(t, tc.want, WithdrawnVersions(tc.withdrawn, tc.version, tc.phase, listed, tc.target), "%+v", tc)
	}
}

// Concurrent prompt processing slows the responses of both versions, so that a good version must
// not count as bad if it is as slow as the old one. A good version counted as bad in four of twelve
// simulated runs.
func TestVersionThatIsAsSlowAsTheOldOneIsNotBad(t *testing.T) {
	for _, tc := range []struct {
		slow float64
		bad  bool
	}{{0.15, false}, {0.5, true}, {1, true}} {
		ra := rand.New(rand.NewPCG(1, 2))
		detected := 0
		for range 200 {
			ca := trialCanary()
			for range 300 {
				ca.ObserveLatency("old", false, ra.Float64() < 0.15, orderTime)
			}
			for range 60 {
				ca.ObserveLatency(fmt.Sprint(ra.IntN(12)), true, ra.Float64() < tc.slow, orderTime)
				if ca.Bad() {
					detected++
					break
				}
			}
		}
		require.Equal(t, tc.bad, detected > 190, "%v: %d", tc.slow, detected)
		require.Equal(t, !tc.bad, detected < 6, "%v: %d", tc.slow, detected)
	}
}

func TestLastAttemptOfPartialAnswerUsesTheOldVersion(t *testing.T) {
	ca := trialCanary()
	require.True(t, ca.RetriesOnNew(true, false))
	require.False(t, ca.RetriesOnNew(true, true))
	require.False(t, ca.RetriesOnNew(false, false))
	ca.Enter(Shifting)
	require.True(t, ca.RetriesOnNew(false, true))
	ca.Enter(Failed)
	require.False(t, ca.RetriesOnNew(true, false))
}

// A process that has just been restarted has no outcomes and must not complete the roll-out of a
// version that became bad during the restart.
func TestProcessWithoutOutcomesDoesNotCompleteRollout(t *testing.T) {
	ca := trialCanary()
	ca.Enter(Shifting)
	deadline := orderTime.Add(ca.Plan.Within)
	for at := deadline; at.Before(deadline.Add(maxOverrun)); at = at.Add(100 * time.Millisecond) {
		_, due := ca.Due(at)
		require.False(t, due, "there are no outcomes")
	}
	ph, due := ca.Due(deadline.Add(maxOverrun))
	require.True(t, due, "the request rate is too low for more outcomes")
	require.Equal(t, Complete, ph)
}
