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
	trial, _ := bs.Trial(pr, t0)
	require.Zero(t, trial)
	bs.Add(NewBlock(pr, FirstTerm, t0), FirstTerm, false, t0)
	var tried []time.Duration
	for at := time.Duration(0); at < FirstTerm; at += 100 * time.Millisecond {
		if trial, _ := bs.Trial(pr, t0.Add(at)); trial > 0 {
			bs.Try(pr, trial, t0.Add(at))
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
	bs.Add(NewBlock(pr, FirstTerm, t0), FirstTerm, true, t0)
	require.Empty(t, bs.Unstored())
	trial, due := bs.Trial(pr, at)
	require.Equal(t, 1, trial)
	require.Equal(t, 1400*time.Millisecond, due)
	bs.Try(pr, 1, at)
	require.Len(t, bs.Unstored(), 1)
	require.True(t, bs.IsStored(pr))
	require.Len(t, bs.News(at.Add(blockNews-1)), 1)
	for _, bl := range bs.News(at) {
		other.Add(bl, bl.Left(at), false, at)
	}
	trial, _ = other.Trial(pr, at)
	require.Zero(t, trial)
	bs.Add(bs.Unstored()[0], FirstTerm, true, at)
	require.Empty(t, bs.Unstored())
	trial, _ = other.Trial(pr, t0.Add(12*time.Second))
	require.Equal(t, 2, trial)
}

func TestABlockForLongIsNotTriedAtItsBeginning(t *testing.T) {
	var bs Blocks
	pr := named("p")
	bs.Add(NewBlock(pr, Term, t0), Term, false, t0)
	trial, _ := bs.Trial(pr, t0.Add(time.Second))
	require.Zero(t, trial)
	require.Zero(t, bs.Fresh(pr, t0))
	require.Equal(t, Term, bs.Return(pr, t0))
}

// Whenever a blocked caller is told to come back there is a reason to.
func TestCallersComeBackWhenItIsWorthIt(t *testing.T) {
	var bs Blocks
	pr := named("p")
	require.Zero(t, bs.Return(pr, t0))
	require.Zero(t, bs.Fresh(pr, t0))
	bs.Add(NewBlock(pr, FirstTerm, t0), FirstTerm, false, t0)
	require.Equal(t, FreshTerm, bs.Fresh(pr, t0))
	require.Zero(t, bs.Fresh(pr, t0.Add(FreshTerm)))
	for at, want := range map[time.Duration]time.Duration{
		0: 1600 * time.Millisecond, 2 * time.Second: time.Second, 3 * time.Second: 8 * time.Second, 12 * time.Second: 288 * time.Second,
		time.Minute: 4 * time.Minute, FirstTerm: 0,
	} {
		require.Equal(t, want, bs.Return(pr, t0.Add(at)), at)
	}
}

// Whatever is tried when, no more than three copies go out in a block's first term, and a caller
// is never told a time beyond the block's end.
func TestTrialsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var bs Blocks
		pr := named("p")
		late := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(rt, "late"))
		bs.Add(NewBlock(pr, FirstTerm, t0), FirstTerm-late, false, t0.Add(late))
		tries, now := 0, t0.Add(late)
		for range 200 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(rt, "step")))
			left := bs.Left(pr, now)
			require.LessOrEqual(rt, bs.Return(pr, now), left)
			require.Equal(rt, left > 0, bs.Return(pr, now) > 0)
			if trial, _ := bs.Trial(pr, now); trial > 0 && left > 0 {
				bs.Try(pr, trial, now)
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
	suspected := func(other Print) bool { return other == pr }
	rs.Sent("s", pr, "r", after(0)).Over(true, after(100))
	rs.Sent("other", named("q"), "q", after(0)).Over(true, after(100))
	rs.Sent("dropped", pr, "d", after(0)).Over(false, after(100))
	require.Empty(t, rs.Unproven(suspected, after(599)))
	require.Equal(t, []string{"s"}, rs.Unproven(suspected, after(600)))
	rs.Alive("s", after(610))
	require.Empty(t, rs.Unproven(suspected, after(620)))
	require.Equal(t, []Print{pr}, rs.Settle(after(620)))
}
