package e2e

import (
	"fmt"
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

// freeze is longer than the gap at which an agent knows that it was frozen.
const freeze = 3 * time.Second

// mixed makes streamed and whole, repeatable and not repeatable calls.
func mixed(n int) call {
	ca := call{stream: n%2 == 0}
	if n%3 == 0 {
		ca.kind = "once"
	}
	return ca
}

// served waits until more calls were answered than before.
func (si *site) served(calls int) {
	for range calls {
		require.NoError(si.t, fleet.WaitUntil(bound, "an answer", func() bool {
			return si.ask(si.entries[0], call{kind: "patient"}).whole
		}))
	}
}

func TestAnAgentIsKilledUnderLoad(t *testing.T) {
	si := newSite(t, 3, 3*time.Millisecond)
	stop := si.load(8, mixed)
	si.served(2)
	require.NoError(t, si.agents[0].Process.Signal(syscall.SIGKILL))
	require.True(t, si.agents[0].Process.Wait(bound))
	si.served(3)
	require.NoError(t, si.fleet.Restart(si.agents[0]))
	si.waitRevision(1, si.agents[0])
	si.served(2)
	si.checkCalls(stop())
}

func TestAnEntryIsKilledUnderLoad(t *testing.T) {
	si := newSite(t, 2, 3*time.Millisecond)
	stop := si.load(8, mixed)
	si.served(2)
	require.NoError(t, si.entries[1].Process.Signal(syscall.SIGKILL))
	require.True(t, si.entries[1].Process.Wait(bound))
	si.served(3)
	si.checkCalls(stop())
	// What ran to its end under the lost entry is billed through the other.
	require.NoError(t, si.fleet.Restart(si.entries[1]))
	si.waitRevision(1, si.entries[1])
}

func TestAnAgentIsFrozenUnderLoad(t *testing.T) {
	si := newSite(t, 3, 3*time.Millisecond)
	stop := si.load(8, mixed)
	si.served(2)
	require.NoError(t, si.agents[0].Process.Signal(syscall.SIGSTOP))
	si.served(5)
	require.NoError(t, si.agents[0].Process.Signal(syscall.SIGCONT))
	si.served(2)
	si.checkCalls(stop())
}

func TestTheStoreIsDownUnderLoad(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	stop := si.load(4, mixed)
	si.served(2)
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{Down: true}))
	si.served(10)
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{DropWriteResponses: 5}))
	si.served(2)
	calls := stop()
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{}))
	for _, ca := range calls {
		require.True(t, ca.whole, "an outage of the store fails no request without a key: %+v", ca)
	}
	si.checkCalls(calls)
}

func TestTheStoreIsDownAndAnAgentIsKilled(t *testing.T) {
	si := newSite(t, 3, time.Millisecond)
	stop := si.load(4, mixed)
	si.served(2)
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{Down: true}))
	si.served(2)
	require.NoError(t, si.agents[1].Process.Signal(syscall.SIGKILL))
	require.True(t, si.agents[1].Process.Wait(bound))
	si.served(4)
	calls := stop()
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{}))
	si.checkCalls(calls)
}

func TestAPlannedStopCutsNothing(t *testing.T) {
	si := newSite(t, 3, 10*time.Millisecond)
	stop := si.load(6, func(n int) call { return call{stream: n%2 == 0, kind: "patient"} })
	si.served(2)
	require.NoError(t, si.agents[0].Process.Signal(syscall.SIGTERM))
	require.True(t, si.agents[0].Process.Wait(bound))
	require.Zero(t, si.agents[0].Process.ExitCode())
	si.served(2)
	calls := stop()
	for _, ca := range calls {
		require.True(t, ca.whole, "%+v", ca)
	}
	si.checkCalls(calls)
}

func TestAnEntrysPlannedStopCutsNothing(t *testing.T) {
	si := newSite(t, 2, 20*time.Millisecond)
	var wg sync.WaitGroup
	calls := make([]call, 12)
	for i := range calls {
		wg.Go(func() { calls[i] = si.ask(si.entries[1], call{stream: i%2 == 0}) })
	}
	require.NoError(t, fleet.WaitUntil(bound, "all under way", func() bool { return len(si.runs()) >= len(calls) }))
	require.NoError(t, si.entries[1].Process.Signal(syscall.SIGTERM))
	require.True(t, si.entries[1].Process.Wait(bound))
	require.Zero(t, si.entries[1].Process.ExitCode())
	wg.Wait()
	for _, ca := range calls {
		require.True(t, ca.whole, "%+v", ca)
	}
	si.checkCalls(calls)
}

func TestAWithdrawnVersionGetsNothingNewFromAFrozenAgent(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	stop := si.load(6, func(int) call { return call{kind: "patient"} })
	si.served(2)
	frozen := si.agents[0]
	require.NoError(t, frozen.Process.Signal(syscall.SIGSTOP))
	// A shorter freeze is within the seconds that a change may take to be in
	// force; a longer one must not lead to an old decision.
	time.Sleep(freeze)
	revision := si.setV2(config.Withdrawn)
	si.waitRevision(revision, si.agents[1], si.entries[0], si.entries[1])
	before := si.began(frozen, "m@v2")
	require.NoError(t, frozen.Process.Signal(syscall.SIGCONT))
	si.waitRevision(revision, frozen)
	si.served(5)
	si.checkCalls(stop())
	require.Equal(t, before, si.began(frozen, "m@v2"), "it asked a peer before it started anything")
}

// began returns how many requests of a version began on an agent's engine.
func (si *site) began(ag *fleet.Member, version string) int {
	var count map[string]int
	require.NoError(si.t, si.getJSON("http://"+ag.Backend+"/versions", &count))
	return count[version]
}

func TestANewEntryLearnsTheConfigurationWhileTheStoreIsDown(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	revision := si.setV2(config.RollingOut)
	si.waitRevision(revision, si.fleet.Members()...)
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{Down: true}))
	en := si.addEntry("entry-new", "dc-0")
	si.waitRevision(revision, en)
	require.True(t, si.ask(en, call{kind: "patient"}).whole)
}

func TestAStoreThatLostItsDataRevertsNothing(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	revision := si.setV2(config.Withdrawn)
	si.waitRevision(revision, si.fleet.Members()...)
	old := config.Envelope{Revision: 1, Document: si.document()}
	require.NoError(t, si.putStore(config.StoreKey, old))
	for range 5 {
		si.served(1)
		for _, me := range si.fleet.Members() {
			require.Equal(t, revision, si.revision(me), me.Box)
		}
	}
	require.Equal(t, result.VersionWithdrawn, si.ask(si.entries[0], call{model: "m", session: "none"}).orWithdrawn())
}

func TestChangeAfterTheStoreLostOneComesIntoForce(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	si.waitRevision(si.setV2(config.RollingOut), si.fleet.Members()...)
	copied, err := si.stored()
	require.NoError(t, err)
	withdrawn := si.setV2(config.Withdrawn)
	si.waitRevision(withdrawn, si.fleet.Members()...)
	require.NoError(t, si.putStore(config.StoreKey, copied))
	require.NoError(t, fleet.WaitUntil(bound, "the newest configuration is written again", func() bool {
		held, err := si.stored()
		return err == nil && held.Revision == withdrawn
	}))
	next := si.setV2(config.RollingOut)
	require.Greater(t, next, withdrawn)
	si.waitRevision(next, si.fleet.Members()...)
}

// orWithdrawn reads an answer by the other version as the refusal that it
// stands for: the withdrawn one was not chosen.
func (ca call) orWithdrawn() result.Code {
	if ca.whole && ca.version == "m@v1" {
		return result.VersionWithdrawn
	}
	return ca.code
}

func TestASessionKeepsItsVersionThroughReplacements(t *testing.T) {
	si := newSite(t, 3, time.Millisecond)
	const sessions = 12
	first := make([]string, sessions)
	var wg sync.WaitGroup
	// Each session starts on both entries at once.
	both := make([][2]call, sessions)
	for i := range sessions {
		for e := range 2 {
			wg.Go(func() {
				both[i][e] = si.ask(si.entries[e], call{session: fmt.Sprint("s", i), kind: "patient"})
			})
		}
	}
	wg.Wait()
	for i := range sessions {
		require.True(t, both[i][0].whole, "%+v", both[i][0])
		require.Equal(t, both[i][0].version, both[i][1].version)
		first[i] = both[i][0].version
	}
	check := func(en *fleet.Member) {
		for i := range sessions {
			var ca call
			require.NoError(t, fleet.WaitUntil(bound, "the session's answer", func() bool {
				ca = si.ask(en, call{session: fmt.Sprint("s", i), kind: "patient"})
				return ca.whole
			}))
			require.Equal(t, first[i], ca.version)
		}
	}
	// Every box is replaced, one after the other; only the store remembers.
	for _, me := range append(append([]*fleet.Member{}, si.entries...), si.agents...) {
		require.NoError(t, me.Process.Signal(syscall.SIGKILL))
		require.True(t, me.Process.Wait(bound))
		require.NoError(t, si.fleet.Restart(me))
		si.waitRevision(1, me)
	}
	check(si.entries[0])
	check(si.entries[1])
}

func TestAKeyRunsOnceThroughTwoEntries(t *testing.T) {
	si := newSite(t, 3, time.Millisecond)
	const keys = 10
	var wg sync.WaitGroup
	calls := make([]call, 2*keys)
	for i := range calls {
		wg.Go(func() {
			calls[i] = si.ask(si.entries[i%2], call{idempotency: fmt.Sprint("k", i/2), kind: "once"})
		})
	}
	wg.Wait()
	for k := range keys {
		a, b := calls[2*k], calls[2*k+1]
		require.NotEqual(t, a.whole, b.whole, "one of the two ran: %+v %+v", a, b)
		lost := a
		if a.whole {
			lost = b
		}
		require.Equal(t, result.KeyAlreadyUsed, lost.code, "%+v", lost)
	}
	si.checkCalls(calls)
	for _, ag := range si.agents {
		require.NoError(t, ag.Process.Signal(syscall.SIGKILL))
		require.True(t, ag.Process.Wait(bound))
		require.NoError(t, si.fleet.Restart(ag))
	}
	si.waitRevision(1, si.agents...)
	var again call
	require.NoError(t, fleet.WaitUntil(bound, "a verdict on the key", func() bool {
		again = si.ask(si.entries[0], call{idempotency: "k0", kind: "once"})
		return again.code != result.ClaimsUnavailable
	}))
	require.Equal(t, result.KeyAlreadyUsed, again.code)
}

func TestAKeyIsRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{Down: true}))
	ca := si.ask(si.entries[0], call{idempotency: "k", kind: "once"})
	require.Equal(t, result.ClaimsUnavailable, ca.code)
	require.Equal(t, result.DidNotRun, ca.run)
	require.Zero(t, si.runs()[ca.id])
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{}))
	require.NoError(t, fleet.WaitUntil(bound, "the key runs after the outage", func() bool {
		return si.ask(si.entries[0], call{idempotency: "k", kind: "once"}).whole
	}))
}

func TestOperatorsRaceUnderLostAnswers(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	require.NoError(t, si.fleet.SetStoreFaults(store.Faults{DropWriteResponses: 4, DelayMS: 5}))
	var wg sync.WaitGroup
	told := make([]uint64, 8)
	for i := range told {
		wg.Go(func() {
			var ch config.Change
			body := map[string]any{"share": float64(i) / 10}
			if si.admin(si.entries[i%2], http.MethodPost, "/v1/versions/m/v2", body, &ch) == nil {
				told[i] = ch.Revision
			}
		})
	}
	wg.Wait()
	seen := map[uint64]bool{}
	highest := uint64(0)
	for _, revision := range told {
		if revision == 0 {
			continue
		}
		require.False(t, seen[revision], "two operators were told the same revision")
		seen[revision] = true
		highest = max(highest, revision)
	}
	require.NotEmpty(t, seen)
	si.waitRevision(highest, si.fleet.Members()...)
}

func TestAKeyRunsOnceThroughOneEntry(t *testing.T) {
	si := newSite(t, 2, time.Millisecond)
	const copies = 8
	for round := range 5 {
		var wg sync.WaitGroup
		calls := make([]call, copies)
		for i := range calls {
			wg.Go(func() {
				calls[i] = si.ask(si.entries[0], call{idempotency: fmt.Sprint("k", round), kind: "once"})
			})
		}
		wg.Wait()
		whole := 0
		for _, ca := range calls {
			if ca.whole {
				whole++
				continue
			}
			require.Equal(t, result.KeyAlreadyUsed, ca.code, "%+v", ca)
		}
		require.Equal(t, 1, whole)
		si.checkCalls(calls)
	}
}

// TestAnEntryComesBackWhileItsOldCallStillRuns kills an entry whose call may
// not be cut, and starts it again under the same name: its attempts are
// numbered from one again, and must not be taken for the old ones.
func TestAnEntryComesBackWhileItsOldCallStillRuns(t *testing.T) {
	si := newSite(t, 1, 250*time.Millisecond)
	doc := si.document()
	doc.Servers[0].Slots = 1
	doc.Kinds[0].DeadlineMS = 30_000
	si.apply(doc)
	si.waitRevision(2, si.fleet.Members()...)
	go si.ask(si.entries[1], call{kind: "once"})
	require.NoError(t, fleet.WaitUntil(bound, "the call to run", func() bool { return len(si.runs()) == 1 }))
	require.NoError(t, si.entries[1].Process.Signal(syscall.SIGKILL))
	require.True(t, si.entries[1].Process.Wait(bound))
	require.NoError(t, si.fleet.Restart(si.entries[1]))
	si.waitRevision(2, si.entries[1])
	ca := si.ask(si.entries[1], call{kind: "once"})
	require.True(t, ca.whole, "%+v", ca)
	require.Equal(t, 1, si.most(), "one slot, one at a time")
	require.False(t, si.agents[0].Process.Wait(0), "the agent lives")
	require.NoError(t, fleet.WaitUntil(bound, "both calls on the bill", func() bool { return len(si.bills()) == 2 }))
	si.checkCalls([]call{ca})
}

// most returns how many requests ran at once on the first engine at the most.
func (si *site) most() int {
	var n int
	require.NoError(si.t, si.getJSON("http://"+si.agents[0].Backend+"/most", &n))
	return n
}
