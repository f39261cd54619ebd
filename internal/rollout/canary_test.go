package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var began = time.Unix(1000, 0)

// inBurst is in the burst of the trial of the tests' roll-out.
var inBurst = began.Add(17 * time.Second)

func canary() *Canary {
	ca := waiting()
	ca.Enter(Trying)
	return ca
}

// waiting returns a roll-out that has just been ordered.
func waiting() *Canary {
	ca := &Canary{OrderedAt: began, Plan: Plan{Service: "s", Version: "v2", Within: 20 * time.Second, MostShare: 0.15}}
	ca.SetShares(Shares{AnyRoute: 0.05}, 0)
	return ca
}

func TestEverySessionIsPlacedAlikeAndOnlyMovesToTheNewVersion(t *testing.T) {
	a, b := canary(), canary()
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
	require.Equal(t, Shifting, a.Phase(), "a phase never goes back")
	a.Enter(Failed)
	require.False(t, a.SelectsSession("any", "r", inBurst))
}

// Seen with under_load on Quito, and whenever sessions went on at another gateway than
// the one that had their last request: sessions from before the order moved.
func TestNoSessionMovesInTheFirstHalf(t *testing.T) {
	ca := waiting()
	for at := time.Duration(0); at < ca.Plan.Within/2; at += time.Second / 10 {
		_, due := ca.Due(began.Add(at))
		require.False(t, due, at)
	}
	for i := range 1000 {
		require.False(t, ca.SelectsSession(fmt.Sprint(i), "r", inBurst))
	}
	ph, due := ca.Due(began.Add(ca.Plan.Within / 2))
	require.True(t, due)
	require.Equal(t, Trying, ph)
}

// A version that is bad only when everything is on it must have had no more
// than its share by the deadline.
func TestTheShareHoldsForAVersionOfWhichNothingBadIsKnown(t *testing.T) {
	for _, within := range []time.Duration{12 * time.Second, 14 * time.Second, 24 * time.Second, time.Minute} {
		for _, burst := range []int{1, 3} {
			checkShare(t, within, burst, func(ca *Canary, n int, now time.Time) bool { return ca.SelectsRequest("r", float64(n%100)/100, now) })
			checkShare(t, within, burst, func(ca *Canary, n int, now time.Time) bool { return ca.SelectsSession(fmt.Sprint(n), "r", now) })
		}
	}
}

// checkShare plays a roll-out in whose last quarter so many times the requests come. A
// burst may make it late: the share goes first.
func checkShare(t *testing.T, within time.Duration, burst int, isNew func(ca *Canary, n int, now time.Time) bool) {
	t.Helper()
	ca := waiting()
	ca.Plan.Within = within
	ca.shares, ca.burst = ca.Plan.Shares(map[string]float64{"r": 100})
	all, toNew := 0, 0
	for at := time.Duration(0); at < within; at += 10 * time.Millisecond {
		now := began.Add(at)
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
	require.Greater(t, float64(toNew), 0.1*float64(all), "%s: what may be tried is", within)
}

func TestAGoodVersionFinishesInTime(t *testing.T) {
	ca := canary()
	for range 100 {
		ca.Observe("a", "r", true, false)
	}
	_, due := ca.Due(began.Add(18000 * time.Millisecond))
	require.False(t, due)
	ca.since = began.Add(10 * time.Second)
	ph, due := ca.Due(began.Add(18140 * time.Millisecond))
	require.True(t, due)
	require.Equal(t, Shifting, ph)
	ca.Enter(ph)
	_, due = ca.Due(began.Add(18150 * time.Millisecond))
	require.False(t, due, "the other processes must learn of the shift")
	_, due = ca.Due(began.Add(18640 * time.Millisecond))
	require.False(t, due)
	ph, _ = ca.Due(began.Add(18660 * time.Millisecond))
	require.Equal(t, Complete, ph)
}

// A store that is back just before the deadline must not move everything to a version
// that was hardly tried.
func TestAVersionIsTriedForAWhileAlsoIfItIsLate(t *testing.T) {
	ca := waiting()
	late := began.Add(ca.Plan.Within - time.Second)
	ph, _ := ca.Due(late)
	require.Equal(t, Trying, ph)
	ca.Enter(ph)
	ca.Due(late)
	_, due := ca.Due(late.Add(leastTrial - time.Millisecond))
	require.False(t, due)
	_, due = ca.Due(late.Add(leastTrial))
	require.True(t, due)
}

func TestABadVersionIsFoundAfterFewAnswers(t *testing.T) {
	for _, rate := range []float64{0.3, 0.5, 1} {
		ra := rand.New(rand.NewPCG(1, 2))
		worst := 0
		for range 200 {
			ca := canary()
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

func TestAGoodVersionIsSeldomTakenForBad(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	wrong := 0
	for range 1000 {
		ca := canary()
		for range 100 {
			ca.Observe("o", "r", false, ra.Float64() < 0.01)
			ca.Observe(fmt.Sprint(ra.IntN(12)), "r", true, ra.Float64() < 0.01)
		}
		if ca.Bad() {
			wrong++
		}
	}
	require.LessOrEqual(t, wrong, 10)
}

func TestAVersionThatFailsAsTheOldOneDoesIsNotBad(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	wrong := 0
	for range 500 {
		ca := canary()
		for range 400 {
			ca.Observe("o", "r", false, ra.Float64() < 0.14)
		}
		for range 60 {
			ca.Observe(fmt.Sprint(ra.IntN(12)), "r", true, ra.Float64() < 0.14)
		}
		if ca.Bad() {
			wrong++
		}
	}
	require.LessOrEqual(t, wrong, 5)
}

// A gateway that takes a version for bad after the others have finished the
// roll-out must not hold on to an old version whose servers were stopped.
func TestAFinishedRolloutIsNotUndone(t *testing.T) {
	ca := canary()
	ca.Enter(Shifting)
	for i := range 20 {
		ca.Observe(fmt.Sprint(i), "r", true, true)
	}
	require.True(t, ca.Bad())
	ca.Enter(Failed)
	ca.Enter(Complete)
	require.Equal(t, Complete, ca.Phase())
	require.True(t, ca.SelectsSession("any", "r", inBurst))
	_, due := ca.Due(began.Add(time.Minute))
	require.False(t, due)
	ca.Enter(Failed)
	require.Equal(t, Complete, ca.Phase())
}

// Seen on Quito scale-1: two servers of the new version that broke their answers
// had a good version rolled back.
func TestAFailingServerIsNotABadVersion(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		ca := canary()
		for range 300 {
			server := ra.IntN(18)
			ca.Observe(fmt.Sprint(server), "r", true, server < 3 && ra.Float64() < 0.5)
		}
		require.False(t, ca.Bad())
	}
}

// A version that fails on one rare route is found although the others hide it,
// by several gateways together.
func TestAVersionThatIsBadOnOneRouteIsFoundTogether(t *testing.T) {
	gateways := []*Canary{canary(), canary(), canary(), canary()}
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

func TestWhatAPeerTellsAgainCountsOnce(t *testing.T) {
	ca, peer := canary(), canary()
	for i := range 3 {
		peer.Observe(fmt.Sprint(i), "r", true, true)
	}
	for range 10 {
		ca.Merge("peer", peer.Own())
	}
	require.InDelta(t, peer.route("r").worst(), ca.route("r").worst(), 1e-9)
}

func TestASlowVersionIsFoundAndASlowServerIsNot(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	ca := canary()
	n := 0
	for ; !ca.Bad() && n < 200; n++ {
		server := fmt.Sprint(ra.IntN(12))
		ca.Observe(server, "r", true, false)
		ca.ObserveLatency(server, true, ra.Float64() < 0.4, began)
	}
	require.Less(t, n, 40)
	for range 100 {
		ca = canary()
		for range 100 {
			server := ra.IntN(18)
			ca.Observe(fmt.Sprint(server), "r", true, false)
			ca.ObserveLatency(fmt.Sprint(server), true, server < 3 || ra.Float64() < 0.01, began)
		}
		require.False(t, ca.Bad())
	}
}

func TestAVersionIsLeftAfterAHearing(t *testing.T) {
	ca := canary()
	for i := range 10 {
		ca.Observe(fmt.Sprint(i), "r", true, true)
	}
	require.True(t, ca.Bad())
	require.False(t, ca.FailIfBad(began))
	require.False(t, ca.FailIfBad(began.Add(hearing/2)))
	for range 200 {
		ca.Merge("peer", Outcomes{Routes: map[string]RouteOutcomes{"r": {Tried: 300}}})
	}
	require.False(t, ca.FailIfBad(began.Add(hearing)), "the others have seen nothing bad")
	for i := range 30 {
		ca.Observe(fmt.Sprint(i), "r", true, true)
	}
	require.False(t, ca.FailIfBad(began.Add(2*hearing)))
	require.True(t, ca.FailIfBad(began.Add(3*hearing)))
	require.Equal(t, Failed, ca.Phase())
}

// Seen on the own day slow-in-a-burst, two of four runs: too few answers to
// condemn a slow version, and it was given everything.
func TestAVersionUnderSuspicionIsTriedOn(t *testing.T) {
	ca := canary()
	for i, slow := range []bool{true, true, false, false, false} {
		ca.ObserveLatency(fmt.Sprint(i), true, slow, began)
	}
	require.False(t, ca.Bad())
	ca.Due(began)
	_, due := ca.Due(began.Add(ca.Plan.Within))
	require.False(t, due)
	for range 20 {
		ca.ObserveLatency("a", true, false, began)
	}
	_, due = ca.Due(began.Add(ca.Plan.Within))
	require.True(t, due)
}

func TestWhatIsWithdrawnByANewerOrder(t *testing.T) {
	listed := []string{"v1", "v2", "v3"}
	for _, ca := range []struct {
		before  []string
		version string
		phase   Phase
		target  string
		want    []string
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
		require.ElementsMatch(t, ca.want, WithdrawnVersions(ca.before, ca.version, ca.phase, listed, ca.target), "%+v", ca)
	}
}

// Seen on hafnar-saekja scale-2, in four of twelve seeds: prompts that were read beside
// them slowed a good version's answers as they slowed the old one's.
func TestAVersionThatIsAsSlowAsTheOldOneIsNotBad(t *testing.T) {
	for _, tc := range []struct {
		slow  float64
		found bool
	}{{0.15, false}, {0.5, true}, {1, true}} {
		ra := rand.New(rand.NewPCG(1, 2))
		bad := 0
		for range 200 {
			ca := canary()
			for range 300 {
				ca.ObserveLatency("old", false, ra.Float64() < 0.15, began)
			}
			for range 60 {
				ca.ObserveLatency(fmt.Sprint(ra.IntN(12)), true, ra.Float64() < tc.slow, began)
				if ca.Bad() {
					bad++
					break
				}
			}
		}
		require.Equal(t, tc.found, bad > 190, "%v: %d", tc.slow, bad)
		require.Equal(t, !tc.found, bad < 6, "%v: %d", tc.slow, bad)
	}
}

func TestTheLastRunOfADeliveredAnswerEndsOnWhatIsProved(t *testing.T) {
	ca := canary()
	require.True(t, ca.RetriesOnNew(true, false))
	require.False(t, ca.RetriesOnNew(true, true))
	require.False(t, ca.RetriesOnNew(false, false))
	ca.Enter(Shifting)
	require.True(t, ca.RetriesOnNew(false, true))
	ca.Enter(Failed)
	require.False(t, ca.RetriesOnNew(true, false))
}

// Seen on the day late-while-gateways-restart: a process that had just been restarted
// finished a version that had turned bad while it was away.
func TestAProcessThatHasSeenNothingFinishesNothing(t *testing.T) {
	ca := canary()
	ca.Enter(Shifting)
	late := began.Add(ca.Plan.Within)
	for at := late; at.Before(late.Add(longestDoubt)); at = at.Add(100 * time.Millisecond) {
		_, due := ca.Due(at)
		require.False(t, due, "nothing is known of the version")
	}
	ph, due := ca.Due(late.Add(longestDoubt))
	require.True(t, due, "too few requests come to know more")
	require.Equal(t, Complete, ph)
}
