package keyvalue

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that stays blocked after its client has disconnected, which kept a soak run
// from ending: the HTTP server detects a disconnect only after the request's body has been read.
func TestHungRequestEndsWithFault(t *testing.T) {
	st := New()
	st.SetFaults(Faults{Hang: true})
	hs := httptest.NewServer(st)
	client := &http.Client{Timeout: 100 * time.Millisecond}
	_, err := client.Post(hs.URL+"/api/kv-txn", "application/json", strings.NewReader("{}"))
	require.Error(t, err)
	st.SetFaults(Faults{})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		hs.Close()
	}()
	select {
	case <-closed:
	case <-time.After(4 * time.Second):
		t.Fatal("the request is still blocked 4 s after the fault ended")
	}
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	st := New()
	hs := httptest.NewServer(st)
	defer hs.Close()
	post := func(path, body string) int {
		resp, err := http.Post(hs.URL+path, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, post("/api/kv-lease", `{"ttl_ms":60000}`))
	write := `{"set_keys":[{"key_file":"k","value":"dg==","lease":1}]}`
	require.Equal(t, http.StatusOK, post("/api/kv-txn", write))
	require.Equal(t, "v", st.Value("k"))
	require.Equal(t, http.StatusOK, post("/api/kv-keep/1", ""))
	st.ExpireLeases()
	require.Empty(t, st.Value("k"))
	require.Equal(t, http.StatusNotFound, post("/api/kv-keep/1", ""))
	require.Equal(t, http.StatusNotFound, post("/api/kv-txn", write))
}

func TestRestoreRevertsToSnapshot(t *testing.T) {
	st := New()
	hs := httptest.NewServer(st)
	defer hs.Close()
	get := func(path string) *http.Response {
		resp, err := http.Get(hs.URL + path)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp
	}
	st.Set("before", 1)
	sn := st.Snapshot()
	st.Set("after", 2)
	require.Equal(t, "1", get("/api/kv-range").Header.Get("Store-Era"))
	st.Restore(sn)
	require.Equal(t, "2", get("/api/kv-range").Header.Get("Store-Era"))
	require.Equal(t, []string{"before"}, st.Keys(""))
	require.Equal(t, http.StatusGone, get("/api/kv-watch?since_revision=2").StatusCode)
	st.Set("afterRestore", 3)
	require.Equal(t, uint64(2), st.Revision(), "revisions are issued again")
	require.Equal(t, http.StatusOK, get("/api/kv-watch?since_revision=2").StatusCode)
}
