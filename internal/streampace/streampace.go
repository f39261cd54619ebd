// Package streampace estimates when a stream will end, and decides whether it should be resumed at
// another server because it would not end in time where it is. It does no I/O and reads no clock.
package streampace

import "time"

const (
	// smoothing is the weight of the latest stream in the estimates.
	smoothing = 0.05
	// minElapsedShare is the share of the time from the response head to the deadline after which a
	// stream is judged: its pace varies with the prompts that the server processes besides.
	minElapsedShare = 0.3
	// minOverrun is the factor by which the stream must be expected to exceed the remaining time.
	minOverrun = 1.3
	// tailShare is the least number of events that a stream is expected to have left, as a share of
	// those that it has had: callers' estimates of the length are often too low by half.
	tailShare = 0.3
	// maxShareOfRest is the share of the remaining time within which the rest must be expected from
	// another server.
	maxShareOfRest = 0.8
	// minGain is how many times faster the rest must be expected there, since the other server has to
	// process the prompt again.
	minGain = 2
)

// Estimator learns the length and the pace of streams. The zero value has no observations. It is not
// safe for concurrent use.
type Estimator struct {
	// perToken is the number of events per token of the caller's estimate, mean the number of events of
	// a stream.
	perToken, mean float64
	// interval is the time between two events in nanoseconds.
	interval float64
}

// Observe records a complete stream: its number of events, the caller's estimate of its length in
// tokens (zero for none), and the time from the head to the end.
func (es *Estimator) Observe(events, estimate int, took time.Duration) {
	if events < 1 {
		return
	}
	smooth(&es.mean, float64(events))
	if estimate > 0 {
		smooth(&es.perToken, float64(events)/float64(estimate))
	}
	if events > 1 {
		smooth(&es.interval, float64(took)/float64(events-1))
	}
}

func smooth(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
	}
	*value += smoothing * (sample - *value)
}

// Length returns the expected number of events of a stream, zero if it is not known.
func (es *Estimator) Length(estimate int) float64 {
	if estimate > 0 && es.perToken > 0 {
		return es.perToken * float64(estimate)
	}
	return es.mean
}

// Interval returns the usual time between two events, zero if it is not known.
func (es *Estimator) Interval() time.Duration { return time.Duration(es.interval) }

// Stream is the progress of a stream at its present server.
type Stream struct {
	// Head is when the response head arrived, Deadline when the caller gives up.
	Head, Deadline time.Time
	// Events is the number of events that arrived from this server, Length the expected number.
	Events int
	Length float64
}

// Alternative is what is expected of another server.
type Alternative struct {
	// TimeToHead is the time until it sends the first event, Interval the time between two events.
	TimeToHead, Interval time.Duration
}

// Lags reports whether the stream is expected to end after its deadline here, and well before it at
// another server.
func (st Stream) Lags(al Alternative, now time.Time) bool {
	elapsed, left := now.Sub(st.Head), st.Deadline.Sub(now)
	if float64(elapsed) < minElapsedShare*float64(st.Deadline.Sub(st.Head)) || st.Length == 0 || al.Interval == 0 {
		return false
	}
	events := max(1, float64(st.Events))
	rest := max(1, st.Length-events, tailShare*events)
	here := time.Duration(rest * float64(elapsed) / events)
	there := al.TimeToHead + time.Duration(rest*float64(al.Interval))
	return float64(here) > minOverrun*float64(left) && float64(there) < maxShareOfRest*float64(left) && minGain*there < here
}
