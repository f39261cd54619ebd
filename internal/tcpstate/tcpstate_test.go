package tcpstate

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestStateFollowsThePeer(t *testing.T) {
	for name, tc := range map[string]struct {
		act  func(peer *net.TCPConn)
		want uint8
	}{
		"open":   {func(*net.TCPConn) {}, unix.BPF_TCP_ESTABLISHED},
		"ended":  {func(peer *net.TCPConn) { _ = peer.CloseWrite() }, unix.BPF_TCP_CLOSE_WAIT},
		"closed": {func(peer *net.TCPConn) { _ = peer.Close() }, unix.BPF_TCP_CLOSE_WAIT},
		"reset":  {func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() }, unix.BPF_TCP_CLOSE},
	} {
		t.Run(name, func(t *testing.T) {
			var lc net.ListenConfig
			li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer li.Close()
			conn, err := net.Dial("tcp", li.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			peer, err := li.Accept()
			require.NoError(t, err)
			defer peer.Close()
			_, err = peer.Write([]byte("unread"))
			require.NoError(t, err)
			tc.act(peer.(*net.TCPConn))
			require.Eventually(t, func() bool { return Of(conn.(*net.TCPConn)) == tc.want }, time.Second, time.Millisecond)
		})
	}
}

func TestStateOfAClosedDescriptorIsNotKnown(t *testing.T) {
	conn, err := net.ListenTCP("tcp", nil)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Zero(t, Of(conn))
}
