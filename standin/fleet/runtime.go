package fleet

import (
	"context"
	"sync"
	"time"
)

// runStep is the step in which running time is measured.
const runStep = 5 * time.Millisecond

// WaitRunning waits until done is closed, at most until the process has run for a time, and reports whether it was
// closed. Time for which a busy machine did not let the process run does not count, so that bounds in time hold
// for the program rather than for the machine.
func WaitRunning(limit time.Duration, done <-chan struct{}) bool {
	for left := limit; left > 0; {
		began := time.Now()
		select {
		case <-done:
			return true
		case <-time.After(min(runStep, left)):
		}
		left -= min(time.Since(began), 2*runStep)
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// SleepRunning waits until the process has run for a time.
func SleepRunning(duration time.Duration) { WaitRunning(duration, nil) }

// span is a span of time.
type span struct{ from, until time.Time }

// RunClock measures running time between two points in time. The zero value is ready to use.
type RunClock struct {
	mu sync.Mutex
	// stalls holds the spans in which a busy machine did not let the process run.
	stalls []span
}

// minStall is the shortest time that counts as a stall.
const minStall = 50 * time.Millisecond

// Run records stalls until the context ends.
func (rc *RunClock) Run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(runStep)
		now := time.Now()
		rc.observe(last, now)
		last = now
	}
}

// observe records that the process ran at two points in time, a step of runStep apart.
func (rc *RunClock) observe(last, now time.Time) {
	if now.Sub(last) < runStep+minStall {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.stalls = append(rc.stalls, span{last.Add(runStep), now})
}

// Between returns for how long the process ran between two points in time.
func (rc *RunClock) Between(from, until time.Time) time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	running := until.Sub(from)
	for _, st := range rc.stalls {
		start, end := st.from, st.until
		if start.Before(from) {
			start = from
		}
		if end.After(until) {
			end = until
		}
		running -= max(0, end.Sub(start))
	}
	return running
}
