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

// fakeServer is a server, which checks fencing numbers if checksFence is set, with the stored
// lease.
type fakeServer struct {
	checksFence bool
	loaded      []string
	fence       uint64
	lease       Lease
	index       uint64
	// orders holds the accepted orders in order of time.
	orders []givenOrder
}

type givenOrder struct {
	holder string
	fence  uint64
	at     time.Time
}

// execute executes an action and passes its outcome to the reconciler.
func (se *fakeServer) execute(re *Reconciler, ac Action, outcome error, now time.Time) {
	switch ac.Kind() {
	case ListVersions:
		re.HandleList(se.loaded, outcome, now)
	case ReadLease:
		re.HandleLease(se.lease, se.index, outcome, now)
	case AcquireLease:
		if ac.Index() == se.index {
			se.lease = ac.Lease()
			se.index++
		}
		re.HandleAcquire(outcome, now)
	default:
		re.HandleOrder(errors.Join(se.order(ac, now), outcome), now)
	}
}

func (se *fakeServer) order(ac Action, now time.Time) error {
	if se.checksFence && ac.Lease().Fence < se.fence {
		return errFence
	}
	se.fence = max(se.fence, ac.Lease().Fence)
	se.orders = append(se.orders, givenOrder{ac.Lease().Holder, ac.Lease().Fence, now})
	if ac.Kind() == Load {
		se.loaded = append(se.loaded, ac.Version())
	} else {
		se.loaded = slices.DeleteFunc(se.loaded, func(ve string) bool { return ve == ac.Version() })
	}
	return nil
}

// runFor executes the reconciler's actions, at most one a second, for a time span.
func (se *fakeServer) runFor(re *Reconciler, now time.Time, span time.Duration) {
	for end := now.Add(span); now.Before(end); now = now.Add(time.Second) {
		if ac, ok := re.Next(noneRunning, now); ok {
			se.execute(re, ac, nil, now)
		}
	}
}

func TestServerConvergesToConfiguration(t *testing.T) {
	se := &fakeServer{loaded: []string{"m@v0"}}
	re := &Reconciler{Holder: "a"}
	re.SetDesired([]string{"m@v1", "m@v2"})
	se.runFor(re, start, time.Minute)
	require.Equal(t, []string{"m@v1", "m@v2"}, se.loaded)
	require.True(t, re.HasVersion("m@v2"))
	orders := len(se.orders)
	se.runFor(re, start.Add(time.Hour), time.Minute)
	require.Len(t, se.orders, orders, "no orders once the versions match")
}

func TestVersionInUseIsNotUnloaded(t *testing.T) {
	se := &fakeServer{loaded: []string{"m@v0"}}
	re := &Reconciler{Holder: "a"}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		if ac, ok := re.Next(func(string) bool { return true }, now); ok {
			se.execute(re, ac, nil, now)
		}
	}
	require.Equal(t, []string{"m@v0"}, se.loaded)
}

func TestNewHolderWaitsForLeaseExpiry(t *testing.T) {
	se := &fakeServer{}
	old, fresh := &Reconciler{Holder: "old"}, &Reconciler{Holder: "fresh"}
	old.SetDesired([]string{"m@v1"})
	se.runFor(old, start, 6*time.Second)
	require.Len(t, se.orders, 1)
	fresh.SetDesired([]string{"m@v2"})
	se.runFor(fresh, start.Add(6*time.Second), 2*leaseDuration)
	require.Equal(t, []string{"m@v2"}, se.loaded)
	require.Equal(t, "fresh", se.orders[1].holder)
	require.True(t, se.orders[1].at.After(se.orders[0].at.Add(leaseDuration)))
	// The old holder resumes after its lease has expired, with an order to give.
	old.SetDesired([]string{"m@v3"})
	ac, ok := old.Next(noneRunning, start.Add(leaseDuration+20*time.Second))
	for ok && ac.Kind() != Load && ac.Kind() != Unload {
		se.execute(old, ac, nil, start.Add(leaseDuration+20*time.Second))
		ac, ok = old.Next(noneRunning, start.Add(leaseDuration+20*time.Second))
	}
	require.False(t, ok, "the expired holder must not give an order: %v", ac)
}

// TestOneHolderPerLease lets two agents race for one server, which may or may not check fencing
// numbers, with delays, restarts and lost answers. No two holders may give orders under one lease,
// and fencing numbers must not decrease. A naive reconciler, which gives an order whenever the
// versions differ, violates this.
func TestOneHolderPerLease(t *testing.T) {
	naiveViolations := 0
	rapid.Check(t, func(rt *rapid.T) {
		se := &fakeServer{checksFence: rapid.Bool().Draw(rt, "checks")}
		reconcilers := []*Reconciler{{Holder: "a"}, {Holder: "b"}}
		now := start
		lastNaive := ""
		var lastAt time.Time
		for range rapid.IntRange(10, 120).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(100, 8000).Draw(rt, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, 1).Draw(rt, "reconciler")
			re := reconcilers[k]
			switch rapid.SampledFrom([]string{"act", "act", "act", "configure", "restart"}).Draw(rt, "event") {
			case "configure":
				re.SetDesired(rapid.SampledFrom([][]string{{"m@v1"}, {"m@v2"}, {"m@v1", "m@v2"}}).Draw(rt, "versions"))
			case "restart":
				fresh := &Reconciler{Holder: re.Holder + "'"}
				fresh.SetDesired(re.desired)
				reconcilers[k] = fresh
			case "act":
				if _, version := re.nextOrder(noneRunning); version != "" {
					if lastNaive != "" && lastNaive != re.Holder && now.Sub(lastAt) < leaseDuration {
						naiveViolations++
					}
					lastNaive, lastAt = re.Holder, now
				}
				if ac, ok := re.Next(noneRunning, now); ok {
					var outcome error
					if rapid.IntRange(0, 4).Draw(rt, "outcome") == 0 {
						outcome = errLost
					}
					se.execute(re, ac, outcome, now)
				}
			}
		}
		for i := 1; i < len(se.orders); i++ {
			before, after := se.orders[i-1], se.orders[i]
			require.GreaterOrEqual(rt, after.fence, before.fence)
			if before.holder != after.holder {
				require.Greater(rt, after.fence, before.fence)
			}
		}
	})
	require.Positive(t, naiveViolations, "the naive reconcilers must have given orders concurrently")
}
