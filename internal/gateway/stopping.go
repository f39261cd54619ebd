package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

const (
	// restartTime is how long a process that has ended takes to serve again: 0.5 s to its
	// start and some hundredths to read the configuration.
	restartTime = 700 * time.Millisecond
	// maxRetryAfter is the longest time after which a caller is told to come back: another
	// gateway may serve before this one does.
	maxRetryAfter = 3 * time.Second
)

// stopPlan says which requests a stopping gateway still accepts: it may be the only one to which the
// platform can send callers.
type stopPlan struct {
	// drainAt is when the platform has been told that no new callers are to come, end when
	// the process ends at the latest.
	drainAt, end time.Time
}

// accepts reports whether a request is still served: from leave on, only one that ends in
// time whatever becomes of it. A stream may last any time.
func (sp *stopPlan) accepts(ro *routing.Route, now time.Time) bool {
	if sp == nil || now.Before(sp.drainAt) {
		return true
	}
	return ro.Kind != routing.Streaming && ro.Timeout > 0 && now.Add(ro.Timeout).Before(sp.end)
}

// retryAfter returns after which time a caller that is not served may come retryAfter.
func (sp *stopPlan) retryAfter(now time.Time) time.Duration {
	return min(maxRetryAfter, max(0, sp.end.Sub(now))+restartTime)
}

// Stop begins a planned stop: the gateway says that it is not ready, and goes on to serve
// what reaches it, from leave on only what surely ends before the process does.
func (ga *Gateway) Stop(leave, end time.Time) {
	if ga.stop.CompareAndSwap(nil, &stopPlan{drainAt: leave, end: end}) {
		ga.Log.Info().Int("event", int(event.ProcessStopping)).
			Int64("in_progress", ga.inProgress.Load()).Msg(event.Name(event.ProcessStopping))
	}
}

// Stopping reports whether a planned stop has begun.
func (ga *Gateway) Stopping() bool { return ga.stop.Load() != nil }
