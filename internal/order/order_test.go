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

func idle(string) bool { return false }

// world is one server, which may check fencing numbers, and the stored lease.
type world struct {
	checks bool
	held   []string
	fence  uint64
	lease  Lease
	index  uint64
	// orders lists who gave which order when.
	orders []given
}

type given struct {
	holder string
	fence  uint64
	at     time.Time
}

func (wo *world) do(re *Reconciler, ac Action, fate error, now time.Time) {
	switch ac.Kind() {
	case ListVersions:
		re.HandleList(wo.held, fate, now)
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

func (wo *world) order(ac Action, now time.Time) error {
	if wo.checks && ac.Lease().Fence < wo.fence {
		return errFence
	}
	wo.fence = max(wo.fence, ac.Lease().Fence)
	wo.orders = append(wo.orders, given{ac.Lease().Holder, ac.Lease().Fence, now})
	if ac.Kind() == Load {
		wo.held = append(wo.held, ac.Version())
	} else {
		wo.held = slices.DeleteFunc(wo.held, func(ve string) bool { return ve == ac.Version() })
	}
	return nil
}

// settle lets a reconciler act for a while.
func (wo *world) settle(re *Reconciler, now time.Time, span time.Duration) {
	for end := now.Add(span); now.Before(end); now = now.Add(time.Second) {
		if ac, ok := re.Next(idle, now); ok {
			wo.do(re, ac, nil, now)
		}
	}
}

func TestTheServerFollowsTheConfiguration(t *testing.T) {
	wo := &world{held: []string{"m@v0"}}
	re := &Reconciler{Holder: "a"}
	re.SetDesired([]string{"m@v1", "m@v2"})
	wo.settle(re, start, time.Minute)
	require.Equal(t, []string{"m@v1", "m@v2"}, wo.held)
	require.True(t, re.HasVersion("m@v2"))
	orders := len(wo.orders)
	wo.settle(re, start.Add(time.Hour), time.Minute)
	require.Len(t, wo.orders, orders, "nothing to do, nothing done")
}

func TestAVersionInUseIsNotUnloaded(t *testing.T) {
	wo := &world{held: []string{"m@v0"}}
	re := &Reconciler{Holder: "a"}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		if ac, ok := re.Next(func(string) bool { return true }, now); ok {
			wo.do(re, ac, nil, now)
		}
	}
	require.Equal(t, []string{"m@v0"}, wo.held)
}

func TestANewAgentWaitsTheOldLeaseOut(t *testing.T) {
	wo := &world{}
	old, young := &Reconciler{Holder: "old"}, &Reconciler{Holder: "young"}
	old.SetDesired([]string{"m@v1"})
	wo.settle(old, start, 6*time.Second)
	require.Len(t, wo.orders, 1)
	young.SetDesired([]string{"m@v2"})
	wo.settle(young, start.Add(6*time.Second), 2*leaseFor)
	require.Equal(t, []string{"m@v2"}, wo.held)
	require.Equal(t, "young", wo.orders[1].holder)
	require.True(t, wo.orders[1].at.After(wo.orders[0].at.Add(leaseFor)))
	// The old one wakes up and still wants its version.
	old.SetDesired([]string{"m@v3"})
	ac, ok := old.Next(idle, start.Add(leaseFor+20*time.Second))
	for ok && ac.Kind() != Load && ac.Kind() != Unload {
		wo.do(old, ac, nil, start.Add(leaseFor+20*time.Second))
		ac, ok = old.Next(idle, start.Add(leaseFor+20*time.Second))
	}
	require.False(t, ok, "it gives no order under the other's lease: %v", ac)
}

// TestOneHolderAtATime freezes and restarts agents, loses answers and lets
// them race for one server that checks nothing. No two holders give orders
// within one lease, and fencing numbers only grow. The naive reconciler, which
// orders whenever it sees a difference, breaks that.
func TestOneHolderAtATime(t *testing.T) {
	naiveBroken := 0
	rapid.Check(t, func(rt *rapid.T) {
		wo := &world{checks: rapid.Bool().Draw(rt, "checks")}
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
				fresh.SetDesired(re.wanted)
				reconcilers[k] = fresh
			case "act":
				if _, version := re.difference(idle); version != "" {
					if lastNaive != "" && lastNaive != re.Holder && now.Sub(lastAt) < leaseFor {
						naiveBroken++
					}
					lastNaive, lastAt = re.Holder, now
				}
				if ac, ok := re.Next(idle, now); ok {
					var fate error
					if rapid.IntRange(0, 4).Draw(rt, "fate") == 0 {
						fate = errLost
					}
					wo.do(re, ac, fate, now)
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
