package kv

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// newClient returns a client of a service with a handler.
func newClient(t *testing.T, timeout time.Duration, handler http.HandlerFunc) *Client {
	t.Helper()
	hs := httptest.NewServer(handler)
	t.Cleanup(hs.Close)
	return &Client{
		Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: timeout, Limiter: rate.NewLimiter(rate.Inf, 1), HTTP: hs.Client(),
	}
}

func TestLargeValueOverASlowLinkIsNotCutOffByTheTimeout(t *testing.T) {
	const parts, pause, timeout = 10, 50 * time.Millisecond, 250 * time.Millisecond
	value := bytes.Repeat([]byte("route"), 20_000)
	cl := newClient(t, timeout, func(w http.ResponseWriter, _ *http.Request) {
		body, err := json.Marshal([]wirePair{{Key: "k", Value: base64.StdEncoding.EncodeToString(value), ModifyIndex: 3}})
		if err != nil {
			panic(err)
		}
		for i := range parts {
			time.Sleep(pause)
			_, _ = w.Write(body[i*len(body)/parts : (i+1)*len(body)/parts])
			_ = http.NewResponseController(w).Flush()
		}
	})
	pair, err := cl.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, value, pair.Value)
}

func TestSilentServiceFailsAfterTheTimeout(t *testing.T) {
	cl := newClient(t, 50*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("["))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	began := time.Now()
	_, err := cl.Get(t.Context(), "k")
	require.Error(t, err)
	require.Less(t, time.Since(began), 5*time.Second)
}

// Guards against one odd value that hides all others below a prefix, and against a key that seems not to exist.
func TestOddPairCostsNoOther(t *testing.T) {
	const sound = `{"Key":"p/a","Value":"dmFsdWU=","ModifyIndex":3}`
	for name, odd := range map[string]string{
		"no base64": `{"Key":"p/b","Value":"%"}`, "a number": "7", "an index of another type": `{"Key":"p/b","Value":"","ModifyIndex":"x"}`,
		"a large index": `{"Key":"p/b","Value":"","ModifyIndex":18446744073709551616}`, "nested": strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
	} {
		response := "[" + odd + "," + sound + "]"
		cl := newClient(t, time.Second, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(response)) })
		pairs, err := cl.List(t.Context(), "p/")
		require.NoError(t, err, name)
		require.Error(t, pairs[0].Err, name)
		require.Equal(t, Pair{Key: "p/a", Value: []byte("value"), Index: 3}, pairs[1], name)
		response = "[" + odd + "]"
		_, err = cl.Get(t.Context(), "p/b")
		require.Error(t, err, name)
	}
}
