// Package cpuload measures how much of its processor time a process uses.
package cpuload

import (
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Meter measures the utilization of the processor time that this process may use. Its exported fields
// are set before use. It is not safe for concurrent use.
type Meter struct {
	// Cores is the number of cores that the process may use, a fraction for a share of one. Zero means
	// that it is not known.
	Cores float64

	used time.Duration
	at   time.Time
}

// Read returns the utilization since the last call: 1 if all of the processor time was used, zero if it
// is not known.
func (me *Meter) Read(now time.Time) (float64, error) {
	if me.Cores <= 0 {
		return 0, nil
	}
	var us syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &us); err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	return me.utilization(time.Duration(us.Utime.Nano()+us.Stime.Nano()), now), nil
}

// utilization returns the utilization since the last call, given the processor time used so far.
func (me *Meter) utilization(used time.Duration, now time.Time) float64 {
	elapsed, added := now.Sub(me.at), used-me.used
	first := me.at.IsZero()
	me.used, me.at = used, now
	if first || elapsed <= 0 {
		return 0
	}
	return added.Seconds() / (elapsed.Seconds() * me.Cores)
}
