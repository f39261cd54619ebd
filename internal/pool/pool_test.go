package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/load"
)

var now = time.Unix(1000, 0)

func pool(n int) *Pool {
	po := &Pool{Members: 4, DataCentre: "dc0", Directory: &directory.Directory{}, Loads: &load.Table{}}
	for i := range n {
		po.Directory.Put(directory.Server{ID: fmt.Sprint("s", i), Service: "svc", DataCentre: fmt.Sprint("dc", i%3), Version: fmt.Sprint("v", 1+i%2)})
	}
	return po
}

// prompt returns a prompt whose prefix takes the given time to process and whose suffix takes a
// tenth of that.
func prompt(prefix string, prefill time.Duration) Prompt {
	return Prompt{Model: "m", PrefillPerToken: time.Millisecond, PrefixID: prefix, PrefixTokens: int(prefill.Milliseconds()), SuffixTokens: int(prefill.Milliseconds() / 10)}
}

func pick(po *Pool, qu Query, random uint64) *directory.Server {
	sel, ok := po.Pick(qu, random, now)
	if !ok {
		return nil
	}
	return sel.Server()
}

func TestPromptStaysOnItsServerUnlessOverloaded(t *testing.T) {
	po := pool(6)
	qu := Query{Service: "svc", Prompt: prompt("p", time.Second)}
	home := pick(po, qu, 1)
	for range 3 {
		require.Equal(t, home.ID, pick(po, qu, 2).ID)
		po.Started(home.ID, 300*time.Millisecond, now)
	}
	po.Started(home.ID, 300*time.Millisecond, now)
	other := pick(po, qu, 3)
	require.NotEqual(t, home.ID, other.ID, "the wait is longer than the prefill on another server")
	po.PrefillDone(home.ID, time.Second)
	require.Equal(t, home.ID, pick(po, qu, 4).ID)
}

func TestShortPrefixIsCachedInEachDataCentre(t *testing.T) {
	prefixServers := map[string]bool{}
	for _, dc := range []string{"dc0", "dc1", "dc2"} {
		po := pool(9)
		po.DataCentre = dc
		se := pick(po, Query{Service: "svc", Prompt: Prompt{Model: "m", PrefillPerToken: time.Millisecond, PrefixID: "p", PrefixTokens: 100, SizeKB: 10}}, 1)
		require.Equal(t, dc, se.DataCentre)
		prefixServers[pick(po, Query{Service: "svc", Prompt: Prompt{Model: "m", PrefillPerToken: time.Millisecond, PrefixID: "p", PrefixTokens: 5000, SizeKB: 10}}, 1).ID] = true
	}
	require.Len(t, prefixServers, 1, "a long prefix is cached on one server")
}

func TestServerWithCachedPrefixIsPreferred(t *testing.T) {
	po := pool(9)
	pr := prompt("p", time.Second)
	home := pick(po, Query{Service: "svc", Prompt: pr}, 1)
	sel, _ := po.Pick(Query{Service: "svc", Prompt: pr, Tried: []string{home.ID}}, 1, now)
	require.NotEqual(t, home.ID, sel.Server().ID)
	require.Greater(t, sel.PrefillTime(), 300*time.Millisecond)
	po.HeadReceived(sel, pr, sel.TimeToHead(), now)
	again, _ := po.Pick(Query{Service: "svc", Prompt: pr, Tried: []string{home.ID}}, 1, now)
	require.Equal(t, sel.Server().ID, again.Server().ID)
	require.Equal(t, 100*time.Millisecond, again.PrefillTime())
	later, _ := po.Pick(Query{Service: "svc", Prompt: pr, Tried: []string{home.ID}}, 1, now.Add(2*cacheTTL))
	require.Greater(t, later.PrefillTime(), 300*time.Millisecond, "the prefix may have been evicted")
}

func TestSessionPromptIsFullyCached(t *testing.T) {
	po := pool(9)
	pr := prompt("p", time.Second)
	pr.FullID = "session"
	sel, _ := po.Pick(Query{Service: "svc", Prompt: pr}, 1, now)
	po.HeadReceived(sel, pr, sel.TimeToHead(), now)
	again, _ := po.Pick(Query{Service: "svc", Prompt: pr}, 1, now)
	require.Zero(t, again.PrefillTime())
	require.Equal(t, headOverhead, again.TimeToHead())
}

func TestTimeToHeadIncludesBacklog(t *testing.T) {
	po := pool(1)
	po.Loads.PutGroup("b", nil, now)
	sel, _ := po.Pick(Query{Service: "svc", Prompt: prompt("p", time.Second)}, 1, now)
	po.Started(sel.Server().ID, sel.PrefillTime(), now)
	second, _ := po.Pick(Query{Service: "svc", Prompt: prompt("p", time.Second)}, 1, now)
	require.Equal(t, sel.TimeToHead()+sel.PrefillTime()+attemptWork, second.TimeToHead())
	require.Equal(t, sel.PrefillTime()+attemptWork, po.Backlog("svc"))
	require.Zero(t, po.Backlog("other"))
}

// Whether servers have prompts cached that this process knows nothing about is estimated from their
// response times.
func TestHitRateIsEstimatedFromResponseTimes(t *testing.T) {
	for _, cached := range []bool{true, false} {
		po := pool(6)
		for i := range 200 {
			pr := prompt(fmt.Sprint(i), time.Second)
			sel, _ := po.Pick(Query{Service: "svc", Prompt: pr}, 1, now)
			took := headOverhead + 100*time.Millisecond
			if !cached {
				took += time.Second
			}
			po.HeadReceived(sel, pr, took, now)
		}
		hitRate := po.prefixes.hitRate(true)
		require.Equal(t, cached, hitRate > initialHomeHitRate, hitRate)
	}
}

func TestLeastLoadedServerOfOwnDataCentreIsPreferred(t *testing.T) {
	po := pool(6)
	for random := range uint64(20) {
		se := pick(po, Query{Service: "svc"}, random)
		require.Equal(t, "dc0", se.DataCentre)
	}
	for range 5 {
		po.Started("s0", 0, now)
		po.Started("s3", 0, now)
	}
	se := pick(po, Query{Service: "svc"}, 0)
	require.NotEqual(t, "dc0", se.DataCentre)
}

func TestVersionFilters(t *testing.T) {
	po := pool(6)
	for random := range uint64(20) {
		se := pick(po, Query{Service: "svc", Version: "v2", OnlyVersion: true}, random)
		require.Equal(t, "v2", se.Version)
		se = pick(po, Query{Service: "svc", Version: "v2", ExceptVersion: true, Prompt: prompt(fmt.Sprint(random), time.Second)}, random)
		require.Equal(t, "v1", se.Version)
	}
}

func TestEjectedServersAreUsedOnlyIfThereIsNoOther(t *testing.T) {
	po := pool(2)
	for range 3 {
		po.Failed("s0", now)
	}
	for random := range uint64(10) {
		se := pick(po, Query{Service: "svc"}, random)
		require.Equal(t, "s1", se.ID)
	}
	require.Equal(t, "s0", pick(po, Query{Service: "svc", Tried: []string{"s1"}}, 0).ID)
	_, ok := po.Pick(Query{Service: "svc", Tried: []string{"s0", "s1"}}, 0, now)
	require.False(t, ok)
}

func TestLoadIncludesOtherProcesses(t *testing.T) {
	po := pool(6)
	qu := Query{Service: "svc", Prompt: prompt("p", 500*time.Millisecond)}
	home := pick(po, qu, 1)
	const attempts = uint32(time.Second / attemptWork)
	po.Loads.PutGroup("b", load.Work{load.KeyOf(home.ID): attempts + 100}, now)
	require.NotEqual(t, home.ID, pick(po, qu, 1).ID)
	po.Loads.PutGroup("b", load.Work{load.KeyOf(home.ID): attempts - 100}, now)
	require.Equal(t, home.ID, pick(po, qu, 1).ID)
	po.Loads.PutGroup("b", load.Work{load.KeyOf("s0"): 3, load.KeyOf("s3"): 2 + remotePenalty}, now)
	se := pick(po, Query{Service: "svc"}, 0)
	require.NotEqual(t, "dc0", se.DataCentre, "a plain service's attempts count as well")
}

func TestWorkIsReportedInAttempts(t *testing.T) {
	po := pool(2)
	require.Empty(t, po.Work())
	po.Started("s0", 10*attemptWork, now)
	po.Started("s0", 0, now)
	require.Equal(t, load.Work{load.KeyOf("s0"): 12}, po.Work())
	po.PrefillDone("s0", 10*attemptWork)
	po.Ended("s0")
	require.Equal(t, load.Work{load.KeyOf("s0"): 1}, po.Work())
	po.Ended("s0")
	require.Empty(t, po.Work())
}

// Reports arrive with a delay. If every process sent to the server that it considers least loaded,
// all of them would send to the same one.
func TestPromptsDoNotAllGoToTheIdleServer(t *testing.T) {
	po := pool(60)
	wo := load.Work{}
	for i := 1; i < 60; i++ {
		wo[load.KeyOf(fmt.Sprint("s", i))] = 10_000
	}
	po.Loads.PutGroup("b", wo, now)
	idle := 0
	for i := range 300 {
		if pick(po, Query{Service: "svc", Prompt: prompt(fmt.Sprint(i), 100*time.Millisecond)}, 0).ID == "s0" {
			idle++
		}
	}
	require.Greater(t, idle, 0)
	require.LessOrEqual(t, idle, 300*candidates/60+300*candidates/20, "20 of the servers are in the process's data centre")
}

// All processes rank servers identically, and each server ranks first for about as many prompts.
func TestPromptsAreSpreadEvenlyAndIdentically(t *testing.T) {
	a, b := pool(12), pool(12)
	first := map[string]int{}
	for i := range 1200 {
		qu := Query{Service: "svc", Prompt: prompt(fmt.Sprint(i), time.Second)}
		se := pick(a, qu, 1)
		require.Equal(t, se.ID, pick(b, qu, 2).ID)
		first[se.ID]++
	}
	require.Len(t, first, 12)
	for id, n := range first {
		require.InDelta(t, 100, n, 40, id)
	}
}

// Selecting a server for a prompt among 60 took 13.1 us and 7 allocations when each server's id was
// hashed for each prompt; it takes 3.9 us and none now, and 81 us among 1,500 (on a loaded build
// machine; 1.4 us among 60 on an idle one).
func BenchmarkPickForPrompt(b *testing.B) {
	for _, servers := range []int{60, 1500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			po := pool(servers)
			po.Loads.PutGroup("b", load.Work{load.KeyOf("s1"): 10}, now)
			qu := Query{Service: "svc", Prompt: prompt("p", time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				po.Pick(qu, 1, now)
			}
		})
	}
}

// All processes try a canary version on the same few servers. A server of the subset that fails is
// replaced.
func TestSubsetIsTheSameInAllProcesses(t *testing.T) {
	selected := func(po *Pool, key uint64) map[string]bool {
		ids := map[string]bool{}
		for i := range uint64(200) {
			qu := Query{Service: "svc", Version: "v2", OnlyVersion: true, SubsetSize: 3, SubsetKey: key}
			if i%2 == 0 {
				qu.Prompt = prompt(fmt.Sprint(i), time.Second)
			}
			ids[pick(po, qu, i).ID] = true
		}
		return ids
	}
	a, b := pool(24), pool(24)
	b.DataCentre = "dc1"
	first := selected(a, 7)
	require.Len(t, first, 3)
	require.Equal(t, first, selected(b, 7))
	require.NotEqual(t, first, selected(a, 8), "another key selects other servers")
	for id := range first {
		for range 3 {
			a.Failed(id, now)
		}
		break
	}
	require.Len(t, selected(a, 7), 3)
	require.NotEqual(t, first, selected(a, 7))
	require.Equal(t, 12, a.CountEligible(Query{Service: "svc", Version: "v2", OnlyVersion: true}))
}

// A paused server is idle and would be preferred without the check for pauses.
func TestPausedServersGetNoRequests(t *testing.T) {
	po := pool(3)
	po.Started("s2", 0, now)
	require.True(t, po.Pauses.Begin("s1", 3*time.Second, now))
	qu := Query{Service: "svc"}
	for i := range uint64(20) {
		sel, ok := po.Pick(qu, i, now)
		require.True(t, ok)
		require.NotEqual(t, "s1", sel.Server().ID)
	}
	require.Zero(t, po.RetryAfter(qu, now), "others accept requests")
	require.True(t, po.HasEligible(qu))

	qu.Tried = nil
	for _, se := range po.Directory.Servers("svc") {
		if se.ID != "s1" {
			qu.Tried = append(qu.Tried, se.ID)
		}
	}
	_, ok := po.Pick(qu, 0, now)
	require.False(t, ok)
	require.False(t, po.HasIdle(qu, now))
	require.Equal(t, 3*time.Second, po.RetryAfter(qu, now))
	po.Forget("s1")
	require.Equal(t, time.Second, po.RetryAfter(qu, now.Add(2*time.Second)), "the end of a directory entry does not end the pause")
	_, ok = po.Pick(qu, 0, now.Add(3*time.Second))
	require.True(t, ok)
}

// Callers wait for the end of a pause, but at most one second for this process's share of a quota,
// since another process may have quota left.
func TestRetryAfterForQuotasAndPauses(t *testing.T) {
	po := pool(3)
	po.MaxMembers = 1
	rate := 0.1
	for _, se := range po.Directory.Servers("svc") {
		po.Limits.Report(se.Key(), &rate, now)
		po.Limits.RecordSent(se.Key(), now)
	}
	require.Equal(t, maxQuotaRetryAfter, po.RetryAfter(Query{Service: "svc"}, now))
	for _, se := range po.Directory.Servers("svc") {
		po.Pauses.Begin(se.Key(), 2*time.Second, now)
	}
	require.Equal(t, 2*time.Second, po.RetryAfter(Query{Service: "svc"}, now))
}

// A server that has asked another process for a pause is used only if there is no other.
func TestAvoidedServersAreUsedOnlyIfThereIsNoOther(t *testing.T) {
	po := pool(3)
	po.Pauses.RecordRemote("s0", 3*time.Second, now)
	po.Pauses.RecordRemote("s1", 3*time.Second, now)
	for i := range uint64(20) {
		require.Equal(t, "s2", pick(po, Query{Service: "svc", Probe: true}, i).ID)
	}
	require.NotEqual(t, "s2", pick(po, Query{Service: "svc", Tried: []string{"s2"}}, 0).ID)
	require.Zero(t, po.RetryAfter(Query{Service: "svc", Tried: []string{"s2"}}, now))
}

// After a pause, a single first attempt probes the server. Retries of rejected requests go to other
// servers.
func TestPausedServersAreProbedByOneFirstAttempt(t *testing.T) {
	po := pool(2)
	po.Pauses.Begin("s1", time.Second, now.Add(-time.Second))
	for range 3 {
		po.Started("s0", 0, now)
	}
	require.Equal(t, "s0", pick(po, Query{Service: "svc"}, 0).ID)
	sel, ok := po.Pick(Query{Service: "svc", Probe: true}, 0, now)
	require.True(t, ok)
	require.Equal(t, "s1", sel.Server().ID)
	po.Reserve(sel, now)
	require.Equal(t, "s0", pick(po, Query{Service: "svc", Probe: true}, 0).ID, "one probe at a time")
	po.Pauses.RecordAccepted("s1", now)
	require.Equal(t, "s1", pick(po, Query{Service: "svc"}, 0).ID)
}
