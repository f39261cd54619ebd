package agent

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/transport"
	"github.com/linnetrudder/linnetrudder/internal/wire"
	"github.com/linnetrudder/linnetrudder/standin/scripted"
)

// endlessWrite is the size of a single write of a response without end.
const endlessWrite = 16 << 10

// Guards against an agent that keeps all of a response without end until it runs out of memory.
func TestEndlessLineOfAStreamEndsTheAttempt(t *testing.T) {
	const (
		calls   = 50
		maxSent = 8 << 20 // with what the buffers of a connection hold
	)
	var mu sync.Mutex
	most := 0
	ss, err := scripted.New(func(ex *scripted.Exchange) bool {
		_, err := io.WriteString(ex.Conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ")
		chunk := []byte(strings.Repeat("x", endlessWrite))
		sent := 0
		for err == nil {
			var n int
			n, err = ex.Conn.Write(chunk)
			sent += n
		}
		mu.Lock()
		defer mu.Unlock()
		most = max(most, sent)
		return false
	})
	require.NoError(t, err)
	defer ss.Close()
	ag := &Agent{
		HTTP: transport.NewClient(),
		Node: &node.Node{Ring: &timeline.Ring{}, Settings: settings.Settings{Server: settings.Server{Address: ss.Address()}}},
	}
	ag.metered.Limit = meterBytes
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			ru := &run{ag: ag, li: &link.Link{}, at: &wire.Attempt{Request: "call", Method: "POST", Path: "/", Version: "v"}, decided: clock.Now()}
			if co, _ := ru.call(ctx); co != result.ServerFailed {
				t.Error(co)
			}
		})
	}
	wg.Wait()
	require.NoError(t, ctx.Err(), "an attempt must end by itself")
	mu.Lock()
	defer mu.Unlock()
	require.Less(t, most, maxSent)
	require.Zero(t, ag.metered.Used())
}

// Guards against bodies that are kept for their usage without a common limit.
func TestMetersShareTheirMemory(t *testing.T) {
	po := &buffer.Pool{Limit: 1 << 20}
	chunk := make([]byte, endlessWrite)
	var meters []*meter
	for range 20 {
		me := &meter{memory: po}
		meters = append(meters, me)
		for range 2 * maxBufferedBodyBytes / len(chunk) {
			out, ok := me.process(chunk)
			require.True(t, ok)
			require.Len(t, out, len(chunk))
			require.LessOrEqual(t, po.Used(), po.Limit)
		}
	}
	for _, me := range meters {
		_, us, complete := me.finish()
		require.True(t, complete)
		require.EqualValues(t, 2*maxBufferedBodyBytes/bytesPerToken, us.Completion, "billed by its length")
	}
	require.Zero(t, po.Used())
}

// The longest line that passes leaves its metering intact.
func TestLongLinesAreForwarded(t *testing.T) {
	me := meter{streamed: true}
	line := "data: " + strings.Repeat("x", maxLineBytes-len("data: \n")-1) + "\n"
	var got strings.Builder
	for rest := line + "\n" + usageEvent + doneEvent; rest != ""; {
		n := min(len(rest), readBufferBytes)
		out, ok := me.process([]byte(rest[:n]))
		require.True(t, ok)
		got.Write(out)
		rest = rest[n:]
	}
	remaining, us, complete := me.finish()
	require.True(t, complete)
	require.EqualValues(t, 7, us.Prompt)
	require.Equal(t, line+"\n"+usageEvent+doneEvent, got.String()+string(remaining))
}
