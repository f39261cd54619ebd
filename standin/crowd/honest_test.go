package crowd_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/standin/crowd"
)

// exchange writes the parts of a request with a pause between them and returns the status and the body of the
// response.
func exchange(t *testing.T, conn net.Conn, pause time.Duration, parts ...string) (int, string) {
	t.Helper()
	go func() {
		for i, part := range parts {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		if resp.StatusCode >= http.StatusOK {
			return resp.StatusCode, string(body)
		}
	}
}

func (ps *process) dial() net.Conn {
	ps.t.Helper()
	conn, err := net.Dial("tcp", ps.address)
	require.NoError(ps.t, err)
	ps.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// requireWhole requires that a response is a success, and at a gateway that the backend server has received the body.
func (ps *process) requireWhole(status int, response, body string) {
	ps.t.Helper()
	require.Equal(ps.t, http.StatusOK, status, response)
	if !ps.target.JSON {
		sum := sha256.Sum256([]byte(body))
		require.Equal(ps.t, hex.EncodeToString(sum[:]), response)
	}
}

const (
	withLength  = "Content-Length: %d\r\n\r\n"
	withChunks  = "Transfer-Encoding: chunked\r\n\r\n"
	deadlineOf  = "X-Deadline-Ms: %d\r\n"
	calmTimeout = 25_000
)

// Guards against limits that requests within the documented ones meet.
func TestLargestRequestsAreServedInCalm(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *process{"gateway": startGateway, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			ps := start(t)
			body, head := ps.target.Body(), ps.target.Head+fmt.Sprintf(deadlineOf, calmTimeout)
			status, response := exchange(t, ps.dial(), 0, head+fmt.Sprintf(withLength, len(body)), body)
			ps.requireWhole(status, response, body)
			for _, size := range []int{1, 1 << 10, 64 << 10} {
				status, response := exchange(t, ps.dial(), 0, head+withChunks, crowd.InChunks(body, size), "0\r\n\r\n")
				ps.requireWhole(status, response, body)
			}
			ps.requireAlive()
		})
	}
}

func TestSlowBodyIsServedInCalm(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *process{"gateway": startGateway, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			ps := start(t)
			body := ps.target.SmallBody()
			parts := []string{ps.target.Head + fmt.Sprintf(deadlineOf, calmTimeout) + fmt.Sprintf(withLength, len(body))}
			for i := range 10 {
				parts = append(parts, body[i*len(body)/10:(i+1)*len(body)/10])
			}
			status, response := exchange(t, ps.dial(), 700*time.Millisecond, parts...)
			ps.requireWhole(status, response, body)
		})
	}
}

func TestClientThatWaitsForContinueIsServed(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *process{"gateway": startGateway, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			ps := start(t)
			conn, body := ps.dial(), ps.target.SmallBody()
			_, err := io.WriteString(conn, ps.target.Head+"Expect: 100-continue\r\n"+fmt.Sprintf(withLength, len(body)))
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			line, err := reader.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "100")
			_, err = reader.ReadString('\n')
			require.NoError(t, err)
			_, err = io.WriteString(conn, body)
			require.NoError(t, err)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			response, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			ps.requireWhole(resp.StatusCode, string(response), body)
		})
	}
}

func TestLargestHeadIsServedInCalm(t *testing.T) {
	ps := startGateway(t)
	body := ps.target.SmallBody()
	head := ps.target.Head + "X-Long: %s\r\n" + fmt.Sprintf(withLength, len(body))
	head = fmt.Sprintf(head, strings.Repeat("x", headerBytes-len(head)+len("%s")))
	require.Len(t, head, headerBytes)
	status, response := exchange(t, ps.dial(), 0, head, body)
	ps.requireWhole(status, response, body)
}

func TestManyHeadersAreServedInCalm(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *process{"gateway": startGateway, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			ps := start(t)
			ps.target.BodyBytes = len(ps.target.SmallBody())
			body := ps.target.SmallBody()
			status, response := exchange(t, ps.dial(), 0, ps.target.ManyHeaders(), body)
			ps.requireWhole(status, response, body)
		})
	}
}

func TestKeptConnectionThatRestsIsServed(t *testing.T) {
	ps := startGateway(t)
	conn, body := ps.dial(), ps.target.SmallBody()
	request := ps.target.Head + fmt.Sprintf(withLength, len(body)) + body
	for range 3 {
		status, response := exchange(t, conn, 0, request)
		ps.requireWhole(status, response, body)
		time.Sleep(idleTimeout * 4 / 5)
	}
}

// Guards against crowds that leave something behind in a process.
func TestProcessRecoversFromOneCrowdAfterTheOther(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *process{"gateway": startGateway, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			ps := start(t)
			kinds := gatewayCrowds
			if ps.target.JSON {
				kinds = entryCrowds
			}
			before, err := ps.usage.Descriptors()
			require.NoError(t, err)
			for _, cc := range kinds {
				ps.gather(crowdCase{cc.kind, min(cc.size, 100)})()
			}
			var leaves []func()
			for _, cc := range kinds {
				leaves = append(leaves, ps.gather(crowdCase{cc.kind, 20}))
			}
			for _, leave := range leaves {
				leave()
			}
			ps.awaitService("after the crowds")
			ps.awaitDescriptors(before)
			ps.requireAlive()
			status, response := exchange(t, ps.dial(), 0, ps.target.Head+fmt.Sprintf(withLength, ps.target.BodyBytes), ps.target.Body())
			ps.requireWhole(status, response, ps.target.Body())
		})
	}
}
