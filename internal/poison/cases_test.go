package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestARequestIsHeldToCauseEndsFromTheThirdServerOn(t *testing.T) {
	ca := Cases{Ends: 3}
	pr := named("p")
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "a"}, t0))
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "a"}, t0), "another gateway saw the same end")
	require.Zero(t, ca.Accuse(Suspicion{Print: named("other"), Server: "b"}, t0))
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "b"}, t0.Add(together)))
	require.Equal(t, 2, ca.Servers(pr))
	require.Positive(t, ca.Accuse(Suspicion{Print: pr, Server: "a@2"}, t0.Add(2*together)), "another life of a server")
}

func TestServersThatEndTogetherCountAsOne(t *testing.T) {
	ca := Cases{Ends: 2}
	pr := named("p")
	for i, server := range []string{"a", "b", "c", "d"} {
		at := t0.Add(time.Duration(i) * together / 4)
		require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: server, Lasted: time.Second}, at), "all of a rack")
	}
	late := t0.Add(3 * together)
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "e", Ago: 3 * together, Lasted: time.Second}, late), "another gateway told it late")
	require.Positive(t, ca.Accuse(Suspicion{Print: pr, Server: "f", Ago: together}, late))
}

// One end more is enough once a first block is over; it lasts longer.
// Servers that end as soon as a request begins there: it moves on within milliseconds.
func TestServersThatEndAtOnceOneAfterTheOther(t *testing.T) {
	ca := Cases{Ends: 3}
	pr := named("p")
	at := func(ms int, server string) time.Duration {
		return ca.Accuse(Suspicion{Print: pr, Server: server, Lasted: 2 * time.Millisecond}, t0.Add(time.Duration(ms)*time.Millisecond))
	}
	require.Zero(t, at(10, "a"))
	require.Zero(t, at(13, "b"))
	require.Zero(t, at(16, "c"), "a rack may end like this")
	require.Positive(t, at(5000, "d"))
}

func TestARequestThatEndsAnotherServerIsBlockedForLonger(t *testing.T) {
	ca := Cases{Ends: 2}
	pr := named("p")
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "a"}, t0))
	require.Equal(t, FirstTerm, ca.Accuse(Suspicion{Print: pr, Server: "b"}, t0.Add(time.Second)))
	require.Equal(t, FirstTerm, ca.Accuse(Suspicion{Print: pr, Server: "c"}, t0.Add(2*time.Second)), "it was on its way")
	later := t0.Add(time.Second + FirstTerm)
	ca.Expire(later)
	require.Equal(t, Term, ca.Accuse(Suspicion{Print: pr, Server: "d"}, later))
}

func TestWhatIsForgottenBeginsAnew(t *testing.T) {
	ca := Cases{Ends: 2}
	pr := named("p")
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "a"}, t0))
	ca.Forget(pr)
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "b"}, t0.Add(time.Second)))
}

func TestEndsLongAgoDoNotCount(t *testing.T) {
	ca := Cases{Ends: 2}
	pr := named("p")
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "a"}, t0))
	ca.Expire(t0.Add(caseKept))
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "b"}, t0.Add(caseKept)))
}

// What many callers send alike is with some server whenever a rack ends.
func TestWhatWasAnsweredByServersThatLiveOnIsNotAccused(t *testing.T) {
	ca := Cases{Ends: 2}
	pr := named("popular")
	require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: "a"}, t0))
	ca.Acquit(pr, t0)
	for i, server := range []string{"b", "c", "d"} {
		require.Zero(t, ca.Accuse(Suspicion{Print: pr, Server: server}, t0.Add(soundKept+time.Duration(i)*together)))
	}
	ca.Acquit(named("other"), t0.Add(soundKept))
	require.True(t, ca.IsSound(pr), "of the span before")
	ca.Expire(t0.Add(3 * soundKept))
	require.False(t, ca.IsSound(pr))
}

func TestWhatIsSoundIsBounded(t *testing.T) {
	var ca Cases
	for i := range 3 * mostSound {
		ca.Acquit(named(fmt.Sprint(i)), t0)
	}
	require.LessOrEqual(t, len(ca.sound)+len(ca.soundBefore), 2*mostSound)
	require.True(t, ca.IsSound(named(fmt.Sprint(3*mostSound-1))))
}

func TestEachSuspicionIsToldOnce(t *testing.T) {
	ca := Cases{Ends: 3}
	news, heard := ca.Since(0, t0)
	require.Empty(t, news)
	for i := range mostTold + 5 {
		ca.Accuse(Suspicion{Print: named(fmt.Sprint(i)), Server: "a"}, t0)
	}
	news, heard = ca.Since(heard, t0)
	require.Len(t, news, mostTold)
	news, heard = ca.Since(heard, t0)
	require.Len(t, news, 5)
	news, heard = ca.Since(heard, t0)
	require.Empty(t, news)
	ca.Expire(t0.Add(newsKept))
	ca.Accuse(Suspicion{Print: named("new"), Server: "a"}, t0.Add(newsKept))
	news, _ = ca.Since(heard, t0.Add(newsKept))
	require.Equal(t, []Suspicion{{Print: named("new"), Server: "a"}}, news)
	news, _ = ca.Since(0, t0)
	require.Len(t, news, 1, "who begins hears what is new")
	for i := range 2 * mostNews {
		ca.Accuse(Suspicion{Print: named(fmt.Sprint("many", i)), Server: "a"}, t0.Add(newsKept))
	}
	require.Len(t, ca.news, mostNews)
}

func TestCasesAreBounded(t *testing.T) {
	ca := Cases{Ends: 1}
	for i := range mostCases {
		require.Positive(t, ca.Accuse(Suspicion{Print: named(fmt.Sprint(i)), Server: "a"}, t0))
	}
	require.Zero(t, ca.Accuse(Suspicion{Print: named("one more"), Server: "a"}, t0))
	ca.Expire(t0.Add(caseKept))
	require.Positive(t, ca.Accuse(Suspicion{Print: named("one more"), Server: "a"}, t0.Add(caseKept)))
}

func TestABlockLastsItsTerm(t *testing.T) {
	var bs Blocks
	pr := named("p")
	require.Zero(t, bs.Left(pr, t0))
	require.True(t, bs.Add(NewBlock(pr, Term, t0), Term, false, t0))
	require.False(t, bs.Add(NewBlock(pr, Term, t0.Add(time.Minute)), Term, false, t0.Add(time.Minute)))
	require.Equal(t, Term-time.Minute, bs.Left(pr, t0.Add(time.Minute)))
	require.Empty(t, bs.Expire(t0.Add(Term-1)))
	require.Empty(t, bs.Expire(t0.Add(Term)), "nothing was stored")
	require.Zero(t, bs.Left(pr, t0))
}

func TestABlockIsStoredOnceAndTakenOffWhenItIsOver(t *testing.T) {
	var bs Blocks
	bl := NewBlock(named("p"), Term, t0)
	bs.Add(bl, Term, false, t0)
	require.Equal(t, []Block{bl}, bs.Unstored())
	require.Equal(t, []Block{bl}, bs.News(t0))
	require.Empty(t, bs.Stored())
	require.False(t, bs.Add(bl, Term, true, t0))
	require.Empty(t, bs.Unstored())
	require.Equal(t, []Block{bl}, bs.Stored())
	require.Empty(t, bs.News(t0.Add(blockNews)))
	require.Equal(t, []Print{bl.Print}, bs.Expire(t0.Add(Term)))
	require.False(t, bs.Lift(bl.Print))
}

// A box whose clock is wrong does not block for longer than the term, and what is over when
// it is read blocks nothing.
func TestClocksThatAreWrongDoNotProlongABlock(t *testing.T) {
	var bs Blocks
	ahead, over := NewBlock(named("ahead"), Term, t0.Add(5*time.Hour)), NewBlock(named("over"), Term, t0.Add(-Term))
	require.Equal(t, Term, ahead.Left(t0))
	require.True(t, bs.Add(ahead, ahead.Left(t0), true, t0))
	require.False(t, bs.Add(over, over.Left(t0), true, t0))
	require.Zero(t, bs.Left(named("over"), t0))
}

func TestADocumentHoldsBlocksUntilTheyAreOver(t *testing.T) {
	first, second := NewBlock(named("a"), Term, t0), NewBlock(named("b"), Term, t0.Add(time.Minute))
	value, err := MergeBlocks(nil, []Block{first}, none, t0)
	require.NoError(t, err)
	value, err = MergeBlocks(value, []Block{second, first}, none, t0.Add(time.Minute))
	require.NoError(t, err)
	list, err := DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second, first}, list)
	value, err = MergeBlocks(value, nil, none, t0.Add(Term))
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
	ca := Cases{Ends: FewestEnds}
	pr := named("x")
	ends := 0
	for i, late := range []time.Duration{40 * time.Millisecond, 0, 0, 0} {
		ended := t0.Add(time.Duration(i) * 125 * time.Millisecond)
		su := Suspicion{Print: pr, Server: fmt.Sprint("s", i), Lasted: 122 * time.Millisecond}
		ends++
		if ca.Accuse(su, ended.Add(late)) > 0 {
			break
		}
	}
	require.LessOrEqual(t, ends, FewestEnds+1)
}

// none says that no block was lifted.
func none(Print) bool { return false }

func TestWhatWasLiftedIsNotKept(t *testing.T) {
	first, second := NewBlock(named("a"), Term, t0), NewBlock(named("b"), Term, t0)
	value, err := MergeBlocks(nil, []Block{first, second}, none, t0)
	require.NoError(t, err)
	value, err = MergeBlocks(value, nil, func(pr Print) bool { return pr == first.Print }, t0)
	require.NoError(t, err)
	list, err := DecodeBlocks(value)
	require.NoError(t, err)
	require.Equal(t, []Block{second}, list)
}
