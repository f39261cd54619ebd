package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestIsBlockedAfterThirdCrash(t *testing.T) {
	de := Detector{MinCrashes: 3}
	fp := fingerprint("p")
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "a"}, t0))
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "a"}, t0), "another gateway reports the same crash")
	require.Zero(t, de.Record(Suspicion{Fingerprint: fingerprint("other"), Server: "b"}, t0))
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "b"}, t0.Add(crashInterval)))
	require.Equal(t, 2, de.CrashedServers(fp))
	require.Positive(t, de.Record(Suspicion{Fingerprint: fp, Server: "a@2"}, t0.Add(2*crashInterval)), "the same server after a restart")
}

func TestSimultaneousCrashesCountAsOne(t *testing.T) {
	de := Detector{MinCrashes: 2}
	fp := fingerprint("p")
	for i, server := range []string{"a", "b", "c", "d"} {
		at := t0.Add(time.Duration(i) * crashInterval / 4)
		require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: server, RequestAge: time.Second}, at), "servers of one rack")
	}
	later := t0.Add(3 * crashInterval)
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "e", SinceCrash: 3 * crashInterval, RequestAge: time.Second}, later), "a delayed report from another gateway")
	require.Positive(t, de.Record(Suspicion{Fingerprint: fp, Server: "f", SinceCrash: crashInterval}, later))
}

// A request that crashes each server immediately is retried on the next one within milliseconds.
func TestImmediateCrashesInSuccession(t *testing.T) {
	de := Detector{MinCrashes: 3}
	fp := fingerprint("p")
	crashAt := func(ms int, server string) time.Duration {
		return de.Record(Suspicion{Fingerprint: fp, Server: server, RequestAge: 2 * time.Millisecond}, t0.Add(time.Duration(ms)*time.Millisecond))
	}
	require.Zero(t, crashAt(10, "a"))
	require.Zero(t, crashAt(13, "b"))
	require.Zero(t, crashAt(16, "c"), "a failing rack may look like this")
	require.Positive(t, crashAt(5000, "d"))
}

// After the first block, one more crash is enough for a block, and that one lasts longer.
func TestRepeatedCrashIsBlockedForLonger(t *testing.T) {
	de := Detector{MinCrashes: 2}
	fp := fingerprint("p")
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "a"}, t0))
	require.Equal(t, FirstBlockDuration, de.Record(Suspicion{Fingerprint: fp, Server: "b"}, t0.Add(time.Second)))
	require.Equal(t, FirstBlockDuration, de.Record(Suspicion{Fingerprint: fp, Server: "c"}, t0.Add(2*time.Second)), "it was already in flight")
	later := t0.Add(time.Second + FirstBlockDuration)
	de.Expire(later)
	require.Equal(t, RepeatBlockDuration, de.Record(Suspicion{Fingerprint: fp, Server: "d"}, later))
}

func TestForgetResetsTheCount(t *testing.T) {
	de := Detector{MinCrashes: 2}
	fp := fingerprint("p")
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "a"}, t0))
	de.Forget(fp)
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "b"}, t0.Add(time.Second)))
}

func TestExpiredCrashesDoNotCount(t *testing.T) {
	de := Detector{MinCrashes: 2}
	fp := fingerprint("p")
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "a"}, t0))
	de.Expire(t0.Add(suspectRetention))
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "b"}, t0.Add(suspectRetention)))
}

// A request that many callers send is on some server whenever a rack fails.
func TestHarmlessRequestIsNotSuspected(t *testing.T) {
	de := Detector{MinCrashes: 2}
	fp := fingerprint("popular")
	require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: "a"}, t0))
	de.MarkHarmless(fp, t0)
	for i, server := range []string{"b", "c", "d"} {
		require.Zero(t, de.Record(Suspicion{Fingerprint: fp, Server: server}, t0.Add(harmlessRetention+time.Duration(i)*crashInterval)))
	}
	de.MarkHarmless(fingerprint("other"), t0.Add(harmlessRetention))
	require.True(t, de.IsHarmless(fp), "in the previous generation")
	de.Expire(t0.Add(3 * harmlessRetention))
	require.False(t, de.IsHarmless(fp))
}

func TestHarmlessRequestsAreBounded(t *testing.T) {
	var de Detector
	for i := range 3 * maxHarmless {
		de.MarkHarmless(fingerprint(fmt.Sprint(i)), t0)
	}
	require.LessOrEqual(t, len(de.harmless)+len(de.previousHarmless), 2*maxHarmless)
	require.True(t, de.IsHarmless(fingerprint(fmt.Sprint(3*maxHarmless-1))))
}

func TestEachSuspicionIsSentOnce(t *testing.T) {
	de := Detector{MinCrashes: 3}
	recent, next := de.Since(0, t0)
	require.Empty(t, recent)
	for i := range maxPerMessage + 5 {
		de.Record(Suspicion{Fingerprint: fingerprint(fmt.Sprint(i)), Server: "a"}, t0)
	}
	recent, next = de.Since(next, t0)
	require.Len(t, recent, maxPerMessage)
	recent, next = de.Since(next, t0)
	require.Len(t, recent, 5)
	recent, next = de.Since(next, t0)
	require.Empty(t, recent)
	de.Expire(t0.Add(suspicionRetention))
	de.Record(Suspicion{Fingerprint: fingerprint("new"), Server: "a"}, t0.Add(suspicionRetention))
	recent, _ = de.Since(next, t0.Add(suspicionRetention))
	require.Equal(t, []Suspicion{{Fingerprint: fingerprint("new"), Server: "a"}}, recent)
	recent, _ = de.Since(0, t0)
	require.Len(t, recent, 1, "a new receiver gets the recent ones")
	for i := range 2 * maxRecent {
		de.Record(Suspicion{Fingerprint: fingerprint(fmt.Sprint("many", i)), Server: "a"}, t0.Add(suspicionRetention))
	}
	require.Len(t, de.recent, maxRecent)
}

func TestSuspectsAreBounded(t *testing.T) {
	de := Detector{MinCrashes: 1}
	for i := range maxSuspects {
		require.Positive(t, de.Record(Suspicion{Fingerprint: fingerprint(fmt.Sprint(i)), Server: "a"}, t0))
	}
	require.Zero(t, de.Record(Suspicion{Fingerprint: fingerprint("another"), Server: "a"}, t0))
	de.Expire(t0.Add(suspectRetention))
	require.Positive(t, de.Record(Suspicion{Fingerprint: fingerprint("another"), Server: "a"}, t0.Add(suspectRetention)))
}

func TestBlockLastsItsDuration(t *testing.T) {
	var bs Blocks
	fp := fingerprint("p")
	require.Zero(t, bs.Remaining(fp, t0))
	require.True(t, bs.Add(NewBlock(fp, RepeatBlockDuration, t0), RepeatBlockDuration, false, t0))
	require.False(t, bs.Add(NewBlock(fp, RepeatBlockDuration, t0.Add(time.Minute)), RepeatBlockDuration, false, t0.Add(time.Minute)))
	require.Equal(t, RepeatBlockDuration-time.Minute, bs.Remaining(fp, t0.Add(time.Minute)))
	require.Empty(t, bs.Expire(t0.Add(RepeatBlockDuration-1)))
	require.Empty(t, bs.Expire(t0.Add(RepeatBlockDuration)), "it was not stored")
	require.Zero(t, bs.Remaining(fp, t0))
}

func TestBlockIsStoredOnceAndRemovedAfterItsEnd(t *testing.T) {
	var bs Blocks
	bl := NewBlock(fingerprint("p"), RepeatBlockDuration, t0)
	bs.Add(bl, RepeatBlockDuration, false, t0)
	require.Equal(t, []Block{bl}, bs.Unstored())
	require.Equal(t, []Block{bl}, bs.Recent(t0))
	require.Empty(t, bs.Stored())
	require.False(t, bs.Add(bl, RepeatBlockDuration, true, t0))
	require.Empty(t, bs.Unstored())
	require.Equal(t, []Block{bl}, bs.Stored())
	require.Empty(t, bs.Recent(t0.Add(blockReportDuration)))
	require.Equal(t, []Fingerprint{bl.Fingerprint}, bs.Expire(t0.Add(RepeatBlockDuration)))
	require.False(t, lifted(&bs, bl.Fingerprint))
}

// A box whose clock is wrong does not block a request for longer than RepeatBlockDuration, and a
// block that is over when it is read has no effect.
func TestWrongClockDoesNotProlongABlock(t *testing.T) {
	var bs Blocks
	ahead, expired := NewBlock(fingerprint("ahead"), RepeatBlockDuration, t0.Add(5*time.Hour)), NewBlock(fingerprint("expired"), RepeatBlockDuration, t0.Add(-RepeatBlockDuration))
	require.Equal(t, RepeatBlockDuration, ahead.Remaining(t0))
	require.True(t, bs.Add(ahead, ahead.Remaining(t0), true, t0))
	require.False(t, bs.Add(expired, expired.Remaining(t0), true, t0))
	require.Zero(t, bs.Remaining(fingerprint("expired"), t0))
}

func TestDocumentHoldsBlocksUntilTheirEnd(t *testing.T) {
	first, second := NewBlock(fingerprint("a"), RepeatBlockDuration, t0), NewBlock(fingerprint("b"), RepeatBlockDuration, t0.Add(time.Minute))
	value, err := MergeBlocks(nil, []Block{first}, noneLifted, t0)
	require.NoError(t, err)
	value, err = MergeBlocks(value, []Block{second, first}, noneLifted, t0.Add(time.Minute))
	require.NoError(t, err)
	list, err := DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second, first}, list)
	value, err = MergeBlocks(value, nil, noneLifted, t0.Add(RepeatBlockDuration))
	require.NoError(t, err)
	list, err = DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second}, list)

	for _, malformed := range []string{"{", `[{"print":"00"}]`, `[{"print":7}]`} {
		_, err = DecodeBlocks([]byte(malformed))
		require.Error(t, err, malformed)
		value, err = MergeBlocks([]byte(malformed), []Block{second}, noneLifted, t0)
		require.NoError(t, err)
		list, err = DecodeBlocks(value)
		require.NoError(t, err)
		require.Equal(t, []Block{second}, list)
	}
}

// A suspicion that arrives some tens of milliseconds late moves the crash that it reports towards
// the next one. Both may then be attributed to a failing rack, so that one more server crashes
// before the request is blocked.
func TestDelayedSuspicionCostsOneMoreServer(t *testing.T) {
	de := Detector{MinCrashes: MinCrashes}
	fp := fingerprint("x")
	crashes := 0
	for i, delay := range []time.Duration{40 * time.Millisecond, 0, 0, 0} {
		crashed := t0.Add(time.Duration(i) * 125 * time.Millisecond)
		su := Suspicion{Fingerprint: fp, Server: fmt.Sprint("s", i), RequestAge: 122 * time.Millisecond}
		crashes++
		if de.Record(su, crashed.Add(delay)) > 0 {
			break
		}
	}
	require.LessOrEqual(t, crashes, MinCrashes+1)
}

// noneLifted reports that no block was lifted.
func noneLifted(Fingerprint) bool { return false }

func TestLiftedBlockIsRemovedFromTheDocument(t *testing.T) {
	first, second := NewBlock(fingerprint("a"), RepeatBlockDuration, t0), NewBlock(fingerprint("b"), RepeatBlockDuration, t0)
	value, err := MergeBlocks(nil, []Block{first, second}, noneLifted, t0)
	require.NoError(t, err)
	value, err = MergeBlocks(value, nil, func(fp Fingerprint) bool { return fp == first.Fingerprint }, t0)
	require.NoError(t, err)
	list, err := DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second}, list)
}

// lifted lifts a block and reports whether there was one.
func lifted(bs *Blocks, fp Fingerprint) bool {
	_, ok := bs.Lift(fp)
	return ok
}
