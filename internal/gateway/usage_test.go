package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/duty"
	"github.com/linnetrudder/linnetrudder/internal/lease"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/usage"
)

// usageService stores the holder of the duty and accepts its reports. It is the part of the platform
// that usage reports need.
type usageService struct {
	store *fakeStore

	mu       sync.Mutex
	holder   duty.Holder
	expiry   *time.Timer
	record   usage.Record
	revision uint64
	accepted map[usage.Window]int
}

const (
	usageWindow = 5 * time.Second
	usageDelay  = 10 * time.Second
	usageLease  = 3 * time.Second
)

func (us *usageService) AcquireDuty(_ context.Context, ho duty.Holder, ttl time.Duration) (duty.Holder, lease.ID, error) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if !us.holder.IsZero() {
		return ho, 0, usage.ErrDutyLost
	}
	us.revision++
	ho.Acquired = revision.Revision{Number: us.revision}
	us.holder = ho
	us.store.add(Change{DutyHolder: &ho})
	us.expiry = time.AfterFunc(ttl, func() {
		us.mu.Lock()
		defer us.mu.Unlock()
		us.holder = duty.Holder{}
		us.store.add(Change{DutyVacant: true})
	})
	return ho, lease.ID(ho.Acquired.Number), nil
}

func (us *usageService) RenewLease(_ context.Context, id lease.ID) error {
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.holder.Acquired.Number != uint64(id) {
		return lease.ErrExpired
	}
	us.expiry.Reset(usageLease)
	return nil
}

func (us *usageService) ReadUsage(context.Context) (usage.Record, error) {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.record, nil
}

func (us *usageService) StoreUsage(_ context.Context, ho duty.Holder, re usage.Record) (usage.Record, error) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.holder != ho || us.record.Revision != re.Revision {
		return re, usage.ErrDutyLost
	}
	us.revision++
	re.Revision = revision.Revision{Number: us.revision}
	us.record = re
	return re, nil
}

func (us *usageService) ReportUsage(_ context.Context, _ duty.Holder, re usage.Report) error {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.accepted[re.Window] = 0
	for _, n := range re.Counts {
		us.accepted[re.Window] += n
	}
	return nil
}

// Guards against requests missing in usage reports because of restarted gateways: those that an ended
// gateway had counted, and those that had been reported to a collector before it was restarted.
func TestUsageReportIncludesRequestsOfRestartedGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		us := &usageService{accepted: map[usage.Window]int{}}
		sc := newTestClusterWith(t, 12, func(sc *testCluster) {
			us.store = sc.servers.store
			sc.configure = func(ga *Gateway) {
				ga.Usage = &usage.Runner{LeaseTTL: usageLease, Length: usageWindow, Delay: usageDelay, Store: us, Platform: us}
			}
		})
		sc.servers.store.add(Change{Document: &routing.Document{
			Version: 2, Services: []routing.Service{{Name: "llm"}}, Teams: []routing.Team{{Name: "team", Keys: []string{"key"}}},
			Routes: []routing.Route{{
				Name: "cards", Host: "h", Prefix: "/cards/", Kind: routing.Safe, Timeout: time.Second, Target: 150 * time.Millisecond, Attempts: 2,
				Split: []routing.Share{{Service: "llm", Weight: 1}},
			}},
		}})
		time.Sleep(2 * time.Second)
		counted := map[usage.Window]int{}
		first := usage.WindowAt(time.Now(), usageWindow) + 1
		for n := range 3000 {
			counted[usage.WindowAt(time.Now(), usageWindow)] += sc.requestWithKey(n % 12)
			if n%110 == 109 {
				sc.replaceGateway(n / 110 % 12)
			}
			time.Sleep(20 * time.Millisecond)
		}
		last := usage.WindowAt(time.Now(), usageWindow) - 1
		sc.callers.Wait()
		time.Sleep(usageDelay)
		us.mu.Lock()
		defer us.mu.Unlock()
		for window := first; window <= last; window++ {
			require.InDelta(t, counted[window], us.accepted[window], 0.05*float64(counted[window]), "window %d", window-first)
		}
	})
}

// requestWithKey sends a plain request of a team to a gateway. It returns one if the gateway serves it.
func (sc *testCluster) requestWithKey(gateway int) int {
	ca := &recordingResponder{}
	path := fmt.Sprint("/cards/", time.Now().UnixNano())
	rq := &Request{
		ID: path, Host: "h", Path: path, Target: path, Method: http.MethodGet, Key: "key", Received: time.Now(), Timeout: time.Second,
		ReadBody: func(time.Time) (*buffer.Segments, error) { return nil, nil },
	}
	sc.mu.Lock()
	ga := sc.gateways[gateway]
	sc.mu.Unlock()
	ga.Serve(sc.t.Context(), rq, ca)
	if ca.code != 0 {
		return 0
	}
	return 1
}
