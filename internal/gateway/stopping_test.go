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

func TestAGatewayThatStopsTakesOnlyWhatItCanFinish(t *testing.T) {
	now := time.Unix(1000, 0)
	plain := &routing.Route{Kind: routing.Unsafe, Timeout: time.Second}
	stream := &routing.Route{Kind: routing.Streaming, Timeout: time.Second}
	unbounded := &routing.Route{Kind: routing.Safe}
	var none *stopPlan
	require.True(t, none.takes(stream, now))
	stop := &stopPlan{leave: now.Add(3 * time.Second), end: now.Add(7 * time.Second)}
	for _, ro := range []*routing.Route{plain, stream, unbounded} {
		require.True(t, stop.takes(ro, now.Add(2*time.Second)), "new callers may still come")
	}
	late := now.Add(5 * time.Second)
	require.True(t, stop.takes(plain, late))
	require.False(t, stop.takes(stream, late))
	require.False(t, stop.takes(unbounded, late))
	require.False(t, stop.takes(plain, now.Add(6500*time.Millisecond)))
	require.Equal(t, 2*time.Second+restartTime, stop.back(late))
	require.Equal(t, longestReturn, stop.back(now))
	require.Equal(t, restartTime, stop.back(now.Add(time.Minute)))
}

func TestAGatewayThatStopsIsNotReadyAndStaysSo(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	now := time.Now()
	require.False(t, ga.Stopping())
	ga.Stop(now, now.Add(time.Second))
	ga.Stop(now.Add(time.Hour), now.Add(2*time.Hour))
	require.True(t, ga.Stopping())
	require.False(t, ga.Ready(now))
	require.Equal(t, now, ga.stop.Load().leave, "the first one holds")
}

// refusals keeps when refused callers may come back.
type refusals struct{ after []time.Duration }

func (*refusals) Whole(int, http.Header, []byte) error { return nil }
func (*refusals) Head(int, http.Header) error          { return nil }
func (*refusals) Part([]byte) error                    { return nil }
func (*refusals) Abort()                               {}

func (re *refusals) Refuse(_ result.Code, _ string, after time.Duration) {
	re.after = append(re.after, after)
}

func TestACallerWhomAnotherGatewayServesMayComeBackAtOnce(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	re := &refusals{}
	ask := func() { ga.Serve(t.Context(), &Ask{Received: time.Now()}, re) }
	ask()
	ga.Reported(relay.Report{Box: "other"})
	ask()
	ga.Reported(relay.Report{Box: "other", Ready: true})
	ask()
	ga.otherReady = time.Now().Add(-2 * loadReportTTL)
	ask()
	usual := result.Of(result.NoConfiguration).RetryAfter()
	require.Equal(t, []time.Duration{usual, usual, atOnce, usual}, re.after)
}

func TestAGatewayTellsOthersWhetherItIsReady(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	require.False(t, ga.report(false).Ready)
	table, err := routing.Compile(routing.Document{Version: 1})
	require.NoError(t, err)
	ga.table.Store(table)
	require.True(t, ga.report(false).Ready)
	ga.applyReportAnswer(relay.Report{Box: "b", Ready: true}, time.Now())
	require.True(t, ga.otherGatewayReady(time.Now()))
	ga.Stop(time.Now(), time.Now())
	require.False(t, ga.Reported(relay.Report{Box: "b"}).Ready)
}
