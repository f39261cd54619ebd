package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/selector"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

var start = time.Unix(1_800_000_000, 0)

// document has two teams, of which only the first may use m@v2.
func document(state config.State, slots int) *config.Document {
	return &config.Document{
		Models: []config.Model{{Name: "m"}},
		Versions: []config.Version{
			{Model: "m", Name: "v1", State: config.Serving},
			{Model: "m", Name: "v2", State: state, Labels: selector.Labels{"stage": "new"}},
		},
		Servers: []config.Server{{Name: "s", DataCentre: "dc", Versions: []string{"m@v1", "m@v2"}, Slots: slots}},
		Teams:   []config.Team{{Name: "one"}, {Name: "two"}},
		Grants: []config.Grant{
			{Teams: selector.Selector{Equal: map[string]string{"team": "one"}}, Versions: &selector.Selector{}},
			{
				Teams:    selector.Selector{Equal: map[string]string{"team": "two"}},
				Versions: &selector.Selector{Not: &selector.Selector{Equal: map[string]string{"stage": "new"}}},
			},
		},
	}
}

func newGate(t require.TestingT, revision uint64, state config.State, slots int) *Gate {
	doc := document(state, slots)
	require.NoError(t, doc.Check())
	ga := &Gate{Server: "s", MaxQueued: 4}
	ga.Reconfigure(config.Compile(revision, doc), start)
	ga.Confirm(revision, start)
	return ga
}

func attempt(team, version string) *wire.Attempt {
	return &wire.Attempt{Team: team, Version: version, WaitMS: 1000}
}

func submit(ga *Gate, stream uint64, at *wire.Attempt, now time.Time) []Action {
	return ga.Submit(Key{Link: "entry", Stream: stream}, at, now)
}

func TestSubmitStartsOnlyAllowedAttempts(t *testing.T) {
	for _, tc := range []struct {
		team, version string
		inSession     bool
		state         config.State
		want          result.Code
	}{
		{"one", "m@v2", false, config.Serving, result.OK},
		{"two", "m@v2", false, config.Serving, result.VersionNotAllowed},
		{"three", "m@v1", false, config.Serving, result.VersionNotAllowed},
		{"one", "m@v9", false, config.Serving, result.VersionNotHere},
		{"one", "m@v2", false, config.RollingIn, result.OK},
		{"one", "m@v2", false, config.RollingOut, result.VersionNoNewWork},
		{"one", "m@v2", true, config.RollingOut, result.OK},
		{"one", "m@v2", false, config.Withdrawn, result.VersionWithdrawn},
		{"one", "m@v2", true, config.Withdrawn, result.VersionWithdrawn},
	} {
		ga := newGate(t, 1, tc.state, 1)
		at := attempt(tc.team, tc.version)
		at.InSession = tc.inSession
		acs := submit(ga, 1, at, start)
		require.Len(t, acs, 1)
		require.Equal(t, tc.want, acs[0].Code(), "%+v", tc)
	}
}

func TestWithdrawalRefusesQueuedAttempts(t *testing.T) {
	ga := newGate(t, 1, config.Serving, 1)
	require.Equal(t, Start, submit(ga, 1, attempt("one", "m@v2"), start)[0].Kind())
	require.Empty(t, submit(ga, 2, attempt("one", "m@v2"), start))
	doc := document(config.Withdrawn, 1)
	acs := ga.Reconfigure(config.Compile(2, doc), start.Add(time.Millisecond))
	require.Len(t, acs, 1)
	require.Equal(t, result.VersionWithdrawn, acs[0].Code())
	require.Equal(t, uint64(2), acs[0].Key().Stream)
}

func TestReconfigureIgnoresOlderRevisions(t *testing.T) {
	ga := newGate(t, 5, config.Withdrawn, 1)
	ga.Reconfigure(config.Compile(4, document(config.Serving, 1)), start)
	require.Equal(t, uint64(5), ga.Revision())
	require.Equal(t, result.VersionWithdrawn, submit(ga, 1, attempt("one", "m@v2"), start)[0].Code())
}

func TestNothingStartsAfterASuspensionUntilAPeerConfirms(t *testing.T) {
	ga := newGate(t, 1, config.Serving, 1)
	resumed := start.Add(time.Minute)
	acs := submit(ga, 1, attempt("one", "m@v2"), resumed)
	require.Equal(t, result.NoConfiguration, acs[0].Code())
	require.Empty(t, ga.Confirm(2, resumed), "a peer with a newer revision confirms nothing")
	require.Equal(t, result.NoConfiguration, submit(ga, 2, attempt("one", "m@v2"), resumed)[0].Code())
	ga.Reconfigure(config.Compile(2, document(config.Withdrawn, 1)), resumed)
	ga.Confirm(2, resumed)
	require.Equal(t, result.VersionWithdrawn, submit(ga, 3, attempt("one", "m@v2"), resumed)[0].Code())
	require.Equal(t, Start, submit(ga, 4, attempt("one", "m@v1"), resumed)[0].Kind())
}

func TestQueuedAttemptIsRefusedAtItsDeadline(t *testing.T) {
	ga := newGate(t, 1, config.Serving, 1)
	submit(ga, 1, attempt("one", "m@v1"), start)
	submit(ga, 2, attempt("one", "m@v1"), start)
	require.Empty(t, ga.Tick(start.Add(time.Second)))
	acs := ga.Tick(start.Add(1001 * time.Millisecond))
	require.Len(t, acs, 1)
	require.Equal(t, result.DeadlinePassed, acs[0].Code())
	require.Positive(t, acs[0].RetryAfter())
}

func TestAttemptThatCannotStartInTimeIsRefusedImmediately(t *testing.T) {
	ga := newGate(t, 1, config.Serving, 1)
	now := start
	submit(ga, 1, attempt("one", "m@v1"), now)
	for range 8 {
		now = now.Add(time.Second)
		ga.Tick(now)
	}
	ga.Ended(Key{Link: "entry", Stream: 1}, now)
	submit(ga, 2, attempt("one", "m@v1"), now)
	acs := submit(ga, 3, attempt("one", "m@v1"), now)
	require.Len(t, acs, 1)
	require.Equal(t, result.Overloaded, acs[0].Code())
	require.GreaterOrEqual(t, acs[0].RetryAfter(), 7*time.Second)
}

func TestBurstDisplacesOnlyItsOwnTeam(t *testing.T) {
	ga := newGate(t, 1, config.Serving, 1)
	submit(ga, 1, attempt("one", "m@v1"), start)
	for id := uint64(2); id < 6; id++ {
		require.Empty(t, submit(ga, id, attempt("one", "m@v1"), start))
	}
	acs := submit(ga, 6, attempt("two", "m@v1"), start)
	require.Len(t, acs, 1)
	require.Equal(t, result.ShareExceeded, acs[0].Code())
	require.Equal(t, "one", acs[0].Attempt().Team)
	next := ga.Ended(Key{Link: "entry", Stream: 1}, start)
	require.Len(t, next, 1)
	require.Equal(t, "two", next[0].Attempt().Team, "the team without any start comes before the second attempt of the other one")
}

func TestLeaveRefusesNewAttemptsAndLetsRunningOnesEnd(t *testing.T) {
	ga := newGate(t, 1, config.Serving, 1)
	submit(ga, 1, attempt("one", "m@v1"), start)
	submit(ga, 2, attempt("one", "m@v1"), start)
	acs := ga.Leave(start)
	require.Len(t, acs, 1)
	require.Equal(t, result.Leaving, acs[0].Code())
	require.False(t, ga.Idle())
	require.Equal(t, result.Leaving, submit(ga, 3, attempt("one", "m@v1"), start)[0].Code())
	ga.Ended(Key{Link: "entry", Stream: 1}, start)
	require.True(t, ga.Idle())
}

// A server is marked as leaving by the configuration or by Leave while attempts arrive. The gate
// starts nothing afterwards. A naive gate that waits for the platform's list of servers would start
// attempts on it.
func TestLeavingStartsNothing(t *testing.T) {
	naiveStarted := 0
	rapid.Check(t, func(rt *rapid.T) {
		ga := newGate(rt, 1, config.Serving, 4)
		byConfig := rapid.Bool().Draw(rt, "by configuration")
		leaves := rapid.IntRange(1, 20).Draw(rt, "leaves at")
		// The platform's list shows that the server is leaving only later.
		listed := leaves + rapid.IntRange(1, 10).Draw(rt, "lag")
		for i := 1; i < 30; i++ {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			switch {
			case i == leaves && byConfig:
				doc := document(config.Serving, 4)
				doc.Servers[0].Leaving = true
				ga.Reconfigure(config.Compile(2, doc), now)
			case i == leaves:
				ga.Leave(now)
			}
			acs := submit(ga, uint64(i), attempt("one", "m@v1"), now)
			if i < leaves {
				require.Equal(rt, Start, acs[0].Kind())
				ga.Ended(acs[0].Key(), now)
				continue
			}
			require.Equal(rt, result.Leaving, acs[0].Code())
			if i < listed {
				naiveStarted++
			}
		}
	})
	require.Positive(t, naiveStarted, "the naive version must have started work on a leaving server")
}

// naiveGate starts every attempt, as a gate that relies on the checks of the entries would.
type naiveGate struct{ running map[Key]bool }

func (na *naiveGate) submit(key Key) Kind {
	na.running[key] = true
	return Start
}

// The gate and a naive gate receive the same random events. The gate decides on each attempt once,
// never exceeds the slots and starts no withdrawn version; the naive one starts withdrawn versions.
func TestRandomEventsKeepTheInvariants(t *testing.T) {
	violations := 0
	rapid.Check(t, func(rt *rapid.T) {
		ga := newGate(rt, 1, config.Serving, 2)
		na := &naiveGate{running: map[Key]bool{}}
		now, revision, state := start, uint64(1), config.Serving
		running := map[Key]bool{}
		decided := map[Key]int{}
		apply := func(acs []Action) {
			for _, ac := range acs {
				decided[ac.Key()]++
				require.Equal(rt, 1, decided[ac.Key()], "one decision for each attempt")
				if ac.Kind() == Refuse {
					require.Equal(rt, result.DidNotRun, result.Lookup(ac.Code()).Run())
					continue
				}
				require.NotEqual(rt, config.Withdrawn, state)
				running[ac.Key()] = true
			}
			require.LessOrEqual(rt, len(running), 2)
		}
		for i := range rapid.IntRange(1, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			key := Key{Link: "entry", Stream: uint64(i + 1)}
			switch rapid.SampledFrom([]string{"open", "open", "end", "tick", "change"}).Draw(rt, "event") {
			case "open":
				apply(ga.Submit(key, attempt("one", "m@v2"), now))
				if na.submit(key) == Start && state == config.Withdrawn {
					violations++
				}
			case "end":
				for ru := range running {
					delete(running, ru)
					apply(ga.Ended(ru, now))
					break
				}
			case "tick":
				apply(ga.Tick(now))
			case "change":
				revision++
				state = rapid.SampledFrom([]config.State{config.Serving, config.Withdrawn}).Draw(rt, "state")
				apply(ga.Reconfigure(config.Compile(revision, document(state, 2)), now))
			}
		}
	})
	require.Positive(t, violations, "the naive version must have started withdrawn work")
}

func BenchmarkSubmitEnded(b *testing.B) {
	ga := newGate(b, 1, config.Serving, 64)
	at := attempt("one", "m@v1")
	b.ReportAllocs()
	for i := range b.N {
		key := Key{Link: "entry", Stream: uint64(i)}
		ga.Submit(key, at, start)
		ga.Ended(key, start)
	}
}

func ExampleGate_Load() {
	ga := newGate(panicker{}, 1, config.Serving, 2)
	ga.Submit(Key{Link: "entry", Stream: 1}, attempt("one", "m@v1"), start)
	fmt.Println(ga.Load().Running, ga.Load().Slots)
	// Output: 1 2
}

// panicker is a require.TestingT for the use of test helpers outside a test.
type panicker struct{}

func (panicker) Errorf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (panicker) FailNow()                          { panic("failed") }

// In an evacuated data centre, running attempts continue while queued and new ones are refused, so
// that they go elsewhere. After the evacuation the server accepts attempts again, so its load
// reports must not show it as leaving.
func TestServerOfAnEvacuatedDataCentreRefusesNewAttempts(t *testing.T) {
	ga := newGate(t, 1, config.Serving, 1)
	require.Equal(t, Start, submit(ga, 1, attempt("one", "m@v2"), start)[0].Kind())
	require.Empty(t, submit(ga, 2, attempt("one", "m@v2"), start))
	doc := document(config.Serving, 1)
	doc.Evacuations = []config.Evacuation{{DataCentre: doc.Servers[0].DataCentre}}
	acs := ga.Reconfigure(config.Compile(2, doc), start.Add(time.Millisecond))
	require.Len(t, acs, 1)
	require.Equal(t, uint64(2), acs[0].Key().Stream, "the queued attempt")
	require.Equal(t, result.Leaving, acs[0].Code())
	require.Equal(t, 1, ga.Load().Running, "the running attempt continues")
	require.False(t, ga.Load().Leaving, "an entry would never return to it")
	require.Equal(t, result.Leaving, submit(ga, 3, attempt("one", "m@v2"), start)[0].Code())
	ga.Reconfigure(config.Compile(3, document(config.Serving, 2)), start.Add(2*time.Millisecond))
	require.Equal(t, Start, submit(ga, 4, attempt("one", "m@v2"), start.Add(3*time.Millisecond))[0].Kind())
}
