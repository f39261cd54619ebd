package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

var t0 = time.Unix(1000, 0)

// serverList returns its servers in order.
type serverList []string

func (se serverList) Pick(_ string, tried []string, _ time.Time) (string, bool) {
	if len(tried) >= len(se) {
		return "", false
	}
	return se[len(tried)], true
}

// retryTokens allows a fixed number of retries.
type retryTokens int

func (tokens *retryTokens) Take(time.Time) bool {
	*tokens--
	return *tokens >= 0
}

func (tokens *retryTokens) TakeSpare(now time.Time) bool { return tokens.Take(now) }

// limitRetryAfter is the Retry-After value if rate limits exclude all remaining servers.
var limitRetryAfter time.Duration

func (serverList) Wait(string, []string, time.Time) time.Duration { return limitRetryAfter }

func (unlimitedServers) Wait(string, []string, time.Time) time.Duration { return 0 }

// thresholdCascade has two models and escalates below a confidence.
type thresholdCascade int

func (thresholdCascade) First(time.Time) int { return 0 }

func (th thresholdCascade) Next(index, confidence int, _ time.Time) (int, bool) {
	return 1, index == 0 && confidence < int(th)
}

// fixedLatency is the typical latency of every model.
type fixedLatency time.Duration

func (pa fixedLatency) Usual(string) time.Duration { return time.Duration(pa) }

// blockedFor is the time for which the request is blocked.
type blockedFor time.Duration

func (bl *blockedFor) Blocked(time.Time) time.Duration { return time.Duration(*bl) }

func request(change func(re *Request)) *Request {
	retries := retryTokens(10)
	re := &Request{
		Idempotent: true, MaxRuns: 3, Received: t0, Target: t0.Add(time.Second), Deadline: t0.Add(4 * time.Second),
		Picker: serverList{"a", "b", "c", "d", "e", "f"}, RetryBudget: &retries, Cascade: thresholdCascade(50), Latency: fixedLatency(0),
		Blocklist: new(blockedFor),
	}
	if change != nil {
		change(re)
	}
	return re
}

// pickerWithUpdate has no server until it is asked how long to wait, as when a server's limit is raised in
// between.
type pickerWithUpdate struct{ updated bool }

func (pi *pickerWithUpdate) Pick(string, []string, time.Time) (string, bool) { return "a", pi.updated }

func (pi *pickerWithUpdate) Wait(string, []string, time.Time) time.Duration {
	pi.updated = true
	return 0
}

// Guards against a request being refused for want of a server while a server is available.
func TestServerThatBecomesAvailableDuringTheChoiceIsUsed(t *testing.T) {
	re := request(func(re *Request) { re.Picker = &pickerWithUpdate{} })
	st := re.Begin(t0)
	require.Equal(t, Send, st.Op(), st.Code())
	require.Equal(t, "a", st.Server())
}

// Servers that are excluded by rate limits are not missing: the code is Overloaded rather than
// NoServer, and callers get a Retry-After value.
func TestRateLimitedServersYieldOverloaded(t *testing.T) {
	limitRetryAfter = 300 * time.Millisecond
	t.Cleanup(func() { limitRetryAfter = 0 })
	re := request(func(re *Request) { re.Picker = serverList{} })
	st := re.Begin(t0)
	require.Equal(t, Refuse, st.Op())
	require.Equal(t, result.Overloaded, st.Code())
	require.Equal(t, 300*time.Millisecond, st.RetryAfter())
	limitRetryAfter = 2 * time.Second
	re = request(func(re *Request) { re.MaxRuns = 1 })
	for st = re.Begin(t0); st.Op() == Send; {
		st = re.Refused(t0)
	}
	require.Equal(t, result.Overloaded, st.Code())
	require.Equal(t, 2*time.Second, st.RetryAfter(), "after the last allowed attempt as well")
	limitRetryAfter = 0
	re = request(func(re *Request) { re.Picker = serverList{} })
	require.Equal(t, result.NoServer, re.Begin(t0).Code())
}

func TestUnsafeRequestIsNotRepeatedOnceItMayHaveRun(t *testing.T) {
	re := request(func(re *Request) { re.Idempotent, re.MaxRuns = false, 1 })
	require.Equal(t, Send, re.Begin(t0).Op())
	st := re.Lost(t0)
	require.Equal(t, Refuse, st.Op())
	require.Equal(t, result.MayHaveRun, result.Lookup(st.Code()).Run())
}

func TestRejectedUnsafeRequestIsSentToAnotherServer(t *testing.T) {
	re := request(func(re *Request) { re.Idempotent, re.MaxRuns = false, 1 })
	require.Equal(t, "a", re.Begin(t0).Server())
	require.Equal(t, "b", re.Refused(t0).Server())
	require.Equal(t, "c", re.Unsent(t0).Server())
	require.Equal(t, "d", re.Refused(t0).Server(), "the attempt at b was not sent")
	st := re.Refused(t0)
	require.Equal(t, Refuse, st.Op())
	require.Equal(t, result.DidNotRun, result.Lookup(st.Code()).Run())
	require.Equal(t, time.Second, st.RetryAfter())
}

func TestFailureOfAnUnsafeRequestIsDelivered(t *testing.T) {
	re := request(func(re *Request) { re.Idempotent, re.MaxRuns = false, 1 })
	re.Begin(t0)
	require.Equal(t, Deliver, re.Answered(500, -1, t0).Op())
}

// Guards against an error after a failed escalation: the small model's answer was dropped before
// the larger model's server had accepted the attempt, and when it rejected the attempt with no
// retry left, the caller got an error.
func TestFallbackIsDeliveredIfTheLargerModelRejects(t *testing.T) {
	escalated := func(t *testing.T, retries int) *Request {
		t.Helper()
		tokens := retryTokens(retries)
		re := request(func(re *Request) { re.Models, re.RetryBudget = []string{"small", "large"}, &tokens })
		require.False(t, re.Begin(t0).Escalates())
		st := re.Answered(200, 10, t0)
		require.Equal(t, "large", st.Model())
		require.True(t, st.Escalates())
		return re
	}
	for name, reject := range map[string]func(re *Request) Step{
		"rejected": func(re *Request) Step { return re.Refused(t0) },
		"unsent":   func(re *Request) Step { re.unusedTokens = -1; return re.Unsent(t0) },
		"lost":     func(re *Request) Step { return re.Lost(t0) },
	} {
		t.Run(name, func(t *testing.T) {
			st := reject(escalated(t, 1))
			require.Equal(t, Deliver, st.Op())
			require.True(t, st.Fallback())
			require.Equal(t, "small", st.Model())

			re := escalated(t, 1)
			re.FallbackDropped()
			st = reject(re)
			require.Equal(t, Refuse, st.Op())
			require.Equal(t, result.LinkLost, st.Code())
		})
	}
	st := escalated(t, 2).Refused(t0)
	require.Equal(t, Send, st.Op(), "another server of the larger model is tried first")
	require.False(t, st.Escalates())
}

func TestBlockedRequestIsRefusedAtOnce(t *testing.T) {
	bl := blockedFor(time.Minute)
	re := request(func(re *Request) { re.Blocklist = &bl })
	st := re.Begin(t0)
	require.Equal(t, Refuse, st.Op())
	require.Equal(t, result.RequestBlocked, st.Code())
	require.Equal(t, result.DidNotRun, result.Lookup(st.Code()).Run())
	require.Equal(t, time.Minute, st.RetryAfter())
}

func TestRequestBlockedAfterAnAttemptIsNotSentAgain(t *testing.T) {
	for name, outcome := range map[string]func(re *Request) Step{
		"lost":           func(re *Request) Step { return re.Lost(t0) },
		"failed":         func(re *Request) Step { return re.Answered(500, -1, t0) },
		"refused":        func(re *Request) Step { return re.Refused(t0) },
		"unsent":         func(re *Request) Step { return re.Unsent(t0) },
		"low confidence": func(re *Request) Step { return re.Answered(200, 10, t0) },
		"broken": func(re *Request) Step {
			re.Answered(200, 90, t0)
			return re.Broken(t0)
		},
	} {
		var bl blockedFor
		re := request(func(re *Request) {
			re.Blocklist, re.Models, re.Resumable = &bl, []string{"small", "large"}, true
		})
		require.Equal(t, Send, re.Begin(t0).Op())
		bl = blockedFor(time.Minute)
		st := outcome(re)
		require.NotEqual(t, Send, st.Op(), name)
		if st.Op() == Refuse {
			ran := name == "lost"
			require.Equal(t, ran, result.Lookup(st.Code()).Run() == result.MayHaveRun, name)
		}
	}
}

func TestFailureOfASafeRequestIsRetriedUpToMaxRuns(t *testing.T) {
	re := request(nil)
	re.Begin(t0)
	require.Equal(t, "b", re.Answered(500, -1, t0).Server())
	require.Equal(t, "c", re.Lost(t0).Server())
	st := re.Answered(500, -1, t0)
	require.Equal(t, Deliver, st.Op(), "MaxRuns is 3")
}

func TestExhaustedRetryBudgetEndsTheRequest(t *testing.T) {
	re := request(func(re *Request) { tokens := retryTokens(0); re.RetryBudget = &tokens })
	re.Begin(t0)
	st := re.Lost(t0)
	require.Equal(t, Refuse, st.Op())
	require.Equal(t, result.MayHaveRun, result.Lookup(st.Code()).Run())
}

// Guards against connection failures that use up the retry budget: with two fifths of the servers
// gone, requests failed after one attempt.
func TestUnsentAttemptLeavesItsRetryTokenToTheNext(t *testing.T) {
	re := request(func(re *Request) { tokens := retryTokens(0); re.RetryBudget = &tokens })
	re.Begin(t0)
	require.Equal(t, "b", re.Unsent(t0).Server(), "the first attempt was not sent, so this is not a retry")
	require.Equal(t, "c", re.Unsent(t0).Server())
	require.Equal(t, Refuse, re.Lost(t0).Op(), "another attempt would be a retry")

	re = request(func(re *Request) { tokens := retryTokens(1); re.RetryBudget, re.Resumable = &tokens, true })
	re.Begin(t0)
	require.Equal(t, Deliver, re.Answered(200, 90, t0).Op())
	require.Equal(t, "b", re.Broken(t0).Server())
	require.Equal(t, "c", re.Unsent(t0).Server(), "uses the retry token of the attempt at b")
	require.Equal(t, Abort, re.Broken(t0).Op())
}

// Guards against requests that are refused after one run with seconds of their time left: when 20 to
// 29 servers crash at once, a request may select four crashed servers in a row.
func TestUnreachableServersDoNotCountAsAttempts(t *testing.T) {
	re := request(func(re *Request) { re.Picker = unlimitedServers{}; tokens := retryTokens(1); re.RetryBudget = &tokens })
	re.Begin(t0)
	require.Equal(t, Send, re.Lost(t0).Op())
	for range 10 {
		require.Equal(t, Send, re.Unsent(t0).Op())
	}
	require.Equal(t, Deliver, re.Answered(200, -1, t0).Op())

	re = request(func(re *Request) { re.Picker = unlimitedServers{} })
	st := re.Begin(t0)
	sends := 0
	for ; st.Op() == Send; sends++ {
		st = re.Unsent(t0)
	}
	require.Equal(t, maxSends, sends, "the request ends if the whole pool is unreachable")
	require.Equal(t, result.DidNotRun, result.Lookup(st.Code()).Run())
}

// unlimitedServers returns a new server each time.
type unlimitedServers struct{}

func (unlimitedServers) Pick(_ string, tried []string, _ time.Time) (string, bool) {
	return fmt.Sprint(len(tried)), true
}

// The last possible run is marked, so that it is sent on a new connection to a server that is known
// to be reachable.
func TestFinalRunIsMarked(t *testing.T) {
	re := request(func(re *Request) { re.Resumable = true })
	require.False(t, re.Begin(t0).FinalRun())
	require.False(t, re.Lost(t0).FinalRun())
	st := re.Answered(200, -1, t0)
	require.Equal(t, Deliver, st.Op())
	require.True(t, re.Broken(t0).FinalRun())
	unsafe := request(func(re *Request) { re.Idempotent, re.MaxRuns = false, 1 })
	require.False(t, unsafe.Begin(t0).FinalRun(), "the first attempt does not follow earlier runs")
}

func TestLowConfidenceEscalatesOnce(t *testing.T) {
	re := request(func(re *Request) { re.Models = []string{"small", "large"} })
	require.Equal(t, "small", re.Begin(t0).Model())
	st := re.Answered(200, 10, t0)
	require.Equal(t, Send, st.Op())
	require.Equal(t, "large", st.Model())
	require.Equal(t, Deliver, re.Answered(200, 10, t0).Op())
}

func TestAnswerIsAcceptedWithoutRetryBudget(t *testing.T) {
	re := request(func(re *Request) {
		tokens := retryTokens(0)
		re.Models, re.RetryBudget = []string{"small", "large"}, &tokens
	})
	re.Begin(t0)
	require.Equal(t, Deliver, re.Answered(200, 10, t0).Op())
}

func TestBrokenStreamIsResumedOnAnotherServer(t *testing.T) {
	re := request(func(re *Request) { re.Models, re.Resumable = []string{"small", "large"}, true })
	re.Begin(t0)
	require.Equal(t, Deliver, re.Answered(200, 90, t0).Op())
	st := re.Broken(t0)
	require.Equal(t, Send, st.Op())
	require.True(t, st.Resume())
	require.Equal(t, "small", st.Model())
	require.Equal(t, "b", st.Server())
	require.Equal(t, Abort, request(nil).Broken(t0).Op(), "a stream that is not resumable is aborted")
}

func TestFinalRunLeft(t *testing.T) {
	re := request(func(re *Request) { re.Models, re.Resumable, re.MaxRuns = []string{"small"}, true, 2 })
	re.Begin(t0)
	require.False(t, re.FinalRunLeft(), "nothing was delivered")
	require.Equal(t, Deliver, re.Answered(200, 90, t0).Op())
	require.True(t, re.FinalRunLeft(), "one run is left")
}

func TestSoftDeadlineLeavesTimeForASecondAttempt(t *testing.T) {
	re := request(func(re *Request) { re.MaxRuns = 2 })
	require.Equal(t, t0.Add(600*time.Millisecond), re.Begin(t0).SoftDeadline())
	require.Equal(t, re.Deadline, re.Lost(t0).SoftDeadline(), "the last attempt has until the deadline")
}

func TestDeadlinesScaleWithTypicalLatency(t *testing.T) {
	re := request(func(re *Request) { re.Latency = fixedLatency(300 * time.Millisecond) })
	st := re.Begin(t0)
	require.Equal(t, t0.Add(1200*time.Millisecond), st.SoftDeadline())
	require.Equal(t, t0.Add(3*time.Second), st.HardDeadline(), "if the server responds to others")
	re = request(func(re *Request) { re.Latency = fixedLatency(20 * time.Millisecond) })
	st = re.Begin(t0)
	require.Equal(t, st.SoftDeadline(), st.HardDeadline(), "a fast server has lost the request by then")
	re = request(func(re *Request) { re.Latency = fixedLatency(time.Minute) })
	require.Equal(t, re.Deadline, re.Begin(t0).SoftDeadline())
}

// For any sequence of outcomes: no more attempts run than allowed, a request that is not idempotent
// runs at most once, and "did not run" is reported only if no attempt may have run.
func TestInvariantsHoldForAnyOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		re := request(func(re *Request) {
			re.Idempotent = rapid.Bool().Draw(rt, "idempotent")
			re.Resumable = re.Idempotent && rapid.Bool().Draw(rt, "resumable")
			re.MaxRuns = rapid.IntRange(1, 4).Draw(rt, "runs")
			if rapid.Bool().Draw(rt, "models") {
				re.Models = []string{"small", "large"}
			}
		})
		now, ran, sent, reached := t0, 0, 0, 0
		st := re.Begin(now)
		for range 30 {
			if st.Op() == Send {
				sent++
				reached++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(rt, "pause")) * time.Millisecond)
			switch {
			case st.Op() == Refuse || st.Op() == Abort:
				if result.Lookup(st.Code()).Run() == result.DidNotRun && ran > 0 {
					rt.Fatal("reported DidNotRun after a run")
				}
				return
			case st.Op() == Deliver:
				if !re.Resumable || rapid.Bool().Draw(rt, "complete") {
					return
				}
				st = re.Broken(now)
				continue
			}
			switch rapid.IntRange(0, 4).Draw(rt, "outcome") {
			case 0:
				st = re.Refused(now)
			case 1:
				reached--
				st = re.Unsent(now)
			case 2:
				ran++
				st = re.Lost(now)
			case 3:
				ran++
				st = re.Answered(500, -1, now)
			case 4:
				ran++
				st = re.Answered(200, rapid.IntRange(0, 100).Draw(rt, "confidence"), now)
			}
			if ran > re.MaxRuns || !re.Idempotent && ran > 1 || reached > re.MaxRuns+maxRejectedSends+re.MaxRuns || sent > maxSends {
				rt.Fatal(fmt.Sprintf("%d runs, %d sends, %d reached a server", ran, sent, reached))
			}
		}
	})
}
