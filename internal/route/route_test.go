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

// serverSequence picks servers s1, s2, ... up to a number.
type serverSequence struct{ servers int }

func (pi serverSequence) Pick(_ string, tried []string) (string, bool) {
	if len(tried) >= pi.servers {
		return "", false
	}
	return fmt.Sprintf("s%d", len(tried)+1), true
}

// retryTokens allows a fixed number of retries.
type retryTokens struct{ left int }

func (al *retryTokens) Take(time.Time) bool {
	al.left--
	return al.left >= 0
}

// acceptGood accepts answers that contain the word "good".
type acceptGood struct{}

func (acceptGood) Acceptable(_ string, _ int, body []byte, _ *wire.Usage) bool {
	return strings.Contains(string(body), "good")
}

// blockedFor is the time for which the request is blocked.
type blockedFor time.Duration

func (bl *blockedFor) Blocked(time.Time) time.Duration { return time.Duration(*bl) }

func newRequest(repeatable bool, steps ...string) *Request {
	return &Request{
		Steps: steps, Repeatable: repeatable, Deadline: start.Add(2 * time.Second),
		Picker: serverSequence{3}, RetryBudget: &retryTokens{3}, Evaluator: acceptGood{},
		Blocklist: new(blockedFor),
	}
}

func TestBlockedRequestIsNotSent(t *testing.T) {
	var rec recorder
	bl := blockedFor(time.Minute)
	re := newRequest(true, "a")
	re.Blocklist = &bl
	rec.add(re.Begin(start))
	require.Empty(t, rec.sent)
	require.Equal(t, []result.Code{result.RequestBlocked}, rec.codes)
	require.Equal(t, time.Minute, rec.after)
}

// A request that is blocked after it has run must not end with a code that says that it did not
// run, and the answer of an earlier step is still delivered.
func TestRequestBlockedAfterAnAttemptIsNotSentAgain(t *testing.T) {
	var rec recorder
	var bl blockedFor
	re := newRequest(true, "a")
	re.Blocklist = &bl
	rec.add(re.Begin(start))
	bl = blockedFor(time.Minute)
	rec.add(re.Frame(1, end(1, result.ServerFailed), start))
	require.Len(t, rec.sent, 1)
	require.Equal(t, []result.Code{result.ServerFailed}, rec.codes)

	rec, bl = recorder{}, 0
	re = newRequest(true, "a", "b")
	re.Blocklist = &bl
	rec.add(re.Begin(start))
	rec.add(re.Frame(1, head(), start))
	rec.add(re.Frame(1, data(2, "bad"), start))
	bl = blockedFor(time.Minute)
	rec.add(re.Frame(1, end(3, result.OK), start))
	require.Len(t, rec.sent, 1)
	require.Equal(t, "bad", rec.body)
	require.Equal(t, []result.Code{result.OK}, rec.codes)
}

func head() *wire.Frame {
	return &wire.Frame{Kind: wire.Head, Stream: 1, Seq: 1, Head: &wire.ResponseHead{Status: 200}}
}

func data(seq uint32, body string) *wire.Frame {
	return &wire.Frame{Kind: wire.Data, Stream: 1, Seq: seq, Body: []byte(body)}
}

func end(seq uint32, co result.Code) *wire.Frame {
	return &wire.Frame{Kind: wire.End, Stream: 1, Seq: seq, Code: co, Usage: &wire.Usage{}}
}

// recorder records what the caller receives.
type recorder struct {
	body  string
	codes []result.Code
	sent  []string
	after time.Duration
	// answeredBy is the version to which the answer is attributed.
	answeredBy string
}

func (rec *recorder) add(acs []Action) {
	for _, ac := range acs {
		switch ac.Op() {
		case DeliverHead:
			rec.answeredBy = ac.Target()
		case Deliver:
			rec.body += string(ac.Body())
		case Close:
			rec.codes = append(rec.codes, ac.Code())
			rec.after = ac.RetryAfter()
		case Dispatch:
			rec.sent = append(rec.sent, ac.Target()+" on "+ac.Server())
		}
	}
}

func TestRefusedAttemptIsRetriedOnAnotherServer(t *testing.T) {
	re := newRequest(false, "m@v1")
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Verdict(1, result.Overloaded, time.Second, start))
	rec.add(re.Verdict(2, result.OK, 0, start))
	rec.add(re.Frame(2, head(), start))
	rec.add(re.Frame(2, data(2, "answer"), start))
	rec.add(re.Frame(2, end(3, result.OK), start))
	require.Equal(t, []string{"m@v1 on s1", "m@v1 on s2"}, rec.sent)
	require.Equal(t, "answer", rec.body)
	require.Equal(t, []result.Code{result.OK}, rec.codes)
}

func TestLastRefusalIsTheResult(t *testing.T) {
	re := newRequest(true, "m@v1")
	var rec recorder
	rec.add(re.Begin(start))
	for n := 1; n <= 3; n++ {
		rec.add(re.Verdict(n, result.Overloaded, 7*time.Second, start))
	}
	require.Equal(t, []result.Code{result.Overloaded}, rec.codes)
	require.Equal(t, 7*time.Second, rec.after)
}

func TestExhaustedBudgetPreventsRetries(t *testing.T) {
	re := newRequest(true, "m@v1")
	re.RetryBudget = &retryTokens{0}
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Verdict(1, result.Overloaded, time.Second, start))
	require.Len(t, rec.sent, 1)
	require.Equal(t, []result.Code{result.Overloaded}, rec.codes)
}

func TestWithdrawnVersionIsNotRetried(t *testing.T) {
	re := newRequest(true, "m@v1")
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Verdict(1, result.VersionWithdrawn, 0, start))
	require.Len(t, rec.sent, 1, "another agent may not have the new configuration yet and would run it")
	require.Equal(t, []result.Code{result.VersionWithdrawn}, rec.codes)
}

func TestLinkLostBeforeTheAnswer(t *testing.T) {
	for _, tc := range []struct {
		repeatable bool
		codes      []result.Code
		sent       int
	}{{true, nil, 2}, {false, []result.Code{result.LinkLost}, 1}} {
		re := newRequest(tc.repeatable, "m@v1")
		var rec recorder
		rec.add(re.Begin(start))
		rec.add(re.LinkLost(1, start))
		require.Equal(t, tc.codes, rec.codes)
		require.Len(t, rec.sent, tc.sent)
	}
}

func TestLinkLostWithinTheAnswerIsNotRetried(t *testing.T) {
	re := newRequest(true, "m@v1")
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Frame(1, head(), start))
	rec.add(re.Frame(1, data(2, "half"), start))
	rec.add(re.LinkLost(1, start))
	require.Equal(t, []result.Code{result.AnswerBroken}, rec.codes)
	require.Len(t, rec.sent, 1)
	require.Empty(t, re.Frame(1, data(3, "late"), start))
}

func TestUnacknowledgedAttemptIsRetried(t *testing.T) {
	re := newRequest(true, "m@v1")
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Tick(start.Add(ackTimeout)))
	require.Equal(t, []string{"m@v1 on s1", "m@v1 on s2"}, rec.sent)
	rec.add(re.Verdict(2, result.Queued, 0, start.Add(ackTimeout)))
	rec.add(re.Tick(start.Add(3 * ackTimeout)))
	require.Len(t, rec.sent, 2, "an agent that has queued the attempt is not abandoned")
}

func TestUnacknowledgedAttemptMayHaveRun(t *testing.T) {
	re := newRequest(false, "m@v1")
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Tick(start.Add(2 * time.Second)))
	require.Empty(t, rec.codes)
	rec.add(re.Tick(start.Add(2*time.Second + verdictGrace)))
	require.Equal(t, []result.Code{result.LinkLost}, rec.codes)
	require.Equal(t, result.MayHaveRun, result.Lookup(rec.codes[0]).Run())
	require.Len(t, rec.sent, 1)
}

func TestSecondStepRunsOnlyIfTheFirstAnswerIsPoor(t *testing.T) {
	for _, tc := range []struct {
		cheap, want string
		sent        int
	}{{"good", "good", 1}, {"poor", "strong", 2}} {
		re := newRequest(true, "cheap@v1", "strong@v1")
		var rec recorder
		rec.add(re.Begin(start))
		rec.add(re.Frame(1, head(), start))
		rec.add(re.Frame(1, data(2, tc.cheap), start))
		require.Empty(t, rec.body, "nothing is delivered before the answer is evaluated")
		rec.add(re.Frame(1, end(3, result.OK), start))
		rec.add(re.Frame(2, head(), start))
		rec.add(re.Frame(2, data(2, "strong"), start))
		rec.add(re.Frame(2, end(3, result.OK), start))
		require.Equal(t, tc.want, rec.body)
		require.Len(t, rec.sent, tc.sent)
		require.Equal(t, []result.Code{result.OK}, rec.codes)
	}
}

func TestFirstAnswerIsTheFallback(t *testing.T) {
	re := newRequest(true, "cheap@v1", "strong@v1")
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Frame(1, head(), start))
	rec.add(re.Frame(1, data(2, "poor"), start))
	rec.add(re.Frame(1, end(3, result.OK), start))
	for n := 2; n <= 4; n++ {
		rec.add(re.Verdict(n, result.Overloaded, 0, start))
	}
	require.Equal(t, "poor", rec.body)
	require.Equal(t, "cheap@v1", rec.answeredBy, "the answer is attributed to the version that gave it")
	require.Equal(t, []result.Code{result.OK}, rec.codes)
}

func TestEndWithoutHeadIsAFailure(t *testing.T) {
	re := newRequest(false, "m@v1")
	var rec recorder
	rec.add(re.Begin(start))
	rec.add(re.Frame(1, end(1, result.OK), start))
	require.Equal(t, []result.Code{result.ServerFailed}, rec.codes)
}

func TestAttemptIsCancelledIfTheCallerIsGone(t *testing.T) {
	re := newRequest(true, "m@v1")
	re.Begin(start)
	acs := re.CallerGone()
	require.Equal(t, Cancel, acs[0].Op())
	require.Equal(t, result.Stopped, acs[1].Code())
	require.Empty(t, re.CallerGone())
}

// naiveRelay delivers each frame as it arrives and retries after any loss, like a relay without
// sequence numbers.
type naiveRelay struct {
	body string
	runs int
}

// Delivers the frames of several attempts duplicated, reordered and truncated. The caller must get
// exactly one complete answer or a code. The naive relay mixes answers, and it runs requests twice
// that must run at most once.
func TestAnswersAreNeverMixed(t *testing.T) {
	mixedAnswers, repeatedRuns := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		re := newRequest(repeatable, "m@v1")
		naive := naiveRelay{runs: 1}
		var rec recorder
		rec.add(re.Begin(start))
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
				rec.add(re.Frame(n, fr, now))
				naive.body += string(fr.Body)
			case "lost":
				rec.add(re.LinkLost(n, now))
				naive.runs++
			case "refused":
				rec.add(re.Verdict(n, result.Overloaded, 0, now))
			}
		}
		require.LessOrEqual(rt, len(rec.codes), 1, "one final answer")
		if len(rec.codes) == 1 && rec.codes[0] == result.OK {
			n := rec.body[:1]
			require.Equal(rt, n+"a"+n+"b"+n+"c", rec.body)
		}
		if rec.body != "" {
			n := rec.body[:1]
			require.True(rt, strings.HasPrefix(n+"a"+n+"b"+n+"c", rec.body), rec.body)
		}
		if naive.body != "" && naive.body != "1a1b1c"[:min(6, len(naive.body))] {
			mixedAnswers++
		}
		if !repeatable && naive.runs > 1 {
			repeatedRuns++
		}
	})
	require.Positive(t, mixedAnswers, "the naive relay must have mixed answers")
	require.Positive(t, repeatedRuns, "the naive relay must have run a request twice")
}

// Checks over random schedules that a request that is not repeatable is dispatched again only if
// the previous attempt was refused without having run.
func TestUnsafeRequestIsRedispatchedOnlyAfterARefusal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		re := newRequest(false, "m@v1")
		var rec recorder
		rec.add(re.Begin(start))
		refusals := 0
		for i := range rapid.IntRange(1, 20).Draw(rt, "events") {
			now := start.Add(time.Duration(i) * 300 * time.Millisecond)
			current := len(rec.sent)
			codes := []result.Code{result.Overloaded, result.NotDispatched, result.ServerFailed, result.LinkLost, result.Queued}
			switch rapid.SampledFrom([]string{"verdict", "end", "lost", "tick"}).Draw(rt, "event") {
			case "verdict":
				co := rapid.SampledFrom(codes[:2]).Draw(rt, "code")
				rec.add(re.Verdict(current, co, 0, now))
				refusals++
			case "end":
				co := rapid.SampledFrom(codes).Draw(rt, "code")
				rec.add(re.Frame(current, end(1, co), now))
				if result.Lookup(co).Run() == result.DidNotRun {
					refusals++
				}
			case "lost":
				rec.add(re.LinkLost(current, now))
			case "tick":
				rec.add(re.Tick(now))
			}
			require.LessOrEqual(rt, len(rec.sent), 1+refusals)
		}
	})
}

// Simulates attempts that do or do not reach their server, verdicts that are lost with the link,
// and refusals. Whenever the result says "did not run", no attempt may have run. The naive relay
// says so whenever it got no answer and is wrong in some schedules.
func TestDidNotRunIsReportedOnlyIfNothingRan(t *testing.T) {
	naiveWrong := 0
	rapid.Check(t, func(rt *rapid.T) {
		re := newRequest(rapid.Bool().Draw(rt, "repeatable"), "m@v1")
		var rec recorder
		rec.add(re.Begin(start))
		ran := false
		for n := 1; n <= len(rec.sent) && len(rec.codes) == 0; n++ {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			switch rapid.SampledFrom([]string{"refused", "lost before it started", "ran and lost", "failed"}).Draw(rt, "outcome") {
			case "refused":
				rec.add(re.Verdict(n, result.Overloaded, 0, now))
			case "lost before it started":
				rec.add(re.LinkLost(n, now))
			case "ran and lost":
				ran = true
				rec.add(re.LinkLost(n, now))
			case "failed":
				ran = true
				rec.add(re.Verdict(n, result.OK, 0, now))
				rec.add(re.Frame(n, end(1, result.ServerFailed), now))
			}
		}
		require.Len(rt, rec.codes, 1)
		if ran {
			naiveWrong++
		}
		if result.Lookup(rec.codes[0]).Run() == result.DidNotRun {
			require.False(rt, ran, "%v", rec.codes)
		}
	})
	require.Positive(t, naiveWrong, "the naive relay must have been wrong")
}
