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

// keeper keeps the frames that come, once it is let.
type keeper struct {
	mu     sync.Mutex
	frames []*wire.Frame
	// gate is closed when frames may be taken.
	gate chan struct{}
	got  chan struct{}
	want int
}

func newKeeper(want int) *keeper {
	return &keeper{gate: make(chan struct{}), got: make(chan struct{}), want: want}
}

func (ke *keeper) HandleFrame(_ *Link, fr *wire.Frame) {
	<-ke.gate
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if fr.Kind == wire.Heartbeat {
		return
	}
	ke.frames = append(ke.frames, fr)
	if len(ke.frames) == ke.want {
		close(ke.got)
	}
}

func (*keeper) Heartbeat(*Link) *wire.Frame { return &wire.Frame{Kind: wire.Heartbeat} }

// pair opens a link and serves its far end with a handler.
func pair(t *testing.T, far Handler, heartbeat time.Duration) *Link {
	id := Identity{Box: "agent", DataCentre: "dc", SharedKey: "key"}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		li, err := Accept(w, r, id, time.Now())
		if err != nil {
			return
		}
		li.Handler, li.HeartbeatInterval = far, heartbeat
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

const never = time.Hour

func TestABurstOfControlFramesOutlivesASlowReader(t *testing.T) {
	const burst = 4000
	far := newKeeper(burst)
	li := pair(t, far, never)
	near := newKeeper(0)
	close(near.gate)
	li.Handler = near
	go func() { _ = li.Run(t.Context()) }()
	for i := range burst {
		require.True(t, li.Send(&wire.Frame{Kind: wire.Cancel, Stream: uint64(i + 1)}))
	}
	close(far.gate)
	<-far.got
	for i, fr := range far.frames {
		require.Equal(t, uint64(i+1), fr.Stream, "in order")
	}
}

func TestAPeerTooFarBehindLosesTheLink(t *testing.T) {
	far := newKeeper(0)
	t.Cleanup(func() { close(far.gate) })
	li := pair(t, far, never)
	near := newKeeper(0)
	close(near.gate)
	li.Handler = near
	ended := make(chan error, 1)
	big := make([]byte, 4096)
	go func() { ended <- li.Run(t.Context()) }()
	for li.Send(&wire.Frame{Kind: wire.Config, Config: &wire.ConfigUpdate{Document: big}}) {
	}
	// The writer may hang in a write to the peer; the link's end frees it.
	require.NoError(t, li.Conn.CloseNow())
	require.Error(t, <-ended)
	require.False(t, li.Send(&wire.Frame{Kind: wire.Heartbeat}))
}

func TestASilentPeerLosesTheLink(t *testing.T) {
	far := newKeeper(0)
	t.Cleanup(func() { close(far.gate) })
	li := pair(t, far, never)
	near := newKeeper(0)
	close(near.gate)
	li.Handler, li.HeartbeatInterval = near, time.Millisecond
	require.ErrorIs(t, li.Run(t.Context()), errPeerTimeout)
}

func TestAPeerWithoutTheKeyIsRefused(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := Accept(w, r, Identity{Box: "agent", SharedKey: "key"}, time.Now())
		require.ErrorIs(t, err, errNotAuthenticated)
	}))
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().(*net.TCPAddr).String()
	_, err := Dial(t.Context(), address, Identity{Box: "entry", SharedKey: "other"}, time.Now())
	require.Error(t, err)
	_, err = Dial(t.Context(), address, Identity{Box: "entry", SharedKey: "key"}, time.Now().Add(-time.Hour))
	require.Error(t, err, "an old proof is worth nothing")
}

func TestAnAgentWithoutTheKeyIsNotTrusted(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// It takes anybody in and proves itself with a key of its own.
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
