package order

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var (
	start    = time.Unix(1_800_000_000, 0)
	errLost  = errors.New("answer lost")
	errFence = errors.New("lower fencing number")
)

func noneRunning(string) bool { return false }

// fakeServer is one server, which may check fencing numbers, and the stored lease.
type fakeServer struct {
	checksFence bool
	loaded   []string
	fence  uint64
	lease  Lease
	index  uint64
	// orders lists who gave which order when.
	orders []givenOrder
}

type givenOrder struct {
	holder string
	fence  uint64
	at     time.Time
}

func (wo *fakeServer) execute(re *Reconciler, ac Action, fate error, now time.Time) {
	switch ac.Kind() {
	case ListVersions:
		re.HandleList(wo.loaded, fate, now)
	case ReadLease:
		re.HandleLease(wo.lease, wo.index, fate, now)
	case AcquireLease:
		if ac.Index() == wo.index {
			wo.lease = ac.Lease()
			wo.index++
		}
		re.HandleAcquire(fate, now)
	default:
		re.HandleOrder(errors.Join(wo.order(ac, now), fate), now)
	}
}

func (wo *fakeServer) order(ac Action, now time.Time) error {
	if wo.checksFence && ac.Lease().Fence < wo.fence {
		return errFence
	}
	wo.fence = max(wo.fence, ac.Lease().Fence)
	wo.orders = append(wo.orders, givenOrder{ac.Lease().Holder, ac.Lease().Fence, now})
	if ac.Kind() == Load {
		wo.loaded = append(wo.loaded, ac.Version())
	} else {
		wo.loaded = slices.DeleteFunc(wo.loaded, func(ve string) bool { return ve == ac.Version() })
	}
	return nil
}

// runFor lets a reconciler act for a while.
func (wo *fakeServer) runFor(re *Reconciler, now time.Time, span time.Duration) {
	for end := now.Add(span); now.Before(end); now = now.Add(time.Second) {
		if ac, ok := re.Next(noneRunning, now); ok {
			wo.execute(re, ac, nil, now)
		}
	}
}

func TestServerConvergesToConfiguration(t *testing.T) {
	wo := &fakeServer{loaded: []string{"m@v0"}}
	re := &Reconciler{Holder: "a"}
	re.SetDesired([]string{"m@v1", "m@v2"})
	wo.runFor(re, start, time.Minute)
	require.Equal(t, []string{"m@v1", "m@v2"}, wo.loaded)
	require.True(t, re.HasVersion("m@v2"))
	orders := len(wo.orders)
	wo.runFor(re, start.Add(time.Hour), time.Minute)
	require.Len(t, wo.orders, orders, "nothing to do, nothing done")
}

func TestVersionInUseIsNotUnloaded(t *testing.T) {
	wo := &fakeServer{loaded: []string{"m@v0"}}
	re := &Reconciler{Holder: "a"}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		if ac, ok := re.Next(func(string) bool { return true }, now); ok {
			wo.execute(re, ac, nil, now)
		}
	}
	require.Equal(t, []string{"m@v0"}, wo.loaded)
}

func TestNewHolderWaitsForLeaseExpiry(t *testing.T) {
	wo := &fakeServer{}
	old, young := &Reconciler{Holder: "old"}, &Reconciler{Holder: "young"}
	old.SetDesired([]string{"m@v1"})
	wo.runFor(old, start, 6*time.Second)
	require.Len(t, wo.orders, 1)
	young.SetDesired([]string{"m@v2"})
	wo.runFor(young, start.Add(6*time.Second), 2*leaseDuration)
	require.Equal(t, []string{"m@v2"}, wo.loaded)
	require.Equal(t, "young", wo.orders[1].holder)
	require.True(t, wo.orders[1].at.After(wo.orders[0].at.Add(leaseDuration)))
	// The old one wakes up and still wants its version.
	old.SetDesired([]string{"m@v3"})
	ac, ok := old.Next(noneRunning, start.Add(leaseDuration+20*time.Second))
	for ok && ac.Kind() != Load && ac.Kind() != Unload {
		wo.execute(old, ac, nil, start.Add(leaseDuration+20*time.Second))
		ac, ok = old.Next(noneRunning, start.Add(leaseDuration+20*time.Second))
	}
	require.False(t, ok, "it gives no order under the other's lease: %v", ac)
}

// TestOneHolderPerLease freezes and restarts agents, loses answers and lets
// them race for one server that checks nothing. No two holders give orders
// within one lease, and fencing numbers only grow. The naive reconciler, which
// orders whenever it sees a difference, breaks that.
func TestOneHolderPerLease(t *testing.T) {
	naiveBroken := 0
	rapid.Check(t, func(rt *rapid.T) {
		wo := &fakeServer{checksFence: rapid.Bool().Draw(rt, "checks")}
		reconcilers := []*Reconciler{{Holder: "a"}, {Holder: "b"}}
		now := start
		lastNaive := ""
		var lastAt time.Time
		for range rapid.IntRange(10, 120).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(100, 8000).Draw(rt, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, 1).Draw(rt, "reconciler")
			re := reconcilers[k]
			switch rapid.SampledFrom([]string{"act", "act", "act", "want", "restart"}).Draw(rt, "event") {
			case "want":
				re.SetDesired(rapid.SampledFrom([][]string{{"m@v1"}, {"m@v2"}, {"m@v1", "m@v2"}}).Draw(rt, "versions"))
			case "restart":
				fresh := &Reconciler{Holder: re.Holder + "'"}
				fresh.SetDesired(re.desired)
				reconcilers[k] = fresh
			case "act":
				if _, version := re.nextOrder(noneRunning); version != "" {
					if lastNaive != "" && lastNaive != re.Holder && now.Sub(lastAt) < leaseDuration {
						naiveBroken++
					}
					lastNaive, lastAt = re.Holder, now
				}
				if ac, ok := re.Next(noneRunning, now); ok {
					var fate error
					if rapid.IntRange(0, 4).Draw(rt, "fate") == 0 {
						fate = errLost
					}
					wo.execute(re, ac, fate, now)
				}
			}
		}
		for i := 1; i < len(wo.orders); i++ {
			before, after := wo.orders[i-1], wo.orders[i]
			require.GreaterOrEqual(rt, after.fence, before.fence)
			if before.holder != after.holder {
				require.Greater(rt, after.fence, before.fence)
			}
		}
	})
	require.Positive(t, naiveBroken, "the naive reconcilers must have ordered at the same time")
}
