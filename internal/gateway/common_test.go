package gateway

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// commonPlay is one play of a harmless request that all callers ask alike beside a deadly one,
// both ten times a second, at gateways that have just started.
type commonPlay struct {
	gateways  int
	endsAfter time.Duration
	// replaced is how often a gateway is lost and replaced; zero for never.
	replaced time.Duration
}

// outcome is what callers got of a play.
type commonOutcome struct {
	// served is the part of the harmless requests that were answered, tooMany the copies of the
	// deadly one that reached servers too late, ends the servers that ended.
	served        float64
	tooMany, ends int
}

func (cp commonPlay) run(t *testing.T, lasts time.Duration) (out commonOutcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScene(t, cp.gateways)
		sc.servers.endsAfter = cp.endsAfter
		next := time.Now().Add(cp.replaced)
		for n := range int(lasts / (100 * time.Millisecond)) {
			sc.ask(n%cp.gateways, "/menu/other", fmt.Sprint("other-", n))
			sc.ask((n+1)%cp.gateways, poisonPath, fmt.Sprint("copy-", n))
			time.Sleep(100 * time.Millisecond)
			if cp.replaced > 0 && !time.Now().Before(next) {
				next = next.Add(cp.replaced)
				sc.replace(n % cp.gateways)
			}
		}
		sc.callers.Wait()
		served := 0
		for _, ca := range sc.others {
			if ca.answered {
				served++
			}
		}
		out = commonOutcome{float64(served) / float64(len(sc.others)), sc.servers.tooMany(), sc.servers.ends()}
	})
	return out
}

// commonPlays returns the plays of the story, those at many gateways only if all are wanted.
func commonPlays(all bool) []commonPlay {
	var list []commonPlay
	sizes := []int{2, 8}
	if all {
		sizes = []int{2, 4, 8, 23, 60}
	}
	for _, gateways := range sizes {
		for _, endsAfter := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			for _, replaced := range []time.Duration{0, 800 * time.Millisecond, 5 * time.Second} {
				list = append(list, commonPlay{gateways, endsAfter, replaced})
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
	plays, times := commonPlays(false), 1
	if text := os.Getenv("LINNETRUDDER_ALL_PLAYS"); text != "" {
		plays = commonPlays(true)
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
