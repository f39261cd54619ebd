// Package outlier takes backend servers that fail out of use for a while, from
// what became of the requests sent to them, whatever their health checks say.
// It does no I/O and reads no clock.
package outlier

import "time"

const (
	// failuresInARow ejects a server at once.
	failuresInARow = 3
	// badRate is the smoothed failure rate at which a server is ejected.
	badRate = 0.3
	// smoothing is the weight of the newest outcome in the failure rate.
	smoothing = 0.15
	// firstPause is how long the first ejection lasts; each further one without
	// a success lasts twice as long, up to longestPause.
	firstPause   = time.Second
	longestPause = 8 * time.Second
	// longestGone bounds the pause of a server that takes no connection: to try it costs
	// nothing, and one that has crashed is often back within seconds.
	longestGone = 2 * time.Second
	// probeWait is how long the one request that tries an ejected server may
	// take before another one tries.
	probeWait = 2 * time.Second
)

// record is what is known of one server.
type record struct {
	inARow int
	// rate is the smoothed part of failures, from 0 to 1.
	rate float64
	// until is when an ejected server may be tried; zero if it is not ejected.
	until time.Time
	pause time.Duration
}

// Detector holds the records of all servers. The zero value knows none. It is
// not safe for concurrent use.
type Detector struct{ records map[string]*record }

// Usable reports whether a server may be sent a request. An ejected one may be
// once its pause is over.
func (de *Detector) Usable(id string, now time.Time) bool {
	re := de.records[id]
	return re == nil || re.until.IsZero() || !now.Before(re.until)
}

// Sent notes a request. One that tries an ejected server holds others off
// until it has ended.
func (de *Detector) Sent(id string, now time.Time) {
	if re := de.records[id]; re != nil && !re.until.IsZero() {
		re.until = now.Add(probeWait)
	}
}

// Succeeded notes an answer that came as it should. It reports whether an
// ejected server is in use again.
func (de *Detector) Succeeded(id string) bool {
	re := de.records[id]
	if re == nil {
		return false
	}
	re.inARow = 0
	re.rate *= 1 - smoothing
	if re.until.IsZero() {
		return false
	}
	re.until = time.Time{}
	re.rate = badRate / 2
	return true
}

// Failed notes a failure of the server. It reports whether that ejects it.
func (de *Detector) Failed(id string, now time.Time) bool {
	re := de.record(id)
	re.inARow++
	re.rate += smoothing * (1 - re.rate)
	switch {
	case !re.until.IsZero():
		re.pause = min(2*re.pause, longestPause)
	case re.inARow >= failuresInARow || re.rate >= badRate:
		re.pause = firstPause
	default:
		return false
	}
	re.until = now.Add(re.pause)
	return true
}

// Unreachable notes that the server takes no connection, which ejects it at once: nothing
// runs there, and all that is sent there until then must be sent again. It reports whether
// it was in use.
func (de *Detector) Unreachable(id string, now time.Time) bool {
	re := de.record(id)
	was := re.until.IsZero()
	re.pause = min(max(firstPause, 2*re.pause), longestGone)
	if was {
		re.pause = firstPause
	}
	re.until = now.Add(re.pause)
	return was
}

// record returns what is known of a server.
func (de *Detector) record(id string) *record {
	if de.records == nil {
		de.records = map[string]*record{}
	}
	re := de.records[id]
	if re == nil {
		re = &record{}
		de.records[id] = re
	}
	return re
}

// Forget drops a server that is gone.
func (de *Detector) Forget(id string) { delete(de.records, id) }
