package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bin is the folder of the built program.
var bin string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "linnetrudder-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	cmd := exec.Command("go", "build", "-o", dir+"/", "github.com/linnetrudder/linnetrudder/cmd/linnetrudder")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestPlanIsDeterministicForSeed(t *testing.T) {
	one, two := GeneratePlan(7, 3, 5, 8*time.Second), GeneratePlan(7, 3, 5, 8*time.Second)
	require.Equal(t, one, two)
	require.NotEqual(t, one.Faults, GeneratePlan(8, 3, 5, 8*time.Second).Faults)
	for _, fa := range one.Faults {
		require.GreaterOrEqual(t, fa.Start, warmUp)
		require.LessOrEqual(t, fa.End, one.FaultsEnd)
	}
}

// playPlan plays a plan and returns the promises that were broken.
func runPlan(t *testing.T, pl Plan, sabotage Defect) []Violation {
	t.Helper()
	so := &Runner{Bin: bin, Dir: t.TempDir(), Callers: 8, Defect: sabotage}
	violations, err := so.Run(t.Context(), pl)
	require.NoError(t, err)
	return violations
}

// Seeds that once broke a promise, and one more.
func TestSeededFaultsViolateNoGuarantee(t *testing.T) {
	file, err := os.Open("testdata/seeds.txt")
	require.NoError(t, err)
	defer file.Close()
	for sc := bufio.NewScanner(file); sc.Scan(); {
		text, _, _ := strings.Cut(sc.Text(), "#")
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			continue // a line of comment
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			pl := GeneratePlan(seed, 3, 5, 6*time.Second)
			require.Empty(t, runPlan(t, pl, ""), "%v", pl.Faults)
		})
	}
}

// Servers that report their shutdown or a pause in their answers, beside all other faults.
func TestSelfReportingServersReceiveNoRequests(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			pl := GeneratePlan(seed, 3, 5, 6*time.Second).WithReports()
			require.Empty(t, runPlan(t, pl, ""), "%v", pl.Faults)
		})
	}
}

func TestDrainingServersReceiveNoRequestsAfterStoreRestore(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			pl := GeneratePlan(seed, 3, 5, 6*time.Second).WithRestores()
			require.Empty(t, runPlan(t, pl, ""), "%v", pl.Faults)
		})
	}
}

// The checks see what they are there for: each promise fails on a part that is
// broken on purpose.
func TestChecksDetectEachDefect(t *testing.T) {
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for _, ca := range []struct {
		sabotage Defect
		promise  Guarantee
		faults   []Fault
		calm     time.Duration
	}{
		{RunsTwice, AtMostOnce, nil, second(1)},
		{FalseNotExecuted, RefusedNotExecuted, nil, second(1)},
		{SwapsResponses, ResponseIntegrity, nil, second(1)},
		{SkipsEvents, ResponseIntegrity, nil, second(1)},
		{WithholdsEvents, RevokedKey, []Fault{{StoreLeaseExpiry, 0, second(0.2), second(0.2)}, {StoreDropsResponses, 0, second(0.4), second(0.5)}, {KeyRevocation, 0, second(0.8), second(0.8)}}, second(5)},
		{WithholdsEvents, DrainingServer, []Fault{{StoreDropsResponses, 0, second(0.2), second(0.3)}, {ServerDrain, 0, second(4.7), second(4.7)}}, second(5)},
		{KillsOnStop, GracefulShutdown, []Fault{{Stop, 0, second(1), second(1)}, {Stop, 1, second(2), second(2)}}, second(3)},
		{VariesPoison, PoisonContained, []Fault{{Poison, 0, second(0.5), second(8)}}, second(8)},
		{OmitsReports, DrainingServer, []Fault{{StoreDown, 0, second(0.9), second(5.5)}, {ServerAnnouncesShutdown, 0, second(1), second(1)}}, second(7)},
		{OmitsReports, RetryAfterHonoured, []Fault{{ServerShedsLoad, 0, second(1), second(4)}, {ServerShedsLoad, 1, second(1), second(4)}, {ServerShedsLoad, 2, second(1), second(4)}}, second(4)},
		{OutageNeverEnds, Recovery, []Fault{{StoreDown, 0, second(0.5), second(1)}}, second(1)},
	} {
		t.Run(string(ca.sabotage)+" "+string(ca.promise), func(t *testing.T) {
			t.Parallel()
			pl := Plan{Gateways: 2, Servers: 3, Faults: ca.faults, FaultsEnd: ca.calm, End: ca.calm + faultFreeTail}
			seen := map[Guarantee]bool{}
			for _, vi := range runPlan(t, pl, ca.sabotage) {
				seen[vi.Guarantee] = true
			}
			require.True(t, seen[ca.promise], "%v", seen)
		})
	}
}

// An answer that comes late is seen; no build of the gateway is that slow.
func TestCheckDetectsLateAnswer(t *testing.T) {
	began := time.Unix(1000, 0)
	ou := outcome{id: "r", path: "/safe/x", sent: began.Add(5 * time.Second), done: began.Add(5*time.Second + requestDeadline + timingSlack + 1), status: 504}
	re := &history{plan: Plan{FaultsEnd: time.Second}, start: began, executions: &executionLog{executed: map[string][]execution{}}, outcomes: []outcome{ou}}
	require.Equal(t, DeadlineMet, re.check()[0].Guarantee)
	re.plan.Faults = []Fault{{StoreHang, 0, 4 * time.Second, 5 * time.Second}}
	require.NotEqual(t, DeadlineMet, re.check()[0].Guarantee, "not beside an outage")
}

// One request ends server after server while gateways are killed, paused and cut off from the
// key-value service, and servers crash by themselves.
func TestPoisonRequestIsContained(t *testing.T) {
	for _, pl := range []Plan{
		GeneratePlan(1, 3, 5, 6*time.Second),
		GeneratePlan(2, 3, 5, 6*time.Second),
		// Recovery: a gateway that had just started blocked what all callers ask alike, and
		// nobody could tell it better while the key-value service was away.
		GeneratePlan(900, 4, 6, 8*time.Second),
	} {
		t.Run(fmt.Sprint(pl.Seed), func(t *testing.T) {
			t.Parallel()
			pl := pl.WithPoison()
			require.Empty(t, runPlan(t, pl, ""), "%v", pl.Faults)
		})
	}
}
