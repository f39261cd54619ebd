package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// startFromSeeds starts a number of gateways at the first start of a system and returns the calls to the
// key-value service in the first minute, and the time until every gateway had a configuration.
func startFromSeeds(t *testing.T, gateways int, seeds []string) (reads, watches, members int, ready time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		sc := newTestClusterWith(t, gateways, func(sc *testCluster) {
			sc.configure = func(ga *Gateway) {
				ga.Seeds, ga.LinkMbps = seeds, smallLinkMbps
				if len(sc.gateways) <= gateways/6 {
					ga.LinkMbps = 10 * smallLinkMbps
				}
			}
		})
		for _, ga := range sc.gateways {
			for ga.Table() == nil {
				time.Sleep(10 * time.Millisecond)
			}
		}
		ready = time.Since(started) - 3*time.Second // the time that newTestCluster waits
		time.Sleep(time.Minute)
		store := sc.servers.store
		store.mu.Lock()
		defer store.mu.Unlock()
		reads = store.reads
		for _, n := range store.watches {
			watches += n
		}
		known := map[string]bool{}
		for _, ch := range store.changes {
			if ch.Member != nil {
				known[ch.Member.Box] = true
			}
		}
		members = len(known)
	})
	return reads, watches, members, ready
}

// Guards against calls to the key-value service that grow with the fleet at its first start, when no
// watchers are known yet: each gateway read the whole state and watched it until there were watchers.
func TestFirstStartReadsTheStateFromSeeds(t *testing.T) {
	seeds := []string{"b0:1", "b1:1", "b2:1"}
	for _, gateways := range []int{12, 60, 180} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			reads, watches, members, ready := startFromSeeds(t, gateways, seeds)
			t.Logf("%d reads, %d watches, %d members, ready after %v", reads, watches, members, ready)
			require.LessOrEqual(t, reads, len(seeds))
			require.LessOrEqual(t, members, 24)
			require.Less(t, watches, 300, "three roots, one or two calls a second, and some more at the start")
			require.LessOrEqual(t, ready, time.Second)
		})
	}
}

// A gateway whose seed does not answer reads the state from the key-value service.
func TestGatewayWithoutItsSeedReadsTheService(t *testing.T) {
	reads, _, _, ready := startFromSeeds(t, 6, []string{"b0:1", "unreachable:1"})
	require.LessOrEqual(t, reads, 6)
	require.LessOrEqual(t, ready, 3*time.Second)
}

func TestBoxesWithLargeLinksJoinFirst(t *testing.T) {
	large, small := &Gateway{Seeds: []string{"s"}, LinkMbps: 10 * smallLinkMbps}, &Gateway{Seeds: []string{"s"}, LinkMbps: smallLinkMbps}
	require.LessOrEqual(t, large.joinDelay(1), small.joinDelay(0))
	require.Equal(t, maxSeededJoinDelay, small.joinDelay(1))
	large.Seeds = nil
	require.LessOrEqual(t, large.joinDelay(1), maxJoinDelay/10)
}
