package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	length = 5 * time.Second
	delay  = 10 * time.Second
)

func newReporter() (*Reporter, *Ledger) {
	return &Reporter{Length: length, Delay: delay}, &Ledger{}
}

func TestWindowIsFixedBeforeItIsDelivered(t *testing.T) {
	re, le := newReporter()
	end := Window(100).End(length)
	le.Add(1, 100, "a")
	require.Equal(t, Read, re.Next(le, 1, collectTime, end).Kind)
	re.Stored(Record{})
	require.Equal(t, Idle, re.Next(le, 1, collectTime, end).Kind)
	settled := end.Add(delay / 2)
	step := re.Next(le, 1, collectTime, settled)
	require.Equal(t, Fix, step.Kind)
	require.Equal(t, []Report{{Window: 100, Counts: map[string]int{"a": 1}}}, step.Record.Reports)
	re.Stored(step.Record)
	le.Add(2, 100, "a")
	step = re.Next(le, 1, collectTime, settled)
	require.Equal(t, Deliver, step.Kind)
	require.Equal(t, map[string]int{"a": 1}, step.Report.Counts, "late counts do not change a fixed report")
	re.Delivered(100)
	require.Equal(t, Idle, re.Next(le, 1, collectTime, settled).Kind)
	require.Equal(t, Fix, re.Next(le, 1, collectTime, settled.Add(length)).Kind, "windows without requests are reported too")
}

func TestWindowIsFixedEarlyOnceItsCountsAreComplete(t *testing.T) {
	re, le := newReporter()
	early := Window(100).End(length).Add(delay / 20)
	le.Add(1, 100, "a")
	le.Add(2, 99, "a")
	le.Add(3, 98, "a")
	re.Next(le, 1, collectTime, early)
	re.Stored(Record{Reports: []Report{{Window: 99}}, Delivered: 99})
	le.Add(1, 101, "a")
	require.Equal(t, Idle, re.Next(le, 1, collectTime, early).Kind, "counts of process 2 may be missing")
	le.Add(2, 101, "a")
	require.Equal(t, Idle, re.Next(le, 1, collectTime, early.Add(-1)).Kind)
	require.Equal(t, Idle, re.Next(le, 1, collectTime-1, early).Kind, "others may not know the holder yet")
	require.Equal(t, Fix, re.Next(le, 1, collectTime, early).Kind, "process 3 has ended or has no requests")
}

func TestNextHolderRepeatsTheSameReport(t *testing.T) {
	re, le := newReporter()
	le.Add(9, 100, "a")
	at := Window(101).End(length).Add(delay / 2)
	require.Equal(t, Read, re.Next(le, 2, collectTime, at).Kind)
	stored := Record{Reports: []Report{{Window: 99, Counts: map[string]int{"b": 4}}, {Window: 100, Counts: map[string]int{"a": 7}}}, Delivered: 99}
	re.Stored(stored)
	step := re.Next(le, 2, collectTime, at)
	require.Equal(t, Deliver, step.Kind)
	require.Equal(t, stored.Reports[1], step.Report)
	re.Delivered(100)
	step = re.Next(le, 2, collectTime, at)
	require.Equal(t, Fix, step.Kind)
	require.Equal(t, Window(101), step.Record.Reports[len(step.Record.Reports)-1].Window)
	require.Equal(t, Window(100), step.Record.Delivered)
	require.Equal(t, Read, re.Next(le, 3, collectTime, at).Kind, "the record is read again in another tenure")
}

func TestWindowsOfAnOutageAreReportedAfterIt(t *testing.T) {
	re, le := newReporter()
	for window := Window(100); window < 104; window++ {
		le.Add(1, window, "a")
	}
	re.Next(le, 1, collectTime, Window(99).End(length))
	re.Stored(Record{Reports: []Report{{Window: 99}}, Delivered: 99})
	at := Window(102).End(length).Add(delay / 2)
	step := re.Next(le, 1, collectTime, at)
	require.Equal(t, Fix, step.Kind)
	require.Len(t, step.Record.Reports, 4)
	re.Stored(step.Record)
	for window := Window(100); window <= 102; window++ {
		step = re.Next(le, 1, collectTime, at)
		require.Equal(t, Deliver, step.Kind)
		require.Equal(t, window, step.Report.Window)
		re.Delivered(window)
	}
	long := Window(1000).End(length).Add(delay / 2)
	step = re.Next(le, 1, collectTime, long)
	require.Equal(t, Fix, step.Kind)
	require.Len(t, step.Record.Reports, maxStoredReports, "no more than the newest windows")
	require.Equal(t, Window(1000), step.Record.Reports[maxStoredReports-1].Window)
}
