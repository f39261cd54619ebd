package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBlockedRequestGetsAFewTrials(t *testing.T) {
	var bs Blocks
	fp := fingerprint("p")
	trial, _ := bs.DueTrial(fp, t0)
	require.Zero(t, trial)
	bs.Add(NewBlock(fp, FirstBlockDuration, t0), FirstBlockDuration, false, t0)
	var tried []time.Duration
	for at := time.Duration(0); at < FirstBlockDuration; at += 100 * time.Millisecond {
		if trial, _ := bs.DueTrial(fp, t0.Add(at)); trial > 0 {
			bs.RecordTrial(fp, trial, t0.Add(at))
			tried = append(tried, at)
		}
	}
	require.Equal(t, []time.Duration{600 * time.Millisecond, 10 * time.Second}, tried)
}

// A process that has just started learns of trials from the key-value service, others from the
// reports.
func TestTrialIsPropagated(t *testing.T) {
	var bs, other Blocks
	fp := fingerprint("p")
	at := t0.Add(2 * time.Second)
	bs.Add(NewBlock(fp, FirstBlockDuration, t0), FirstBlockDuration, true, t0)
	require.Empty(t, bs.Unstored())
	trial, due := bs.DueTrial(fp, at)
	require.Equal(t, 1, trial)
	require.Equal(t, 1400*time.Millisecond, due)
	bs.RecordTrial(fp, 1, at)
	require.Len(t, bs.Unstored(), 1)
	require.True(t, bs.IsStored(fp))
	require.Len(t, bs.Recent(at.Add(blockReportDuration-1)), 1)
	for _, bl := range bs.Recent(at) {
		other.Add(bl, bl.Remaining(at), false, at)
	}
	trial, _ = other.DueTrial(fp, at)
	require.Zero(t, trial)
	bs.Add(bs.Unstored()[0], FirstBlockDuration, true, at)
	require.Empty(t, bs.Unstored())
	trial, _ = other.DueTrial(fp, t0.Add(12*time.Second))
	require.Equal(t, 2, trial)
}

func TestLongBlockGetsNoTrialAtItsBeginning(t *testing.T) {
	var bs Blocks
	fp := fingerprint("p")
	bs.Add(NewBlock(fp, RepeatBlockDuration, t0), RepeatBlockDuration, false, t0)
	trial, _ := bs.DueTrial(fp, t0.Add(time.Second))
	require.Zero(t, trial)
	require.Zero(t, bs.FreshFor(fp, t0))
	require.Equal(t, RepeatBlockDuration, bs.RetryAfter(fp, t0))
}

// A blocked caller is asked to retry when a trial's result is expected or the block is over.
func TestRetryAfterIsTheNextTrialOrTheEnd(t *testing.T) {
	var bs Blocks
	fp := fingerprint("p")
	require.Zero(t, bs.RetryAfter(fp, t0))
	require.Zero(t, bs.FreshFor(fp, t0))
	bs.Add(NewBlock(fp, FirstBlockDuration, t0), FirstBlockDuration, false, t0)
	require.Equal(t, FreshDuration, bs.FreshFor(fp, t0))
	require.Zero(t, bs.FreshFor(fp, t0.Add(FreshDuration)))
	for at, want := range map[time.Duration]time.Duration{
		0: 1600 * time.Millisecond, 2 * time.Second: time.Second, 3 * time.Second: 8 * time.Second, 12 * time.Second: 288 * time.Second,
		time.Minute: 4 * time.Minute, FirstBlockDuration: 0,
	} {
		require.Equal(t, want, bs.RetryAfter(fp, t0.Add(at)), at)
	}
}

// At whatever times trials are made, a block gets at most len(requestTrials) of them, and Retry-After
// never exceeds the block's end.
func TestTrialsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var bs Blocks
		fp := fingerprint("p")
		late := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(rt, "late"))
		bs.Add(NewBlock(fp, FirstBlockDuration, t0), FirstBlockDuration-late, false, t0.Add(late))
		made, now := 0, t0.Add(late)
		for range 200 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(rt, "step")))
			left := bs.Remaining(fp, now)
			require.LessOrEqual(rt, bs.RetryAfter(fp, now), left)
			require.Equal(rt, left > 0, bs.RetryAfter(fp, now) > 0)
			if trial, _ := bs.DueTrial(fp, now); trial > 0 && left > 0 {
				bs.RecordTrial(fp, trial, now)
				made++
			}
		}
		require.LessOrEqual(rt, made, len(requestTrials))
	})
}

// A server that answered a suspected request completely is probed until it is known to be alive.
func TestServersOfSuspectedRequestsAreProbed(t *testing.T) {
	var rs Runs
	fp := fingerprint("p")
	suspected := func(su Subject) bool { return su.Fingerprint == fp }
	rs.Sent("s", Subject{Fingerprint: fp, RequestID: "r"}, after(0)).Finish(true, after(100))
	rs.Sent("other", Subject{Fingerprint: fingerprint("q"), RequestID: "q"}, after(0)).Finish(true, after(100))
	rs.Sent("cancelled", Subject{Fingerprint: fp, RequestID: "d"}, after(0)).Finish(false, after(100))
	require.Empty(t, rs.Unconfirmed(suspected, after(599)))
	require.Equal(t, []string{"s"}, rs.Unconfirmed(suspected, after(600)))
	rs.Alive("s", after(610))
	require.Empty(t, rs.Unconfirmed(suspected, after(620)))
	require.Equal(t, []string{"r"}, pruned(&rs, after(620)))
}
