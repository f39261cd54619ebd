package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/intake"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// startIntake starts a server that reads bodies and responds with their length or the code of the error.
func startIntake(t *testing.T, in *Intake) net.Listener {
	t.Helper()
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	se := &Server{Intake: in, Limits: func() Limits { return Limits{HeaderBytes: 4 << 10} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limits := BodyLimits{Bytes: 1 << 20}
		if r.Header.Get("Deadline") != "" {
			limits.Deadline = clock.Now().Add(50 * time.Millisecond)
		}
		body, err := ReadBody(w, r, limits)
		defer body.Release()
		if err != nil {
			er, _ := err.(*result.Error) //nolint:errorlint // ReadBody returns it
			w.WriteHeader(result.Lookup(er.Code()).Status())
			_, _ = io.WriteString(w, result.Lookup(er.Code()).Name())
			return
		}
		_, _ = fmt.Fprint(w, body.Len())
	})}
	go func() { _ = se.Serve(li) }()
	t.Cleanup(func() { _ = li.Close() })
	return li
}

// send writes a text and returns the body of the response.
func send(t *testing.T, conn net.Conn, text string) string {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	return receive(t, conn)
}

func receive(t *testing.T, conn net.Conn) string {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

func post(length int, sent string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, sent)
}

func TestBodiesThatDoNotArriveAreEnded(t *testing.T) {
	in := &Intake{Limits: intake.NewLimits(0, 0), BodyStall: 100 * time.Millisecond}
	li := startIntake(t, in)
	require.Equal(t, "body_stalled", send(t, dial(t, li), post(1000, "begin")))
	require.Equal(t, "deadline", send(t, dial(t, li), strings.Replace(post(1000, "begin"), "Host", "Deadline: x\r\nHost", 1)))
	require.Equal(t, "body_too_large", send(t, dial(t, li), post(2<<20, "")))
	conn := dial(t, li)
	require.Equal(t, "5", send(t, conn, post(5, "whole")))
	require.Equal(t, "5", send(t, conn, post(5, "again")))
	require.Zero(t, in.Used())
}

// Guards against a limit of the body that ends the request while it is served.
func TestBodyLimitEndsWithTheBody(t *testing.T) {
	in := &Intake{Limits: intake.NewLimits(0, 0), BodyStall: 50 * time.Millisecond}
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer li.Close()
	se := &Server{Intake: in, Limits: func() Limits { return Limits{HeaderBytes: 4 << 10} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, BodyLimits{Bytes: 1 << 20, Deadline: clock.Now().Add(50 * time.Millisecond)})
		if err != nil {
			return
		}
		defer body.Release()
		select {
		case <-r.Context().Done():
			_, _ = io.WriteString(w, "cancelled")
		case <-time.After(300 * time.Millisecond):
			_, _ = io.WriteString(w, "served")
		}
	})}
	go func() { _ = se.Serve(li) }()
	require.Equal(t, "served", send(t, dial(t, li), post(5, "whole")))
	require.Equal(t, "served", send(t, dial(t, li), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"))
}

func TestStalledBodyMakesRoom(t *testing.T) {
	limits := intake.NewLimits(0, 0)
	limits.Memory, limits.SmallMemory = 1<<20, 256<<10
	in := &Intake{Limits: limits}
	li := startIntake(t, in)
	stalled := dial(t, li)
	_, err := io.WriteString(stalled, post(700<<10, strings.Repeat("s", 600<<10)))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return in.Used() >= 600<<10 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "5", send(t, dial(t, li), post(5, "small")), "small requests have memory of their own")
	require.Equal(t, "intake_full", send(t, dial(t, li), post(500<<10, strings.Repeat("y", 500<<10))), "the first one is too young to be ended")
	time.Sleep(time.Second)
	require.Equal(t, fmt.Sprint(500<<10), send(t, dial(t, li), post(500<<10, strings.Repeat("n", 500<<10))))
	require.Equal(t, "intake_full", receive(t, stalled))
	require.Zero(t, in.Used())
}

func (in *Intake) connectionsIn(st intake.State) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	count := 0
	for co := range in.conns {
		if co.State() == st {
			count++
		}
	}
	return count
}

func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	limits := intake.NewLimits(0, 0)
	limits.Connections = 3
	in := &Intake{Limits: limits}
	li := startIntake(t, in)
	var conns []net.Conn
	for i := range 3 {
		conn := dial(t, li)
		require.Equal(t, "5", send(t, conn, post(5, "whole")))
		conns = append(conns, conn)
		// A caller may have its response before its connection counts as idle.
		require.Eventually(t, func() bool { return in.connectionsIn(intake.Idle) == i+1 }, 10*time.Second, time.Millisecond)
	}
	require.Equal(t, "5", send(t, dial(t, li), post(5, "whole")))
	require.NoError(t, conns[0].SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := conns[0].Read(make([]byte, 1))
	require.False(t, isTimeout(err))
	require.Error(t, err)
	require.Equal(t, "5", send(t, conns[2], post(5, "whole")))
}

func TestCallerThatNeverReadsIsClosed(t *testing.T) {
	in := &Intake{Limits: intake.NewLimits(0, 0), WriteStall: 100 * time.Millisecond}
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer li.Close()
	written := make(chan error, 1)
	se := &Server{Intake: in, Limits: func() Limits { return Limits{HeaderBytes: 4 << 10} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 32<<20))
		written <- err
	})}
	go func() { _ = se.Serve(li) }()
	_, err = io.WriteString(dial(t, li), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Error(t, <-written)
	require.Eventually(t, func() bool { return in.Connections() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against connections and memory that are never given back.
func TestNothingIsHeldAfterAllHaveLeft(t *testing.T) {
	limits := intake.NewLimits(0, 0)
	limits.Connections, limits.Memory, limits.SmallMemory = 20, 2<<20, 512<<10
	in := &Intake{Limits: limits, BodyStall: 200 * time.Millisecond}
	li := startIntake(t, in)
	texts := []string{
		"", "GET /", post(5, "whole"), post(500<<10, "begin"), post(900<<10, strings.Repeat("x", 800<<10)),
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 7000), "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 30_000),
		post(5, "whole") + post(5, "again") + post(900<<10, "begin"),
	}
	var wg sync.WaitGroup
	for i := range 120 {
		wg.Go(func() {
			conn, err := net.Dial("tcp", li.Addr().String())
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, texts[i%len(texts)])
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
		})
	}
	wg.Wait()
	require.Eventually(t, func() bool { return in.Connections() == 0 && in.Used() == 0 }, 10*time.Second, time.Millisecond)
	in.mu.Lock()
	defer in.mu.Unlock()
	require.Zero(t, in.leaving)
	require.Empty(t, in.conns)
}

// Guards against a rejection that is written while all other connections wait for it. The callers don't read, so that
// each write takes its whole time limit.
func TestRejectionsOfHeadsAreWrittenAtTheSameTime(t *testing.T) {
	const callers = 60
	in := &Intake{Limits: intake.NewLimits(0, 0)}
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer li.Close()
	var full, done sync.WaitGroup
	full.Add(callers)
	send := make(chan struct{})
	for range callers {
		client := dial(t, li)
		conn, err := li.Accept()
		require.NoError(t, err)
		tc, _ := conn.(*net.TCPConn)
		cc := in.open(tc, func() int { return 4 << 10 })
		defer cc.Close()
		done.Go(func() {
			fillSendBuffer(tc)
			full.Done()
			<-send
			_, _ = io.WriteString(client, strings.Repeat("x", 20<<10))
			for err := error(nil); err == nil; {
				_, err = cc.Read(make([]byte, 4<<10))
			}
		})
	}
	full.Wait()
	began := time.Now()
	close(send)
	done.Wait()
	require.Less(t, time.Since(began), callers*arrivedWait/2)
}

// fillSendBuffer writes until the peer, which reads nothing, has taken nothing for a while.
func fillSendBuffer(tc *net.TCPConn) {
	for blocked := 0; blocked < 3; blocked++ {
		_ = tc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if n, _ := tc.Write(make([]byte, 64<<20)); n > 0 {
			blocked = 0
		}
	}
}
