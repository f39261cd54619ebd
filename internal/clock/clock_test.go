package clock

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeMachine has a monotonic clock, a boot-time clock and a drift of the wall clock. A time.Time
// with a chosen monotonic reading can't be constructed, so tests move the wall clock against it
// instead.
type fakeMachine struct {
	startedAt time.Time
	// running is the time counted by the monotonic clock, suspended the time for which it was
	// stopped, and clockSet the amount by which the wall clock was set.
	running, suspended, clockSet time.Duration
	// bootReads is the number of readings of the boot-time clock.
	bootReads int
	err       error
}

func (ma *fakeMachine) readBoot() (time.Duration, error) {
	ma.bootReads++
	return ma.running + ma.suspended, ma.err
}

// newClock returns a clock that reads the fake machine's clocks.
func (ma *fakeMachine) newClock() *clock {
	ma.startedAt = time.Now()
	return newClock(func() time.Time { return ma.startedAt.Add(ma.running) }, ma.readBoot)
}

// elapsed does what now does, with the fake machine's drift: it measures suspended time if the
// drift has changed by minStep. It returns the clock's time since the start.
func (ma *fakeMachine) elapsed(cl *clock) time.Duration {
	if drift := ma.suspended + ma.clockSet; (drift - time.Duration(cl.drift.Load())).Abs() >= minStep {
		cl.measureSuspension(drift)
	}
	return ma.startedAt.Add(ma.running).Add(time.Duration(cl.suspended.Load())).Sub(ma.startedAt)
}

func TestNowIncludesSuspendedTime(t *testing.T) {
	ma := &fakeMachine{}
	cl := ma.newClock()
	ma.running = time.Second
	require.Equal(t, time.Second, ma.elapsed(cl))
	require.Equal(t, 1, ma.bootReads, "one reading at the start")
	ma.suspended = 5 * time.Second
	ma.running += time.Millisecond
	require.Equal(t, 6*time.Second+time.Millisecond, ma.elapsed(cl))
	ma.running += time.Second
	require.Equal(t, 7*time.Second+time.Millisecond, ma.elapsed(cl))
	require.Equal(t, 2, ma.bootReads, "one more reading for the suspension")
	ma.suspended += 2 * time.Second
	require.Equal(t, 9*time.Second+time.Millisecond, ma.elapsed(cl))
}

func TestWallClockChangeIsNotSuspension(t *testing.T) {
	ma := &fakeMachine{}
	cl := ma.newClock()
	for _, set := range []time.Duration{2 * time.Second, -3 * time.Second, time.Hour, 0} {
		ma.clockSet = set
		ma.running += time.Second
		require.Equal(t, ma.running, ma.elapsed(cl))
	}
	ma.clockSet, ma.suspended = -5*time.Second, 5*time.Second+minStep
	ma.running += time.Second
	require.Equal(t, ma.running+ma.suspended, ma.elapsed(cl), "suspended while the wall clock is set")
}

func TestSlowReadingIsRepeated(t *testing.T) {
	ma := &fakeMachine{}
	cl := ma.newClock()
	pauses := 2
	cl.readBoot = func() (time.Duration, error) {
		at, err := ma.readBoot()
		if pauses > 0 {
			pauses--
			ma.running += time.Second // the process is stopped after the reading
		}
		return at, err
	}
	ma.suspended = time.Second
	cl.measureSuspension(time.Second)
	require.Equal(t, time.Second, time.Duration(cl.suspended.Load()))
}

func TestUnreadableBootClock(t *testing.T) {
	ma := &fakeMachine{err: errors.New("clock not supported")}
	cl := ma.newClock()
	require.Error(t, cl.err)
	ma.running = time.Second
	require.Equal(t, time.Second, cl.now().Sub(ma.startedAt))
}

func TestProcessClock(t *testing.T) {
	require.NoError(t, Err())
	startedAt := Now()
	time.Sleep(10 * time.Millisecond)
	require.GreaterOrEqual(t, Since(startedAt), 10*time.Millisecond)
	require.LessOrEqual(t, Until(startedAt), -10*time.Millisecond)
	require.Zero(t, Suspended())
	synctest.Test(t, func(t *testing.T) {
		startedAt := Now()
		time.Sleep(time.Hour)
		require.Equal(t, time.Hour, Since(startedAt), "in the simulated time of synctest")
	})
}

// TestGatewayAndPlatformUseThisClock guards against uses of Go's clock in the gateway and the
// platform: Go's clock stops while the machine is suspended.
func TestGatewayAndPlatformUseThisClock(t *testing.T) {
	forbidden := regexp.MustCompile(`time\.(Now|Since|Until)\(|context\.WithDeadline\(`)
	for _, folder := range []string{"../gateway", "../../platform"} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Empty(t, forbidden.FindAllString(string(source), -1), file)
		}
	}
}

func TestSleepEndsWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	Sleep(ctx, time.Minute)
	Sleep(t.Context(), -time.Second)
	require.Less(t, time.Since(began), 10*time.Second)
}

func TestWaitEndsWithTheEvent(t *testing.T) {
	event := make(chan struct{}, 1)
	for _, duration := range []time.Duration{-time.Second, 0, time.Minute} {
		event <- struct{}{}
		require.True(t, Wait(t.Context(), duration, event))
	}
	require.False(t, Wait(t.Context(), 0, event))
	require.False(t, Wait(t.Context(), time.Millisecond, event))
}

// TestWaitsOfZeroLengthDoNotCrashTheRaceDetector guards against expired timers in a synctest bubble:
// goroutines that receive from them at the same moment crash the race detector.
func TestWaitsOfZeroLengthDoNotCrashTheRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				for range 2000 {
					Sleep(t.Context(), 0)
				}
			})
		}
		wg.Wait()
	})
}
