package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/store"
)

// suspendDuration is longer than the pause after which an agent detects that it was suspended.
const suspendDuration = 3 * time.Second

// mixedCall alternates streamed and unstreamed, repeatable and non-repeatable calls.
func mixedCall(n int) call {
	ca := call{stream: n%2 == 0}
	if n%3 == 0 {
		ca.kind = "once"
	}
	return ca
}

// waitAnswers sends requests until the given number of them are answered in full.
func (sy *system) waitAnswers(calls int) {
	for range calls {
		require.NoError(sy.t, fleet.WaitUntil(waitTimeout, "an answer", func() bool {
			return sy.send(sy.entries[0], call{kind: "long-deadline"}).complete
		}))
	}
}

func TestAgentKilledUnderLoad(t *testing.T) {
	sy := newSystem(t, 3, 3*time.Millisecond)
	stop := sy.startLoad(8, mixedCall)
	sy.waitAnswers(2)
	require.NoError(t, sy.agents[0].Process.Signal(syscall.SIGKILL))
	require.True(t, sy.agents[0].Process.Wait(waitTimeout))
	sy.waitAnswers(3)
	require.NoError(t, sy.fleet.Restart(sy.agents[0]))
	sy.waitRevision(1, sy.agents[0])
	sy.waitAnswers(2)
	sy.checkCalls(stop())
}

func TestEntryKilledUnderLoad(t *testing.T) {
	sy := newSystem(t, 2, 3*time.Millisecond)
	stop := sy.startLoad(8, mixedCall)
	sy.waitAnswers(2)
	require.NoError(t, sy.entries[1].Process.Signal(syscall.SIGKILL))
	require.True(t, sy.entries[1].Process.Wait(waitTimeout))
	sy.waitAnswers(3)
	sy.checkCalls(stop())
	// Requests that completed through the killed entry are billed by the other one.
	require.NoError(t, sy.fleet.Restart(sy.entries[1]))
	sy.waitRevision(1, sy.entries[1])
}

func TestAgentSuspendedUnderLoad(t *testing.T) {
	sy := newSystem(t, 3, 3*time.Millisecond)
	stop := sy.startLoad(8, mixedCall)
	sy.waitAnswers(2)
	require.NoError(t, sy.agents[0].Process.Signal(syscall.SIGSTOP))
	sy.waitAnswers(5)
	require.NoError(t, sy.agents[0].Process.Signal(syscall.SIGCONT))
	sy.waitAnswers(2)
	sy.checkCalls(stop())
}

func TestStoreDownUnderLoad(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	stop := sy.startLoad(4, mixedCall)
	sy.waitAnswers(2)
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{Down: true}))
	sy.waitAnswers(10)
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{DropWriteResponses: 5}))
	sy.waitAnswers(2)
	calls := stop()
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{}))
	for _, ca := range calls {
		require.True(t, ca.complete, "a store outage must not fail requests without an idempotency key: %+v", ca)
	}
	sy.checkCalls(calls)
}

func TestAgentKilledWhileStoreDown(t *testing.T) {
	sy := newSystem(t, 3, time.Millisecond)
	stop := sy.startLoad(4, mixedCall)
	sy.waitAnswers(2)
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{Down: true}))
	sy.waitAnswers(2)
	require.NoError(t, sy.agents[1].Process.Signal(syscall.SIGKILL))
	require.True(t, sy.agents[1].Process.Wait(waitTimeout))
	sy.waitAnswers(4)
	calls := stop()
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{}))
	sy.checkCalls(calls)
}

func TestAgentShutdownCompletesRequests(t *testing.T) {
	sy := newSystem(t, 3, 10*time.Millisecond)
	stop := sy.startLoad(6, func(n int) call { return call{stream: n%2 == 0, kind: "long-deadline"} })
	sy.waitAnswers(2)
	require.NoError(t, sy.agents[0].Process.Signal(syscall.SIGTERM))
	require.True(t, sy.agents[0].Process.Wait(waitTimeout))
	require.Zero(t, sy.agents[0].Process.ExitCode())
	sy.waitAnswers(2)
	calls := stop()
	for _, ca := range calls {
		require.True(t, ca.complete, "%+v", ca)
	}
	sy.checkCalls(calls)
}

func TestEntryShutdownCompletesRequests(t *testing.T) {
	sy := newSystem(t, 2, 20*time.Millisecond)
	var wg sync.WaitGroup
	calls := make([]call, 12)
	for i := range calls {
		wg.Go(func() { calls[i] = sy.send(sy.entries[1], call{stream: i%2 == 0}) })
	}
	require.NoError(t, fleet.WaitUntil(waitTimeout, "all requests to start", func() bool { return len(sy.runsByRequest()) >= len(calls) }))
	require.NoError(t, sy.entries[1].Process.Signal(syscall.SIGTERM))
	require.True(t, sy.entries[1].Process.Wait(waitTimeout))
	require.Zero(t, sy.entries[1].Process.ExitCode())
	wg.Wait()
	for _, ca := range calls {
		require.True(t, ca.complete, "%+v", ca)
	}
	sy.checkCalls(calls)
}

// Guards against requests that a planned stop cuts without an answer: their work takes longer than the stop may, or their
// bodies are still arriving.
func TestEntryThatMustStopAnswersEveryRequest(t *testing.T) {
	const stopTimeout = 2 * time.Second
	sy := newSystem(t, 2, 500*time.Millisecond)
	sy.fleet.Tune = func(settings map[string]any) {
		settings["limits"].(map[string]any)["stop_ms"] = stopTimeout.Milliseconds()
	}
	en := sy.addEntry("entry-short", "dc-0")
	sy.waitRevision(1, en)
	conn, err := net.Dial("tcp", en.Address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nx", teamKey)
	require.NoError(t, err)
	var wg sync.WaitGroup
	calls := make([]call, 8)
	for i := range calls {
		wg.Go(func() { calls[i] = sy.send(en, call{stream: i%2 == 0, kind: []string{"", "once"}[i/4]}) })
	}
	require.NoError(t, fleet.WaitUntil(waitTimeout, "all requests to start", func() bool { return len(sy.runsByRequest()) >= len(calls) }))
	require.NoError(t, en.Process.Signal(syscall.SIGTERM))
	require.True(t, en.Process.Wait(waitTimeout))
	wg.Wait()
	for _, ca := range calls {
		require.NotZero(t, ca.status, "no answer: %+v", ca)
		require.False(t, ca.complete)
		if !ca.stream {
			require.Equal(t, http.StatusBadGateway, ca.status, "it may have run: %+v", ca)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}

func TestResumedAgentStartsNothingOnWithdrawnVersion(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	stop := sy.startLoad(6, func(int) call { return call{kind: "long-deadline"} })
	sy.waitAnswers(2)
	suspended := sy.agents[0]
	require.NoError(t, suspended.Process.Signal(syscall.SIGSTOP))
	// A change may take a few seconds to be in force, so that a shorter pause would prove nothing.
	// After this one the agent must not act on its old configuration.
	time.Sleep(suspendDuration)
	revision := sy.setV2State(config.Withdrawn)
	sy.waitRevision(revision, sy.agents[1], sy.entries[0], sy.entries[1])
	before := sy.startedCount(suspended, "m@v2")
	require.NoError(t, suspended.Process.Signal(syscall.SIGCONT))
	sy.waitRevision(revision, suspended)
	sy.waitAnswers(5)
	sy.checkCalls(stop())
	require.Equal(t, before, sy.startedCount(suspended, "m@v2"), "the agent must get the current configuration from a peer before it starts requests")
}

// startedCount returns the number of requests of a version that started on an agent's engine.
func (sy *system) startedCount(ag *fleet.Member, version string) int {
	var count map[string]int
	require.NoError(sy.t, sy.getJSON("http://"+ag.Backend+"/versions", &count))
	return count[version]
}

func TestNewEntryGetsConfigWhileStoreDown(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	revision := sy.setV2State(config.RollingOut)
	sy.waitRevision(revision, sy.fleet.Members()...)
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{Down: true}))
	en := sy.addEntry("entry-new", "dc-0")
	sy.waitRevision(revision, en)
	require.True(t, sy.send(en, call{kind: "long-deadline"}).complete)
}

func TestStoreDataLossDoesNotRevertConfig(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	revision := sy.setV2State(config.Withdrawn)
	sy.waitRevision(revision, sy.fleet.Members()...)
	old := config.Envelope{Revision: 1, Document: sy.baseConfig()}
	require.NoError(t, sy.putStore(config.StoreKey, old))
	for range 5 {
		sy.waitAnswers(1)
		for _, me := range sy.fleet.Members() {
			require.Equal(t, revision, sy.currentRevision(me), me.Box)
		}
	}
	require.Equal(t, result.VersionWithdrawn, sy.send(sy.entries[0], call{model: "m", session: "none"}).codeOrWithdrawn())
}

func TestConfigChangeAppliesAfterStoreLostARevision(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	sy.waitRevision(sy.setV2State(config.RollingOut), sy.fleet.Members()...)
	copied, err := sy.storedConfig()
	require.NoError(t, err)
	withdrawn := sy.setV2State(config.Withdrawn)
	sy.waitRevision(withdrawn, sy.fleet.Members()...)
	require.NoError(t, sy.putStore(config.StoreKey, copied))
	require.NoError(t, fleet.WaitUntil(waitTimeout, "the newest configuration to be written again", func() bool {
		current, err := sy.storedConfig()
		return err == nil && current.Revision == withdrawn
	}))
	next := sy.setV2State(config.RollingOut)
	require.Greater(t, next, withdrawn)
	sy.waitRevision(next, sy.fleet.Members()...)
}

// codeOrWithdrawn returns VersionWithdrawn for an answer by m@v1, which shows that the withdrawn
// version was not chosen, and the call's own code otherwise.
func (ca call) codeOrWithdrawn() result.Code {
	if ca.complete && ca.version == "m@v1" {
		return result.VersionWithdrawn
	}
	return ca.code
}

func TestSessionKeepsItsVersionAcrossRestarts(t *testing.T) {
	sy := newSystem(t, 3, time.Millisecond)
	const sessions = 12
	first := make([]string, sessions)
	var wg sync.WaitGroup
	// Each session starts on both entries concurrently.
	both := make([][2]call, sessions)
	for i := range sessions {
		for e := range 2 {
			wg.Go(func() {
				both[i][e] = sy.send(sy.entries[e], call{session: fmt.Sprint("s", i), kind: "long-deadline"})
			})
		}
	}
	wg.Wait()
	for i := range sessions {
		require.True(t, both[i][0].complete, "%+v", both[i][0])
		require.Equal(t, both[i][0].version, both[i][1].version)
		first[i] = both[i][0].version
	}
	check := func(en *fleet.Member) {
		for i := range sessions {
			var ca call
			require.NoError(t, fleet.WaitUntil(waitTimeout, "an answer within the session", func() bool {
				ca = sy.send(en, call{session: fmt.Sprint("s", i), kind: "long-deadline"})
				return ca.complete
			}))
			require.Equal(t, first[i], ca.version)
		}
	}
	// Every box is restarted, one after the other, so that only the store retains the sessions.
	for _, me := range append(append([]*fleet.Member{}, sy.entries...), sy.agents...) {
		require.NoError(t, me.Process.Signal(syscall.SIGKILL))
		require.True(t, me.Process.Wait(waitTimeout))
		require.NoError(t, sy.fleet.Restart(me))
		sy.waitRevision(1, me)
	}
	check(sy.entries[0])
	check(sy.entries[1])
}

func TestIdempotencyKeyRunsOnceAcrossEntries(t *testing.T) {
	sy := newSystem(t, 3, time.Millisecond)
	const keys = 10
	var wg sync.WaitGroup
	calls := make([]call, 2*keys)
	for i := range calls {
		wg.Go(func() {
			calls[i] = sy.send(sy.entries[i%2], call{idempotencyKey: fmt.Sprint("k", i/2), kind: "once"})
		})
	}
	wg.Wait()
	for k := range keys {
		a, b := calls[2*k], calls[2*k+1]
		require.NotEqual(t, a.complete, b.complete, "exactly one of the two requests must run: %+v %+v", a, b)
		refused := a
		if a.complete {
			refused = b
		}
		require.Equal(t, result.KeyAlreadyUsed, refused.code, "%+v", refused)
	}
	sy.checkCalls(calls)
	for _, ag := range sy.agents {
		require.NoError(t, ag.Process.Signal(syscall.SIGKILL))
		require.True(t, ag.Process.Wait(waitTimeout))
		require.NoError(t, sy.fleet.Restart(ag))
	}
	sy.waitRevision(1, sy.agents...)
	var again call
	require.NoError(t, fleet.WaitUntil(waitTimeout, "the claim on the key to be readable", func() bool {
		again = sy.send(sy.entries[0], call{idempotencyKey: "k0", kind: "once"})
		return again.code != result.ClaimsUnavailable
	}))
	require.Equal(t, result.KeyAlreadyUsed, again.code)
}

func TestIdempotencyKeyRefusedWhileStoreDown(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{Down: true}))
	ca := sy.send(sy.entries[0], call{idempotencyKey: "k", kind: "once"})
	require.Equal(t, result.ClaimsUnavailable, ca.code)
	require.Equal(t, result.DidNotRun, ca.run)
	require.Zero(t, sy.runsByRequest()[ca.id])
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{}))
	require.NoError(t, fleet.WaitUntil(waitTimeout, "a request with the key to run after the outage", func() bool {
		return sy.send(sy.entries[0], call{idempotencyKey: "k", kind: "once"}).complete
	}))
}

func TestConcurrentConfigChangesWithLostStoreResponses(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	require.NoError(t, sy.fleet.SetStoreFaults(store.Faults{DropWriteResponses: 4, DelayMS: 5}))
	var wg sync.WaitGroup
	revisions := make([]uint64, 8)
	for i := range revisions {
		wg.Go(func() {
			var ch config.Change
			body := map[string]any{"share": float64(i) / 10}
			if sy.callAdmin(sy.entries[i%2], http.MethodPost, "/v1/versions/m/v2", body, &ch) == nil {
				revisions[i] = ch.Revision
			}
		})
	}
	wg.Wait()
	seen := map[uint64]bool{}
	highest := uint64(0)
	for _, revision := range revisions {
		if revision == 0 {
			continue
		}
		require.False(t, seen[revision], "two changes got the same revision")
		seen[revision] = true
		highest = max(highest, revision)
	}
	require.NotEmpty(t, seen)
	sy.waitRevision(highest, sy.fleet.Members()...)
}

func TestIdempotencyKeyRunsOnceThroughOneEntry(t *testing.T) {
	sy := newSystem(t, 2, time.Millisecond)
	const copies = 8
	for round := range 5 {
		var wg sync.WaitGroup
		calls := make([]call, copies)
		for i := range calls {
			wg.Go(func() {
				calls[i] = sy.send(sy.entries[0], call{idempotencyKey: fmt.Sprint("k", round), kind: "once"})
			})
		}
		wg.Wait()
		completed := 0
		for _, ca := range calls {
			if ca.complete {
				completed++
				continue
			}
			require.Equal(t, result.KeyAlreadyUsed, ca.code, "%+v", ca)
		}
		require.Equal(t, 1, completed)
		sy.checkCalls(calls)
	}
}

// Kills an entry during a request that must not be aborted and restarts it under the same name.
// Its attempts are numbered from one again; the agent must not confuse them with those from before
// the restart.
func TestEntryRestartedWhileOldAttemptRuns(t *testing.T) {
	sy := newSystem(t, 1, 250*time.Millisecond)
	doc := sy.baseConfig()
	doc.Servers[0].Slots = 1
	doc.Kinds[0].DeadlineMS = 30_000
	sy.applyConfig(doc)
	sy.waitRevision(2, sy.fleet.Members()...)
	go sy.send(sy.entries[1], call{kind: "once"})
	require.NoError(t, fleet.WaitUntil(waitTimeout, "the call to run", func() bool { return len(sy.runsByRequest()) == 1 }))
	require.NoError(t, sy.entries[1].Process.Signal(syscall.SIGKILL))
	require.True(t, sy.entries[1].Process.Wait(waitTimeout))
	require.NoError(t, sy.fleet.Restart(sy.entries[1]))
	sy.waitRevision(2, sy.entries[1])
	ca := sy.send(sy.entries[1], call{kind: "once"})
	require.True(t, ca.complete, "%+v", ca)
	require.Equal(t, 1, sy.maxConcurrent(), "one slot runs one request at a time")
	require.False(t, sy.agents[0].Process.Wait(0), "the agent still runs")
	require.NoError(t, fleet.WaitUntil(waitTimeout, "both calls to be billed", func() bool { return len(sy.billLinesByRequest()) == 2 }))
	sy.checkCalls([]call{ca})
}

// maxConcurrent returns the highest number of requests that ran concurrently on the first engine.
func (sy *system) maxConcurrent() int {
	var n int
	require.NoError(sy.t, sy.getJSON("http://"+sy.agents[0].Backend+"/most", &n))
	return n
}
