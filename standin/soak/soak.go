package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/keyvalue"
)

// Sabotage is a deliberately broken part, by which tests show that the checks see
// what they are there for.
type Defect string

// The sabotages, each of which breaks one promise.
const (
	// RunsTwice lets servers run each request twice, LiesNotRun deny some that ran,
	// MixesAnswers answer with another request's body, SkipsEvents leave one out.
	RunsTwice        Defect = "runs-twice"
	FalseNotExecuted Defect = "lies-not-run"
	SwapsResponses   Defect = "mixes-answers"
	SkipsEvents      Defect = "skips-events"
	// WithholdsNews lets the key-value service answer without telling of changes.
	WithholdsEvents Defect = "withholds-news"
	// KillsForStop ends processes at once where a planned stop is asked for.
	KillsOnStop Defect = "kills-for-stop"
	// VariesPoison makes each copy of a request differ under which servers end.
	VariesPoison Defect = "varies-poison"
	// HidesReports lets servers keep their shutdown and pauses to themselves.
	OmitsReports Defect = "hides-reports"
	// StaysDown never ends an outage of the key-value service.
	OutageNeverEnds Defect = "stays-down"
)

// Soak plays plans. Its exported fields are set before Run.
type Runner struct {
	// Bin is the folder of the built programs, Dir takes settings and logs.
	Bin, Dir string
	// Callers is how many callers there are.
	Callers int
	Defect  Defect
}

const (
	// restartTime is how long a process may take to be back after its end.
	restartTime = time.Second
	// lapse is how long the entry of a crashed server stays.
	crashedEntryTTL = 1500 * time.Millisecond
	// stopGrace is the time that the settings give a planned stop.
	gracePeriod = 3 * time.Second
)

// member is one gateway's process and the ways to it and from it.
type gateway struct {
	settingsPath            string
	address                 string
	clientProxy, storeProxy *fleet.Proxy
	process                 *fleet.Process
	// restarting is held while the process is being replaced.
	restartMu sync.Mutex
}

// play is one run.
type soakRun struct {
	runner *Runner
	plan   Plan
	fleet  *fleet.Fleet
	store  *keyvalue.Store
	// serving answers the calls to the store.
	storeServer *httptest.Server
	history     *history

	gateways []*gateway
	// mu guards what follows.
	mu             sync.Mutex
	servers        []*server
	serversStarted int
	configVersion  int
	keys           []string
	storeFaults    map[FaultKind]int
	injections     sync.WaitGroup
}

// Run plays a plan and returns the promises that were broken. Settings and logs
// stay in the folder.
func (so *Runner) Run(ctx context.Context, pl Plan) ([]Violation, error) {
	py := &soakRun{
		runner: so, plan: pl, store: keyvalue.New(), fleet: &fleet.Fleet{Bin: so.Bin, Dir: so.Dir},
		keys: []string{"key-1", "key-2"}, storeFaults: map[FaultKind]int{},
		history: &history{plan: pl, executions: &executionLog{executed: map[string][]execution{}, rejected: map[string][]execution{}}, revokedAt: map[string]time.Time{}, drainedAt: map[string]time.Time{}},
	}
	err := py.start()
	defer py.close()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	py.history.start = time.Now()
	var callers sync.WaitGroup
	for i := range so.Callers {
		callers.Go(func() { py.runCaller(ctx, i) })
	}
	for _, fa := range pl.Faults {
		time.Sleep(time.Until(py.history.start.Add(fa.Start)))
		py.injections.Go(func() { py.inject(fa) })
	}
	time.Sleep(time.Until(py.history.start.Add(pl.End)))
	cancel()
	callers.Wait()
	py.injections.Wait()
	return py.history.check(), nil
}

func (py *soakRun) start() error {
	py.storeServer = httptest.NewServer(py.store)
	address := strings.TrimPrefix(py.storeServer.URL, "http://")
	py.publishConfig()
	for range py.plan.Servers {
		if err := py.addServer(); err != nil {
			return err
		}
	}
	for i := range py.plan.Gateways {
		if err := py.addGateway(i, address); err != nil {
			return err
		}
	}
	return nil
}

func (py *soakRun) addGateway(i int, store string) error {
	me := &gateway{}
	var err error
	if me.address, err = fleet.FreeAddress(); err != nil {
		return err
	}
	ready, err := fleet.FreeAddress()
	if err != nil {
		return err
	}
	relay, err := fleet.FreeAddress()
	if err != nil {
		return err
	}
	if me.clientProxy, err = fleet.NewProxy(me.address); err != nil {
		return err
	}
	if me.storeProxy, err = fleet.NewProxy(store); err != nil {
		return err
	}
	host, port, _ := strings.Cut(relay, ":")
	me.settingsPath = filepath.Join(py.runner.Dir, fmt.Sprintf("gateway-%d.toml", i))
	text := fmt.Sprintf(settingsTemplate, i, host, port, port, me.address, ready, gracePeriod.Seconds(), revokeBound.Milliseconds(), me.storeProxy.Address())
	if err := os.WriteFile(me.settingsPath, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	py.gateways = append(py.gateways, me)
	return py.startGateway(i)
}

// settingsText is a gateway's settings file.
const settingsTemplate = `
node_name = "front-%d"
zone = "z1"
ip = "%s"
port_range = [%s, %s]
[listen]
frontend = "%s"
readiness = "%s"
[limits]
link_mbps = 100.0
[bounds]
grace_s = %v
revoke_ms = %d
strict_revoke = true
retry_budget_ratio = 0.9
budget_window_s = 10
[platform]
address = "%s"
`

// launch starts a gateway's process and waits until it serves. One that is being
// stopped leaves its port in use for a moment.
func (py *soakRun) startGateway(i int) error {
	me := py.gateways[i]
	pr, err := py.fleet.Start(fmt.Sprintf("gateway-%d", i), "linnetrudder", "gateway", "--settings", me.settingsPath)
	if err != nil {
		return err
	}
	me.process = pr
	return pr.WaitListening(me.address)
}

// close ends everything that the run has started.
func (py *soakRun) close() {
	for _, me := range py.gateways {
		if me.process == nil {
			continue // it did not start
		}
		_ = me.process.Signal(syscall.SIGCONT)
		_ = me.process.Signal(syscall.SIGKILL)
		me.process.Wait(restartTime)
		me.clientProxy.Close()
		me.storeProxy.Close()
	}
	py.store.SetFaults(keyvalue.Faults{})
	py.storeServer.CloseClientConnections()
	py.storeServer.Close()
	py.mu.Lock()
	defer py.mu.Unlock()
	for _, se := range py.servers {
		se.stop()
	}
}

// addServer starts a backend server and lists it; the lock is not held.
func (py *soakRun) addServer() error {
	py.mu.Lock()
	defer py.mu.Unlock()
	py.serversStarted++
	se, err := startServer(fmt.Sprintf("s-%d", py.serversStarted), py.history.executions, py.runner.Defect)
	if err != nil {
		return err
	}
	se.crash = sync.OnceFunc(func() { py.injections.Go(func() { py.crashServer(se) }) })
	py.servers = append(py.servers, se)
	py.store.Set("servers/"+se.id, se.entry())
	return nil
}

// configure puts a newer configuration into force.
func (py *soakRun) publishConfig() {
	py.mu.Lock()
	defer py.mu.Unlock()
	py.configVersion++
	py.writeConfig()
}

// writeConfiguration writes the configuration in force; the lock is held.
func (py *soakRun) writeConfig() {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": 1200 + py.configVersion,
			"target_latency_ms": 200, "target_gap_ms": 300, "priority": 1, "service": "svc", "max_attempts": attempts,
			"resumable": kind == "streaming",
		}
	}
	py.store.Set("op/config", map[string]any{
		"version":  py.configVersion,
		"routes":   []any{route("safe", "safe", 3), route("unsafe", "unsafe", 1), route("stream", "streaming", 3)},
		"services": []any{map[string]any{"name": "svc", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": py.keys}},
	})
}

// revoke takes the oldest key away and adds a new one.
func (py *soakRun) revokeKey() {
	py.mu.Lock()
	gone := py.keys[0]
	py.keys = append(py.keys[1:], fmt.Sprintf("key-%d", py.configVersion+2))
	py.mu.Unlock()
	py.publishConfig()
	py.mu.Lock()
	defer py.mu.Unlock()
	py.history.revokedAt[gone] = time.Now()
}

// key returns one of the keys that callers know: one that was taken away is used
// for a while longer.
func (py *soakRun) pickKey(n int) string {
	py.mu.Lock()
	defer py.mu.Unlock()
	if n%8 == 0 {
		return "key-1"
	}
	return py.keys[n%len(py.keys)]
}

// call sends requests one after the other, as one caller, until the context ends.
// It keeps its connections until they are gone.
func (py *soakRun) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: 4 * requestDeadline}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		ou := outcome{
			id: fmt.Sprintf("r-%d-%d", caller, n), gateway: (caller + n/5) % len(py.gateways),
			path: []string{"/safe/x", "/unsafe/x", "/stream/x"}[n%3], key: py.pickKey(caller + n),
		}
		py.sendRequest(client, &ou)
		py.mu.Lock()
		py.history.outcomes = append(py.history.outcomes, ou)
		py.mu.Unlock()
		time.Sleep(requestInterval)
	}
}
