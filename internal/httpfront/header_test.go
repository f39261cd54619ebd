package httpfront

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/intake"
)

// manyHeaders returns header lines of three bytes and more.
func manyHeaders(count int) string {
	var sb strings.Builder
	for i := range count {
		fmt.Fprintf(&sb, "X-%x:\r\n", i)
	}
	return sb.String()
}

func TestHeadIsCountedUpToItsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end of line")
		head := "GET / HTTP/1.1" + end + strings.Repeat("X: y"+end, rapid.IntRange(0, 30).Draw(t, "headers")) + end
		lines := strings.Count(head, "\n")
		text := head + strings.Repeat("body\n", rapid.IntRange(0, 5).Draw(t, "body"))
		var hs headScanner
		for text != "" {
			n := rapid.IntRange(1, len(text)).Draw(t, "chunk")
			hs.scan([]byte(text[:n]))
			text = text[n:]
		}
		if hs.bytes != len(head) || hs.lines != lines || !hs.ended {
			t.Fatalf("%d bytes and %d lines of %d and %d", hs.bytes, hs.lines, len(head), lines)
		}
	})
}

// Guards against heads whose memory is not counted because they arrive while another request is served.
func TestUnfinishedHeadsBehindARequestAreCharged(t *testing.T) {
	for name, limit := range map[string]int64{"room for one": 1 << 20, "no room": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			in := &Intake{Limits: intake.Limits{Memory: limit, Connections: 10, Unread: 1 << 20}}
			var lc net.ListenConfig
			li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer li.Close()
			release := make(chan struct{})
			se := &Server{Intake: in, Limits: func() Limits { return Limits{HeaderBytes: 64 << 10} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := ReadBody(w, r, BodyLimits{Bytes: 1000}); err != nil {
					return
				}
				<-release
				_, _ = io.WriteString(w, "served")
			})}
			go func() { _ = se.Serve(li) }()
			conn := dial(t, li)
			const count = 1000
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return in.connectionsIn(intake.Serving) == 1 }, 10*time.Second, time.Millisecond)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+manyHeaders(count))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return in.memoryAhead() >= count*headerFieldBytes }, 10*time.Second, time.Millisecond)
			close(release)
			require.Equal(t, "served", receive(t, conn))
			if limit < count*headerFieldBytes {
				_, err := conn.Read(make([]byte, 1))
				require.ErrorIs(t, err, io.EOF)
				return
			}
			require.Eventually(t, func() bool { return in.Used() >= count*headerFieldBytes }, 10*time.Second, time.Millisecond)
			_, err = io.WriteString(conn, "\r\n")
			require.NoError(t, err)
			require.Equal(t, "served", receive(t, conn))
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool { return in.Used() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

func (in *Intake) memoryAhead() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	ahead := 0
	for _, cc := range in.conns {
		ahead += cc.ahead
	}
	return ahead
}

// Guards against parsed heads that are larger than what arrived.
func TestParsedHeadsAreCharged(t *testing.T) {
	in := &Intake{Limits: intake.Limits{Memory: 1 << 20, Connections: 10, Unread: 1 << 20}}
	li := startIntake(t, in)
	const count = 400
	conn := dial(t, li)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+manyHeaders(count)+"Content-Length: 5\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return in.Used() >= (count-1)*headerFieldBytes-freeHeadBytes }, 10*time.Second, time.Millisecond)
	require.Equal(t, "5", send(t, conn, "whole"))
	require.Eventually(t, func() bool { return in.Used() == 0 }, 10*time.Second, time.Millisecond)
}
