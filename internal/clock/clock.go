// Package clock tells the time by a steady clock that goes on while the machine is
// suspended. The one that the language's library reads stands still meanwhile: what a
// process knows would seem as new after it as before, a key that was taken away would be
// accepted and a lease that has run out believed in. Whoever decides by ages takes the time
// from here; timers and the library's deadlines go by their own clock, so that they are
// given durations, not moments.
package clock

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// minStep is the difference between the time of day and the steady clock, since both
	// were compared with the clock that goes on, from which they are compared again: a
	// suspended machine and a time of day that was set look alike. Ages are wrong by as much
	// at the most.
	minStep = 20 * time.Millisecond
	// maxReadDuration is how long the readings of two clocks may take that are compared;
	// readTries how often that is tried.
	maxReadDuration = 5 * time.Millisecond
	maxReadAttempts  = 3
)

// processClock is the process's clock.
var processClock = newClock(time.Now, readBootTime)

// Now returns the present time. Its monotonic reading counts the time for which the machine
// was suspended.
func Now() time.Time { return processClock.now() }

// WallTime returns the time of day, which any other machine has as well, without a monotonic
// reading. That of Now is ahead by the time for which this machine was suspended.
func WallTime() time.Time { return time.Now().Round(0) }

// Since returns the time since a moment.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until a moment.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Suspended returns for how long the machine was suspended since the process began, as far as
// it was noticed.
func Suspended() time.Duration { return time.Duration(processClock.suspended.Load()) }

// Err returns why suspended time can't be counted on this system, nil if it is.
func Err() error { return processClock.err }

// clock compares three clocks, but only when two that are cheap to read say that something
// happened.
type clock struct {
	readTime func() time.Time
	readBoot func() (time.Duration, error)
	err  error
	// start and bootStart are the readings that were taken together.
	start     time.Time
	bootStart time.Duration
	// drift is how far the time of day had gone ahead of the steady clock when they were
	// compared last, suspended the time for which the steady clock stood still, both in
	// nanoseconds. The second one never shrinks.
	drift, suspended atomic.Int64
}

func newClock(read func() time.Time, boot func() (time.Duration, error)) *clock {
	cl := &clock{readTime: read, readBoot: boot}
	cl.start = read()
	cl.bootStart, cl.err = boot()
	return cl
}

// readBootTime reads the clock that counts suspended time.
func readBootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, eris.Wrap(err, "read the clock that counts suspended time")
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

// driftAt returns how far the time of day is ahead of the steady clock, since the start.
func (cl *clock) driftAt(at time.Time) time.Duration {
	return at.Round(0).Sub(cl.start.Round(0)) - at.Sub(cl.start)
}

// measureSuspension measures for how long the steady clock stood still. A process that was stopped
// between two readings takes them again.
func (cl *clock) measureSuspension(drift time.Duration) {
	for range maxReadAttempts {
		before := cl.readTime()
		boot, err := cl.readBoot()
		if err != nil || cl.readTime().Sub(before) > maxReadDuration {
			continue
		}
		lost := boot - cl.bootStart - before.Sub(cl.start)
		if lost >= minStep {
			cl.raiseSuspended(int64(lost))
		}
		cl.drift.Store(int64(drift))
		return
	}
}

func (cl *clock) raiseSuspended(lost int64) {
	for {
		old := cl.suspended.Load()
		if lost <= old || cl.suspended.CompareAndSwap(old, lost) {
			return
		}
	}
}
