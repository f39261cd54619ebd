package fleet

import "time"

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
