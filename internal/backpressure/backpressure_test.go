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

func rate(r float64) *float64 { return &r }

func TestALimitHoldsUntilAnAnswerNamesNone(t *testing.T) {
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

func TestTheUseOfALimitIsCounted(t *testing.T) {
	var tr Tracker
	tr.RecordSent("a", t0)
	tr.Report("a", rate(2), t0)
	tr.RecordSent("a", t0)
	tr.RecordSent("a", t0)
	sent, lasts := tr.LimitUsage("a", t0.Add(time.Second))
	require.Equal(t, 2, sent)
	require.Equal(t, time.Second, lasts)
	tr.Forget("a")
	sent, lasts = tr.LimitUsage("a", t0)
	require.Zero(t, sent)
	require.Zero(t, lasts)
}

var (
	alone = quota.Gateway{Box: "a", FleetSize: 1}
	four  = quota.Gateway{Box: "a", FleetSize: 4}
)

// What was sent just before a server names its limit counts: a server in need is left alone at
// once.
func TestWhatWasSentBeforeCounts(t *testing.T) {
	var tr Tracker
	for i := range 6 {
		tr.RecordSent("a", t0.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := t0.Add(600 * time.Millisecond)
	require.Zero(t, tr.Wait("a", four, now))
	tr.Report("a", rate(1.6), now)
	require.Greater(t, tr.Wait("a", four, now), 3*time.Second)
	require.Zero(t, tr.Wait("b", four, now))
}

func TestTheRateIsKeptTo(t *testing.T) {
	var tr Tracker
	tr.Report("a", rate(2), t0)
	sent := 0
	for now := t0; now.Before(t0.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if tr.Wait("a", alone, now) == 0 {
			tr.RecordSent("a", now)
			sent++
		}
	}
	require.InDelta(t, 40, sent, 1)
	sent, lasts := tr.LimitUsage("a", t0.Add(20*time.Second))
	require.InDelta(t, 40, sent, 1)
	require.Equal(t, 20*time.Second, lasts)
}

// A server that takes nothing is asked from time to time, or it could never say that it takes
// more again.
func TestAServerThatTakesNothingIsAskedSeldom(t *testing.T) {
	var tr Tracker
	tr.Report("a", rate(0), t0)
	sent := 0
	for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if tr.Wait("a", alone, now) == 0 {
			tr.RecordSent("a", now)
			sent++
		}
	}
	require.Equal(t, 6, sent)
}

func TestASilentServerIsAskedFirst(t *testing.T) {
	var tr Tracker
	require.False(t, tr.Silent("a", t0), "it names no limit")
	tr.Report("a", rate(2), t0)
	require.False(t, tr.Silent("a", t0.Add(time.Second)))
	require.True(t, tr.Silent("a", t0.Add(silentAfter)))
	tr.RecordSent("a", t0.Add(silentAfter))
	require.False(t, tr.Silent("a", t0.Add(silentAfter+time.Second)), "it was just asked")
	tr.Report("a", rate(2), t0.Add(silentAfter+time.Second))
	require.False(t, tr.Silent("a", t0.Add(2*silentAfter)))
}

// carry passes a tracker's news on to another one.
func carry(from, to *Tracker, by gossip.Direction, now time.Time) (changes int) {
	for _, no := range from.Notices(by, now) {
		if to.Receive(no, now) != Unchanged {
			changes++
		}
	}
	return changes
}

func TestGatewaysTellEachOther(t *testing.T) {
	var first, collector, other, last Tracker
	first.Report("a", rate(2), t0)
	now := t0.Add(100 * time.Millisecond)
	require.Equal(t, 1, carry(&first, &collector, gossip.ToCollector, now))
	require.Equal(t, 1, carry(&collector, &other, gossip.BetweenCollectors, now))
	require.Zero(t, carry(&other, &collector, gossip.BetweenCollectors, now), "no word goes round")
	require.Equal(t, 1, carry(&other, &last, gossip.ToMember, now))
	require.Empty(t, last.Notices(gossip.ToCollector, now))
	require.Zero(t, carry(&first, &collector, gossip.ToCollector, now), "told once more")
	_, ok := last.PerSecond("a")
	require.True(t, ok)

	// It ends, and a word from before its end comes late.
	late := first.Notices(gossip.ToCollector, now)
	require.Equal(t, Unlimited, first.Report("a", nil, now.Add(300*time.Millisecond)))
	now = now.Add(400 * time.Millisecond)
	require.Equal(t, 1, carry(&first, &collector, gossip.ToCollector, now))
	late[0].Age = 500 * time.Millisecond
	require.Equal(t, Unchanged, collector.Receive(late[0], now))
	_, ok = collector.PerSecond("a")
	require.False(t, ok)

	collector.Tick(func(string) bool { return true }, now.Add(gossip.FactLifetime))
	require.Empty(t, collector.Notices(gossip.ToMember, now.Add(gossip.FactLifetime)))
	require.Empty(t, collector.reported, "nothing is left of it")
}

func TestWhatCanBeNoNoticeChangesNothing(t *testing.T) {
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

func TestLimitsOfServersThatAreNotListedEnd(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	rate := 2.0
	tr.Report("listed", &rate, now)
	tr.Report("gone", &rate, now)
	listed := func(key string) bool { return key == "listed" }
	tr.Tick(listed, now.Add(unlistedKept-1))
	_, ok := tr.PerSecond("gone")
	require.True(t, ok)
	tr.Tick(listed, now.Add(unlistedKept))
	_, ok = tr.PerSecond("gone")
	require.False(t, ok)
	_, ok = tr.PerSecond("listed")
	require.True(t, ok)
}
