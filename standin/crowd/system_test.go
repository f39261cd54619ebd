package crowd_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/selector"
	"github.com/linnetrudder/linnetrudder/standin/crowd"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/keyvalue"
)

const (
	// memoryMB and maxFiles are the memory and the descriptors that the processes may use. With manyFiles the memory
	// limits the connections.
	memoryMB  = 128
	maxFiles  = 700
	manyFiles = 4100
	// gatewayBodyBytes and entryBodyBytes are the maximum sizes of a body, headerBytes and entryHeaderBytes those of a
	// head.
	gatewayBodyBytes = 4 << 20
	entryBodyBytes   = 1 << 20
	headerBytes      = 16384
	entryHeaderBytes = 64 << 10
	// idleTimeout is the time limit between the requests of a connection at a gateway.
	idleTimeout = 4 * time.Second
	// waitTimeout is long enough that only a faulty system reaches it.
	waitTimeout = 60 * time.Second
	// largeResponseBytes is the size of the response to a request with largePath.
	largeResponseBytes = 3_000_000
	largePath          = "/safe/large"
	callerKey          = "caller-key"
)

// process is a process of the system before which the crowds gather.
type process struct {
	t       *testing.T
	process *fleet.Process
	address string
	target  crowd.Target
	usage   *crowd.Usage
	// files is the number of descriptors that the process may use.
	files int
	// ordinary sends an ordinary request and returns the status of its response.
	ordinary func(ctx context.Context) (int, error)
	// companions are further processes that must not end.
	companions []*fleet.Process
	// settingsPath is where the settings are.
	settingsPath string
	store        *keyvalue.Store
}

const gatewaySettings = `
node_name = "front-1"
zone = "z1"
ip = "127.0.0.1"
[listen]
frontend = "%s"
readiness = "%s"
[limits]
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
[bounds]
grace_s = 3
revoke_ms = 2000
config_apply_ms = 2000
[platform]
address = "%s"
`

// startGateway starts a gateway with a store and a backend server that responds with the digest of a body.
func startGateway(t *testing.T) *process {
	t.Helper()
	return startGatewayWith(t, maxFiles)
}

// startGatewayWith starts a gateway with a number of descriptors.
func startGatewayWith(t *testing.T, files int) *process {
	t.Helper()
	store := keyvalue.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	t.Cleanup(storeServer.CloseClientConnections)
	backend := httptest.NewServer(http.HandlerFunc(serveDigest))
	t.Cleanup(backend.Close)
	t.Cleanup(backend.CloseClientConnections)
	writeConfiguration(store, strings.TrimPrefix(backend.URL, "http://"))

	fl := &fleet.Fleet{Bin: binDir, Dir: t.TempDir()}
	t.Cleanup(func() { _ = fl.Stop() })
	address, err := fleet.FreeAddress()
	require.NoError(t, err)
	ready, err := fleet.FreeAddress()
	require.NoError(t, err)
	path := filepath.Join(fl.Dir, "gateway.toml")
	text := fmt.Sprintf(gatewaySettings, address, ready, memoryMB, files, strings.TrimPrefix(storeServer.URL, "http://"))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	pr, err := fl.Start("gateway", "linnetrudder", "gateway", "--settings", path)
	require.NoError(t, err)
	require.NoError(t, pr.WaitListening(address))
	head := "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + callerKey + "\r\nX-Request-Id: crowd\r\n"
	ps := &process{
		t: t, process: pr, address: address, usage: crowd.NewUsage(pr.PID(), portOf(t, address)), files: files, settingsPath: path, store: store,
		target:   crowd.Target{Address: address, Head: head, BodyBytes: gatewayBodyBytes, HeadBytes: 60_000, MaxHeadBytes: headerBytes},
		ordinary: func(ctx context.Context) (int, error) { return ordinaryCall(ctx, address) },
	}
	ps.awaitService("before")
	return ps
}

// writeConfiguration writes the configuration and the entry of a backend server.
func writeConfiguration(store *keyvalue.Store, backend string) {
	store.Set("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "safe", "host": "h.example", "path_prefix": "/safe/", "route_type": "safe", "timeout_ms": 30_000,
			"target_latency_ms": 1000, "priority": 1, "service": "svc", "max_attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "svc", "max_connections": 100}},
		"limits": map[string]any{
			"max_header_bytes": headerBytes, "max_body_bytes": gatewayBodyBytes, "header_timeout_ms": 3000,
			"idle_timeout_ms": idleTimeout.Milliseconds(),
		},
		"tenants": []any{map[string]any{"name": "team", "api_keys": []string{callerKey}}},
	})
	store.Set("servers/s-1", map[string]any{
		"service": "svc", "address": backend, "zone": "z1", "version": "v1",
		"slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
	})
}

// serveDigest responds with the digest of a request's body.
func serveDigest(w http.ResponseWriter, r *http.Request) {
	ha := sha256.New()
	_, _ = io.Copy(ha, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Signature", "signed")
	if r.URL.Path == largePath {
		_, _ = io.WriteString(w, strings.Repeat("r", largeResponseBytes))
		return
	}
	_, _ = io.WriteString(w, hex.EncodeToString(ha.Sum(nil)))
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	return n
}

// call sends a request on a connection of its own.
func call(ctx context.Context, req *http.Request) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// ordinaryCall sends a request of 600 bytes to a gateway.
func ordinaryCall(ctx context.Context, address string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/safe/ordinary", strings.NewReader(strings.Repeat("o", 600)))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Request-Id", "ordinary")
	req.Header.Set("X-Deadline-Ms", "5000")
	return call(ctx, req)
}

// startEntry starts an entry with an agent, a model server and the stand-ins of the platform.
func startEntry(t *testing.T) *process {
	t.Helper()
	return startEntryWith(t, maxFiles)
}

// startEntryWith starts an entry with a number of descriptors.
func startEntryWith(t *testing.T, files int) *process {
	t.Helper()
	fl := &fleet.Fleet{Bin: binDir, Dir: t.TempDir(), Tune: func(settings map[string]any) {
		if limits, ok := settings["limits"].(map[string]any); ok {
			limits["body_bytes"], limits["header_bytes"] = entryBodyBytes, entryHeaderBytes
			limits["memory_mb"], limits["max_fds"] = memoryMB, files
		}
	}}
	t.Cleanup(func() { _ = fl.Stop() })
	require.NoError(t, fl.StartPlatform())
	backend, _, err := fl.StartStandIn("s-0", "engine", "--tokens", "12", "--pace", "1ms")
	require.NoError(t, err)
	agent, err := fl.Add(fleet.Member{Box: "agent-s-0", Role: "agent", DataCentre: "dc-0", Server: "s-0", Backend: backend})
	require.NoError(t, err)
	entry, err := fl.Add(fleet.Member{Box: "entry-0", Role: "entry", DataCentre: "dc-0"})
	require.NoError(t, err)
	putConfiguration(t, entry.Admin)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + callerKey + "\r\nContent-Type: application/json\r\n"
	ps := &process{
		t: t, process: entry.Process, address: entry.Address, usage: crowd.NewUsage(entry.Process.PID(), portOf(t, entry.Address)), files: files,
		target:     crowd.Target{Address: entry.Address, Head: head, BodyBytes: entryBodyBytes, HeadBytes: 900 << 10, MaxHeadBytes: entryHeaderBytes, JSON: true},
		companions: []*fleet.Process{agent.Process},
		ordinary:   func(ctx context.Context) (int, error) { return ordinaryChat(ctx, entry.Address) },
	}
	ps.awaitService("before")
	return ps
}

// putConfiguration applies a configuration of one model through an entry's administration API.
func putConfiguration(t *testing.T, admin string) {
	t.Helper()
	doc, err := json.Marshal(&config.Document{
		Models:   []config.Model{{Name: "m"}},
		Versions: []config.Version{{Model: "m", Name: "v1", State: config.Serving, InputPrice: 1, OutputPrice: 1}},
		Teams:    []config.Team{{Name: "team", KeyDigests: []string{config.KeyDigest(callerKey)}}},
		Grants:   []config.Grant{{Versions: &selector.Selector{}}},
		Servers:  []config.Server{{Name: "s-0", DataCentre: "dc-0", Versions: []string{"m@v1"}, Slots: 64}},
	})
	require.NoError(t, err)
	require.NoError(t, fleet.WaitUntil(waitTimeout, "the configuration to be accepted", func() bool {
		req, err := http.NewRequest(http.MethodPut, "http://"+admin+"/v1/config", strings.NewReader(string(doc)))
		require.NoError(t, err)
		status, err := call(t.Context(), req)
		return err == nil && status == http.StatusOK
	}))
}

// ordinaryChat sends a short chat request to an entry.
func ordinaryChat(ctx context.Context, address string) (int, error) {
	body := `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	return call(ctx, req)
}

// awaitService waits until one ordinary request is answered.
func (ps *process) awaitService(when string) {
	ps.t.Helper()
	err := fleet.WaitUntil(waitTimeout, "an ordinary request to be answered "+when, func() bool {
		ctx, cancel := context.WithTimeout(ps.t.Context(), 10*time.Second)
		defer cancel()
		status, err := ps.ordinary(ctx)
		return err == nil && status == http.StatusOK
	})
	require.NoError(ps.t, err)
}

// requireAlive requires that no process has ended and that the one before the crowd has stayed within its memory and
// descriptors. Bytes that have arrived and were not read count as its memory.
func (ps *process) requireAlive() {
	ps.t.Helper()
	peak, err := ps.usage.PeakResident()
	require.NoError(ps.t, err, "the process has ended")
	for _, pr := range ps.companions {
		require.False(ps.t, pr.Wait(0), pr.Name+" has ended")
	}
	unread, descriptors := ps.usage.MaxUnread(), ps.usage.MaxDescriptors()
	ps.t.Logf("%.1f MB resident at the most, %.1f MB unread, %d descriptors", float64(peak)/(1<<20), float64(unread)/(1<<20), descriptors)
	require.LessOrEqual(ps.t, peak+unread, memoryMB<<20, "memory in bytes")
	require.LessOrEqual(ps.t, descriptors, ps.files, "descriptors")
}

// awaitUnanswered waits until an ordinary request is not served.
func (ps *process) awaitUnanswered() {
	ps.t.Helper()
	require.NoError(ps.t, fleet.WaitUntil(waitTimeout, "an ordinary request to be refused", func() bool {
		ctx, cancel := context.WithTimeout(ps.t.Context(), 10*time.Second)
		defer cancel()
		status, err := ps.ordinary(ctx)
		return err == nil && status != http.StatusOK
	}))
}
