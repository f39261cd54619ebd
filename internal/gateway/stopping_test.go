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
	now := time.Unix(1000, 0)
	plain := &routing.Route{Kind: routing.Unsafe, Timeout: time.Second}
	stream := &routing.Route{Kind: routing.Streaming, Timeout: time.Second}
	unbounded := &routing.Route{Kind: routing.Safe}
	var none *stopPlan
	require.True(t, none.accepts(stream, now))
	stop := &stopPlan{drainAt: now.Add(3 * time.Second), end: now.Add(7 * time.Second)}
	for _, ro := range []*routing.Route{plain, stream, unbounded} {
		require.True(t, stop.accepts(ro, now.Add(2*time.Second)), "new callers may still be sent here")
	}
	late := now.Add(5 * time.Second)
	require.True(t, stop.accepts(plain, late))
	require.False(t, stop.accepts(stream, late))
	require.False(t, stop.accepts(unbounded, late))
	require.False(t, stop.accepts(plain, now.Add(6500*time.Millisecond)))
	require.Equal(t, 2*time.Second+restartTime, stop.retryAfter(late))
	require.Equal(t, maxRetryAfter, stop.retryAfter(now))
	require.Equal(t, restartTime, stop.retryAfter(now.Add(time.Minute)))
}

func TestStoppingGatewayIsNotReady(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	now := time.Now()
	require.False(t, ga.Stopping())
	ga.Stop(now, now.Add(time.Second))
	ga.Stop(now.Add(time.Hour), now.Add(2*time.Hour))
	require.True(t, ga.Stopping())
	require.False(t, ga.Ready(now))
	require.Equal(t, now, ga.stop.Load().drainAt, "the first call to Stop is in effect")
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
	ga.Stop(time.Now(), time.Now())
	require.False(t, ga.Reported(relay.Report{Box: "b"}).Ready)
}

// Guards against streams that are accepted too late to end, since the signal was handled late.
func TestStreamsAreRejectedInTimeAfterALateSignal(t *testing.T) {
	sent := time.Unix(1000, 0)
	for _, delay := range []time.Duration{0, 63 * time.Millisecond, maxSignalDelay} {
		drainAt, end := StopTimes(sent.Add(delay), 8*time.Second)
		require.LessOrEqual(t, drainAt.Sub(sent), lateStreams)
		require.Greater(t, drainAt.Sub(sent.Add(delay)), 2*time.Second, "the platform needs two failed checks")
		require.Less(t, end.Sub(sent), 8*time.Second)
	}
	drainAt, end := StopTimes(sent, 2*time.Second)
	require.True(t, drainAt.Before(end))
	_, end = StopTimes(sent, 0)
	require.Equal(t, sent, end)
}
