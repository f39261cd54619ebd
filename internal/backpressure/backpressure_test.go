package backpressure

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/quota"
)

var t0 = time.Unix(1000, 0)

func rate(perSecond float64) *float64 { return &perSecond }

func TestLimitAppliesUntilAnAnswerReportsNone(t *testing.T) {
	var tr Tracker
	require.Equal(t, Unchanged, tr.Report("a", nil, t0))
	require.Equal(t, Limited, tr.Report("a", rate(2), t0))
	require.Equal(t, Unchanged, tr.Report("a", rate(2.1), t0))
	require.Equal(t, Limited, tr.Report("a", rate(4), t0))
	perSecond, ok := tr.PerSecond("a")
	require.True(t, ok)
	require.InDelta(t, 4, perSecond, 1e-9)
	_, ok = tr.PerSecond("b")
	require.False(t, ok)
	require.Equal(t, Unlimited, tr.Report("a", nil, t0))
	_, ok = tr.PerSecond("a")
	require.False(t, ok)
}

func TestLimitUsageCountsRequests(t *testing.T) {
	var tr Tracker
	tr.RecordSent("a", t0)
	tr.Report("a", rate(2), t0)
	tr.RecordSent("a", t0)
	tr.RecordSent("a", t0)
	sent, elapsed := tr.LimitUsage("a", t0.Add(time.Second))
	require.Equal(t, 2, sent)
	require.Equal(t, time.Second, elapsed)
	tr.Forget("a")
	sent, elapsed = tr.LimitUsage("a", t0)
	require.Zero(t, sent)
	require.Zero(t, elapsed)
}

var (
	onlyGateway = quota.Gateway{Box: "a", FleetSize: 1}
	oneOfFour   = quota.Gateway{Box: "a", FleetSize: 4}
)

// Requests sent shortly before a server reports its limit count, so that an overloaded server gets
// no more requests at once.
func TestRequestsBeforeTheLimitCount(t *testing.T) {
	var tr Tracker
	for i := range 6 {
		tr.RecordSent("a", t0.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := t0.Add(600 * time.Millisecond)
	require.Zero(t, tr.Wait("a", oneOfFour, now))
	tr.Report("a", rate(1.6), now)
	require.Greater(t, tr.Wait("a", oneOfFour, now), 3*time.Second)
	require.Zero(t, tr.Wait("b", oneOfFour, now))
}

func TestRateIsNotExceeded(t *testing.T) {
	var tr Tracker
	tr.Report("a", rate(2), t0)
	sent := 0
	for now := t0; now.Before(t0.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if tr.Wait("a", onlyGateway, now) == 0 {
			tr.RecordSent("a", now)
			sent++
		}
	}
	require.InDelta(t, 40, sent, 1)
	sent, elapsed := tr.LimitUsage("a", t0.Add(20*time.Second))
	require.InDelta(t, 40, sent, 1)
	require.Equal(t, 20*time.Second, elapsed)
}

// A server with a limit of zero is still called at times, since it could not raise its limit
// otherwise.
func TestServerWithLimitZeroIsCalledRarely(t *testing.T) {
	var tr Tracker
	tr.Report("a", rate(0), t0)
	sent := 0
	for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if tr.Wait("a", onlyGateway, now) == 0 {
			tr.RecordSent("a", now)
			sent++
		}
	}
	require.Equal(t, 6, sent)
}

func TestSilent(t *testing.T) {
	var tr Tracker
	require.False(t, tr.Silent("a", t0), "the server has no limit")
	tr.Report("a", rate(2), t0)
	require.False(t, tr.Silent("a", t0.Add(time.Second)))
	require.True(t, tr.Silent("a", t0.Add(silentAfter)))
	tr.RecordSent("a", t0.Add(silentAfter))
	require.False(t, tr.Silent("a", t0.Add(silentAfter+time.Second)), "the server was just called")
	tr.Report("a", rate(2), t0.Add(silentAfter+time.Second))
	require.False(t, tr.Silent("a", t0.Add(2*silentAfter)))
}

// propagate sends the notices of one tracker to another and returns the number of changes.
func propagate(from, to *Tracker, di gossip.Direction, now time.Time) (changes int) {
	for _, no := range from.Notices(di, now) {
		if to.Receive(no, now) != Unchanged {
			changes++
		}
	}
	return changes
}

func TestLimitsArePropagated(t *testing.T) {
	var first, collector, other, last Tracker
	first.Report("a", rate(2), t0)
	now := t0.Add(100 * time.Millisecond)
	require.Equal(t, 1, propagate(&first, &collector, gossip.ToCollector, now))
	require.Equal(t, 1, propagate(&collector, &other, gossip.BetweenCollectors, now))
	require.Zero(t, propagate(&other, &collector, gossip.BetweenCollectors, now), "notices do not circulate")
	require.Equal(t, 1, propagate(&other, &last, gossip.ToMember, now))
	require.Empty(t, last.Notices(gossip.ToCollector, now))
	require.Zero(t, propagate(&first, &collector, gossip.ToCollector, now), "the same notice again")
	_, ok := last.PerSecond("a")
	require.True(t, ok)

	// The limit ends, and a notice from before its end arrives late.
	late := first.Notices(gossip.ToCollector, now)
	require.Equal(t, Unlimited, first.Report("a", nil, now.Add(300*time.Millisecond)))
	now = now.Add(400 * time.Millisecond)
	require.Equal(t, 1, propagate(&first, &collector, gossip.ToCollector, now))
	late[0].Age = 500 * time.Millisecond
	require.Equal(t, Unchanged, collector.Receive(late[0], now))
	_, ok = collector.PerSecond("a")
	require.False(t, ok)

	collector.Tick(func(string) bool { return true }, now.Add(gossip.FactLifetime))
	require.Empty(t, collector.Notices(gossip.ToMember, now.Add(gossip.FactLifetime)))
	require.Empty(t, collector.reported, "no state remains")
}

func TestInvalidNoticesAreIgnored(t *testing.T) {
	var tr Tracker
	nan := math.NaN()
	for _, no := range []Notice{
		{PerSecond: rate(1)},
		{Server: "a", PerSecond: rate(-1)},
		{Server: "a", PerSecond: &nan},
		{Server: "a", PerSecond: rate(1), Age: -1},
		{Server: "a", PerSecond: rate(1), Hops: gossip.MaxHops},
	} {
		require.Equal(t, Unchanged, tr.Receive(no, t0), "%+v", no)
	}
	require.Empty(t, tr.limits)
	for i := range 2 * gossip.MaxFactsPerReport {
		tr.Report(fmt.Sprint(i), rate(1), t0)
	}
	require.Len(t, tr.Notices(gossip.ToCollector, t0), gossip.MaxFactsPerReport)
}

func TestLimitsOfUnlistedServersExpire(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	rate := 2.0
	tr.Report("listed", &rate, now)
	tr.Report("unlisted", &rate, now)
	listed := func(key string) bool { return key == "listed" }
	tr.Tick(listed, now.Add(unlistedRetention-1))
	_, ok := tr.PerSecond("unlisted")
	require.True(t, ok)
	tr.Tick(listed, now.Add(unlistedRetention))
	_, ok = tr.PerSecond("unlisted")
	require.False(t, ok)
	_, ok = tr.PerSecond("listed")
	require.True(t, ok)
}
