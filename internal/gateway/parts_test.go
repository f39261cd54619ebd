package gateway

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

const (
	// deadlyPart is the part of a prompt that crashes servers, deadlyPartRecord the key of its record.
	deadlyPart       = "deadly"
	deadlyPartRecord = "part"
	// commonPart is the part that sound requests of the same caller share with the deadly ones.
	commonPart = "common"
)

// hasDeadlyPart reports whether a request crashes servers by a part of its prompt.
func hasDeadlyPart(rq *Request) bool {
	return slices.ContainsFunc(rq.Prompt, func(pa PromptPart) bool { return pa.ID == deadlyPart })
}

// partLoad is a load of 40 sound requests a second and, from deadlyFrom on, of requests with one part
// that crashes servers. No two requests are alike; half of the sound ones share the route and the
// first part with the deadly ones.
type partLoad struct {
	gateways int
	// interval is the time between two deadly requests.
	interval time.Duration
	// position is that of the deadly part: 0 for the first one, 1 for the middle, 2 for the last of
	// those that requests share.
	position int
	// crashDelay is the time from the first token to the crash.
	crashDelay time.Duration
	// replaceEvery is how often a gateway fails and is replaced, zero for never.
	replaceEvery time.Duration
	// storeless is set if the key-value service is not reachable while the requests are deadly.
	storeless bool
	// turnsAfter is the time after deadlyFrom for which the part is harmless.
	turnsAfter time.Duration
	// twin is set if another part, which sound requests have as well, is in each deadly request.
	twin bool
	// teams is the number of teams that send the part, zero for callers without a key.
	teams int
}

func (pl partLoad) String() string {
	return fmt.Sprintf("%d gateways, every %s at %d, crash after %s, replaced every %s, storeless %t, turns after %s, %d teams, twin %t",
		pl.gateways, pl.interval, pl.position, pl.crashDelay, pl.replaceEvery, pl.storeless, pl.turnsAfter, pl.teams, pl.twin)
}

const (
	// partLoadLasts is the duration of a partLoad, soundInterval the time between two sound requests in it.
	partLoadLasts = 40 * time.Second
	soundInterval = 25 * time.Millisecond
	// deadlyFrom is when the first request with the deadly part is sent.
	deadlyFrom = 5 * time.Second
	// convictionTime is the time after the fifth crash within which the part has to be blocked.
	convictionTime = time.Second
)

// partLoadResult is the result of a partLoad.
type partLoadResult struct {
	// crashes is the number of servers that crashed. late is the number of deadly requests that reached
	// servers more than convictionTime after the fifth crash, veryLate those more than propagationTime
	// after it.
	crashes, late, veryLate int
	// served is the fraction of the sound requests served that were sent more than convictionTime after
	// the fifth crash (the last, if there are fewer), servedBeside that of those that share the first part.
	served, servedBeside float64
}

// meetsTarget reports whether a result is within the product's target.
func (pr partLoadResult) meetsTarget() bool {
	return pr.crashes <= 12 && pr.late == 0 && pr.served >= 0.97 && pr.servedBeside >= 0.97
}

// soundResponse is the response to a sound request.
type soundResponse struct {
	sent           time.Time
	beside, served bool
}

// partPlay is a partLoad in progress.
type partPlay struct {
	pl partLoad
	sc *testCluster

	mu      sync.Mutex
	sounds  []soundResponse
	refusal []*recordingResponder
}

func (pl partLoad) run(t *testing.T) (out partLoadResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		out = pl.play(t).result()
	})
	return out
}

// play plays the load and returns when all requests have ended.
func (pl partLoad) play(t *testing.T) *partPlay {
	t.Helper()
	pp := &partPlay{pl: pl, sc: newTestCluster(t, pl.gateways)}
	began := time.Now()
	pp.sc.servers.crashDelay = pl.crashDelay
	pp.sc.servers.isDeadly = func(rq *Request) bool {
		return hasDeadlyPart(rq) && time.Since(began) >= deadlyFrom+pl.turnsAfter
	}
	nextDeadly, nextReplaced := began.Add(deadlyFrom), began.Add(deadlyFrom+pl.replaceEvery)
	disconnected := false
	for n := 0; time.Since(began) < partLoadLasts; n++ {
		pp.sendSound(n)
		if now := time.Now(); !now.Before(nextDeadly) {
			nextDeadly = nextDeadly.Add(pl.interval)
			pp.sendDeadly(n)
		}
		if pl.storeless && !disconnected && time.Since(began) >= deadlyFrom {
			pp.sc.disconnectAll(true)
			disconnected = true
		}
		if now := time.Now(); pl.replaceEvery > 0 && !now.Before(nextReplaced) {
			nextReplaced = nextReplaced.Add(pl.replaceEvery)
			pp.sc.replaceGateway(n % pl.gateways)
		}
		time.Sleep(soundInterval)
	}
	pp.sc.callers.Wait()
	return pp
}

// sendSound sends the sound request with a number. Every other one shares the first part with the
// deadly requests.
func (pp *partPlay) sendSound(n int) {
	beside := n%2 == 0
	parts := []string{fmt.Sprint("other-", n/2%8), fmt.Sprint("subject-", n%40), fmt.Sprint("own-", n)}
	if beside {
		parts[0] = commonPart
	}
	if pp.pl.position == 0 && beside {
		parts = []string{fmt.Sprint("subject-", n%40), commonPart, fmt.Sprint("own-", n)}
	}
	pp.sc.callers.Go(func() {
		rq := pp.newRequest(n, parts)
		ca := pp.sc.serve(n%pp.pl.gateways, rq)
		pp.mu.Lock()
		defer pp.mu.Unlock()
		pp.sounds = append(pp.sounds, soundResponse{sent: rq.Received, beside: beside, served: ca.answered})
	})
}

// sendDeadly sends a request with the deadly part.
func (pp *partPlay) sendDeadly(n int) {
	parts := []string{commonPart, fmt.Sprint("subject-", n/4%7), deadlyPart, fmt.Sprint("own-deadly-", n)}
	if pp.pl.twin {
		parts[1] = "subject-4"
	}
	switch pp.pl.position {
	case 0:
		parts[0], parts[1], parts[2] = deadlyPart, commonPart, parts[1]
	case 1:
		parts[1], parts[2] = deadlyPart, parts[1]
	}
	pp.sc.callers.Go(func() {
		ca := pp.sc.serve((n*7+3)%pp.pl.gateways, pp.newRequest(1_000_000+n, parts))
		if ca.code == result.RequestBlocked {
			pp.mu.Lock()
			defer pp.mu.Unlock()
			pp.refusal = append(pp.refusal, ca)
		}
	})
}

// newRequest returns a request that is unlike all others.
func (pp *partPlay) newRequest(n int, parts []string) *Request {
	rq := newRequest(fmt.Sprint("/menu/", n), fmt.Sprint("r", n))
	for _, id := range parts {
		rq.Prompt = append(rq.Prompt, PromptPart{ID: id, Tokens: 200})
	}
	if pp.pl.teams > 0 {
		rq.Path, rq.Target = fmt.Sprint("/keyed/", n), fmt.Sprint("/keyed/", n)
		rq.Key = fmt.Sprint("key-", n/4%pp.pl.teams)
	}
	return rq
}

func (pp *partPlay) result() partLoadResult {
	cr := pp.sc.servers
	cr.mu.Lock()
	pr := cr.recordOf(deadlyPartRecord)
	cr.mu.Unlock()
	slices.SortFunc(pr.crashes, time.Time.Compare)
	out := partLoadResult{crashes: cr.crashCount()}
	if len(pr.crashes) == 0 {
		return out
	}
	known := pr.crashes[min(4, len(pr.crashes)-1)]
	for _, at := range pr.sent {
		if len(pr.crashes) >= 5 && at.After(known.Add(convictionTime)) {
			out.late++
		}
		if len(pr.crashes) >= 5 && at.After(known.Add(propagationTime)) {
			out.veryLate++
		}
	}
	all, served, beside, servedBeside := 0, 0, 0, 0
	for _, so := range pp.sounds {
		if !so.sent.After(known.Add(convictionTime)) {
			continue
		}
		all++
		if so.served {
			served++
		}
		if so.beside {
			beside++
		}
		if so.beside && so.served {
			servedBeside++
		}
	}
	out.served, out.servedBeside = float64(served)/float64(all), float64(servedBeside)/float64(beside)
	return out
}

// partLoads returns the loads to test.
func partLoads() []partLoad {
	var list []partLoad
	for _, gateways := range []int{4, 23} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond} {
			for position := range 3 {
				for _, crashDelay := range []time.Duration{77 * time.Millisecond, 400 * time.Millisecond} {
					list = append(list, partLoad{gateways: gateways, interval: interval, position: position, crashDelay: crashDelay})
				}
			}
		}
	}
	return list
}

// On-call can tell from the logs which parts the suspects of a crash have in common.
func TestLogsNameThePartsOfCrashSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log lockedLog
		sc := newTestClusterWith(t, 1, func(sc *testCluster) {
			sc.log = &log
			sc.servers.isDeadly = hasDeadlyPart
		})
		rq := newRequest("/menu/1", "r1")
		rq.Prompt = []PromptPart{{ID: commonPart}, {ID: deadlyPart}, {ID: "own"}}
		sc.serve(0, rq)
		require.Contains(t, log.String(), event.Name(event.ServerEnded))
		require.Contains(t, log.String(), `"parts":["common  1","deadly  1"]`, "of the crash")
		require.Contains(t, log.String(), `"parts":["common","deadly"]`, "of the request")
	})
}

// On-call can tell from the logs who blocked a request, on what evidence and until when.
func TestLogsNameTheOriginAndTheEndOfABlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log lockedLog
		sc := newTestClusterWith(t, 2, func(sc *testCluster) { sc.log = &log })
		sc.sendTraffic(0, poisonPath, time.Second)
		sc.callers.Wait()
		require.Contains(t, log.String(), event.Name(event.RequestBlocked))
		require.Regexp(t, `"by":"b[01]","servers":[0-9],"for_ms":[0-9.]+,"until":"2000-01-01T00:05`, log.String())
	})
}

// checkPartLoads plays loads, each of which must meet the target.
func checkPartLoads(t *testing.T, loads []partLoad) {
	t.Helper()
	for _, pl := range loads {
		out := pl.run(t)
		t.Logf("%s: %+v", pl, out)
		if !out.meetsTarget() {
			t.Errorf("%s: %+v", pl, out)
		}
	}
}

// Guards against requests of which no two are alike crashing servers by one part of their prompts.
func TestPartThatCrashesServersIsBlocked(t *testing.T) {
	checkPartLoads(t, partLoads())
}

// partLoadVariants returns loads with further faults, or with evidence that is hard to interpret.
func partLoadVariants() []partLoad {
	var list []partLoad
	for _, base := range partLoads() {
		if base.position != 1 {
			continue
		}
		for _, change := range []func(pl *partLoad){
			func(pl *partLoad) { pl.replaceEvery = 800 * time.Millisecond },
			func(pl *partLoad) { pl.replaceEvery = 5 * time.Second },
			func(pl *partLoad) { pl.storeless = true },
			func(pl *partLoad) { pl.turnsAfter = 10 * time.Second },
			func(pl *partLoad) { pl.teams = 4 },
			func(pl *partLoad) { pl.teams, pl.replaceEvery = 4, 2*time.Second },
			func(pl *partLoad) { pl.twin = true },
			func(pl *partLoad) { pl.twin, pl.replaceEvery = true, 2*time.Second },
		} {
			pl := base
			change(&pl)
			list = append(list, pl)
		}
	}
	return list
}

// Guards against the part not being found, or another one being blocked, while gateways are replaced or
// the key-value service is away, if the part was harmless before, if several teams send it, or if another
// part is in all of the requests too. LINNETRUDDER_ALL_PLAYS=N plays all loads N times, otherwise each
// third one is played.
func TestPartIsBlockedUnderFurtherFaults(t *testing.T) {
	loads, times := partLoadVariants(), 1
	if text := os.Getenv("LINNETRUDDER_ALL_PLAYS"); text != "" {
		_, err := fmt.Sscan(text, &times)
		require.NoError(t, err)
	} else {
		var some []partLoad
		for i := 0; i < len(loads); i += 3 {
			some = append(some, loads[i])
		}
		loads = some
	}
	for range times {
		checkPartLoads(t, loads)
	}
}
