package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/routing"
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
)

// StopTimes returns when a process that began to stop sends new callers away, and when it ends at the latest.
func StopTimes(start time.Time, grace time.Duration) (drainAt, end time.Time) {
	used := max(0, grace-graceMargin)
	return start.Add(min(drainDelay, used/2)), start.Add(used)
}

// stopPlan decides which requests a stopping gateway still accepts. It may be the only gateway that
// the platform can send callers to.
type stopPlan struct {
	// drainAt is when the platform has been informed that no new callers may be sent here. end is when
	// the process ends at the latest.
	drainAt, end time.Time
}

// accepts reports whether a request is still served. From drainAt on that is the case only if its
// timeout ends before the process does. Streams are then rejected, since they may last longer.
func (sp *stopPlan) accepts(ro *routing.Route, now time.Time) bool {
	if sp == nil || now.Before(sp.drainAt) {
		return true
	}
	return ro.Kind != routing.Streaming && ro.Timeout > 0 && now.Add(ro.Timeout).Before(sp.end)
}

// retryAfter returns the Retry-After of a caller whose request is rejected.
func (sp *stopPlan) retryAfter(now time.Time) time.Duration {
	return min(maxRetryAfter, max(0, sp.end.Sub(now))+restartTime)
}

// Stop starts a planned stop. The gateway reports that it is not ready and continues to serve the
// requests that arrive, from drainAt on only those that end before the process does.
func (ga *Gateway) Stop(drainAt, end time.Time) {
	if ga.stop.CompareAndSwap(nil, &stopPlan{drainAt: drainAt, end: end}) {
		ga.Log.Info().Int("event", int(event.ProcessStopping)).
			Int64("in_progress", ga.inProgress.Load()).Msg(event.Name(event.ProcessStopping))
	}
}

// Stopping reports whether a planned stop has begun.
func (ga *Gateway) Stopping() bool { return ga.stop.Load() != nil }
