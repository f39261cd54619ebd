package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

func newNode() *Node {
	no := &Node{Ring: &timeline.Ring{Box: "b"}, OnAdopt: func(*config.Snapshot) {}}
	no.Settings = settings.Default()
	no.Settings.OperatorKeys = []string{config.KeyDigest("operator")}
	return no
}

func get(no *Node, path, key string) int {
	req := httptest.NewRequest(http.MethodGet, path, http.NoBody)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	rec := httptest.NewRecorder()
	no.AdminRouter().ServeHTTP(rec, req)
	return rec.Code
}

func TestInternalPathsRequireAnOperatorKey(t *testing.T) {
	no := newNode()
	for _, path := range []string{"/metrics", "/v1/timeline", "/v1/status", "/debug/pprof/"} {
		require.Equal(t, http.StatusUnauthorized, get(no, path, ""), path)
		require.Equal(t, http.StatusUnauthorized, get(no, path, "other"), path)
		require.Equal(t, http.StatusOK, get(no, path, "operator"), path)
	}
	require.Equal(t, http.StatusOK, get(no, "/health", ""))
}

func TestReadyOnlyWithConfigurationAndBeforeStop(t *testing.T) {
	no := newNode()
	require.Equal(t, http.StatusServiceUnavailable, get(no, "/ready", ""))
	no.Install(config.Compile(1, &config.Document{}))
	require.Equal(t, http.StatusOK, get(no, "/ready", ""))
	no.Stop()
	require.Equal(t, http.StatusServiceUnavailable, get(no, "/ready", ""))
}
