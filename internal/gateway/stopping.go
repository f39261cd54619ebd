package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

const (
	// restartTime is the time from the end of a process until the next one serves: 0.5 s until it
	// starts and some hundredths of a second to read the configuration.
	restartTime = 700 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of rejected callers, since another gateway may be available
	// before this one restarts.
	maxRetryAfter = 3 * time.Second

	// lateStreams is how long after the signal the platform allows for streams that may not end in time.
	lateStreams = 3 * time.Second
	// maxSignalDelay is how late a busy process may handle the signal.
	maxSignalDelay = 200 * time.Millisecond
	// drainDelay is the time for which new callers may still arrive after the process has become
	// not ready: the platform checks every second and needs two failed checks.
	drainDelay = lateStreams - maxSignalDelay
	// graceMargin is the part of the platform's grace period that a planned stop does not use.
	graceMargin = 500 * time.Millisecond
	// answerMargin is how long before the end of the process requests without an answer get an error, at most a part of
	// the grace period.
	answerMargin = 500 * time.Millisecond
	answerPart   = 4
	// likelyFactor is the multiple of the usual duration within which most requests end.
	likelyFactor = 3
)

// errEnding is the cause of requests that are cancelled because the process ends.
var errEnding = eris.New("the process ends")

// StopPlan holds the times of a planned stop, and decides which requests are still accepted. The stopping gateway may be
// the only one that the platform can send callers to.
type StopPlan struct {
	// DrainAt is when the platform has been informed that no new callers may be sent here. AnswerBy is when requests
	// without an answer get an error. End is when the process ends at the latest.
	DrainAt, AnswerBy, End time.Time
}

// PlanStop returns the times of a planned stop.
func PlanStop(start time.Time, grace time.Duration) StopPlan {
	used := max(0, grace-graceMargin)
	return StopPlan{
		DrainAt:  start.Add(min(drainDelay, used/2)),
		AnswerBy: start.Add(used - min(answerMargin, used/answerPart)),
		End:      start.Add(used),
	}
}

// admission is what the decision on a request during a planned stop depends on.
type admission struct {
	// stream is set for an event stream, resumable for one that may go on at another gateway.
	stream, resumable bool
	// deadline is when the request ends at the latest, usual how long requests of its route usually take, zero if that
	// is not known.
	deadline time.Time
	usual    time.Duration
	// otherReady is set if another gateway can serve the request.
	otherReady bool
}

// accepts reports whether a request is still served. From DrainAt on that is the case only if it ends in time whatever
// happens, and for no stream. Before, a request that may not end in time is served if no other gateway can and it most
// likely does, and a stream that may be resumed if it usually does: a redirected caller may find no gateway with room.
func (sp *StopPlan) accepts(ad admission, now time.Time) bool {
	draining := !now.Before(sp.DrainAt)
	switch {
	case draining && ad.stream:
		return false
	case !ad.deadline.After(sp.AnswerBy):
		return true
	}
	switch {
	case draining:
		return false
	case ad.stream && ad.resumable:
		return (ad.usual > 0 || !ad.otherReady) && now.Add(ad.usual).Before(sp.AnswerBy)
	}
	return !ad.otherReady && now.Add(likelyFactor*ad.usual).Before(sp.AnswerBy)
}

// retryAfter returns the Retry-After of a caller whose request is rejected.
func (sp *StopPlan) retryAfter(now time.Time) time.Duration {
	return min(maxRetryAfter, max(0, sp.End.Sub(now))+restartTime)
}

// Stop starts a planned stop. The gateway reports that it is not ready and continues to serve the requests that arrive
// and end in time. Those without an answer at AnswerBy get an error.
func (ga *Gateway) Stop(sp StopPlan) {
	if ga.stop.CompareAndSwap(nil, &sp) {
		ga.Log.Info().Int("event", int(event.ProcessStopping)).
			Int64("in_progress", ga.inProgress.Load()).Msg(event.Name(event.ProcessStopping))
	}
}

// EndRequests waits until a time, and cancels the requests of which no part has been delivered. They get an error.
// endBodies then ends those whose bodies are still arriving.
func (ga *Gateway) EndRequests(at time.Time, endBodies func()) {
	time.Sleep(clock.Until(at))
	ga.end(errEnding)
	endBodies()
}

// Stopping reports whether a planned stop has begun.
func (ga *Gateway) Stopping() bool { return ga.stop.Load() != nil }
