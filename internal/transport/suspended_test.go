package transport

import (
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// envPeer is the address that TestProcessThatStops connects to, envEnd how it ends.
const (
	envPeer = "LINNETRUDDER_TEST_PEER"
	envEnd  = "LINNETRUDDER_TEST_END"
)

// TestProcessThatStops is the process that TestServerLearnsOfAnEndWithoutFurtherProcessorTime starts.
func TestProcessThatStops(t *testing.T) {
	address := os.Getenv(envPeer)
	if address == "" {
		t.Skip("started by another test only")
	}
	conn, err := dialWith(NewDialer())(t.Context(), "tcp", address)
	require.NoError(t, err)
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	if os.Getenv(envEnd) == "killed" {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	require.NoError(t, conn.Close())
	_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
}

// Guards against a server that works on an abandoned request for as long as the process that abandoned it gets no
// processor time, or because that process has ended.
func TestServerLearnsOfAnEndWithoutFurtherProcessorTime(t *testing.T) {
	for _, end := range []string{"suspended", "killed"} {
		t.Run(end, func(t *testing.T) {
			li, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = li.Close() }()
			cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestProcessThatStops$")
			cmd.Env = append(os.Environ(), envPeer+"="+li.Addr().String(), envEnd+"="+end)
			require.NoError(t, cmd.Start())
			defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
			conn, err := li.Accept()
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			peer := conn.(*net.TCPConn)
			_, err = peer.Read(make([]byte, 100))
			require.NoError(t, err)
			_, err = peer.Write([]byte("x"))
			require.NoError(t, err)
			require.True(t, awaitHangUp(t, peer, closeNotice), "the end of the stream is not sent")
			require.True(t, awaitEvent(t, peer, closeNotice, unix.POLLERR|unix.POLLHUP), "the connection is not reset")
		})
	}
}
