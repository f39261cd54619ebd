package liblog

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// lineBuffer collects log lines.
type lineBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lb *lineBuffer) Write(line []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.Write(line)
}

func (lb *lineBuffer) lines() []string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return strings.Split(strings.TrimSpace(lb.buf.String()), "\n")
}

// Guards against unstructured and unbounded output on standard error, with what a server sent in it.
func TestBytesAfterAResponseAreLoggedStructuredAndBounded(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = li.Close() }()
	go func() {
		for {
			conn, err := li.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1000))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(conn, strings.Repeat("surplus\n\x00", 1000))
		}
	}()
	var out lineBuffer
	defer Capture(zerolog.New(&out))()
	for range 3 * burst {
		// A connection that is used again may have received the bytes in the place of a response.
		cl := &http.Client{Transport: &http.Transport{}}
		resp, err := cl.Get("http://" + li.Addr().String())
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		time.Sleep(2 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(out.lines()) >= burst }, 10*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.Len(t, out.lines(), burst, "the rest is only counted")
	for _, line := range out.lines() {
		var entry struct {
			Event        int
			Kind, Detail string
		}
		require.NoError(t, json.Unmarshal([]byte(line), &entry), line)
		require.Equal(t, string(unsolicited), entry.Kind)
		require.LessOrEqual(t, len(entry.Detail), maxMessageBytes)
	}
}

func TestMessagesOfOneKindDoNotHideAnother(t *testing.T) {
	var out lineBuffer
	defer Capture(zerolog.New(&out))()
	for range 100 {
		log.Print("http: Accept error: too many open files")
	}
	log.Print("http: panic serving 127.0.0.1:1: boom\n" + strings.Repeat("stack\n", 100))
	lines := out.lines()
	require.Len(t, lines, burst+1)
	require.Contains(t, lines[burst], `"kind":"panic"`)
	require.Contains(t, lines[burst], strings.Repeat(`stack\n`, 50), "with its stack")
}

func TestOutputIsRestored(t *testing.T) {
	before := log.Writer()
	restore := Capture(zerolog.Nop())
	require.NotEqual(t, before, log.Writer())
	restore()
	require.Equal(t, before, log.Writer())
}
