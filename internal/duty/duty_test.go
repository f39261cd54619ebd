package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

var t0 = time.Unix(1000, 0)

const ttl = 3 * time.Second

func holder(process, number uint64) Holder {
	return Holder{Box: "b", Process: process, Acquired: revision.Revision{Number: number}}
}

func TestVacantDutyIsAcquiredInOrderOfRank(t *testing.T) {
	el := Election{Process: 7, TTL: ttl}
	require.Equal(t, Wait, el.Next(0, t0), "the holder is not known yet")
	el.SetHolder(Holder{}, t0)
	require.Equal(t, Wait, el.Next(-1, t0.Add(time.Hour)), "not a candidate")
	require.Equal(t, Acquire, el.Next(0, t0))
	require.Equal(t, Wait, el.Next(2, t0.Add(2*rankDelay-1)))
	require.Equal(t, Acquire, el.Next(2, t0.Add(2*rankDelay)))
	el.CallSent(t0)
	require.Equal(t, Wait, el.Next(0, t0.Add(retryDelay-1)))
	require.Equal(t, Acquire, el.Next(0, t0.Add(retryDelay)))
	el.SetHolder(holder(8, 20), t0)
	require.Equal(t, Wait, el.Next(0, t0.Add(time.Hour)), "another process holds the duty")
	require.True(t, el.ActsUntil(t0.Add(time.Second)).IsZero())
}

func TestHolderActsOnlyWhileItsLeaseIsSure(t *testing.T) {
	el := Election{Process: 7, TTL: ttl}
	el.LeaseConfirmed(t0)
	el.SetHolder(holder(7, 20), t0)
	require.True(t, el.ActsUntil(t0).IsZero(), "calls of the holder before may still arrive")
	end := t0.Add(ttl * 8 / 10)
	require.Equal(t, end, el.ActsUntil(t0.Add(time.Second)))
	require.True(t, el.ActsUntil(end).IsZero())
	require.Equal(t, Renew, el.Next(0, t0.Add(time.Second)))
	el.CallSent(t0.Add(time.Second))
	require.Equal(t, Wait, el.Next(0, t0.Add(time.Second+retryDelay-1)))
	el.LeaseConfirmed(t0.Add(time.Second))
	require.Equal(t, end.Add(time.Second), el.ActsUntil(t0.Add(2*time.Second)))
	el.LeaseExpired(t0.Add(2 * time.Second))
	require.True(t, el.ActsUntil(t0.Add(2*time.Second)).IsZero())
	require.Equal(t, Acquire, el.Next(0, t0.Add(2*time.Second)))
}

func TestHolderWithRejectedFencingNumberResigns(t *testing.T) {
	el := Election{Process: 7, TTL: ttl}
	el.LeaseConfirmed(t0)
	el.SetHolder(holder(7, 20), t0)
	el.Resign()
	require.True(t, el.ActsUntil(t0.Add(time.Second)).IsZero())
	require.Equal(t, Wait, el.Next(0, t0.Add(2*time.Second)), "the lease is not renewed")
	el.SetHolder(Holder{}, t0.Add(ttl))
	require.Equal(t, Acquire, el.Next(0, t0.Add(ttl)))
}

// Guards against a holder that receives no counts: one that acquired the duty as a collector and is
// none any more, since gateways with larger links joined.
func TestHolderThatIsNoCandidateAnyMoreResigns(t *testing.T) {
	el := Election{Process: 7, TTL: ttl}
	el.LeaseConfirmed(t0)
	el.SetHolder(holder(7, 20), t0)
	require.False(t, el.ActsUntil(t0.Add(time.Second)).IsZero())
	require.Equal(t, Wait, el.Next(-1, t0.Add(time.Second)))
	require.True(t, el.ActsUntil(t0.Add(time.Second)).IsZero())
	require.Equal(t, Wait, el.Next(0, t0.Add(2*time.Second)), "the lease is not renewed")
}

// Guards against a process that keeps the lease of a duty that it does not perform.
func TestResignedDutyIsNotTakenUpAgainAfterAWholeRead(t *testing.T) {
	el := Election{Process: 7, TTL: ttl}
	el.LeaseConfirmed(t0)
	el.SetHolder(holder(7, 20), t0)
	el.Resign()
	el.SetHolder(holder(7, 20), t0.Add(time.Second))
	require.Equal(t, Wait, el.Next(0, t0.Add(ttl)), "the lease is not renewed")
	el.SetHolder(Holder{}, t0.Add(ttl))
	require.Equal(t, Acquire, el.Next(0, t0.Add(ttl+time.Second)))
	el.LeaseConfirmed(t0.Add(ttl + time.Second))
	el.SetHolder(holder(7, 30), t0.Add(ttl+time.Second))
	require.False(t, el.ActsUntil(t0.Add(ttl+3*time.Second)).IsZero(), "acquired anew")
}

func TestOlderHolderOfALaggingPeerIsIgnored(t *testing.T) {
	el := Election{Process: 7, TTL: ttl}
	el.SetHolder(holder(9, 30), t0)
	el.SetHolder(holder(8, 20), t0)
	require.Equal(t, uint64(9), el.Holder().Process)
}

func TestFencingNumberRisesAfterARestore(t *testing.T) {
	before := Holder{Process: 1, Acquired: revision.Revision{Era: 1, Number: 900}}
	after := Holder{Process: 2, Acquired: revision.Revision{Era: 2, Number: 400}}
	require.Greater(t, after.FencingNumber(), before.FencingNumber())
}

// simulatedService is the part of the key-value service that the duty needs. Leases expire by its own
// clock, counted from the arrival of a call.
type simulatedService struct {
	holder   Holder
	expires  time.Time
	revision uint64
}

func (se *simulatedService) expire(now time.Time) {
	if !se.holder.IsZero() && !now.Before(se.expires) {
		se.holder = Holder{}
	}
}

// act is a call of a holder as the platform receives it.
type act struct {
	at      time.Time
	process uint64
	fence   uint64
}

// Whatever processes stop, resume, lose answers and see changes late, the platform sees fencing numbers
// that never fall, each of one process only, and no two holders that take turns within the duration of
// the lease.
func TestActsOfHoldersAreInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		se := &simulatedService{revision: 100}
		processes := rapid.IntRange(2, 5).Draw(rt, "processes")
		elections := make([]*Election, processes)
		frozenUntil := make([]time.Time, processes)
		for i := range elections {
			elections[i] = &Election{Process: uint64(i + 1), TTL: ttl}
		}
		var acts []act
		now := t0
		for range rapid.IntRange(100, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(20, 200).Draw(rt, "pause")) * time.Millisecond)
			se.expire(now)
			i := rapid.IntRange(0, processes-1).Draw(rt, "process")
			el := elections[i]
			if now.Before(frozenUntil[i]) {
				continue
			}
			switch rapid.IntRange(0, 11).Draw(rt, "event") {
			case 0:
				frozenUntil[i] = now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(rt, "frozen")) * time.Millisecond)
				continue
			case 1, 2, 3, 4:
				el.SetHolder(se.holder, now)
			}
			lost := rapid.IntRange(0, 5).Draw(rt, "answer") == 0
			sent := now
			now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(rt, "transit")) * time.Millisecond)
			se.expire(now)
			action := el.Next(i, sent)
			if action != Wait {
				el.CallSent(sent)
			}
			switch {
			case action == Acquire && se.holder.IsZero():
				se.revision++
				se.holder = holder(el.Process, se.revision)
				se.expires = now.Add(ttl)
				// The lease is created before the transaction, whose answer may be lost.
				el.LeaseConfirmed(sent)
				if !lost {
					el.SetHolder(se.holder, now)
				}
			case action == Renew && se.holder.Process == el.Process:
				se.expires = now.Add(ttl)
				if !lost {
					el.LeaseConfirmed(sent)
				}
			case action == Renew:
				el.LeaseExpired(now)
			}
			if !el.ActsUntil(now).IsZero() {
				acts = append(acts, act{at: now, process: el.Process, fence: el.Holder().FencingNumber()})
			}
		}
		requireOrdered(rt, acts)
	})
}

func requireOrdered(rt *rapid.T, acts []act) {
	last := map[uint64]time.Time{}
	owner := map[uint64]uint64{}
	for i, ac := range acts {
		if i > 0 {
			require.GreaterOrEqual(rt, ac.fence, acts[i-1].fence, "a fencing number fell")
		}
		if process, ok := owner[ac.fence]; ok {
			require.Equal(rt, process, ac.process, "two processes with one fencing number")
		}
		owner[ac.fence] = ac.process
		if at, ok := last[ac.process]; ok && i > 0 && acts[i-1].process != ac.process {
			require.GreaterOrEqual(rt, ac.at.Sub(at), ttl, "holders took turns")
		}
		last[ac.process] = ac.at
	}
}
