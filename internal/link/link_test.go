package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// recorder is a Handler that records frames after it was unblocked.
type recorder struct {
	mu     sync.Mutex
	frames []*wire.Frame
	// unblock is closed to let the handler process frames.
	unblock chan struct{}
	// complete is closed when want frames were recorded.
	complete chan struct{}
	want     int
}

func newRecorder(want int) *recorder {
	return &recorder{unblock: make(chan struct{}), complete: make(chan struct{}), want: want}
}

func (re *recorder) HandleFrame(_ *Link, fr *wire.Frame) {
	<-re.unblock
	re.mu.Lock()
	defer re.mu.Unlock()
	if fr.Kind == wire.Heartbeat {
		return
	}
	re.frames = append(re.frames, fr)
	if len(re.frames) == re.want {
		close(re.complete)
	}
}

func (*recorder) Heartbeat(*Link) *wire.Frame { return &wire.Frame{Kind: wire.Heartbeat} }

// dialPair opens a link to a server that handles its frames with remote.
func dialPair(t *testing.T, remote Handler, heartbeat time.Duration) *Link {
	id := Identity{Box: "agent", DataCentre: "dc", SharedKey: "key"}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		li, err := Accept(w, r, id, time.Now())
		if err != nil {
			return
		}
		li.Handler, li.HeartbeatInterval = remote, heartbeat
		_ = li.Run(context.Background())
	}))
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().(*net.TCPAddr).String()
	li, err := Dial(t.Context(), address, Identity{Box: "entry", DataCentre: "dc", SharedKey: "key"}, time.Now())
	require.NoError(t, err)
	require.Equal(t, "agent", li.Peer.Box())
	li.HeartbeatInterval = heartbeat
	return li
}

// noHeartbeat is an interval at which no heartbeat is sent during a test.
const noHeartbeat = time.Hour

func TestBurstOfControlFramesIsDeliveredToASlowReader(t *testing.T) {
	const burst = 4000
	remote := newRecorder(burst)
	li := dialPair(t, remote, noHeartbeat)
	local := newRecorder(0)
	close(local.unblock)
	li.Handler = local
	go func() { _ = li.Run(t.Context()) }()
	for i := range burst {
		require.True(t, li.Send(&wire.Frame{Kind: wire.Cancel, Stream: uint64(i + 1)}))
	}
	close(remote.unblock)
	<-remote.complete
	for i, fr := range remote.frames {
		require.Equal(t, uint64(i+1), fr.Stream, "in order")
	}
}

func TestLinkIsClosedIfControlQueueIsFull(t *testing.T) {
	remote := newRecorder(0)
	t.Cleanup(func() { close(remote.unblock) })
	li := dialPair(t, remote, noHeartbeat)
	local := newRecorder(0)
	close(local.unblock)
	li.Handler = local
	runErr := make(chan error, 1)
	big := make([]byte, 4096)
	go func() { runErr <- li.Run(t.Context()) }()
	for li.Send(&wire.Frame{Kind: wire.Config, Config: &wire.ConfigUpdate{Document: big}}) {
	}
	// The writer may be blocked in a write to the peer until the connection is closed.
	require.NoError(t, li.Conn.CloseNow())
	require.Error(t, <-runErr)
	require.False(t, li.Send(&wire.Frame{Kind: wire.Heartbeat}))
}

func TestLinkToUnresponsivePeerIsClosed(t *testing.T) {
	remote := newRecorder(0)
	t.Cleanup(func() { close(remote.unblock) })
	li := dialPair(t, remote, noHeartbeat)
	local := newRecorder(0)
	close(local.unblock)
	li.Handler, li.HeartbeatInterval = local, time.Millisecond
	require.ErrorIs(t, li.Run(t.Context()), errPeerTimeout)
}

func TestEntryWithoutTheKeyIsRejected(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := Accept(w, r, Identity{Box: "agent", SharedKey: "key"}, time.Now())
		require.ErrorIs(t, err, errNotAuthenticated)
	}))
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().(*net.TCPAddr).String()
	_, err := Dial(t.Context(), address, Identity{Box: "entry", SharedKey: "other"}, time.Now())
	require.Error(t, err)
	_, err = Dial(t.Context(), address, Identity{Box: "entry", SharedKey: "key"}, time.Now().Add(-time.Hour))
	require.Error(t, err, "an expired handshake must be rejected")
}

func TestAgentWithoutTheKeyIsRejected(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// This agent accepts any entry and authenticates itself with a different key.
		id := Identity{Box: "agent", SharedKey: "other"}
		he := r.Header
		w.Header().Set(headerBox, id.Box)
		w.Header().Set(headerProof, id.handshakeMAC("agent", id.Box, "", he.Get(headerTime), he.Get(headerNonce)))
		conn, err := websocket.Accept(w, r, nil)
		require.NoError(t, err)
		_ = conn.CloseNow()
	}))
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().(*net.TCPAddr).String()
	_, err := Dial(t.Context(), address, Identity{Box: "entry", SharedKey: "key"}, time.Now())
	require.ErrorIs(t, err, errNotAuthenticated)
}
