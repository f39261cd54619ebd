package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// testTimeout is a timeout that is reached only if the client or the stand-in is broken.
const testTimeout = time.Minute

func newClient(t *testing.T, ha http.Handler) *kv.Client {
	srv := httptest.NewServer(ha)
	t.Cleanup(srv.Close)
	return &kv.Client{
		Address: srv.Listener.Addr().String(), Timeout: testTimeout,
		Limiter: rate.NewLimiter(rate.Inf, 1), HTTP: srv.Client(),
	}
}

func code(t *testing.T, err error) result.Code {
	var er *result.Error
	require.True(t, errors.As(err, &er), "%v", err)
	return er.Code()
}

func TestCompareAndSwap(t *testing.T) {
	st := &Store{}
	cl := newClient(t, st)
	pair, err := cl.Get(t.Context(), "a/b")
	require.NoError(t, err)
	require.Zero(t, pair.Index)
	for _, want := range []bool{true, false} {
		swapped, err := cl.Swap(t.Context(), "a/b", []byte("one"), 0)
		require.NoError(t, err)
		require.Equal(t, want, swapped, "only the first write creates the key")
	}
	pair, err = cl.Get(t.Context(), "a/b")
	require.NoError(t, err)
	require.Equal(t, "one", string(pair.Value))
	swapped, err := cl.Swap(t.Context(), "a/b", []byte("two"), pair.Index)
	require.NoError(t, err)
	require.True(t, swapped)
	swapped, err = cl.Swap(t.Context(), "a/b", []byte("three"), pair.Index)
	require.NoError(t, err)
	require.False(t, swapped)
}

func TestListReadsPrefix(t *testing.T) {
	st := &Store{}
	st.Put("a/1", []byte("x"))
	st.Put("a/2", []byte("y"))
	st.Put("b/1", []byte("z"))
	pairs, err := newClient(t, st).List(t.Context(), "a/")
	require.NoError(t, err)
	require.Len(t, pairs, 2)
	require.Equal(t, "y", string(pairs[1].Value))
}

func TestWatchWaitsForChange(t *testing.T) {
	st := &Store{}
	st.Put("k", []byte("one"))
	cl := newClient(t, st)
	pair, index, err := cl.Watch(t.Context(), "k", 0, testTimeout)
	require.NoError(t, err)
	require.Equal(t, "one", string(pair.Value))
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		st.Put("other", nil)
		st.Put("k", []byte("two"))
	}()
	pair, next, err := cl.Watch(t.Context(), "k", index, testTimeout)
	require.NoError(t, err)
	require.Equal(t, "two", string(pair.Value))
	require.Greater(t, next, index)
	<-changed
}

func TestLostResponseDiffersFromOutage(t *testing.T) {
	st := &Store{}
	cl := newClient(t, st)
	st.SetFaults(Faults{DropWriteResponses: 1})
	_, err := cl.Swap(t.Context(), "k", []byte("made"), 0)
	require.Equal(t, result.StoreUnknown, code(t, err))
	require.Equal(t, "made", string(st.Value("k")), "the write was applied although its response was lost")
	st.SetFaults(Faults{Down: true})
	_, err = cl.Get(t.Context(), "k")
	require.Equal(t, result.StoreDown, code(t, err))
	_, err = cl.Swap(t.Context(), "k", nil, 0)
	require.Equal(t, result.StoreUnknown, code(t, err), "a failed write may have been applied")
}

func TestRateLimitCountsAsOutage(t *testing.T) {
	cl := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	_, err := cl.Swap(t.Context(), "k", nil, 0)
	require.Equal(t, result.StoreDown, code(t, err), "a refused write was not applied")
}

func TestMalformedResponseCountsAsOutage(t *testing.T) {
	for _, body := range []string{"", "{", `[{"Value": "%%%"}]`} {
		cl := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		_, err := cl.Get(t.Context(), "k")
		require.Equal(t, result.StoreDown, code(t, err), body)
	}
}

func TestClientRateLimit(t *testing.T) {
	st := &Store{}
	cl := newClient(t, st)
	cl.Limiter = rate.NewLimiter(rate.Every(time.Hour), 1)
	_, err := cl.Get(t.Context(), "k")
	require.NoError(t, err)
	// The limiter refuses at once a request for which it would have to wait beyond the deadline of
	// the context.
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err = cl.Get(ctx, "k")
	require.Equal(t, result.StoreBudget, code(t, err))
	require.Equal(t, 1, st.Calls(http.MethodGet))
}
