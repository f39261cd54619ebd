package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

var start = time.Unix(1_800_000_000, 0)

// pickNext hands out servers s1, s2, ... up to a number.
type pickNext struct{ servers int }

func (pi pickNext) Pick(_ string, tried []string) (string, bool) {
	if len(tried) >= pi.servers {
		return "", false
	}
	return fmt.Sprintf("s%d", len(tried)+1), true
}

// allow allows a number of retries.
type allow struct{ left int }

func (al *allow) Take(time.Time) bool {
	al.left--
	return al.left >= 0
}

// confident keeps answers that hold the word good.
type confident struct{}

func (confident) Acceptable(_ string, _ int, body []byte, _ *wire.Usage) bool {
	return strings.Contains(string(body), "good")
}

// blocks says for how long the request is not to be sent.
type blocks time.Duration

func (bl *blocks) Blocked(time.Time) time.Duration { return time.Duration(*bl) }

func newRequest(repeatable bool, steps ...string) *Request {
	return &Request{
		Steps: steps, Repeatable: repeatable, Deadline: start.Add(2 * time.Second),
		Picker: pickNext{3}, RetryBudget: &allow{3}, Evaluator: confident{},
		Blocklist: new(blocks),
	}
}

func TestABlockedRequestIsNotSent(t *testing.T) {
	var sc script
	bl := blocks(time.Minute)
	re := newRequest(true, "a")
	re.Blocklist = &bl
	sc.add(re.Begin(start))
	require.Empty(t, sc.sent)
	require.Equal(t, []result.Code{result.RequestBlocked}, sc.codes)
	require.Equal(t, time.Minute, sc.after)
}

// A request that is blocked after it has run is not said not to have run, and an answer of
// an earlier step is delivered.
func TestARequestThatIsBlockedMeanwhileIsNotSentAgain(t *testing.T) {
	var sc script
	var bl blocks
	re := newRequest(true, "a")
	re.Blocklist = &bl
	sc.add(re.Begin(start))
	bl = blocks(time.Minute)
	sc.add(re.Frame(1, end(1, result.ServerFailed), start))
	require.Len(t, sc.sent, 1)
	require.Equal(t, []result.Code{result.ServerFailed}, sc.codes)

	sc, bl = script{}, 0
	re = newRequest(true, "a", "b")
	re.Blocklist = &bl
	sc.add(re.Begin(start))
	sc.add(re.Frame(1, head(), start))
	sc.add(re.Frame(1, data(2, "bad"), start))
	bl = blocks(time.Minute)
	sc.add(re.Frame(1, end(3, result.OK), start))
	require.Len(t, sc.sent, 1)
	require.Equal(t, "bad", sc.body)
	require.Equal(t, []result.Code{result.OK}, sc.codes)
}

func head() *wire.Frame {
	return &wire.Frame{Kind: wire.Head, Stream: 1, Seq: 1, Head: &wire.AnswerHead{Status: 200}}
}

func data(seq uint32, body string) *wire.Frame {
	return &wire.Frame{Kind: wire.Data, Stream: 1, Seq: seq, Body: []byte(body)}
}

func end(seq uint32, co result.Code) *wire.Frame {
	return &wire.Frame{Kind: wire.End, Stream: 1, Seq: seq, Code: co, Usage: &wire.Usage{}}
}

// script collects what a caller gets.
type script struct {
	body  string
	codes []result.Code
	sent  []string
	after time.Duration
	// by is the version that the answer is said to be of.
	by string
}

func (sc *script) add(acs []Action) {
	for _, ac := range acs {
		switch ac.Op() {
		case DeliverHead:
			sc.by = ac.Target()
		case Deliver:
			sc.body += string(ac.Body())
		case Close:
			sc.codes = append(sc.codes, ac.Code())
			sc.after = ac.RetryAfter()
		case Dispatch:
			sc.sent = append(sc.sent, ac.Target()+" on "+ac.Server())
		}
	}
}

func TestARefusalIsRetriedElsewhere(t *testing.T) {
	re := newRequest(false, "m@v1")
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Verdict(1, result.Overloaded, time.Second, start))
	sc.add(re.Verdict(2, result.OK, 0, start))
	sc.add(re.Frame(2, head(), start))
	sc.add(re.Frame(2, data(2, "whole"), start))
	sc.add(re.Frame(2, end(3, result.OK), start))
	require.Equal(t, []string{"m@v1 on s1", "m@v1 on s2"}, sc.sent)
	require.Equal(t, "whole", sc.body)
	require.Equal(t, []result.Code{result.OK}, sc.codes)
}

func TestTheLastRefusalIsTheAnswer(t *testing.T) {
	re := newRequest(true, "m@v1")
	var sc script
	sc.add(re.Begin(start))
	for n := 1; n <= 3; n++ {
		sc.add(re.Verdict(n, result.Overloaded, 7*time.Second, start))
	}
	require.Equal(t, []result.Code{result.Overloaded}, sc.codes)
	require.Equal(t, 7*time.Second, sc.after)
}

func TestWithoutBudgetThereIsNoRetry(t *testing.T) {
	re := newRequest(true, "m@v1")
	re.RetryBudget = &allow{0}
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Verdict(1, result.Overloaded, time.Second, start))
	require.Len(t, sc.sent, 1)
	require.Equal(t, []result.Code{result.Overloaded}, sc.codes)
}

func TestWithdrawnIsFinal(t *testing.T) {
	re := newRequest(true, "m@v1")
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Verdict(1, result.VersionWithdrawn, 0, start))
	require.Len(t, sc.sent, 1, "another agent may not know yet and would run it")
	require.Equal(t, []result.Code{result.VersionWithdrawn}, sc.codes)
}

func TestALostLinkBeforeTheAnswer(t *testing.T) {
	for _, tc := range []struct {
		repeatable bool
		codes      []result.Code
		sent       int
	}{{true, nil, 2}, {false, []result.Code{result.LinkLost}, 1}} {
		re := newRequest(tc.repeatable, "m@v1")
		var sc script
		sc.add(re.Begin(start))
		sc.add(re.LinkLost(1, start))
		require.Equal(t, tc.codes, sc.codes)
		require.Len(t, sc.sent, tc.sent)
	}
}

func TestALostLinkWithinTheAnswerIsNeverMixed(t *testing.T) {
	re := newRequest(true, "m@v1")
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Frame(1, head(), start))
	sc.add(re.Frame(1, data(2, "half"), start))
	sc.add(re.LinkLost(1, start))
	require.Equal(t, []result.Code{result.AnswerBroken}, sc.codes)
	require.Len(t, sc.sent, 1)
	require.Empty(t, re.Frame(1, data(3, "late"), start))
}

func TestASilentAgentIsLeft(t *testing.T) {
	re := newRequest(true, "m@v1")
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Tick(start.Add(ackTimeout)))
	require.Equal(t, []string{"m@v1 on s1", "m@v1 on s2"}, sc.sent)
	sc.add(re.Verdict(2, result.Queued, 0, start.Add(ackTimeout)))
	sc.add(re.Tick(start.Add(3 * ackTimeout)))
	require.Len(t, sc.sent, 2, "one that holds the attempt is waited for")
}

func TestASilentAgentMayHaveRunWhatMayNotBeRepeated(t *testing.T) {
	re := newRequest(false, "m@v1")
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Tick(start.Add(2 * time.Second)))
	require.Empty(t, sc.codes)
	sc.add(re.Tick(start.Add(2*time.Second + verdictGrace)))
	require.Equal(t, []result.Code{result.LinkLost}, sc.codes)
	require.Equal(t, result.MayHave, result.Of(sc.codes[0]).Run())
	require.Len(t, sc.sent, 1)
}

func TestACascadeGoesOnOnlyWhenItMust(t *testing.T) {
	for _, tc := range []struct {
		cheap, want string
		sent        int
	}{{"good", "good", 1}, {"poor", "strong", 2}} {
		re := newRequest(true, "cheap@v1", "strong@v1")
		var sc script
		sc.add(re.Begin(start))
		sc.add(re.Frame(1, head(), start))
		sc.add(re.Frame(1, data(2, tc.cheap), start))
		require.Empty(t, sc.body, "nothing is delivered before it is judged")
		sc.add(re.Frame(1, end(3, result.OK), start))
		sc.add(re.Frame(2, head(), start))
		sc.add(re.Frame(2, data(2, "strong"), start))
		sc.add(re.Frame(2, end(3, result.OK), start))
		require.Equal(t, tc.want, sc.body)
		require.Len(t, sc.sent, tc.sent)
		require.Equal(t, []result.Code{result.OK}, sc.codes)
	}
}

func TestACascadeFallsBackOnItsFirstAnswer(t *testing.T) {
	re := newRequest(true, "cheap@v1", "strong@v1")
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Frame(1, head(), start))
	sc.add(re.Frame(1, data(2, "poor"), start))
	sc.add(re.Frame(1, end(3, result.OK), start))
	for n := 2; n <= 4; n++ {
		sc.add(re.Verdict(n, result.Overloaded, 0, start))
	}
	require.Equal(t, "poor", sc.body)
	require.Equal(t, "cheap@v1", sc.by, "the answer is of the version that gave it")
	require.Equal(t, []result.Code{result.OK}, sc.codes)
}

func TestAnEndWithoutAHeadIsNoAnswer(t *testing.T) {
	re := newRequest(false, "m@v1")
	var sc script
	sc.add(re.Begin(start))
	sc.add(re.Frame(1, end(1, result.OK), start))
	require.Equal(t, []result.Code{result.ServerFailed}, sc.codes)
}

func TestACallerThatLeavesFreesTheServer(t *testing.T) {
	re := newRequest(true, "m@v1")
	re.Begin(start)
	acs := re.CallerGone()
	require.Equal(t, Cancel, acs[0].Op())
	require.Equal(t, result.Stopped, acs[1].Code())
	require.Empty(t, re.CallerGone())
}

// naive delivers each frame as it comes and tries again after any loss, as a
// relay without sequence numbers would.
type naive struct {
	body string
	runs int
}

// TestWholeAnswersAgainstNaive plays two attempts' frames doubled, reordered
// and cut off. The caller gets exactly one whole answer or a code; the naive
// version mixes answers and runs what may not be repeated twice.
func TestWholeAnswersAgainstNaive(t *testing.T) {
	mixed, doubled := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		re := newRequest(repeatable, "m@v1")
		na := naive{runs: 1}
		var sc script
		sc.add(re.Begin(start))
		now := start
		frames := func(n int) []*wire.Frame {
			tag := fmt.Sprintf("%d", n)
			return []*wire.Frame{head(), data(2, tag+"a"), data(3, tag+"b"), data(4, tag+"c"), end(5, result.OK)}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			now = now.Add(time.Millisecond)
			n := rapid.IntRange(1, 3).Draw(rt, "attempt")
			switch rapid.SampledFrom([]string{"frame", "frame", "frame", "lost", "refused"}).Draw(rt, "event") {
			case "frame":
				fr := rapid.SampledFrom(frames(n)).Draw(rt, "frame")
				sc.add(re.Frame(n, fr, now))
				na.body += string(fr.Body)
			case "lost":
				sc.add(re.LinkLost(n, now))
				na.runs++
			case "refused":
				sc.add(re.Verdict(n, result.Overloaded, 0, now))
			}
		}
		require.LessOrEqual(rt, len(sc.codes), 1, "one final answer")
		if len(sc.codes) == 1 && sc.codes[0] == result.OK {
			n := sc.body[:1]
			require.Equal(rt, n+"a"+n+"b"+n+"c", sc.body)
		}
		if sc.body != "" {
			n := sc.body[:1]
			require.True(rt, strings.HasPrefix(n+"a"+n+"b"+n+"c", sc.body), sc.body)
		}
		if na.body != "" && na.body != "1a1b1c"[:min(6, len(na.body))] {
			mixed++
		}
		if !repeatable && na.runs > 1 {
			doubled++
		}
	})
	require.Positive(t, mixed, "the naive version must have mixed answers")
	require.Positive(t, doubled, "the naive version must have run a request twice")
}

// TestOnceIsDispatchedOnceBeyondDoubt checks over all schedules that an
// attempt follows another of a request that may not be repeated only if the
// earlier one was refused as not run.
func TestOnceIsDispatchedOnceBeyondDoubt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		re := newRequest(false, "m@v1")
		var sc script
		sc.add(re.Begin(start))
		surelyNot := 0
		for i := range rapid.IntRange(1, 20).Draw(rt, "events") {
			now := start.Add(time.Duration(i) * 300 * time.Millisecond)
			current := len(sc.sent)
			codes := []result.Code{result.Overloaded, result.NotDispatched, result.ServerFailed, result.LinkLost, result.Queued}
			switch rapid.SampledFrom([]string{"verdict", "end", "lost", "tick"}).Draw(rt, "event") {
			case "verdict":
				co := rapid.SampledFrom(codes[:2]).Draw(rt, "code")
				sc.add(re.Verdict(current, co, 0, now))
				surelyNot++
			case "end":
				co := rapid.SampledFrom(codes).Draw(rt, "code")
				sc.add(re.Frame(current, end(1, co), now))
				if result.Of(co).Run() == result.DidNotRun {
					surelyNot++
				}
			case "lost":
				sc.add(re.LinkLost(current, now))
			case "tick":
				sc.add(re.Tick(now))
			}
			require.LessOrEqual(rt, len(sc.sent), 1+surelyNot)
		}
	})
}

// TestNotRunAgainstNaive plays attempts that reach their server or do not,
// verdicts that are lost with the link, and refusals. Whenever the route says
// "did not run", no attempt has run. The naive relay, which says so whenever it
// got no answer, is wrong in some schedules.
func TestNotRunAgainstNaive(t *testing.T) {
	naiveWrong := 0
	rapid.Check(t, func(rt *rapid.T) {
		re := newRequest(rapid.Bool().Draw(rt, "repeatable"), "m@v1")
		var sc script
		sc.add(re.Begin(start))
		ran := false
		for n := 1; n <= len(sc.sent) && len(sc.codes) == 0; n++ {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			switch rapid.SampledFrom([]string{"refused", "lost before it started", "ran and lost", "failed"}).Draw(rt, "fate") {
			case "refused":
				sc.add(re.Verdict(n, result.Overloaded, 0, now))
			case "lost before it started":
				sc.add(re.LinkLost(n, now))
			case "ran and lost":
				ran = true
				sc.add(re.LinkLost(n, now))
			case "failed":
				ran = true
				sc.add(re.Verdict(n, result.OK, 0, now))
				sc.add(re.Frame(n, end(1, result.ServerFailed), now))
			}
		}
		require.Len(rt, sc.codes, 1)
		if ran {
			naiveWrong++
		}
		if result.Of(sc.codes[0]).Run() == result.DidNotRun {
			require.False(rt, ran, "%v", sc.codes)
		}
	})
	require.Positive(t, naiveWrong, "the naive relay must have been wrong")
}
