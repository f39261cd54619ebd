package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestABlockedRequestIsTriedAFewTimes(t *testing.T) {
	var bs Blocks
	pr := named("p")
	trial, _ := bs.DueTrial(pr, t0)
	require.Zero(t, trial)
	bs.Add(NewBlock(pr, FirstBlockDuration, t0), FirstBlockDuration, false, t0)
	var tried []time.Duration
	for at := time.Duration(0); at < FirstBlockDuration; at += 100 * time.Millisecond {
		if trial, _ := bs.DueTrial(pr, t0.Add(at)); trial > 0 {
			bs.RecordTrial(pr, trial, t0.Add(at))
			tried = append(tried, at)
		}
	}
	require.Equal(t, []time.Duration{600 * time.Millisecond, 10 * time.Second}, tried)
}

// A process that has just started knows from the key-value service what was tried, others from the
// reports.
func TestATrialIsKnownToOthers(t *testing.T) {
	var bs, other Blocks
	pr := named("p")
	at := t0.Add(2 * time.Second)
	bs.Add(NewBlock(pr, FirstBlockDuration, t0), FirstBlockDuration, true, t0)
	require.Empty(t, bs.Unstored())
	trial, due := bs.DueTrial(pr, at)
	require.Equal(t, 1, trial)
	require.Equal(t, 1400*time.Millisecond, due)
	bs.RecordTrial(pr, 1, at)
	require.Len(t, bs.Unstored(), 1)
	require.True(t, bs.IsStored(pr))
	require.Len(t, bs.Recent(at.Add(blockNews-1)), 1)
	for _, bl := range bs.Recent(at) {
		other.Add(bl, bl.Remaining(at), false, at)
	}
	trial, _ = other.DueTrial(pr, at)
	require.Zero(t, trial)
	bs.Add(bs.Unstored()[0], FirstBlockDuration, true, at)
	require.Empty(t, bs.Unstored())
	trial, _ = other.DueTrial(pr, t0.Add(12*time.Second))
	require.Equal(t, 2, trial)
}

func TestABlockForLongIsNotTriedAtItsBeginning(t *testing.T) {
	var bs Blocks
	pr := named("p")
	bs.Add(NewBlock(pr, RepeatBlockDuration, t0), RepeatBlockDuration, false, t0)
	trial, _ := bs.DueTrial(pr, t0.Add(time.Second))
	require.Zero(t, trial)
	require.Zero(t, bs.FreshFor(pr, t0))
	require.Equal(t, RepeatBlockDuration, bs.RetryAfter(pr, t0))
}

// Whenever a blocked caller is told to come back there is a reason to.
func TestCallersComeBackWhenItIsWorthIt(t *testing.T) {
	var bs Blocks
	pr := named("p")
	require.Zero(t, bs.RetryAfter(pr, t0))
	require.Zero(t, bs.FreshFor(pr, t0))
	bs.Add(NewBlock(pr, FirstBlockDuration, t0), FirstBlockDuration, false, t0)
	require.Equal(t, FreshDuration, bs.FreshFor(pr, t0))
	require.Zero(t, bs.FreshFor(pr, t0.Add(FreshDuration)))
	for at, want := range map[time.Duration]time.Duration{
		0: 1600 * time.Millisecond, 2 * time.Second: time.Second, 3 * time.Second: 8 * time.Second, 12 * time.Second: 288 * time.Second,
		time.Minute: 4 * time.Minute, FirstBlockDuration: 0,
	} {
		require.Equal(t, want, bs.RetryAfter(pr, t0.Add(at)), at)
	}
}

// Whatever is tried when, no more than three copies go out in a block's first term, and a caller
// is never told a time beyond the block's end.
func TestTrialsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var bs Blocks
		pr := named("p")
		late := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(rt, "late"))
		bs.Add(NewBlock(pr, FirstBlockDuration, t0), FirstBlockDuration-late, false, t0.Add(late))
		tries, now := 0, t0.Add(late)
		for range 200 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(rt, "step")))
			left := bs.Remaining(pr, now)
			require.LessOrEqual(rt, bs.RetryAfter(pr, now), left)
			require.Equal(rt, left > 0, bs.RetryAfter(pr, now) > 0)
			if trial, _ := bs.DueTrial(pr, now); trial > 0 && left > 0 {
				bs.RecordTrial(pr, trial, now)
				tries++
			}
		}
		require.LessOrEqual(rt, tries, len(trials))
	})
}

// A server that answered a suspected request as a whole is asked for, once, until it is known.
func TestWhatSpeaksForASuspectedRequestIsAskedFor(t *testing.T) {
	var rs Runs
	pr := named("p")
	suspected := func(other Fingerprint) bool { return other == pr }
	rs.Sent("s", pr, "r", after(0)).Finish(true, after(100))
	rs.Sent("other", named("q"), "q", after(0)).Finish(true, after(100))
	rs.Sent("dropped", pr, "d", after(0)).Finish(false, after(100))
	require.Empty(t, rs.Unconfirmed(suspected, after(599)))
	require.Equal(t, []string{"s"}, rs.Unconfirmed(suspected, after(600)))
	rs.Alive("s", after(610))
	require.Empty(t, rs.Unconfirmed(suspected, after(620)))
	require.Equal(t, []Fingerprint{pr}, rs.Prune(after(620)))
}
