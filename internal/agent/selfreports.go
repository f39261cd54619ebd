package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/selfreport"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// selfReports holds the names of the headers in which a backend server reports its state.
var selfReports = selfreport.Headers{Limit: "X-Rate-Limit", Leaving: "X-Draining"}

const (
	// restartProbeInterval is how often a server that announced its shutdown is probed for a restart.
	restartProbeInterval = time.Second
	// restartProbeTimeout bounds one probe. It can be short because the server is on the same box.
	restartProbeTimeout = 500 * time.Millisecond
)

// applySelfReport applies the rate limit, pause or shutdown that the server reports in the headers of
// a response.
func (ag *Agent) applySelfReport(resp *http.Response) {
	re := selfReports.Decode(resp.StatusCode, resp.Header, clock.WallTime())
	if re.Err != nil {
		ag.Node.Record(timeline.Entry{Event: event.ReportUnreadable, Detail: re.Err.Error()})
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	now := clock.Now()
	if re.Limit != nil || re.Err == nil {
		ag.applyLimit(re.Limit, now)
	}
	switch {
	case re.RetryAfter == 0:
		ag.apply(ag.gate.Accepted(now))
	case ag.gate.Pause(re.RetryAfter, now):
		ag.Node.Record(timeline.Entry{Event: event.ServerPaused, Detail: re.RetryAfter.String()})
	}
	if re.Leaving {
		ag.setServerLeaving(now)
	}
}

// applyLimit applies the rate limit that the server reports, nil for none. The caller holds ag.mu.
func (ag *Agent) applyLimit(limit *float64, now time.Time) {
	change, acs := ag.gate.SetLimit(limit, now)
	switch change {
	case backpressure.Limited:
		ag.Node.Record(timeline.Entry{Event: event.ServerLimited, Detail: strconv.FormatFloat(*limit, 'g', -1, 64) + " requests per second"})
	case backpressure.Unlimited:
		ag.Node.Record(timeline.Entry{Event: event.ServerUnlimited})
	}
	ag.apply(acs)
}

// setServerLeaving records that the server announced its shutdown, so new attempts are refused. The
// caller holds ag.mu.
func (ag *Agent) setServerLeaving(now time.Time) {
	if ag.gate.ServerLeaving() {
		return
	}
	ag.Node.Record(timeline.Entry{Event: event.ServerLeaving})
	ag.apply(ag.gate.SetServerLeaving(true, now))
}

// startRestartProbe starts a probe of a server that announced its shutdown, at most once per
// restartProbeInterval. The caller holds ag.mu.
func (ag *Agent) startRestartProbe(ctx context.Context, now time.Time) {
	if !ag.gate.ServerLeaving() || now.Sub(ag.lastRestartProbe) < restartProbeInterval {
		return
	}
	ag.lastRestartProbe = now
	go ag.probeRestart(ctx)
}

// probeRestart sends the server a request that starts no work. A response without the announcement
// comes from a restarted server, since a server repeats its announcement in all responses until it
// exits. A missing response is not conclusive.
func (ag *Agent) probeRestart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, restartProbeTimeout)
	defer cancel()
	resp, err := ag.head(ctx)
	if err != nil {
		ag.Node.Record(timeline.Entry{Event: event.ServerUnclear, Detail: err.Error()})
		return
	}
	if selfReports.Decode(resp.StatusCode, resp.Header, clock.WallTime()).Leaving {
		return
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.Node.Record(timeline.Entry{Event: event.ServerRestarted})
	ag.apply(ag.gate.SetServerLeaving(false, clock.Now()))
}

// head sends the server a HEAD request.
func (ag *Agent) head(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+ag.Node.Settings.Server.Address+"/", nil)
	if err != nil {
		return nil, eris.Wrap(err, "create probe of backend server")
	}
	resp, err := ag.HTTP.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "probe backend server")
	}
	return resp, eris.Wrap(resp.Body.Close(), "close probe response")
}
