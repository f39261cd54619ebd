package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// skewedLimit is the limit that each server reports, in requests a second, skewedMaxInWindow the
	// maximum number of requests that may arrive at a server within limitWindow then.
	skewedLimit       = 20
	skewedMaxInWindow = 125
	// skewedWithin is the time after which requests have to be served as before once all callers come to
	// one gateway.
	skewedWithin = 3 * time.Second
)

// sendRate sends requests to the given gateways in turn.
func (sc *testCluster) sendRate(perSecond float64, lasts time.Duration, gateways ...int) {
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		id := fmt.Sprint("rate-", time.Now().UnixNano())
		sc.send(gateways[n%len(gateways)], "/menu/"+id, id)
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// servedShare returns the share of the requests that were served since the last call.
func (sc *testCluster) servedShare() float64 {
	sc.callers.Wait()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	served := 0
	for _, ca := range sc.otherResponses {
		if ca.answered {
			served++
		}
	}
	share := float64(served) / float64(len(sc.otherResponses))
	sc.otherResponses = nil
	return share
}

// Guards against the limits of servers being used up to one gateway's equal share only while all callers
// come to that gateway.
func TestLimitsAreUsedWhenAllCallersComeToOneGateway(t *testing.T) {
	for _, gateways := range []int{4, 23} {
		for _, load := range []float64{108, 216, 306} {
			t.Run(fmt.Sprint(gateways, " ", load), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sc := newTestCluster(t, gateways)
					all := make([]int, gateways)
					for i := range all {
						all[i] = i
					}
					sc.sendRate(40, 40*time.Second, all...) // until all gateways know the number of gateways
					limitedAt := time.Now()
					for _, se := range sc.servers.all() {
						sc.servers.setLimit(se.listed.ID, skewedLimit)
					}
					sc.sendRate(load, 6*time.Second, all...)
					sc.servedShare()
					sc.sendRate(load, 8*time.Second, all...)
					before := sc.servedShare()
					for _, hot := range []int{1, gateways - 1, 0} {
						sc.sendRate(load, skewedWithin, hot)
						first := sc.servedShare()
						sc.sendRate(load, 8*time.Second, hot)
						after := sc.servedShare()
						t.Logf("all to %d: %.2f before, %.2f in the first %s, %.2f then", hot, before, first, skewedWithin, after)
						require.GreaterOrEqual(t, after, 0.75*before)
					}
					for _, se := range sc.servers.all() {
						require.LessOrEqual(t, sc.servers.mostInWindow(se.listed.ID, limitedAt.Add(limitWithin)), skewedMaxInWindow, se.listed.ID)
					}
				})
			})
		}
	}
}

// Guards against limits being exceeded while gateways that have lent their shares can't hear each other.
func TestLimitsAreKeptWhenGatewaysAreCutOffAfterLending(t *testing.T) {
	for _, gateways := range []int{4, 23} {
		synctest.Test(t, func(t *testing.T) {
			sc := newTestCluster(t, gateways)
			all := make([]int, gateways)
			for i := range all {
				all[i] = i
			}
			sc.sendRate(40, 40*time.Second, all...)
			limitedAt := time.Now()
			for _, se := range sc.servers.all() {
				sc.servers.setLimit(se.listed.ID, skewedLimit)
			}
			sc.sendRate(306, 4*time.Second, 1)
			sc.network.partitioned.Store(true)
			for _, ga := range sc.gateways {
				ga.RelayHTTP.CloseIdleConnections()
			}
			sc.sendRate(306, 2*time.Second, slices.Concat([]int{1, 1, 1}, all)...)
			sc.sendRate(306, 4*time.Second, all...)
			sc.network.partitioned.Store(false)
			sc.sendRate(306, 4*time.Second, 2)
			sc.callers.Wait()
			for _, se := range sc.servers.all() {
				require.LessOrEqual(t, sc.servers.mostInWindow(se.listed.ID, limitedAt.Add(limitWithin)), skewedMaxInWindow, se.listed.ID)
			}
		})
	}
}
