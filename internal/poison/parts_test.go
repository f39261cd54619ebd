package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// crashOf returns suspicions of requests on a server that crashed at a time, each with parts. Each
// response had begun 100 ms before.
func crashOf(server string, requests ...[]string) []Suspicion {
	var list []Suspicion
	for i, parts := range requests {
		list = append(list, Suspicion{
			Fingerprint: fingerprint(fmt.Sprint(server, i)), Server: server, ResponseAge: 100 * time.Millisecond,
			Team: "t", Service: "s", Parts: parts,
		})
	}
	return list
}

func recordAll(pd *PartDetector, list []Suspicion, now time.Time) {
	for _, sn := range list {
		pd.Record(sn, now)
	}
}

func partOf(id string) Part { return Part{Service: "s", Team: "t", ID: id} }

func noRuns(Part) int { return 0 }

func convictedIDs(pd *PartDetector, now time.Time) []string {
	var ids []string
	for _, ve := range pd.Convict(noRuns, now) {
		ids = append(ids, ve.Part.ID)
	}
	return ids
}

func TestLastPartAndSinglePartsAreNotShared(t *testing.T) {
	require.Empty(t, SharedParts(nil))
	require.Empty(t, SharedParts([]string{"own"}))
	require.Equal(t, []string{"a", "b"}, SharedParts([]string{"a", "b", "own"}))
	var ids []string
	for i := range 3 * maxParts {
		ids = append(ids, fmt.Sprint("part", i))
	}
	shared := SharedParts(ids)
	require.Len(t, shared, maxParts)
	require.Equal(t, "part0", shared[0])
	require.Equal(t, fmt.Sprint("part", 3*maxParts-2), shared[maxParts-1])
	long := SharedParts([]string{string(make([]byte, 1000)), "own"})
	require.LessOrEqual(t, len(long[0]), maxPartIDBytes)
}

func TestPartIsConvictedOnDifferentRequestsAndSeparateCrashes(t *testing.T) {
	var pd PartDetector
	for i := range 3 {
		recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{"deadly", fmt.Sprint("x", i)}), after(200*i))
	}
	require.Empty(t, convictedIDs(&pd, after(int(askTime.Milliseconds())-1)), "clears may be on their way")
	require.Equal(t, []string{"deadly"}, convictedIDs(&pd, after(400)))
	require.Empty(t, convictedIDs(&pd, after(500)), "it is convicted once")
	require.Equal(t, 3, pd.Crashes(partOf("deadly")))
}

func TestCopiesOfARequestDoNotConvictItsParts(t *testing.T) {
	var pd PartDetector
	for i := range 10 {
		sn := crashOf(fmt.Sprint("server", i), []string{"a"})[0]
		sn.Fingerprint = fingerprint("copy")
		pd.Record(sn, after(200*i))
	}
	require.Empty(t, convictedIDs(&pd, after(10_000)))
}

func TestServersThatCrashTogetherConvictNoPart(t *testing.T) {
	var pd PartDetector
	for i := range 20 {
		recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{"a"}), after(2*i))
	}
	require.Empty(t, convictedIDs(&pd, after(10_000)))
}

// Sound requests share a part with the deadly ones, so that it is with each crash as well.
func TestPartWithWhichServersSurvivedResponsesIsNotConvicted(t *testing.T) {
	for _, clearedBefore := range []bool{true, false} {
		var pd PartDetector
		if clearedBefore {
			pd.Clear(partOf("common"), after(-5000), after(-4000))
		} else {
			pd.Clear(partOf("common"), after(900), after(950))
		}
		for i := range 4 {
			recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{"common", "deadly"}, []string{"common", fmt.Sprint("x", i)}), after(200*i))
		}
		verdicts := pd.Convict(noRuns, after(1000))
		require.Len(t, verdicts, 1)
		require.Equal(t, partOf("deadly"), verdicts[0].Part)
		require.Empty(t, verdicts[0].Rivals)
		require.Empty(t, convictedIDs(&pd, after(5000)), "the crashes are explained")
	}
}

// Two parts that are in the same requests have the same evidence. A trial with a request that has only
// one of them decides.
func TestTrialOfPartWithRivalsIsMadeWithoutThem(t *testing.T) {
	var pd PartDetector
	for i := range 6 {
		recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{"a", "b"}), after(200*i))
	}
	verdicts := pd.Convict(noRuns, after(2000))
	require.Len(t, verdicts, 1)
	require.Equal(t, []string{"b"}, verdicts[0].Rivals)
	bl := NewBlock(verdicts[0].Part.Fingerprint(), FirstBlockDuration, t0)
	bl.Part, bl.Crashes, bl.Rivals = &verdicts[0].Part, verdicts[0].Crashes, verdicts[0].Rivals
	var bs Blocks
	bs.Add(bl, FirstBlockDuration, false, t0)
	trial, _ := bs.DueTrial(bl.Fingerprint, after(1500))
	require.Equal(t, 1, trial)
	require.True(t, bl.IsTrialFor(Subject{Team: "t", Service: "s", Parts: []string{"a", "x"}}))
	require.False(t, bl.IsTrialFor(Subject{Team: "t", Service: "s", Parts: []string{"a", "b"}}))
	pd.Exonerate(verdicts[0].Part, after(2500))
	require.Equal(t, []string{"b"}, convictedIDs(&pd, after(2500)))
}

// A part that was harmless until then is convicted once responses that began later would be known.
func TestPartThatWasHarmlessIsConvictedLater(t *testing.T) {
	var pd PartDetector
	pd.Clear(partOf("a"), after(-1000), after(-100))
	for i := range 4 {
		recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{"a", fmt.Sprint(i)}), after(200*i))
	}
	require.Empty(t, convictedIDs(&pd, after(1000)))
	settled := after(200).Add(confirmTime)
	require.Equal(t, []string{"a"}, convictedIDs(&pd, settled))
}

func TestClearAfterTheCrashesDisprovesAConviction(t *testing.T) {
	var pd PartDetector
	for i := range 3 {
		recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{"a"}), after(200*i))
	}
	require.Equal(t, []string{"a"}, convictedIDs(&pd, after(500)))
	require.False(t, pd.Disproves(partOf("a")))
	pd.Clear(partOf("a"), after(-200), after(600))
	require.False(t, pd.Disproves(partOf("a")), "the response began before the crashes")
	pd.Clear(partOf("a"), after(450), after(1200))
	require.True(t, pd.Disproves(partOf("a")))
	pd.Exonerate(partOf("a"), after(1300))
	require.Empty(t, convictedIDs(&pd, after(1300)))
	require.False(t, pd.Record(crashOf("server0", []string{"a"})[0], after(1300)), "the suspicion is known")
}

// A team that names another one's part in requests that crash servers gets it blocked for itself only.
func TestPartIsNotBlockedForATeamByAnotherOne(t *testing.T) {
	var pd PartDetector
	crash := func(i int, team string) {
		sn := crashOf(fmt.Sprint("server", i), []string{"a"})[0]
		sn.Team = team
		pd.Record(sn, after(200*i))
	}
	for i := range 10 {
		crash(i, "attacker")
	}
	verdicts := pd.Convict(noRuns, after(2500))
	require.Len(t, verdicts, 1)
	require.Equal(t, Part{Service: "s", Team: "attacker", ID: "a"}, verdicts[0].Part)
	crash(10, "victim")
	require.Empty(t, pd.Convict(noRuns, after(3000)), "one crash under the victim's own requests")
	crash(11, "victim")
	verdicts = pd.Convict(noRuns, after(3500))
	require.Len(t, verdicts, 1)
	require.True(t, verdicts[0].Part.AllTeams, "a part that two teams send crashes servers")
}

// A part that several teams send does not cost the crashes for a conviction for each of them.
func TestPartOfSeveralTeamsIsConvictedForAll(t *testing.T) {
	var pd PartDetector
	for i := range 3 {
		sn := crashOf(fmt.Sprint("server", i), []string{"a"})[0]
		sn.Team = fmt.Sprint("team", i)
		pd.Record(sn, after(200*i))
	}
	verdicts := pd.Convict(noRuns, after(1000))
	require.Len(t, verdicts, 1)
	require.Equal(t, Part{Service: "s", ID: "a", AllTeams: true}, verdicts[0].Part)
}

// A crash long after the conviction, by a trial, renews the block; those of requests that were in
// progress do not.
func TestCrashByATrialRenewsTheBlock(t *testing.T) {
	var pd PartDetector
	for i := range 3 {
		recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{"a"}), after(200*i))
	}
	require.Len(t, pd.Convict(noRuns, after(500)), 1)
	recordAll(&pd, crashOf("in progress", []string{"a"}), after(700))
	require.Empty(t, pd.Convict(noRuns, after(700)))
	later := t0.Add(FirstBlockDuration - 10*time.Second)
	recordAll(&pd, crashOf("trial", []string{"a"}), later)
	verdicts := pd.Convict(noRuns, later)
	require.Len(t, verdicts, 1)
	require.Equal(t, RepeatBlockDuration, verdicts[0].Duration)
	require.Empty(t, pd.Convict(noRuns, later), "each crash renews it once")
}

func TestRequestsWithSuspectedPartsAreHeldBack(t *testing.T) {
	request := func(parts ...string) Subject { return Subject{Team: "t", Service: "s", Parts: parts} }
	var pd PartDetector
	pd.Clear(partOf("common"), after(-5000), after(-1000))
	pd.Clear(partOf("turned"), after(-5000), after(-1000))
	recordAll(&pd, crashOf("server0", []string{"common", "new"}), after(0))
	require.Equal(t, HoldBriefly, HoldFor(request("new"), pd.Suspects(after(10))))
	require.Equal(t, NoHold, HoldFor(request("common"), pd.Suspects(after(10))))
	require.Equal(t, NoHold, HoldFor(Subject{Team: "u", Service: "other", Parts: []string{"new"}}, pd.Suspects(after(10))))
	require.Empty(t, pd.Suspects(after(10).Add(suspectHold)))
	for i := range 3 {
		recordAll(&pd, crashOf(fmt.Sprint("next", i), []string{"common", "turned"}), after(1000+200*i))
	}
	suspects := pd.Suspects(after(1500))
	require.Equal(t, HoldUntilDecided, HoldFor(request("common", "turned"), suspects))
	require.Equal(t, NoHold, HoldFor(request("common", "x"), suspects), "shows that common is harmless")
}

// The blocks of parts get a trial at their end, and early ones only on weak evidence.
func TestTrialsOfBlockedParts(t *testing.T) {
	tried := func(crashes int) (at []time.Duration) {
		var bs Blocks
		pa := partOf("a")
		bl := NewBlock(pa.Fingerprint(), FirstBlockDuration, t0)
		bl.Part, bl.Crashes = &pa, 3
		bs.Add(bl, FirstBlockDuration, false, t0)
		bs.RecordCrashes(pa.Fingerprint(), crashes, t0)
		for age := time.Duration(0); age < FirstBlockDuration; age += 100 * time.Millisecond {
			if trial, _ := bs.DueTrial(pa.Fingerprint(), t0.Add(age)); trial > 0 {
				bs.RecordTrial(pa.Fingerprint(), trial, t0.Add(age))
				at = append(at, age)
			}
		}
		return at
	}
	last := FirstBlockDuration - 30*time.Second
	require.Equal(t, []time.Duration{time.Second, 10 * time.Second, last}, tried(3))
	require.Equal(t, []time.Duration{last}, tried(strongEvidence))
}

func TestBlockAppliesToRequestsWithThePart(t *testing.T) {
	var bs Blocks
	now := t0
	own, all := partOf("a"), partOf("b").forAllTeams()
	for _, pa := range []Part{own, all} {
		bl := NewBlock(pa.Fingerprint(), FirstBlockDuration, now)
		bl.Part = &pa
		require.True(t, bs.Add(bl, FirstBlockDuration, false, now))
	}
	blocked := func(su Subject) bool { return bs.Remaining(bs.Find(su, now), now) > 0 }
	require.True(t, blocked(Subject{Team: "t", Service: "s", Parts: []string{"x", "a"}}))
	require.False(t, blocked(Subject{Team: "u", Service: "s", Parts: []string{"x", "a"}}))
	require.False(t, blocked(Subject{Team: "t", Service: "other", Parts: []string{"x", "a"}}))
	require.True(t, blocked(Subject{Team: "u", Service: "s", Parts: []string{"b"}}))
	require.False(t, blocked(Subject{Team: "t", Service: "s"}))
	renewal := NewBlock(own.Fingerprint(), RepeatBlockDuration, now)
	renewal.Part = &own
	require.True(t, bs.Add(renewal, RepeatBlockDuration, false, now), "a longer block renews it")
	require.Equal(t, RepeatBlockDuration, bs.Remaining(own.Fingerprint(), now))
	require.True(t, lifted(&bs, own.Fingerprint()))
	require.False(t, blocked(Subject{Team: "t", Service: "s", Parts: []string{"a"}}))
}

// A run that is still in progress clears its parts once its server has survived long enough.
func TestServerThatSurvivesTheBeginningOfAResponseClearsItsParts(t *testing.T) {
	var rs Runs
	ru := rs.Sent("s", Subject{Parts: []string{"a"}}, after(0))
	rs.Answered(ru, after(100))
	suspected := func(Subject) bool { return true }
	require.Empty(t, rs.Unconfirmed(suspected, after(1099)))
	require.Equal(t, []string{"s"}, rs.Unconfirmed(suspected, after(1100)))
	_, cleared := rs.Prune(after(1100))
	require.Empty(t, cleared)
	rs.Alive("s", after(1100))
	_, cleared = rs.Prune(after(1110))
	require.Len(t, cleared, 1)
	_, cleared = rs.Prune(after(1120))
	require.Empty(t, cleared, "once")
}

// Whatever is recorded in whatever order, tables stay within their bounds, and a part that survives a
// response after each crash is never convicted.
func TestPartDetectorIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var pd PartDetector
		now := t0
		for i := range rapid.IntRange(0, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			id := fmt.Sprint("p", rapid.IntRange(0, 5).Draw(rt, "part"))
			recordAll(&pd, crashOf(fmt.Sprint("server", i), []string{id, "survives"}), now)
			pd.Clear(partOf("survives"), now, now)
			for _, ve := range pd.Convict(noRuns, now) {
				require.NotEqual(rt, "survives", ve.Part.ID)
				require.GreaterOrEqual(rt, ve.Crashes, minPartCrashes)
				require.GreaterOrEqual(rt, ve.Requests, minPartRequests)
			}
			require.LessOrEqual(rt, len(pd.Suspects(now)), MaxSuspects)
			require.LessOrEqual(rt, len(pd.crashes), maxCrashes)
		}
		pd.Expire(now.Add(2 * RepeatBlockDuration))
		require.Empty(rt, pd.crashes)
		require.Empty(rt, pd.convicted)
	})
}

// Evidence with any content from another process is handled without a failure and within the bounds.
func FuzzPartEvidence(f *testing.F) {
	valid, err := cbor.Marshal(crashOf("s", []string{"a", "b"}))
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []Suspicion
		if cbor.Unmarshal(data, &list) != nil {
			return
		}
		var pd PartDetector
		recordAll(&pd, list, t0)
		_ = pd.Convict(noRuns, t0.Add(time.Minute))
		require.LessOrEqual(t, len(pd.Suspects(t0)), MaxSuspects)
		require.LessOrEqual(t, len(pd.crashes), maxCrashes)
	})
}
