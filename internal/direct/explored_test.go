package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// world is what a request meets at one step.
type world string

const (
	worldSound    world = "sound"
	worldNoServer world = "no server"
	worldNoRetry  world = "no retry left"
	worldBlocked  world = "blocked"
	worldLate     world = "deadline passed"
)

// exploredDepth is the number of steps that are explored.
const exploredDepth = 5

// exploredWorld implements what a request asks, in the present world.
type exploredWorld struct{ now world }

func (ew *exploredWorld) Pick(_ string, tried []string, _ time.Time) (string, bool) {
	return fmt.Sprint("s", len(tried)), ew.now != worldNoServer
}

func (ew *exploredWorld) Wait(string, []string, time.Time) time.Duration { return 0 }

func (ew *exploredWorld) Take(time.Time) bool { return ew.now != worldNoRetry }

func (ew *exploredWorld) TakeSpare(time.Time) bool { return ew.now != worldNoRetry }

func (ew *exploredWorld) Blocked(time.Time) time.Duration {
	if ew.now == worldBlocked {
		return time.Second
	}
	return 0
}

// explorer walks over all sequences of outcomes and worlds.
type explorer struct {
	t         *testing.T
	kind      func(re *Request)
	sequences int
}

// event is an outcome of a step in a world.
type event struct {
	world   world
	outcome string
}

// replay plays a sequence of events and returns the step after it, and the runs and the last attempt that ran.
func (ex *explorer) replay(events []event) (st Step, re *Request, runs int) {
	ew := &exploredWorld{now: worldSound}
	re = request(func(re *Request) {
		re.Picker, re.RetryBudget, re.Blocklist = ew, ew, ew
		ex.kind(re)
	})
	now := t0
	st = re.Begin(now)
	for _, ev := range events {
		ew.now = ev.world
		if now = now.Add(time.Millisecond); ev.world == worldLate {
			now = re.Deadline.Add(time.Millisecond)
		}
		switch ev.outcome {
		case "rejected":
			st = re.Refused(now)
		case "unsent":
			st = re.Unsent(now)
		case "lost":
			runs++
			st = re.Lost(now)
		case "failed":
			runs++
			st = re.Answered(FirstServerError, -1, now)
		case "answered":
			runs++
			st = re.Answered(200, 0, now)
		case "broken":
			st = re.Broken(now)
		}
	}
	return st, re, runs
}

// explore checks the step after a sequence of events, and all sequences that begin with it.
func (ex *explorer) explore(events []event) {
	ex.sequences++
	st, re, runs := ex.replay(events)
	limit := re.MaxRuns
	if !re.Idempotent {
		limit = 1
	}
	outcomes := []string{}
	switch st.Op() {
	case Send:
		require.Less(ex.t, runs, limit, "%v", events)
		outcomes = []string{"rejected", "unsent", "lost", "failed", "answered"}
	case Refuse:
		if result.Lookup(st.Code()).Run() == result.DidNotRun {
			require.Zero(ex.t, runs, "%v: code %d", events, st.Code())
		}
	case Deliver:
		require.Positive(ex.t, runs, "%v", events)
		if re.Resumable {
			outcomes = []string{"broken"}
		}
	}
	if len(events) == exploredDepth {
		return
	}
	for _, oc := range outcomes {
		for _, wo := range []world{worldSound, worldNoServer, worldNoRetry, worldBlocked, worldLate} {
			ex.explore(append(events[:len(events):len(events)], event{wo, oc}))
		}
	}
}

// Guards against a request that runs more often than it may, or is refused though it may have run, for any sequence of
// outcomes and circumstances.
func TestAllSequencesKeepThePromises(t *testing.T) {
	for name, kind := range map[string]func(re *Request){
		"unsafe":         func(re *Request) { re.Idempotent, re.MaxRuns = false, 1 },
		"unsafe, 3 runs": func(re *Request) { re.Idempotent, re.MaxRuns = false, 3 },
		"safe":           func(re *Request) { re.MaxRuns = 2 },
		"stream":         func(re *Request) { re.Resumable, re.MaxRuns = true, 3 },
		"models":         func(re *Request) { re.Resumable, re.MaxRuns, re.Models = true, 3, []string{"small", "large"} },
	} {
		t.Run(name, func(t *testing.T) {
			ex := &explorer{t: t, kind: kind}
			ex.explore(nil)
			t.Logf("%d sequences", ex.sequences)
		})
	}
}
