package clock

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeMachine has three clocks. A real time.Time can't be given a monotonic reading of its own,
// so that its time of day is the one that steps.
type fakeMachine struct {
	startedAt time.Time
	// running is the time that the steady clock has counted, suspended what it has not, clockSet by
	// how much the time of day was clockSet.
	running, suspended, clockSet time.Duration
	// bootReads counts the readings of the clock that goes on.
	bootReads int
	err   error
}

func (ma *fakeMachine) readBoot() (time.Duration, error) {
	ma.bootReads++
	return ma.running + ma.suspended, ma.err
}

// newClock returns a clock whose drift is the machine's.
func (ma *fakeMachine) newClock() *clock {
	ma.startedAt = time.Now()
	return newClock(func() time.Time { return ma.startedAt.Add(ma.running) }, ma.readBoot)
}

// elapsed lets the clock compare as it does when the time of day has moved against the steady
// clock, and returns the time that it tells since the start.
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
	require.Equal(t, 1, ma.bootReads, "at the start only")
	ma.suspended = 5 * time.Second
	ma.running += time.Millisecond
	require.Equal(t, 6*time.Second+time.Millisecond, ma.elapsed(cl))
	ma.running += time.Second
	require.Equal(t, 7*time.Second+time.Millisecond, ma.elapsed(cl))
	require.Equal(t, 2, ma.bootReads, "once for each")
	ma.suspended += 2 * time.Second
	require.Equal(t, 9*time.Second+time.Millisecond, ma.elapsed(cl))
}

func TestTimeOfDayChangeIsNotSuspension(t *testing.T) {
	ma := &fakeMachine{}
	cl := ma.newClock()
	for _, set := range []time.Duration{2 * time.Second, -3 * time.Second, time.Hour, 0} {
		ma.clockSet = set
		ma.running += time.Second
		require.Equal(t, ma.running, ma.elapsed(cl))
	}
	ma.clockSet, ma.suspended = -5*time.Second, 5*time.Second+minStep
	ma.running += time.Second
	require.Equal(t, ma.running+ma.suspended, ma.elapsed(cl), "both at the same time")
}

func TestSlowReadingIsRepeated(t *testing.T) {
	ma := &fakeMachine{}
	cl := ma.newClock()
	stops := 2
	cl.readBoot = func() (time.Duration, error) {
		at, err := ma.readBoot()
		if stops > 0 {
			stops--
			ma.running += time.Second // stopped just after the reading
		}
		return at, err
	}
	ma.suspended = time.Second
	cl.measureSuspension(time.Second)
	require.Equal(t, time.Second, time.Duration(cl.suspended.Load()))
}

func TestUnreadableBootClock(t *testing.T) {
	ma := &fakeMachine{err: errors.New("no such clock")}
	cl := ma.newClock()
	require.Error(t, cl.err)
	ma.running = time.Second
	require.Equal(t, time.Second, cl.now().Sub(ma.startedAt))
}

func TestProcessClock(t *testing.T) {
	require.NoError(t, Err())
	began := Now()
	time.Sleep(10 * time.Millisecond)
	require.GreaterOrEqual(t, Since(began), 10*time.Millisecond)
	require.LessOrEqual(t, Until(began), -10*time.Millisecond)
	require.Zero(t, Suspended())
	synctest.Test(t, func(t *testing.T) {
		began := Now()
		time.Sleep(time.Hour)
		require.Equal(t, time.Hour, Since(began), "in simulated time as well")
	})
}

// A moment that is read elsewhere stands still while the machine is suspended.
func TestGatewayAndPlatformUseThisClock(t *testing.T) {
	other := regexp.MustCompile(`time\.(Now|Since|Until)\(|context\.WithDeadline\(`)
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
			require.Empty(t, other.FindAllString(string(source), -1), file)
		}
	}
}
