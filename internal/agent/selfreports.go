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

// selfReports names the headers by which a backend server reports about itself.
var selfReports = selfreport.Headers{Limit: "X-Rate-Limit", Leaving: "X-Draining"}

const (
	// leavingProbeEvery is how often a server that announced its shutdown is asked whether its
	// next life has begun.
	leavingProbeEvery = time.Second
	// leavingProbeTimeout bounds the question; the server is on the same box.
	leavingProbeTimeout = 500 * time.Millisecond
)

// applySelfReport records what the server reports about itself in the head of an answer.
func (ag *Agent) applySelfReport(resp *http.Response) {
	re := selfReports.Decode(resp.StatusCode, resp.Header, clock.WallTime())
	if re.Err != nil {
		ag.Node.Note(timeline.Entry{Event: event.ReportUnreadable, Detail: re.Err.Error()})
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	now := clock.Now()
	if re.Limit != nil || re.Err == nil {
		ag.applyLimit(re.Limit, now)
	}
	switch {
	case re.RetryAfter == 0:
		ag.act(ag.gate.Accepted(now))
	case ag.gate.Pause(re.RetryAfter, now):
		ag.Node.Note(timeline.Entry{Event: event.ServerPaused, Detail: re.RetryAfter.String()})
	}
	if re.Leaving {
		ag.serverLeaves(now)
	}
}

// applyLimit records the rate limit that the server reports, nil for none. The lock is held.
func (ag *Agent) applyLimit(limit *float64, now time.Time) {
	change, acs := ag.gate.SetLimit(limit, now)
	switch change {
	case backpressure.Limited:
		ag.Node.Note(timeline.Entry{Event: event.ServerLimited, Detail: strconv.FormatFloat(*limit, 'g', -1, 64) + " requests a second"})
	case backpressure.Unlimited:
		ag.Node.Note(timeline.Entry{Event: event.ServerUnlimited})
	}
	ag.act(acs)
}

// serverLeaves refuses everything new for a server that announced its shutdown; the lock is held.
func (ag *Agent) serverLeaves(now time.Time) {
	if ag.gate.ServerLeaving() {
		return
	}
	ag.Node.Note(timeline.Entry{Event: event.ServerLeaving})
	ag.act(ag.gate.SetServerLeaving(true, now))
}

// probeLeaving starts to ask a server that announced its shutdown whether its next life has begun,
// at most once per leavingProbeEvery. The lock is held.
func (ag *Agent) probeLeaving(ctx context.Context, now time.Time) {
	if !ag.gate.ServerLeaving() || now.Sub(ag.leavingProbed) < leavingProbeEvery {
		return
	}
	ag.leavingProbed = now
	go ag.askLeaving(ctx)
}

// askLeaving asks the server by a request that starts no work. Any answer without the announcement
// is the next life's: the same life repeats it in all answers. No answer says nothing.
func (ag *Agent) askLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavingProbeTimeout)
	defer cancel()
	resp, err := ag.head(ctx)
	if err != nil {
		ag.Node.Note(timeline.Entry{Event: event.ServerUnclear, Detail: err.Error()})
		return
	}
	if selfReports.Decode(resp.StatusCode, resp.Header, clock.WallTime()).Leaving {
		return
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.Node.Note(timeline.Entry{Event: event.ServerRestarted})
	ag.act(ag.gate.SetServerLeaving(false, clock.Now()))
}

// head asks the server for the head of an answer.
func (ag *Agent) head(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+ag.Node.Settings.Server.Address+"/", nil)
	if err != nil {
		return nil, eris.Wrap(err, "ask server")
	}
	resp, err := ag.HTTP.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "ask server")
	}
	return resp, eris.Wrap(resp.Body.Close(), "ask server")
}
