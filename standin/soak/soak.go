package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/keyvalue"
)

// Defect is a deliberate defect of the test environment or of the way it treats gateways. Tests use
// it to show that a check detects the violation of its guarantee.
type Defect string

// The defects, each of which violates one guarantee.
const (
	// RunsTwice makes servers execute each request twice, FalseNotExecuted reject some requests as
	// not executed after executing them, SwapsResponses respond with another request's body and
	// SkipsEvents omit an event of each stream.
	RunsTwice        Defect = "runs-twice"
	FalseNotExecuted Defect = "lies-not-run"
	SwapsResponses   Defect = "mixes-answers"
	SkipsEvents      Defect = "skips-events"
	// WithholdsEvents makes the key-value service answer watches without the changes.
	WithholdsEvents Defect = "withholds-news"
	// KillsOnStop kills gateways instead of stopping them gracefully.
	KillsOnStop Defect = "kills-for-stop"
	// VariesPoison makes each copy of the poison request different.
	VariesPoison Defect = "varies-poison"
	// OmitsReports makes servers omit the headers that announce their shutdown or request a pause.
	OmitsReports Defect = "hides-reports"
	// IgnoresClose makes servers continue streams whose connection was closed.
	IgnoresClose Defect = "ignores-close"
	// ResetsCallers lets connections of callers be reset while their requests are in progress.
	ResetsCallers Defect = "resets-callers"
	// OutageNeverEnds makes the key-value service leave all requests unanswered after its first
	// fault.
	OutageNeverEnds Defect = "stays-down"
)

// Runner executes plans. Its exported fields are set before Run.
type Runner struct {
	// Bin is the directory of the built programs; Dir is where settings and logs are written.
	Bin, Dir string
	// Callers is the number of concurrent clients.
	Callers int
	Defect  Defect
	// CPUShare is the part of a core that gateways may use according to their settings, zero for no value.
	CPUShare float64
}

const (
	// restartTime is how long a process may take to restart.
	restartTime = time.Second
	// crashedEntryTTL is how long the entry of a crashed server remains.
	crashedEntryTTL = 1500 * time.Millisecond
	// gracePeriod is the time that the settings allow for a graceful shutdown, shortGracePeriod the time that they
	// allow for when a process starts, if it is raised later.
	gracePeriod      = 3 * time.Second
	shortGracePeriod = time.Second
	// briefGracePeriod is the grace period of brief stops, which leaves less time than a request to longPath takes.
	briefGracePeriod = 1300 * time.Millisecond
	// briefStops is how many faults WithBriefStops adds.
	briefStops = 6
)

// gateway is a gateway process with the proxies for its clients and for the key-value service.
type gateway struct {
	// settingsPath is where the settings are, settings the ones in force.
	settingsPath, settings  string
	address                 string
	clientProxy, storeProxy *fleet.Proxy
	process                 *fleet.Process
	// restartMu is held while the process is being restarted, suspended or reloaded.
	restartMu sync.Mutex
}

// soakRun is one run of a plan.
type soakRun struct {
	runner *Runner
	plan   Plan
	fleet  *fleet.Fleet
	store  *keyvalue.Store
	// storeServer serves the store over HTTP.
	storeServer *httptest.Server
	history     *history

	gateways []*gateway
	// mu guards the contents of history and the fields below except injections.
	mu             sync.Mutex
	servers        []*server
	serversStarted int
	configVersion  int
	// furtherRoutes is the number of routes that no client uses.
	furtherRoutes int
	// routeRemoved is set once the route of removedPath is not in the configuration any more.
	routeRemoved bool
	keys         []string
	storeFaults  map[FaultKind]int
	injections   sync.WaitGroup
	// restarts holds the injections that restart gateways, which wait for each other and may outlast their faults.
	restarts sync.WaitGroup
}

// Run executes a plan and returns the violations. Settings and logs remain in Dir.
func (rn *Runner) Run(ctx context.Context, pl Plan) ([]Violation, error) {
	sr := rn.newRun(pl)
	err := sr.start()
	defer sr.close()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sr.history.start = time.Now()
	var callers sync.WaitGroup
	callers.Go(func() { sr.watchMemory(ctx) })
	if len(pl.Crowds) > 0 {
		callers.Go(func() { sr.watchUse(ctx) })
	}
	for _, cc := range pl.Crowds {
		sr.injections.Go(func() { sr.gatherCrowd(cc) })
	}
	callers.Go(func() { sr.history.clock.Run(ctx) })
	for i := range rn.Callers {
		if pl.Operations && i%2 == 0 {
			callers.Go(func() { sr.runOperations(ctx.Done(), i) })
			continue
		}
		callers.Go(func() { sr.runCaller(ctx, i) })
	}
	for _, fa := range pl.Faults {
		time.Sleep(time.Until(sr.history.start.Add(fa.Start)))
		group := &sr.injections
		if fa.restarts() {
			group = &sr.restarts
		}
		group.Go(func() { sr.inject(fa) })
	}
	time.Sleep(time.Until(sr.history.start.Add(pl.FaultsEnd)))
	sr.restarts.Wait()
	// The rest is measured in running time, which a busy machine does not shorten.
	fleet.SleepRunning(recoverWithin)
	sr.history.recoverFrom = time.Now()
	fleet.SleepRunning(pl.End - pl.FaultsEnd - recoverWithin)
	cancel()
	callers.Wait()
	sr.injections.Wait()
	sr.readRollout()
	if pl.Operations {
		fmt.Fprintf(os.Stderr, "soak: attempts by ending, and how many ran: %v\n", sr.history.endings())
	}
	return append(sr.history.check(), sr.checkProcesses()...), nil
}

func (rn *Runner) newRun(pl Plan) *soakRun {
	pl.Faults = slices.Clone(pl.Faults)
	return &soakRun{
		runner: rn, plan: pl, store: keyvalue.New(), fleet: &fleet.Fleet{Bin: rn.Bin, Dir: rn.Dir},
		keys: []string{"key-1", "key-2"}, storeFaults: map[FaultKind]int{},
		history: &history{plan: pl, routeRemovedAt: time.Now().Add(time.Hour), executions: &executionLog{executed: map[string][]execution{}, rejected: map[string][]execution{}}, revokedAt: map[string]time.Time{}, drainedAt: map[string]time.Time{}, resident: make([]residentRange, pl.Gateways), use: make([]machineUse, pl.Gateways)},
	}
}

func (sr *soakRun) start() error {
	sr.storeServer = httptest.NewServer(sr.store)
	address := strings.TrimPrefix(sr.storeServer.URL, "http://")
	sr.publishConfig()
	for range sr.plan.Servers {
		if err := sr.addServer(firstVersion); err != nil {
			return err
		}
	}
	for i := range sr.plan.Gateways {
		if err := sr.addGateway(i, address); err != nil {
			return err
		}
	}
	return nil
}

func (sr *soakRun) addGateway(i int, store string) error {
	gw := &gateway{}
	var err error
	if gw.address, err = fleet.FreeAddress(); err != nil {
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
	if gw.clientProxy, err = fleet.NewProxy(gw.address); err != nil {
		return err
	}
	if gw.storeProxy, err = fleet.NewProxy(store); err != nil {
		return err
	}
	if sr.plan.hasLargeConfigs() && i >= 2 {
		gw.storeProxy.SetRate(smallLinkRate)
	}
	host, port, _ := strings.Cut(relay, ":")
	gw.settingsPath = filepath.Join(sr.runner.Dir, fmt.Sprintf("gateway-%d.toml", i))
	gw.settings = fmt.Sprintf(settingsTemplate, i, 1+i%max(1, sr.plan.DataCentres), host, port, port, gw.address, ready, sr.runner.CPUShare, sr.plan.machineLimits(), sr.plan.gracePeriod().Seconds(), revokeBound.Milliseconds(), applyBound.Milliseconds(), canaryShare, canarySlack, gw.storeProxy.Address())
	sr.gateways = append(sr.gateways, gw)
	return sr.startGateway(i)
}

// settingsTemplate is the template of a gateway's settings file.
const settingsTemplate = `
node_name = "front-%d"
zone = "z%d"
ip = "%s"
port_range = [%s, %s]
[listen]
frontend = "%s"
readiness = "%s"
[limits]
link_mbps = 100.0
cpu_share = %v
%s
[bounds]
grace_s = %v
revoke_ms = %d
config_apply_ms = %d
strict_revoke = true
retry_budget_ratio = 0.9
budget_window_s = 10
canary_share = %v
canary_slack = %d
session_s = 5
[platform]
address = "%s"
`

// startGateway starts a gateway's process and waits until it accepts connections. The port of a process
// that is still stopping remains in use for a moment. If callers perform operations, the grace period is raised after
// the start, with a signal at every second gateway.
func (sr *soakRun) startGateway(i int) error {
	gw := sr.gateways[i]
	initial := gw.settings
	if sr.plan.Operations && !sr.plan.BriefStops {
		initial = strings.ReplaceAll(initial, graceSetting(gracePeriod), graceSetting(shortGracePeriod))
	}
	if err := gw.writeSettings(initial); err != nil {
		return err
	}
	pr, err := sr.fleet.Start(fmt.Sprintf("gateway-%d", i), "linnetrudder", "gateway", "--settings", gw.settingsPath)
	if err != nil {
		return err
	}
	gw.process = pr
	if err := pr.WaitListening(gw.address); err != nil {
		return err
	}
	if initial == gw.settings {
		return nil
	}
	if err := gw.writeSettings(gw.settings); err != nil {
		return err
	}
	if i%2 == 0 {
		return pr.Signal(syscall.SIGHUP)
	}
	return nil
}

func (gw *gateway) writeSettings(text string) error {
	if err := os.WriteFile(gw.settingsPath, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// gracePeriod returns the time that the settings allow for a graceful shutdown.
func (pl Plan) gracePeriod() time.Duration {
	if pl.BriefStops {
		return briefGracePeriod
	}
	return gracePeriod
}

// WithBriefStops adds planned stops with a grace period that is shorter than the timeout of the routes. It has a random
// source of its own, so that the other faults of the seed remain the same.
func (pl Plan) WithBriefStops() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+17))
	pl.Faults, pl.BriefStops = slices.Clone(pl.Faults), true
	for range briefStops {
		at := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)))
		pl.Faults = append(pl.Faults, Fault{Kind: Stop, Target: rn.IntN(pl.Gateways), Start: at, End: at})
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

func graceSetting(grace time.Duration) string { return fmt.Sprintf("grace_s = %v\n", grace.Seconds()) }

// close stops everything that the run has started.
func (sr *soakRun) close() {
	for _, gw := range sr.gateways {
		if gw.process == nil {
			continue // the process was never started
		}
		_ = gw.process.Signal(syscall.SIGCONT)
		_ = gw.process.Signal(syscall.SIGKILL)
		gw.process.Wait(restartTime)
		gw.clientProxy.Close()
		gw.storeProxy.Close()
	}
	sr.store.SetFaults(keyvalue.Faults{})
	sr.storeServer.CloseClientConnections()
	sr.storeServer.Close()
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for _, se := range sr.servers {
		se.stop()
	}
}

// addServer starts a backend server of a version and writes its entry; the caller does not hold mu.
func (sr *soakRun) addServer(version string) error {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.serversStarted++
	se, err := startServer(fmt.Sprintf("s-%d", sr.serversStarted), version, sr.history.executions, sr.runner.Defect, sr.plan)
	if err != nil {
		return err
	}
	if sr.plan.MissedEnds {
		se.proxy.SetEnds([]fleet.Ends{fleet.EndsLost, fleet.EndsHalfOpen}[sr.serversStarted%2])
	}
	se.crash = sync.OnceFunc(func() { sr.injections.Go(func() { sr.crashServer(se) }) })
	sr.servers = append(sr.servers, se)
	sr.store.Set("servers/"+se.id, se.entry())
	return nil
}

// publishConfig publishes the next version of the configuration.
func (sr *soakRun) publishConfig() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.configVersion++
	sr.writeConfig()
}

// largeConfigRoutes is the number of routes of a large configuration. smallLinkRate is the capacity of a
// small link in bytes per second, over which it takes longer than the timeouts of a call.
const (
	largeConfigRoutes = 1500
	smallLinkRate     = 400e3
)

// publishLargeConfig publishes a version of the configuration with many routes.
func (sr *soakRun) publishLargeConfig() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.furtherRoutes = largeConfigRoutes
	sr.configVersion++
	sr.writeConfig()
}

// writeConfig writes the current version of the configuration; the caller holds mu.
func (sr *soakRun) writeConfig() {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": 1200 + sr.configVersion,
			"target_latency_ms": 200, "target_gap_ms": 300, "priority": 1, "service": "svc", "max_attempts": attempts,
			"resumable": kind == "streaming",
		}
	}
	routes := []any{route("safe", "safe", 3), route("unsafe", "unsafe", 1), route("stream", "streaming", 3)}
	if sr.plan.removesRoute() && !sr.routeRemoved {
		routes = append(routes, route("removed", "safe", 3))
	}
	for i := range sr.furtherRoutes {
		routes = append(routes, route(fmt.Sprint("further-", i), "safe", 3))
	}
	sr.store.Set("op/config", map[string]any{
		"version":  sr.configVersion,
		"routes":   routes,
		"services": []any{map[string]any{"name": "svc", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": maxHeadBytes, "max_body_bytes": sr.plan.maxBodyBytes(), "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": sr.keys}},
	})
}

// revokeKey revokes the oldest API key and adds a new one.
func (sr *soakRun) revokeKey() {
	sr.mu.Lock()
	revoked := sr.keys[0]
	sr.keys = append(sr.keys[1:], fmt.Sprintf("key-%d", sr.configVersion+2))
	sr.mu.Unlock()
	sr.publishConfig()
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.history.revokedAt[revoked] = time.Now()
}

// removeRoute removes the route of removedPath.
func (sr *soakRun) removeRoute() {
	sr.mu.Lock()
	sr.routeRemoved = true
	sr.mu.Unlock()
	sr.publishConfig()
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.history.routeRemovedAt = time.Now()
}

// pickKey returns the API key for the nth request. Every eighth request uses the first key, also after
// its revocation.
func (sr *soakRun) pickKey(n int) string {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if n%8 == 0 {
		return "key-1"
	}
	return sr.keys[n%len(sr.keys)]
}

// runCaller sends requests one after another, as one client with persistent connections, until the
// context is cancelled.
func (sr *soakRun) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: 4 * requestDeadline}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		ou := outcome{
			id: fmt.Sprintf("r-%d-%d", caller, n), gateway: (caller + n/5) % len(sr.gateways),
			path: []string{"/safe/x", "/unsafe/x", "/stream/x"}[n%3], key: sr.pickKey(caller + n),
		}
		if sr.plan.removesRoute() && n%8 == 0 {
			ou.path = removedPath
		}
		if sr.plan.hasPoisonPart() {
			ou.prompt = fmt.Sprintf("common:100,subject-%d:100,own-%d:50", n%7, n)
		}
		sr.sendRequest(client, &ou)
		sr.mu.Lock()
		sr.history.outcomes = append(sr.history.outcomes, ou)
		sr.mu.Unlock()
		time.Sleep(requestInterval)
	}
}
