// Package outlier ejects backend servers that fail, according to the outcomes of the requests sent
// to them and independently of their health checks. It does no I/O and reads no clock.
package outlier

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects a server.
	maxConsecutiveFailures = 3
	// ejectionRate is the smoothed failure rate that ejects a server.
	ejectionRate = 0.3
	// smoothing is the weight of the newest outcome in the failure rate.
	smoothing = 0.15
	// initialEjection is the duration of the first ejection. Each further one without a success in
	// between lasts twice as long, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 8 * time.Second
	// maxUnreachableEjection limits the ejection of a server that accepts no connections: a
	// connection attempt is cheap, and a crashed server is often back within seconds.
	maxUnreachableEjection = 2 * time.Second
	// probeTimeout is how long the request that probes an ejected server may take before another
	// request is sent as a probe.
	probeTimeout = 2 * time.Second
)

// record is the state of one server.
type record struct {
	consecutive int
	// rate is the smoothed failure rate, from 0 to 1.
	rate float64
	// ejectedUntil is when an ejected server may be probed, zero if it is not ejected.
	ejectedUntil time.Time
	ejection     time.Duration
}

// Detector holds the records of all servers. The zero value is empty. It is not safe for concurrent
// use.
type Detector struct{ records map[string]*record }

// Usable reports whether requests may be sent to a server. An ejected server may be probed once its
// ejection has elapsed.
func (de *Detector) Usable(id string, now time.Time) bool {
	re := de.records[id]
	return re == nil || re.ejectedUntil.IsZero() || !now.Before(re.ejectedUntil)
}

// Sent records a request. A request to an ejected server is a probe: no other is sent to that
// server until the probe has ended or timed out.
func (de *Detector) Sent(id string, now time.Time) {
	if re := de.records[id]; re != nil && !re.ejectedUntil.IsZero() {
		re.ejectedUntil = now.Add(probeTimeout)
	}
}

// Succeeded records a successful response. It reports whether that ends the server's ejection.
func (de *Detector) Succeeded(id string) bool {
	re := de.records[id]
	if re == nil {
		return false
	}
	re.consecutive = 0
	re.rate *= 1 - smoothing
	if re.ejectedUntil.IsZero() {
		return false
	}
	re.ejectedUntil = time.Time{}
	re.rate = ejectionRate / 2
	return true
}

// Failed records a server failure. It reports whether that ejects the server.
func (de *Detector) Failed(id string, now time.Time) bool {
	re := de.record(id)
	re.consecutive++
	re.rate += smoothing * (1 - re.rate)
	switch {
	case !re.ejectedUntil.IsZero():
		re.ejection = min(2*re.ejection, maxEjection)
	case re.consecutive >= maxConsecutiveFailures || re.rate >= ejectionRate:
		re.ejection = initialEjection
	default:
		return false
	}
	re.ejectedUntil = now.Add(re.ejection)
	return true
}

// Unreachable records that a server accepts no connections. That ejects it at once: it runs
// nothing, and every request sent to it has to be sent again. It reports whether the server was in
// use.
func (de *Detector) Unreachable(id string, now time.Time) bool {
	re := de.record(id)
	inUse := re.ejectedUntil.IsZero()
	re.ejection = min(max(initialEjection, 2*re.ejection), maxUnreachableEjection)
	if inUse {
		re.ejection = initialEjection
	}
	re.ejectedUntil = now.Add(re.ejection)
	return inUse
}

// record returns the record of a server, creating it if necessary.
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

// Forget removes the record of a server.
func (de *Detector) Forget(id string) { delete(de.records, id) }
