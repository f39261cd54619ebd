package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silencedServer serves requests, but for those on connections that have become silent.
type silencedServer struct {
	mu     sync.Mutex
	silent map[string]bool
	// sendsHead is set if silent connections still deliver the head of a response.
	sendsHead bool
	// barrier delays responses until all idle connections that a test needs are in use.
	barrier sync.WaitGroup
	address string
}

func newSilencedServer(t *testing.T) *silencedServer {
	t.Helper()
	ss := &silencedServer{silent: map[string]bool{}}
	hs := httptest.NewServer(ss)
	t.Cleanup(hs.Close)
	ss.address = hs.URL
	return ss
}

func (ss *silencedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ss.mu.Lock()
	silent, known := ss.silent[r.RemoteAddr]
	ss.silent[r.RemoteAddr] = silent
	ss.mu.Unlock()
	if !known && r.URL.Path == "/barrier" {
		ss.barrier.Done()
		ss.barrier.Wait()
	}
	if !silent {
		_, _ = io.WriteString(w, "fine")
		return
	}
	if ss.sendsHead {
		_ = http.NewResponseController(w).Flush()
	}
	<-r.Context().Done()
}

func (ss *silencedServer) silence() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for address := range ss.silent {
		ss.silent[address] = true
	}
}

func (ss *silencedServer) call(ctx context.Context, cl *http.Client, path string) error {
	timeout := 100 * time.Millisecond
	if path == "/barrier" {
		timeout = 30 * time.Second // all connections must be open, however long that takes
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, ss.address+path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := cl.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

func TestOneCallTimesOutWhenAllIdleConnectionsAreSilent(t *testing.T) {
	for _, sendsHead := range []bool{false, true} {
		ss := newSilencedServer(t)
		ss.sendsHead = sendsHead
		cl := NewClient()
		const idle = 8
		ss.barrier.Add(idle)
		var wg sync.WaitGroup
		for range idle {
			wg.Go(func() { _ = ss.call(t.Context(), cl, "/barrier") })
		}
		wg.Wait()
		require.Len(t, ss.silent, idle)
		ss.silence()
		require.ErrorIs(t, ss.call(t.Context(), cl, "/"), context.DeadlineExceeded)
		require.NoError(t, ss.call(t.Context(), cl, "/"), "head sent: %v", sendsHead)
	}
}

func TestIdleConnectionsAreKeptAfterACancelledCall(t *testing.T) {
	ss := newSilencedServer(t)
	cl := NewClient()
	require.NoError(t, ss.call(t.Context(), cl, "/"))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, ss.call(cancelled, cl, "/"), context.Canceled)
	require.NoError(t, ss.call(t.Context(), cl, "/"))
	require.Len(t, ss.silent, 1, "the same connection")
}
