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
)

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
