package gateway

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// rev returns a revision of a service that names no era.
func rev(number uint64) revision.Revision { return revision.Revision{Number: number} }

// commonPlay is one play of a harmless request that all callers ask alike beside a deadly one,
// both ten times a second, at gateways that have just started.
type mixedLoad struct {
	gateways  int
	endsAfter time.Duration
	// replaced is how often a gateway is lost and replaced; zero for never.
	replaceEvery time.Duration
}

// outcome is what callers got of a play.
type mixedLoadResult struct {
	// served is the part of the harmless requests that were answered, blocked the part that was
	// refused as blocked, tooMany the copies of the deadly one that reached servers too late, ends
	// the servers that ended.
	served, blocked float64
	tooMany, ends   int
}

func (cp mixedLoad) run(t *testing.T, lasts time.Duration) (out mixedLoadResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newTestCluster(t, cp.gateways)
		sc.servers.endsAfter = cp.endsAfter
		next := time.Now().Add(cp.replaceEvery)
		for n := range int(lasts / (100 * time.Millisecond)) {
			sc.send(n%cp.gateways, "/menu/other", fmt.Sprint("other-", n))
			sc.send((n+1)%cp.gateways, poisonPath, fmt.Sprint("copy-", n))
			time.Sleep(100 * time.Millisecond)
			if cp.replaceEvery > 0 && !time.Now().Before(next) {
				next = next.Add(cp.replaceEvery)
				sc.replaceGateway(n % cp.gateways)
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
		out = mixedLoadResult{float64(served) / all, float64(blocked) / all, sc.servers.lateCopies(), sc.servers.endCount()}
	})
	return out
}

// commonPlays returns the plays of the story, those at many gateways only if all are wanted.
func mixedLoads(all bool) []mixedLoad {
	var list []mixedLoad
	sizes := []int{2, 8}
	if all {
		sizes = []int{2, 4, 8, 23, 60}
	}
	for _, gateways := range sizes {
		for _, endsAfter := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			for _, replaced := range []time.Duration{0, 800 * time.Millisecond, 5 * time.Second} {
				list = append(list, mixedLoad{gateways, endsAfter, replaced})
			}
		}
	}
	return list
}

// What callers saw: boxes had just started, one caller's request ended servers, and what all
// others asked alike was refused on every box for five minutes, 4 to 25 of 400 served, though no
// server ever ended under it. Order of events: both were with each of the first three servers
// that ended; no server had answered the common one as a whole and something more half a second
// later, so that nothing spoke for it; once it was blocked, nothing was sent that could. Cause: a
// block left no way to learn that it was wrong. What proved it: with six seconds of the common
// request alone before, 0.97 and more were served in 30 of 30 plays, without them in 18 of 30.
//
// LINNETRUDDER_ALL_PLAYS=N plays all sizes N times.
func TestACommonRequestIsServedBesideOneUnderWhichServersEnd(t *testing.T) {
	plays, times := mixedLoads(false), 1
	if text := os.Getenv("LINNETRUDDER_ALL_PLAYS"); text != "" {
		plays = mixedLoads(true)
		_, err := fmt.Sscan(text, &times)
		require.NoError(t, err)
	}
	short, ends, most := 0, 0, 0
	for range times {
		for _, cp := range plays {
			out := cp.run(t, 40*time.Second)
			ends += out.ends
			most = max(most, out.ends)
			if out.served < 0.97 || out.tooMany > 3 {
				short++
				t.Logf("%+v: %+v", cp, out)
			}
		}
	}
	t.Logf("%d of %d plays fell short; %.1f servers ended in the mean, %d at the most",
		short, times*len(plays), float64(ends)/float64(times*len(plays)), most)
	require.Zero(t, short)
}

// block lets the key-value service hold a block of what is asked with a path.
func (sc *testCluster) storeBlock(path string) {
	bl := poison.NewBlock(poison.FingerprintOf(poison.Request{
		Method: http.MethodPost, Host: "h", Target: path, Body: []byte(path),
	}), poison.FirstBlockDuration, clock.Day())
	sc.servers.store.add(Change{Blocked: &bl})
}

// A request that was blocked wrongly, before any server has answered it, is tried by one gateway
// and served by all soon after; a stream or a plain call that may run once only.
func TestABlockedRequestGetsItsChance(t *testing.T) {
	for _, gateways := range []int{1, 4, 23} {
		for _, path := range []string{"/menu/other", "/cards/other"} {
			synctest.Test(t, func(t *testing.T) {
				sc := newTestCluster(t, gateways)
				sc.storeBlock(path)
				time.Sleep(550 * time.Millisecond)
				ask := func(lasts time.Duration) {
					for n := range int(lasts / (50 * time.Millisecond)) {
						sc.send(n%gateways, path, fmt.Sprint(path, time.Now()))
						time.Sleep(50 * time.Millisecond)
					}
					sc.callers.Wait()
				}
				ask(2 * time.Second)
				for _, ca := range sc.otherResponses {
					if !ca.answered {
						require.Equal(t, result.RequestBlocked, ca.code)
						require.Less(t, ca.after, 3*time.Second, "it is worth coming back soon")
					}
				}
				ask(3 * time.Second)
				sc.otherResponses = nil
				ask(5 * time.Second)
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
					require.Zero(t, doubts, "a doubt that all told each other again and again would let nothing be blocked")
				}
			})
		}
	}
}

// One under which servers do end stays blocked, whoever is lost meanwhile.
func TestADeadlyRequestIsTriedTwiceAtTheMost(t *testing.T) {
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
				require.LessOrEqual(t, sc.servers.endCount(), 2)
				require.Len(t, sc.storedBlocks(), 1)
			})
		}
	}
}
