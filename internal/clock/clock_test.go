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

// machine has three clocks. A real time.Time can't be given a monotonic reading of its own,
// so that its time of day is the one that steps.
type machine struct {
	began time.Time
	// runs is the time that the steady clock has counted, suspended what it has not, set by
	// how much the time of day was set.
	runs, suspended, set time.Duration
	// reads counts the readings of the clock that goes on.
	reads int
	err   error
}

func (ma *machine) boot() (time.Duration, error) {
	ma.reads++
	return ma.runs + ma.suspended, ma.err
}

// clockOf returns a clock whose drift is the machine's.
func (ma *machine) clockOf() *clock {
	ma.began = time.Now()
	return newClock(func() time.Time { return ma.began.Add(ma.runs) }, ma.boot)
}

// look lets the clock compare as it does when the time of day has moved against the steady
// clock, and returns the time that it tells since the start.
func (ma *machine) look(cl *clock) time.Duration {
	if drift := ma.suspended + ma.set; (drift - time.Duration(cl.drift.Load())).Abs() >= stepLeast {
		cl.compare(drift)
	}
	return ma.began.Add(ma.runs).Add(time.Duration(cl.lost.Load())).Sub(ma.began)
}

func TestSuspendedTimeCounts(t *testing.T) {
	ma := &machine{}
	cl := ma.clockOf()
	ma.runs = time.Second
	require.Equal(t, time.Second, ma.look(cl))
	require.Equal(t, 1, ma.reads, "at the start only")
	ma.suspended = 5 * time.Second
	ma.runs += time.Millisecond
	require.Equal(t, 6*time.Second+time.Millisecond, ma.look(cl))
	ma.runs += time.Second
	require.Equal(t, 7*time.Second+time.Millisecond, ma.look(cl))
	require.Equal(t, 2, ma.reads, "once for each")
	ma.suspended += 2 * time.Second
	require.Equal(t, 9*time.Second+time.Millisecond, ma.look(cl))
}

func TestATimeOfDayThatIsSetCountsForNothing(t *testing.T) {
	ma := &machine{}
	cl := ma.clockOf()
	for _, set := range []time.Duration{2 * time.Second, -3 * time.Second, time.Hour, 0} {
		ma.set = set
		ma.runs += time.Second
		require.Equal(t, ma.runs, ma.look(cl))
	}
	ma.set, ma.suspended = -5*time.Second, 5*time.Second+stepLeast
	ma.runs += time.Second
	require.Equal(t, ma.runs+ma.suspended, ma.look(cl), "both at the same time")
}

func TestAReadingThatTookLongIsTakenAgain(t *testing.T) {
	ma := &machine{}
	cl := ma.clockOf()
	stops := 2
	cl.boot = func() (time.Duration, error) {
		at, err := ma.boot()
		if stops > 0 {
			stops--
			ma.runs += time.Second // stopped just after the reading
		}
		return at, err
	}
	ma.suspended = time.Second
	cl.compare(time.Second)
	require.Equal(t, time.Second, time.Duration(cl.lost.Load()))
}

func TestAClockThatCannotBeReadIsSaid(t *testing.T) {
	ma := &machine{err: errors.New("no such clock")}
	cl := ma.clockOf()
	require.Error(t, cl.err)
	ma.runs = time.Second
	require.Equal(t, time.Second, cl.now().Sub(ma.began))
}

func TestTheProcessClock(t *testing.T) {
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
func TestGatewaysTakeTheTimeFromHere(t *testing.T) {
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
