package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestARequestIsHeldToCauseEndsFromTheThirdServerOn(t *testing.T) {
	ca := Detector{MinCrashes: 3}
	pr := named("p")
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "a"}, t0))
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "a"}, t0), "another gateway saw the same end")
	require.Zero(t, ca.Record(Suspicion{Fingerprint: named("other"), Server: "b"}, t0))
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "b"}, t0.Add(together)))
	require.Equal(t, 2, ca.CrashedServers(pr))
	require.Positive(t, ca.Record(Suspicion{Fingerprint: pr, Server: "a@2"}, t0.Add(2*together)), "another life of a server")
}

func TestServersThatEndTogetherCountAsOne(t *testing.T) {
	ca := Detector{MinCrashes: 2}
	pr := named("p")
	for i, server := range []string{"a", "b", "c", "d"} {
		at := t0.Add(time.Duration(i) * together / 4)
		require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: server, RequestAge: time.Second}, at), "all of a rack")
	}
	late := t0.Add(3 * together)
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "e", SinceCrash: 3 * together, RequestAge: time.Second}, late), "another gateway told it late")
	require.Positive(t, ca.Record(Suspicion{Fingerprint: pr, Server: "f", SinceCrash: together}, late))
}

// One end more is enough once a first block is over; it lasts longer.
// Servers that end as soon as a request begins there: it moves on within milliseconds.
func TestServersThatEndAtOnceOneAfterTheOther(t *testing.T) {
	ca := Detector{MinCrashes: 3}
	pr := named("p")
	at := func(ms int, server string) time.Duration {
		return ca.Record(Suspicion{Fingerprint: pr, Server: server, RequestAge: 2 * time.Millisecond}, t0.Add(time.Duration(ms)*time.Millisecond))
	}
	require.Zero(t, at(10, "a"))
	require.Zero(t, at(13, "b"))
	require.Zero(t, at(16, "c"), "a rack may end like this")
	require.Positive(t, at(5000, "d"))
}

func TestARequestThatEndsAnotherServerIsBlockedForLonger(t *testing.T) {
	ca := Detector{MinCrashes: 2}
	pr := named("p")
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "a"}, t0))
	require.Equal(t, FirstBlockDuration, ca.Record(Suspicion{Fingerprint: pr, Server: "b"}, t0.Add(time.Second)))
	require.Equal(t, FirstBlockDuration, ca.Record(Suspicion{Fingerprint: pr, Server: "c"}, t0.Add(2*time.Second)), "it was on its way")
	later := t0.Add(time.Second + FirstBlockDuration)
	ca.Expire(later)
	require.Equal(t, RepeatBlockDuration, ca.Record(Suspicion{Fingerprint: pr, Server: "d"}, later))
}

func TestWhatIsForgottenBeginsAnew(t *testing.T) {
	ca := Detector{MinCrashes: 2}
	pr := named("p")
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "a"}, t0))
	ca.Forget(pr)
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "b"}, t0.Add(time.Second)))
}

func TestEndsLongAgoDoNotCount(t *testing.T) {
	ca := Detector{MinCrashes: 2}
	pr := named("p")
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "a"}, t0))
	ca.Expire(t0.Add(caseKept))
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "b"}, t0.Add(caseKept)))
}

// What many callers send alike is with some server whenever a rack ends.
func TestWhatWasAnsweredByServersThatLiveOnIsNotAccused(t *testing.T) {
	ca := Detector{MinCrashes: 2}
	pr := named("popular")
	require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: "a"}, t0))
	ca.MarkHarmless(pr, t0)
	for i, server := range []string{"b", "c", "d"} {
		require.Zero(t, ca.Record(Suspicion{Fingerprint: pr, Server: server}, t0.Add(soundKept+time.Duration(i)*together)))
	}
	ca.MarkHarmless(named("other"), t0.Add(soundKept))
	require.True(t, ca.IsHarmless(pr), "of the span before")
	ca.Expire(t0.Add(3 * soundKept))
	require.False(t, ca.IsHarmless(pr))
}

func TestWhatIsSoundIsBounded(t *testing.T) {
	var ca Detector
	for i := range 3 * mostSound {
		ca.MarkHarmless(named(fmt.Sprint(i)), t0)
	}
	require.LessOrEqual(t, len(ca.sound)+len(ca.soundBefore), 2*mostSound)
	require.True(t, ca.IsHarmless(named(fmt.Sprint(3*mostSound-1))))
}

func TestEachSuspicionIsToldOnce(t *testing.T) {
	ca := Detector{MinCrashes: 3}
	news, heard := ca.Since(0, t0)
	require.Empty(t, news)
	for i := range mostTold + 5 {
		ca.Record(Suspicion{Fingerprint: named(fmt.Sprint(i)), Server: "a"}, t0)
	}
	news, heard = ca.Since(heard, t0)
	require.Len(t, news, mostTold)
	news, heard = ca.Since(heard, t0)
	require.Len(t, news, 5)
	news, heard = ca.Since(heard, t0)
	require.Empty(t, news)
	ca.Expire(t0.Add(newsKept))
	ca.Record(Suspicion{Fingerprint: named("new"), Server: "a"}, t0.Add(newsKept))
	news, _ = ca.Since(heard, t0.Add(newsKept))
	require.Equal(t, []Suspicion{{Fingerprint: named("new"), Server: "a"}}, news)
	news, _ = ca.Since(0, t0)
	require.Len(t, news, 1, "who begins hears what is new")
	for i := range 2 * mostNews {
		ca.Record(Suspicion{Fingerprint: named(fmt.Sprint("many", i)), Server: "a"}, t0.Add(newsKept))
	}
	require.Len(t, ca.news, mostNews)
}

func TestCasesAreBounded(t *testing.T) {
	ca := Detector{MinCrashes: 1}
	for i := range mostCases {
		require.Positive(t, ca.Record(Suspicion{Fingerprint: named(fmt.Sprint(i)), Server: "a"}, t0))
	}
	require.Zero(t, ca.Record(Suspicion{Fingerprint: named("one more"), Server: "a"}, t0))
	ca.Expire(t0.Add(caseKept))
	require.Positive(t, ca.Record(Suspicion{Fingerprint: named("one more"), Server: "a"}, t0.Add(caseKept)))
}

func TestABlockLastsItsTerm(t *testing.T) {
	var bs Blocks
	pr := named("p")
	require.Zero(t, bs.Remaining(pr, t0))
	require.True(t, bs.Add(NewBlock(pr, RepeatBlockDuration, t0), RepeatBlockDuration, false, t0))
	require.False(t, bs.Add(NewBlock(pr, RepeatBlockDuration, t0.Add(time.Minute)), RepeatBlockDuration, false, t0.Add(time.Minute)))
	require.Equal(t, RepeatBlockDuration-time.Minute, bs.Remaining(pr, t0.Add(time.Minute)))
	require.Empty(t, bs.Expire(t0.Add(RepeatBlockDuration-1)))
	require.Empty(t, bs.Expire(t0.Add(RepeatBlockDuration)), "nothing was stored")
	require.Zero(t, bs.Remaining(pr, t0))
}

func TestABlockIsStoredOnceAndTakenOffWhenItIsOver(t *testing.T) {
	var bs Blocks
	bl := NewBlock(named("p"), RepeatBlockDuration, t0)
	bs.Add(bl, RepeatBlockDuration, false, t0)
	require.Equal(t, []Block{bl}, bs.Unstored())
	require.Equal(t, []Block{bl}, bs.Recent(t0))
	require.Empty(t, bs.Stored())
	require.False(t, bs.Add(bl, RepeatBlockDuration, true, t0))
	require.Empty(t, bs.Unstored())
	require.Equal(t, []Block{bl}, bs.Stored())
	require.Empty(t, bs.Recent(t0.Add(blockNews)))
	require.Equal(t, []Fingerprint{bl.Fingerprint}, bs.Expire(t0.Add(RepeatBlockDuration)))
	require.False(t, bs.Lift(bl.Fingerprint))
}

// A box whose clock is wrong does not block for longer than the term, and what is over when
// it is read blocks nothing.
func TestClocksThatAreWrongDoNotProlongABlock(t *testing.T) {
	var bs Blocks
	ahead, over := NewBlock(named("ahead"), RepeatBlockDuration, t0.Add(5*time.Hour)), NewBlock(named("over"), RepeatBlockDuration, t0.Add(-RepeatBlockDuration))
	require.Equal(t, RepeatBlockDuration, ahead.Remaining(t0))
	require.True(t, bs.Add(ahead, ahead.Remaining(t0), true, t0))
	require.False(t, bs.Add(over, over.Remaining(t0), true, t0))
	require.Zero(t, bs.Remaining(named("over"), t0))
}

func TestADocumentHoldsBlocksUntilTheyAreOver(t *testing.T) {
	first, second := NewBlock(named("a"), RepeatBlockDuration, t0), NewBlock(named("b"), RepeatBlockDuration, t0.Add(time.Minute))
	value, err := MergeBlocks(nil, []Block{first}, none, t0)
	require.NoError(t, err)
	value, err = MergeBlocks(value, []Block{second, first}, none, t0.Add(time.Minute))
	require.NoError(t, err)
	list, err := DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second, first}, list)
	value, err = MergeBlocks(value, nil, none, t0.Add(RepeatBlockDuration))
	require.NoError(t, err)
	list, err = DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second}, list)

	for _, torn := range []string{"{", `[{"print":"00"}]`, `[{"print":7}]`} {
		_, err = DecodeBlocks([]byte(torn))
		require.Error(t, err, torn)
		value, err = MergeBlocks([]byte(torn), []Block{second}, none, t0)
		require.NoError(t, err)
		list, err = DecodeBlocks(value)
		require.NoError(t, err)
		require.Equal(t, []Block{second}, list)
	}
}

// The word on an end that comes late by some tens of milliseconds moves the end that it tells of
// towards the next one: it may then count as one of a rack's, and one server more ends.
func TestALateWordCostsOneServerMore(t *testing.T) {
	ca := Detector{MinCrashes: MinCrashes}
	pr := named("x")
	ends := 0
	for i, late := range []time.Duration{40 * time.Millisecond, 0, 0, 0} {
		ended := t0.Add(time.Duration(i) * 125 * time.Millisecond)
		su := Suspicion{Fingerprint: pr, Server: fmt.Sprint("s", i), RequestAge: 122 * time.Millisecond}
		ends++
		if ca.Record(su, ended.Add(late)) > 0 {
			break
		}
	}
	require.LessOrEqual(t, ends, MinCrashes+1)
}

// none says that no block was lifted.
func none(Fingerprint) bool { return false }

func TestWhatWasLiftedIsNotKept(t *testing.T) {
	first, second := NewBlock(named("a"), RepeatBlockDuration, t0), NewBlock(named("b"), RepeatBlockDuration, t0)
	value, err := MergeBlocks(nil, []Block{first, second}, none, t0)
	require.NoError(t, err)
	value, err = MergeBlocks(value, nil, func(pr Fingerprint) bool { return pr == first.Fingerprint }, t0)
	require.NoError(t, err)
	list, err := DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second}, list)
}
