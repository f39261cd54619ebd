package gateway

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// rev returns a revision without an era.
func rev(number uint64) revision.Revision { return revision.Revision{Number: number} }

// mixedLoad is a load of a harmless request that all callers send alike, and of a request that
// crashes servers, each ten times a second, at gateways that have just started.
type mixedLoad struct {
	gateways int
	// crashDelay is the time from the first token of the request that crashes servers to the crash.
	crashDelay time.Duration
	// replaceEvery is how often a gateway fails and is replaced, zero for never.
	replaceEvery time.Duration
}

// mixedLoadResult is the result of a mixedLoad.
type mixedLoadResult struct {
	// served is the fraction of the harmless requests that were answered, blocked the fraction that
	// was refused as blocked. lateCopies is the number of copies of the other request that reached
	// servers more than propagationTime after the third crash, crashes the number of crashes.
	served, blocked     float64
	lateCopies, crashes int
}

func (ml mixedLoad) run(t *testing.T, lasts time.Duration) (out mixedLoadResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newTestCluster(t, ml.gateways)
		sc.servers.crashDelay = ml.crashDelay
		next := time.Now().Add(ml.replaceEvery)
		for n := range int(lasts / (100 * time.Millisecond)) {
			sc.send(n%ml.gateways, "/menu/other", fmt.Sprint("other-", n))
			sc.send((n+1)%ml.gateways, poisonPath, fmt.Sprint("copy-", n))
			time.Sleep(100 * time.Millisecond)
			if ml.replaceEvery > 0 && !time.Now().Before(next) {
				next = next.Add(ml.replaceEvery)
				sc.replaceGateway(n % ml.gateways)
			}
		}
		sc.callers.Wait()
		served, blocked := 0, 0
		for _, ca := range sc.otherResponses {
			switch {
			case ca.answered:
				served++
			case ca.code == result.RequestBlocked:
				blocked++
			}
		}
		all := float64(len(sc.otherResponses))
		out = mixedLoadResult{float64(served) / all, float64(blocked) / all, sc.servers.lateCopies(), sc.servers.crashCount()}
	})
	return out
}

// mixedLoads returns the loads to test. Those with 4, 23 and 60 gateways are included only if all is
// set.
func mixedLoads(all bool) []mixedLoad {
	var list []mixedLoad
	sizes := []int{2, 8}
	if all {
		sizes = []int{2, 4, 8, 23, 60}
	}
	for _, gateways := range sizes {
		for _, crashDelay := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			for _, replaced := range []time.Duration{0, 800 * time.Millisecond, 5 * time.Second} {
				list = append(list, mixedLoad{gateways, crashDelay, replaced})
			}
		}
	}
	return list
}

// Guards against a harmless request being blocked for good. Gateways had just started, one caller's
// request crashed servers, and the request that all other callers sent alike was refused on every
// box for five minutes, with 4 to 25 of 400 served, although it had never crashed a server. Both
// requests were running on each of the first three servers that crashed. No server had completed the
// common request and responded again half a second later, so that nothing cleared it, and once it
// was blocked no copy was sent that could have cleared it. With six seconds of the common request
// alone beforehand, 0.97 and more were served in 30 of 30 runs, without them in 18 of 30.
//
// LINNETRUDDER_ALL_PLAYS=N runs the loads of all sizes N times.
func TestACommonRequestIsServedBesideOneUnderWhichServersEnd(t *testing.T) {
	loads, times := mixedLoads(false), 1
	if text := os.Getenv("LINNETRUDDER_ALL_PLAYS"); text != "" {
		loads = mixedLoads(true)
		_, err := fmt.Sscan(text, &times)
		require.NoError(t, err)
	}
	failed, crashes, most := 0, 0, 0
	for range times {
		for _, ml := range loads {
			out := ml.run(t, 40*time.Second)
			crashes += out.crashes
			most = max(most, out.crashes)
			if out.served < 0.97 || out.lateCopies > 3 {
				failed++
				t.Logf("%+v: %+v", ml, out)
			}
		}
	}
	t.Logf("%d of %d runs failed; %.1f servers crashed per run in the mean, %d at most",
		failed, times*len(loads), float64(crashes)/float64(times*len(loads)), most)
	require.Zero(t, failed)
}

// storeBlock adds a block of the requests with a path to the key-value service.
func (sc *testCluster) storeBlock(path string) {
	bl := poison.NewBlock(poison.FingerprintOf(poison.Request{
		Method: http.MethodPost, Host: "h", Target: path, Body: buffer.SegmentsOf([]byte(path)),
	}), poison.FirstBlockDuration, clock.WallTime())
	sc.servers.store.add(Change{Blocked: &bl})
}

// A request that was blocked wrongly, before any server has completed it, is sent by one gateway as
// a trial and served by all gateways soon after. This holds for streams and for plain calls that may
// run only once.
func TestWronglyBlockedRequestIsTriedAndUnblocked(t *testing.T) {
	for _, gateways := range []int{1, 4, 23} {
		for _, path := range []string{"/menu/other", "/cards/other"} {
			synctest.Test(t, func(t *testing.T) {
				sc := newTestCluster(t, gateways)
				sc.storeBlock(path)
				time.Sleep(550 * time.Millisecond)
				sendFor := func(lasts time.Duration) {
					for n := range int(lasts / (50 * time.Millisecond)) {
						sc.send(n%gateways, path, fmt.Sprint(path, time.Now()))
						time.Sleep(50 * time.Millisecond)
					}
					sc.callers.Wait()
				}
				sendFor(2 * time.Second)
				for _, ca := range sc.otherResponses {
					if !ca.answered {
						require.Equal(t, result.RequestBlocked, ca.code)
						require.Less(t, ca.after, 3*time.Second, "the caller is asked to retry soon")
					}
				}
				sendFor(3 * time.Second)
				sc.otherResponses = nil
				sendFor(5 * time.Second)
				for _, ca := range sc.otherResponses {
					require.True(t, ca.answered, "%d gateways, %s: %+v", gateways, path, ca)
				}
				require.Zero(t, sc.blockCount())
				require.Empty(t, sc.storedBlocks())
				time.Sleep(3 * doubtTTL)
				for _, ga := range sc.gateways {
					ga.mu.Lock()
					doubts := len(ga.doubts)
					ga.mu.Unlock()
					require.Zero(t, doubts, "doubts must not circulate, or nothing could be blocked")
				}
			})
		}
	}
}

// A request that does crash servers stays blocked, even if gateways are replaced meanwhile.
func TestRequestThatCrashesServersIsTriedAtMostTwice(t *testing.T) {
	for _, gateways := range []int{1, 4, 23} {
		for _, path := range []string{poisonPath, plainPoisonPath} {
			synctest.Test(t, func(t *testing.T) {
				sc := newTestCluster(t, gateways)
				sc.storeBlock(path)
				time.Sleep(550 * time.Millisecond)
				for n := range 900 {
					sc.send(n%gateways, path, fmt.Sprint(path, n))
					time.Sleep(100 * time.Millisecond)
					if n%60 == 59 {
						sc.replaceGateway(n / 60 % gateways)
					}
				}
				sc.callers.Wait()
				require.LessOrEqual(t, len(sc.servers.sent), 2, "%d gateways, %s", gateways, path)
				require.LessOrEqual(t, sc.servers.crashCount(), 2)
				require.Len(t, sc.storedBlocks(), 1)
			})
		}
	}
}
