package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/comparison"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// newTrialGateway returns a gateway with a version on trial.
func newTrialGateway(t *testing.T) (*Gateway, *rolloutState) {
	t.Helper()
	ga, ro := newOrderedGateway(t)
	ro.canary.Enter(rollout.Trying)
	return ga, ro
}

// newOrderedGateway returns a gateway that has just received an order.
func newOrderedGateway(t *testing.T) (*Gateway, *rolloutState) {
	t.Helper()
	ga := &Gateway{Log: zerolog.Nop(), Bounds: Bounds{CanaryShare: 0.15}}
	ga.prepare()
	ga.applyOrder(Order{Revision: rev(7), Plan: rollout.Plan{Service: "s", Version: "v2", Within: 20 * time.Second}})
	return ga, ga.rollouts["s"]
}

// awaitVerdict applies the verdict on the new version at present and 5 s later, when a version with
// bad outcomes is no longer used.
func awaitVerdict(ga *Gateway, ro *rolloutState) {
	now := time.Now()
	ga.applyVerdict(ro, now)
	ga.applyVerdict(ro, now.Add(5*time.Second))
}

func TestNewOrderIsStoredAsWaiting(t *testing.T) {
	ga, ro := newOrderedGateway(t)
	ph, due := ga.phaseToStore(ro, time.Now())
	require.True(t, due)
	require.Equal(t, StoredPhase{
		Service: "s", Order: rev(7), Phase: rollout.Waiting, Version: "v2", Elapsed: ph.Elapsed,
	}, ph)
	ga.applyStoredPhase(StoredPhase{Service: "s", Order: rev(7), Phase: rollout.Waiting, Revision: rev(9)})
	_, due = ga.phaseToStore(ro, time.Now())
	require.False(t, due)
}

func TestBadVersionFailsAndFailureIsStored(t *testing.T) {
	ga, ro := newTrialGateway(t)
	ga.applyStoredPhase(StoredPhase{Service: "s", Order: rev(7), Phase: rollout.Trying, Revision: rev(9)})
	for i := range 20 {
		ga.observeOutcome(directory.Server{ID: fmt.Sprint(i), Service: "s", Version: "v2"}, "r", true)
	}
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Failed, ro.canary.Phase())
	ph, due := ga.phaseToStore(ro, time.Now())
	require.True(t, due)
	require.Equal(t, StoredPhase{
		Service: "s", Order: rev(7), Phase: rollout.Failed, Revision: rev(9), Version: "v2", Elapsed: ph.Elapsed,
	}, ph)
}

// After a roll-out is complete the old version's servers are stopped, so a later verdict of one
// gateway must be neither stored nor acted on.
func TestFailureAfterCompletionIsNotStored(t *testing.T) {
	ga, ro := newTrialGateway(t)
	for i := range 20 {
		ga.observeOutcome(directory.Server{ID: fmt.Sprint(i), Service: "s", Version: "v2"}, "r", true)
	}
	ga.applyStoredPhase(StoredPhase{Service: "s", Order: rev(7), Phase: rollout.Complete, Revision: rev(12)})
	require.Equal(t, rollout.Complete, ro.canary.Phase())
	_, due := ga.phaseToStore(ro, time.Now().Add(time.Minute))
	require.False(t, due)
}

func TestPhaseOfOlderOrderIsIgnored(t *testing.T) {
	ga, ro := newTrialGateway(t)
	ga.applyStoredPhase(StoredPhase{Service: "s", Order: rev(3), Phase: rollout.Complete, Revision: rev(5)})
	require.Equal(t, rollout.Trying, ro.canary.Phase())
	ph, due := ga.phaseToStore(ro, time.Now())
	require.True(t, due)
	require.Equal(t, rev(5), ph.Revision, "the write is compared with the older phase")
}

// observePaces records streams of a version, at nine servers in turn.
func observePaces(ga *Gateway, version string, streams int, took time.Duration) {
	for i := range streams {
		se := directory.Server{ID: fmt.Sprint(version, "-", i%9), Service: "s", Version: version}
		ga.observeDuration(se, comparison.Work{Kind: "pace"}, took, time.Now())
	}
}

func TestSlowVersionFails(t *testing.T) {
	ga, ro := newTrialGateway(t)
	observePaces(ga, "v1", 40, time.Second)
	observePaces(ga, "v2", 20, 8*time.Second)
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Failed, ro.canary.Phase())
}

// Guards against a version that is two to three times slower being completed and kept.
func TestVersionThatIsTwiceAsSlowFails(t *testing.T) {
	ga, ro := newTrialGateway(t)
	observePaces(ga, "v1", 40, time.Second)
	observePaces(ga, "v2", 20, 1900*time.Millisecond)
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Failed, ro.canary.Phase())
}

// The operator says from which factor on a version is bad.
func TestSlowFactorIsTheOperators(t *testing.T) {
	ga, ro := newTrialGateway(t)
	ga.Bounds.SlowFactor = 4
	observePaces(ga, "v1", 40, time.Second)
	observePaces(ga, "v2", 20, 1900*time.Millisecond)
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Trying, ro.canary.Phase())
}

// Guards against a good version being stopped since its servers have just started.
func TestResponsesOfColdServersAreNotCompared(t *testing.T) {
	ga, ro := newTrialGateway(t)
	observePaces(ga, "v1", 40, time.Second)
	for i := range 20 {
		se := directory.Server{ID: fmt.Sprint("n", i%9), Service: "s", Version: "v2"}
		ga.pool.Warmup.MarkCold(se.Key(), time.Minute, time.Now())
		ga.observeDuration(se, comparison.Work{Kind: "pace"}, 8*time.Second, time.Now())
	}
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Trying, ro.canary.Phase())
}

// The time to a head depends on the prompts that a server has cached, and a new server has none, so
// it must not be used to compare versions.
func TestResponseWithoutComparableDurationIsNotSlow(t *testing.T) {
	ga, ro := newTrialGateway(t)
	for range 40 {
		ga.reference("s").Add(comparison.Work{Kind: "pace"}, time.Second, time.Now())
	}
	for i := range 100 {
		ga.observeOutcome(directory.Server{ID: fmt.Sprint("n", i%9), Service: "s", Version: "v2"}, "r", false)
	}
	require.Equal(t, rollout.Trying, ro.canary.Phase())
}

func TestTalliesOfOtherGatewaysRevealBadVersion(t *testing.T) {
	ga, ro := newTrialGateway(t)
	ga.Box = "own"
	bad := Tally{Service: "s", Order: rev(7), Box: "other", Outcomes: rollout.Outcomes{
		Routes: map[string]rollout.RouteOutcomes{"r": {Tried: 9, Bad: 8, Servers: []string{"a", "b", "c"}}},
	}}
	own := bad
	own.Box, own.Life = "own", ga.instanceID
	ga.receiveTally(own)
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Trying, ro.canary.Phase(), "the gateway's own tally is not counted twice")
	older := bad
	older.Order = rev(3)
	ga.receiveTally(older)
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Trying, ro.canary.Phase())
	ga.receiveTally(bad)
	awaitVerdict(ga, ro)
	require.Equal(t, rollout.Failed, ro.canary.Phase())
}

// versionsPicked returns the versions that requests of many sessions are sent to.
func versionsPicked(ga *Gateway) map[string]bool {
	picked := map[string]bool{}
	for i := range 400 {
		ex := &exchange{ga: ga, route: &routing.Route{Name: "r"}, service: "s", session: fmt.Sprint("session-", i)}
		if sel, ok := ga.pool.Pick(ga.restrictVersion(pool.Query{Service: "s"}, ex, time.Now()), uint64(i), time.Now()); ok {
			picked[sel.Server().Version] = true
		}
	}
	return picked
}

func putServers(ga *Gateway, versions ...string) {
	for _, ve := range versions {
		for i := range 3 {
			ga.servers.Put(directory.Server{ID: fmt.Sprint(ve, "-", i), Service: "s", Version: ve})
		}
	}
}

// Guards against a new version receiving sessions in the first half of its roll-out. It happened
// when a version was ordered 0.7 s after another one had failed, whose servers were still listed
// and were treated as servers of the old version: eight PINNED errors in one simulated day.
func TestFailedVersionIsNotUsedUnderNextOrder(t *testing.T) {
	ga, ro := newTrialGateway(t)
	putServers(ga, "v1", "v2", "v3")
	ga.applyStoredPhase(StoredPhase{Service: "s", Order: rev(7), Phase: rollout.Failed, Revision: rev(9), Version: "v2"})
	require.Equal(t, rollout.Failed, ro.canary.Phase())
	ga.applyOrder(Order{Revision: rev(10), Plan: rollout.Plan{Service: "s", Version: "v3", Within: 20 * time.Second}})
	require.Equal(t, map[string]bool{"v1": true}, versionsPicked(ga), "no session may move yet")
	ph, due := ga.phaseToStore(ga.rollouts["s"], time.Now())
	require.True(t, due)
	require.Equal(t, []string{"v2"}, ph.Withdrawn)

	// A process that starts now uses the stored phase, both before and after the new phase is
	// stored.
	for _, stored := range []StoredPhase{
		{Service: "s", Order: rev(7), Phase: rollout.Failed, Revision: rev(9), Version: "v2"},
		{Service: "s", Order: rev(10), Phase: rollout.Trying, Revision: rev(11), Version: "v3", Withdrawn: []string{"v2"}},
	} {
		fresh := &Gateway{Log: zerolog.Nop(), Bounds: ga.Bounds}
		fresh.prepare()
		putServers(fresh, "v1", "v2", "v3")
		fresh.applyStoredPhase(stored)
		fresh.applyOrder(Order{Revision: rev(10), Plan: rollout.Plan{Service: "s", Version: "v3", Within: 20 * time.Second}})
		require.Equal(t, map[string]bool{"v1": true}, versionsPicked(fresh))
	}

	ga.applyOrder(Order{Revision: rev(12), Plan: rollout.Plan{Service: "s", Version: "v2", Within: 20 * time.Second}})
	require.NotContains(t, ga.rollouts["s"].withdrawn, "v2", "a version that is ordered again is not withdrawn")
}

// Guards against streams that began on the old version being continued on a version on trial. There
// they failed until no attempt was left, which was seen as LOST errors with a hundred gateways.
func TestRequestBegunOnOldVersionIsNotTried(t *testing.T) {
	ga, ro := newTrialGateway(t)
	ro.canary.SetShares(rollout.Shares{rollout.AnyRoute: 1}, 0)
	putServers(ga, "v1", "v2")
	now := time.Now()
	version := func(ex *exchange) string {
		sel, ok := ga.pool.Pick(ga.restrictVersion(pool.Query{Service: "s"}, ex, now), 1, now)
		require.True(t, ok)
		return sel.Server().Version
	}
	ex := &exchange{ga: ga, route: &routing.Route{Name: "r"}, service: "s", session: "a"}
	require.Equal(t, "v2", version(ex), "the trial covers all sessions")
	ex.firstVersion = "v1"
	require.Equal(t, "v1", version(ex), "a retry stays on the version that the request began on")
	ex.firstVersion = "v2"
	require.Equal(t, "v2", version(ex), "a retry stays on the version on trial, so that its session does")

	for _, id := range []string{"v1-0", "v1-1", "v1-2"} {
		ga.servers.Remove(id, now)
	}
	ex.firstVersion = "v1"
	require.Equal(t, "v2", version(ex), "the old version has no server left")

	ro.canary.Enter(rollout.Shifting)
	putServers(ga, "v1")
	require.Equal(t, "v2", version(ex), "all requests move")
}

// A process that starts in the middle of a roll-out continues from the stored phase: it finishes in
// time, and sessions that had moved stay on their version.
func TestRolloutContinuesAfterRestart(t *testing.T) {
	ga, ro := newOrderedGateway(t)
	ph, due := ga.phaseToStore(ro, ro.canary.OrderedAt.Add(10*time.Second))
	require.True(t, due)
	require.Equal(t, rollout.Trying, ph.Phase)
	ph.Revision = rev(9)
	restarted := &Gateway{Log: zerolog.Nop(), Bounds: ga.Bounds}
	restarted.prepare()
	restarted.applyStoredPhase(ph)
	restarted.applyOrder(ro.order)
	continued := restarted.rollouts["s"]
	require.Equal(t, ph.Shares, continued.canary.Shares())
	require.InDelta(t, 10, time.Since(continued.canary.OrderedAt).Seconds(), 0.5)
	moved := 0
	for i := range 10_000 {
		if continued.canary.SelectsSession(fmt.Sprint("session-", i), "r", time.Now()) {
			moved++
		}
	}
	require.InDelta(t, 10_000*ph.Shares.Of("r"), moved, 150)
	_, due = restarted.phaseToStore(continued, time.Now())
	require.False(t, due)
	next, due := restarted.phaseToStore(continued, time.Now().Add(elapsedWriteInterval))
	require.True(t, due, "the stored elapsed time is outdated")
	require.Greater(t, next.Elapsed, ph.Elapsed)
	late, due := restarted.phaseToStore(continued, continued.canary.OrderedAt.Add(17500*time.Millisecond))
	require.False(t, due, "no write just before the shift: %v", late)
}

// A collector writes the tallies of all gateways that report to it.
func TestCollectorWritesTalliesOfItsGateways(t *testing.T) {
	te := &tallyRecorder{}
	collector, collectorRo := newTrialGateway(t)
	collector.Store, collector.Box = te, "a"
	leaf, ro := newTrialGateway(t)
	leaf.Store, leaf.Box = te, "b"
	now := time.Now()
	leaf.lastReportCollected = now
	leaf.observeOutcome(directory.Server{ID: "x", Service: "s", Version: "v2"}, "r", true)
	leaf.publishTallies(t.Context(), ro, now)
	re := leaf.report(false)
	require.NotEmpty(t, re.Tallies, "sent with the load report")
	collector.Reported(re)
	leaf.reportAccepted(re, now)
	require.Empty(t, leaf.report(false).Tallies, "sent once")
	require.Equal(t, 1, collectorRo.canary.TotalBad(), "the collector applies the tally at once")

	collector.publishTallies(t.Context(), collectorRo, now.Add(time.Second))
	require.Eventually(t, func() bool { return len(te.recorded()) == 2 }, 5*time.Second, time.Millisecond)
	third, thirdRo := newTrialGateway(t)
	for _, ta := range te.recorded() {
		third.receiveTally(ta)
	}
	require.Equal(t, 1, thirdRo.canary.TotalBad())
	third.receiveTally(Tally{Service: "s", Order: rev(7), Box: "b", Life: leaf.instanceID})
	third.receiveTally(te.recorded()[0])
	require.Equal(t, 1, thirdRo.canary.TotalBad(), "older tallies and duplicates are not counted again")

	leaf.lastReportCollected = now.Add(-time.Minute)
	leaf.observeOutcome(directory.Server{ID: "y", Service: "s", Version: "v2"}, "r", true)
	leaf.publishTallies(t.Context(), ro, now.Add(time.Minute))
	require.Eventually(t, func() bool { return len(te.recorded()) == 3 }, 5*time.Second, time.Millisecond, "without a collector the gateway writes")
}

// tallyRecorder is a Store that records the tallies it receives.
type tallyRecorder struct {
	scriptedStore
	mu      sync.Mutex
	tallies []Tally
}

func (te *tallyRecorder) StoreTallies(_ context.Context, _ string, tallies []Tally) error {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.tallies = append(te.tallies, tallies...)
	return nil
}

func (te *tallyRecorder) recorded() []Tally {
	te.mu.Lock()
	defer te.mu.Unlock()
	return slices.Clone(te.tallies)
}

// 400 gateways that all have outcomes to publish must not exceed the write rate that the key-value
// service supports.
func TestTallyWritesStayWithinStoreCapacity(t *testing.T) {
	for _, n := range []int{3, 30, 400} {
		ga, ro := newTrialGateway(t)
		for i := range n {
			box := fmt.Sprint("box", i)
			ga.memberJoined(relay.Member{Box: box})
		}
		now, published := time.Now(), 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			ga.observeOutcome(directory.Server{ID: "a", Service: "s", Version: "v2"}, "r", true)
			if ga.tallyDue(ro, now) {
				ro.publishedAt, ro.publishedCount = now, ro.canary.OwnCount()
				_, ro.publishedBad = ro.canary.Counts()
				published++
			}
		}
		require.LessOrEqual(t, published*n, 10*220, "%d gateways in 10 s", n)
		require.GreaterOrEqual(t, published, 5)
	}
}

// Guards against gateways without connection to the key-value service trying to store the elapsed
// time three times a second each, as a third of a hundred gateways did.
func TestFailedPhaseWritesBackOff(t *testing.T) {
	ga, ro := newTrialGateway(t)
	ga.applyStoredPhase(StoredPhase{Service: "s", Order: rev(7), Phase: rollout.Trying, Revision: rev(9)})
	old := ro.canary.OrderedAt.Add(4 * elapsedWriteInterval)
	_, due := ga.phaseToStore(ro, old)
	require.True(t, due)
	ga.storeOutage.HandleFailure(time.Now(), time.Now())
	_, due = ga.phaseToStore(ro, old)
	require.False(t, due, "the key-value service does not answer")

	ga.Store = &scriptedStore{disconnected: true}
	for want := 2 * phaseWriteInterval; want <= 2*maxPhaseWriteInterval; want *= 2 {
		ga.storePhase(t.Context(), ro, StoredPhase{Service: "s"})
		require.Equal(t, min(want, maxPhaseWriteInterval), ro.writePause)
	}
	ga.applyStoredPhase(StoredPhase{Service: "s", Order: rev(7), Phase: rollout.Trying, Revision: rev(10)})
	require.Equal(t, phaseWriteInterval, ro.writePause, "reset after another gateway's write")
}

// An order written while no watch received changes may be up to a second old when it is read.
func TestOrderFromCompleteReadMayBeOlder(t *testing.T) {
	order := Change{Order: &Order{Revision: rev(4), Plan: rollout.Plan{Service: "s", Version: "v2", Within: 24 * time.Second}}}
	for _, tc := range []struct {
		sinceRead, wantAge time.Duration
	}{{300 * time.Millisecond, 300 * time.Millisecond}, {5 * time.Second, maxMissedChangeAge}} {
		ga := &Gateway{Log: zerolog.Nop()}
		ga.prepare()
		now := time.Now()
		require.NoError(t, ga.applyReadState(State{Revision: rev(2)}, now.Add(-tc.sinceRead)))
		require.NoError(t, ga.applyReadState(State{Revision: rev(9), Changes: []Change{order}}, now))
		require.InDelta(t, float64(tc.wantAge), float64(now.Sub(ga.rollouts["s"].canary.OrderedAt)), float64(50*time.Millisecond))
	}
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	now := time.Now()
	require.NoError(t, ga.applyReadState(State{Revision: rev(2)}, now.Add(-time.Second)))
	ga.applyWatch(State{Revision: rev(9), Changes: []Change{order}}, now, time.Second, now)
	require.False(t, ga.rollouts["s"].canary.OrderedAt.Before(now), "a watch reports changes at once")
}

// A version that turns out slow after the end can't be taken back, so the log must say so.
func TestSlowVersionIsLoggedAfterTheEnd(t *testing.T) {
	ga, log := newServingGateway(orderAt(rev(3), "v2"))
	ro := ga.rollouts["s"]
	now := clock.Now()
	for range 40 {
		ga.observeDuration(directory.Server{ID: "o", Service: ro.order.Plan.Service, Version: "v1"}, comparison.Work{Kind: "pace"}, time.Second, now)
	}
	ro.canary.Enter(rollout.Complete)
	ga.logPhase(ro)
	for _, after := range []time.Duration{0, time.Second, completedCheckTime + time.Second, completedCheckTime + 2*time.Second} {
		ga.observeDuration(directory.Server{ID: "n", Service: ro.order.Plan.Service, Version: "v2"}, comparison.Work{Kind: "pace"}, 2*time.Second, now.Add(after))
	}
	require.Equal(t, 1, strings.Count(log.String(), "rollout_compared"))
	require.Contains(t, log.String(), `"compared":3,"slow":3,"slow_factor":2`)
}
