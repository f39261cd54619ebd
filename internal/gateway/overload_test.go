package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a crowded gateway of a small deployment not being noticed as such.
func TestOnlyCrowdedGatewaysRejectConnections(t *testing.T) {
	for _, gateways := range []int{1, 2, 3, 4, 23} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := newTestCluster(t, gateways)
				all := make([]int, gateways)
				for i := range all {
					all[i] = i
				}
				time.Sleep(3 * time.Second)
				sc.sendRate(108, 3*time.Second, all...)
				require.False(t, sc.rejectsUnderLoad(0), "callers are spread over all gateways")
				sc.sendRate(108, 3*time.Second, 0)
				require.Equal(t, gateways > 1, sc.rejectsUnderLoad(0), "all callers come to one gateway")
				sc.callers.Wait()
			})
		})
	}
}

// rejectsUnderLoad reports whether a gateway rejects connections when it uses all of its processor time.
func (sc *testCluster) rejectsUnderLoad(gateway int) bool {
	ga := sc.gateways[gateway]
	for range 20 {
		ga.observeLoad(1, nil)
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.overload.IsRejecting()
}
