// Package clock provides a monotonic clock that includes the time for which the machine was
// suspended. Go's own monotonic clock stops during a suspension, so that after it outdated state
// would seem fresh: a revoked key would be accepted and an expired lease relied on. Code that
// decides by ages takes the time from this package. Timers and deadlines of the standard library
// use Go's clock, so they must be given durations, not points in time.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// minStep is the change of the drift of the wall clock against the monotonic clock from which
	// suspended time is measured again with the boot-time clock. The drift changes both when the
	// machine was suspended and when the wall clock was set. Ages are wrong by at most minStep.
	minStep = 20 * time.Millisecond
	// maxReadDuration is the maximum time that reading two clocks for a comparison may take,
	// maxReadAttempts the number of attempts.
	maxReadDuration = 5 * time.Millisecond
	maxReadAttempts = 3
)

var processClock = newClock(time.Now, readBootTime)

// Now returns the current time. Its monotonic reading includes the time for which the machine was
// suspended.
func Now() time.Time { return processClock.now() }

// WallTime returns the wall clock time, which is comparable between machines, without a monotonic
// reading. The wall clock time of Now is ahead of it by the time for which this machine was
// suspended.
func WallTime() time.Time { return time.Now().Round(0) }

// Since returns the time elapsed since a point in time.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until a point in time.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Sleep waits for a duration or until the context ends. The time for which the machine is suspended
// meanwhile does not count.
func Sleep(ctx context.Context, duration time.Duration) { Wait(ctx, duration, nil) }

// Wait waits for a duration, until event is closed or sends, or until the context ends. It reports
// whether the event occurred. It returns at once if the duration is not positive.
func Wait(ctx context.Context, duration time.Duration, event <-chan struct{}) (occurred bool) {
	if duration <= 0 {
		select {
		case <-event:
			return true
		default:
			return false
		}
	}
	ti := time.NewTimer(duration)
	defer ti.Stop()
	select {
	case <-event:
		return true
	case <-ti.C:
	case <-ctx.Done():
	}
	return false
}

// Suspended returns the detected time for which the machine was suspended since the process
// started.
func Suspended() time.Duration { return time.Duration(processClock.suspended.Load()) }

// Err returns the reason why suspended time can't be measured on this system, nil if it can.
func Err() error { return processClock.err }

// clock derives suspended time from three clocks. The boot-time clock is read only if the drift
// between the other two, which are cheap to read, has changed.
type clock struct {
	readTime func() time.Time
	readBoot func() (time.Duration, error)
	err      error
	// start and bootStart are the readings of the two clocks at the start.
	start     time.Time
	bootStart time.Duration
	// drift is the drift of the wall clock against the monotonic clock at the last measurement,
	// suspended the suspended time so far, both in nanoseconds. suspended never decreases.
	drift, suspended atomic.Int64
}

func newClock(read func() time.Time, boot func() (time.Duration, error)) *clock {
	cl := &clock{readTime: read, readBoot: boot}
	cl.start = read()
	cl.bootStart, cl.err = boot()
	return cl
}

// readBootTime reads CLOCK_BOOTTIME, which includes suspended time.
func readBootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, eris.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(ts.Nano()), nil
}

func (cl *clock) now() time.Time {
	at := cl.readTime()
	drift := cl.driftAt(at)
	if cl.err == nil && (drift-time.Duration(cl.drift.Load())).Abs() >= minStep {
		cl.measureSuspension(drift)
	}
	return at.Add(time.Duration(cl.suspended.Load()))
}

// driftAt returns how far the wall clock has moved ahead of the monotonic clock since the start.
func (cl *clock) driftAt(at time.Time) time.Duration {
	return at.Round(0).Sub(cl.start.Round(0)) - at.Sub(cl.start)
}

// measureSuspension measures the suspended time. The readings are repeated if the process was
// stopped between them, up to maxReadAttempts times in all.
func (cl *clock) measureSuspension(drift time.Duration) {
	for range maxReadAttempts {
		before := cl.readTime()
		boot, err := cl.readBoot()
		if err != nil || cl.readTime().Sub(before) > maxReadDuration {
			continue
		}
		suspended := boot - cl.bootStart - before.Sub(cl.start)
		if suspended >= minStep {
			cl.raiseSuspended(int64(suspended))
		}
		cl.drift.Store(int64(drift))
		return
	}
}

func (cl *clock) raiseSuspended(suspended int64) {
	for {
		old := cl.suspended.Load()
		if suspended <= old || cl.suspended.CompareAndSwap(old, suspended) {
			return
		}
	}
}
