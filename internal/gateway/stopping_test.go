package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

func TestStoppingGatewayAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	stop := StopPlan{DrainAt: start.Add(3 * time.Second), AnswerBy: start.Add(6500 * time.Millisecond), End: start.Add(7 * time.Second)}
	const second = time.Second
	for _, tc := range []struct {
		after, timeout, usual time.Duration
		stream, resumable     bool
		otherReady, want      bool
	}{
		{after: 2 * second, timeout: second, want: true},
		{after: 2 * second, timeout: second, stream: true, want: true},
		{after: 2 * second, timeout: 30 * second, want: true},
		{after: 2 * second, timeout: 30 * second, stream: true, want: true},
		{after: 2 * second, timeout: 30 * second, usual: 1400 * time.Millisecond, want: true},
		{after: 2 * second, timeout: 30 * second, usual: 1600 * time.Millisecond, want: false},
		{after: 2 * second, timeout: 30 * second, otherReady: true, want: false},
		{after: 2 * second, timeout: 30 * second, usual: second, otherReady: true, want: false},
		{after: 2 * second, timeout: 30 * second, usual: 4 * second, stream: true, otherReady: true, want: false},
		{after: 2 * second, timeout: 30 * second, usual: 4 * second, stream: true, resumable: true, otherReady: true, want: true},
		{after: 2 * second, timeout: 30 * second, usual: 5 * second, stream: true, resumable: true, want: false},
		{after: 2 * second, timeout: 30 * second, stream: true, resumable: true, otherReady: true, want: false},
		{after: 2 * second, timeout: 30 * second, stream: true, resumable: true, want: true},
		{after: 5 * second, timeout: 30 * second, usual: second / 10, stream: true, resumable: true, want: false},
		{after: 2 * second, timeout: second, otherReady: true, want: true},
		{after: 5 * second, timeout: second, want: true},
		{after: 5 * second, timeout: second, otherReady: true, want: true},
		{after: 5 * second, timeout: second, stream: true, want: false},
		{after: 5 * second, timeout: 30 * second, want: false},
		{after: 5 * second, timeout: 30 * second, usual: second / 10, want: false},
		{after: 6 * second, timeout: second, want: false},
		{after: 8 * second, timeout: second / 100, want: false},
	} {
		now := start.Add(tc.after)
		ad := admission{stream: tc.stream, resumable: tc.resumable, deadline: now.Add(tc.timeout), usual: tc.usual, otherReady: tc.otherReady}
		require.Equal(t, tc.want, stop.accepts(ad, now), "%+v", tc)
	}
	require.Equal(t, 2*time.Second+restartTime, stop.retryAfter(start.Add(5*time.Second)))
	require.Equal(t, maxRetryAfter, stop.retryAfter(start))
	require.Equal(t, restartTime, stop.retryAfter(start.Add(time.Minute)))
}

func TestStoppingGatewayIsNotReady(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	now := time.Now()
	require.False(t, ga.Stopping())
	ga.Stop(PlanStop(now, time.Second))
	ga.Stop(PlanStop(now.Add(time.Hour), time.Second))
	require.True(t, ga.Stopping())
	require.False(t, ga.Ready(now))
	require.Equal(t, PlanStop(now, time.Second), *ga.stop.Load(), "the first call to Stop is in effect")
}

// retryRecorder records the Retry-After of rejected requests.
type retryRecorder struct{ after []time.Duration }

func (*retryRecorder) WriteResponse(int, http.Header, []byte) error { return nil }
func (*retryRecorder) WriteHead(int, http.Header) error             { return nil }
func (*retryRecorder) WriteChunk([]byte) error                      { return nil }
func (*retryRecorder) Abort()                                       {}

func (re *retryRecorder) WriteError(_ result.Code, _ string, after time.Duration) {
	re.after = append(re.after, after)
}

func TestRetryAfterIsShortIfAnotherGatewayIsReady(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	re := &retryRecorder{}
	send := func() { ga.Serve(t.Context(), &Request{Received: time.Now()}, re) }
	send()
	ga.Reported(relay.Report{Box: "other"})
	send()
	ga.Reported(relay.Report{Box: "other", Ready: true})
	send()
	ga.otherReadyAt = time.Now().Add(-2 * loadReportTTL)
	send()
	usual := result.Lookup(result.NoConfiguration).RetryAfter()
	require.Equal(t, []time.Duration{usual, usual, immediateRetry, usual}, re.after)
}

func TestReportsSayWhetherTheGatewayIsReady(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	require.False(t, ga.report(false).Ready)
	table, err := routing.Compile(routing.Document{Version: 1})
	require.NoError(t, err)
	ga.table.Store(table)
	require.True(t, ga.report(false).Ready)
	ga.applyReportReply(loadPeer{}, relay.Report{Box: "b", Ready: true}, time.Now(), time.Now())
	require.True(t, ga.otherGatewayReady(time.Now()))
	ga.Stop(PlanStop(time.Now(), 0))
	require.False(t, ga.Reported(relay.Report{Box: "b"}).Ready)
}

// Guards against streams that are accepted too late to end, since the signal was handled late.
func TestStreamsAreRejectedInTimeAfterALateSignal(t *testing.T) {
	sent := time.Unix(1000, 0)
	for _, delay := range []time.Duration{0, 63 * time.Millisecond, maxSignalDelay} {
		sp := PlanStop(sent.Add(delay), 8*time.Second)
		require.LessOrEqual(t, sp.DrainAt.Sub(sent), lateStreams)
		require.Greater(t, sp.DrainAt.Sub(sent.Add(delay)), 2*time.Second, "the platform needs two failed checks")
		require.Less(t, sp.End.Sub(sent), 8*time.Second)
	}
	sp := PlanStop(sent, 2*time.Second)
	require.True(t, sp.DrainAt.Before(sp.End))
	require.Equal(t, sent, PlanStop(sent, 0).End)
	for grace := range 100 {
		sp := PlanStop(sent, time.Duration(grace)*100*time.Millisecond)
		require.False(t, sp.AnswerBy.Before(sp.DrainAt), "%+v", sp)
		require.False(t, sp.End.Before(sp.AnswerBy), "%+v", sp)
	}
}
