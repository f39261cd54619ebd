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
	lapse = 1500 * time.Millisecond
	// stopGrace is the time that the settings give a planned stop.
	stopGrace = 3 * time.Second
)

// member is one gateway's process and the ways to it and from it.
type member struct {
	settings         string
	address          string
	callers, toStore *fleet.Proxy
	process          *fleet.Process
	// restarting is held while the process is being replaced.
	restarting sync.Mutex
}

// play is one run.
type play struct {
	so    *Runner
	plan  Plan
	fleet *fleet.Fleet
	store *keyvalue.Store
	// serving answers the calls to the store.
	serving *httptest.Server
	rec     *record

	members []*member
	// mu guards what follows.
	mu      sync.Mutex
	servers []*server
	started int
	version int
	keys    []string
	outages map[FaultKind]int
	faults  sync.WaitGroup
}

// Run plays a plan and returns the promises that were broken. Settings and logs
// stay in the folder.
func (so *Runner) Run(ctx context.Context, pl Plan) ([]Violation, error) {
	py := &play{
		so: so, plan: pl, store: keyvalue.New(), fleet: &fleet.Fleet{Bin: so.Bin, Dir: so.Dir},
		keys: []string{"key-1", "key-2"}, outages: map[FaultKind]int{},
		rec: &record{plan: pl, ran: &ledger{runs: map[string][]run{}, shed: map[string][]run{}}, revoked: map[string]time.Time{}, drained: map[string]time.Time{}},
	}
	err := py.start()
	defer py.close()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	py.rec.began = time.Now()
	var callers sync.WaitGroup
	for i := range so.Callers {
		callers.Go(func() { py.call(ctx, i) })
	}
	for _, fa := range pl.Faults {
		time.Sleep(time.Until(py.rec.began.Add(fa.Start)))
		py.faults.Go(func() { py.strike(fa) })
	}
	time.Sleep(time.Until(py.rec.began.Add(pl.End)))
	cancel()
	callers.Wait()
	py.faults.Wait()
	return py.rec.check(), nil
}

func (py *play) start() error {
	py.serving = httptest.NewServer(py.store)
	address := strings.TrimPrefix(py.serving.URL, "http://")
	py.configure()
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

func (py *play) addGateway(i int, store string) error {
	me := &member{}
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
	if me.callers, err = fleet.NewProxy(me.address); err != nil {
		return err
	}
	if me.toStore, err = fleet.NewProxy(store); err != nil {
		return err
	}
	host, port, _ := strings.Cut(relay, ":")
	me.settings = filepath.Join(py.so.Dir, fmt.Sprintf("gateway-%d.toml", i))
	text := fmt.Sprintf(settingsText, i, host, port, port, me.address, ready, stopGrace.Seconds(), revokeBound.Milliseconds(), me.toStore.Address())
	if err := os.WriteFile(me.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	py.members = append(py.members, me)
	return py.launch(i)
}

// settingsText is a gateway's settings file.
const settingsText = `
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
func (py *play) launch(i int) error {
	me := py.members[i]
	pr, err := py.fleet.Start(fmt.Sprintf("gateway-%d", i), "linnetrudder", "gateway", "--settings", me.settings)
	if err != nil {
		return err
	}
	me.process = pr
	return pr.WaitListening(me.address)
}

// close ends everything that the run has started.
func (py *play) close() {
	for _, me := range py.members {
		if me.process == nil {
			continue // it did not start
		}
		_ = me.process.Signal(syscall.SIGCONT)
		_ = me.process.Signal(syscall.SIGKILL)
		me.process.Wait(restartTime)
		me.callers.Close()
		me.toStore.Close()
	}
	py.store.SetFaults(keyvalue.Faults{})
	py.serving.CloseClientConnections()
	py.serving.Close()
	py.mu.Lock()
	defer py.mu.Unlock()
	for _, se := range py.servers {
		se.stop()
	}
}

// addServer starts a backend server and lists it; the lock is not held.
func (py *play) addServer() error {
	py.mu.Lock()
	defer py.mu.Unlock()
	py.started++
	se, err := startServer(fmt.Sprintf("s-%d", py.started), py.rec.ran, py.so.Defect)
	if err != nil {
		return err
	}
	se.ends = sync.OnceFunc(func() { py.faults.Go(func() { py.crash(se) }) })
	py.servers = append(py.servers, se)
	py.store.Set("servers/"+se.id, se.entry())
	return nil
}

// configure puts a newer configuration into force.
func (py *play) configure() {
	py.mu.Lock()
	defer py.mu.Unlock()
	py.version++
	py.writeConfiguration()
}

// writeConfiguration writes the configuration in force; the lock is held.
func (py *play) writeConfiguration() {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": 1200 + py.version,
			"target_latency_ms": 200, "target_gap_ms": 300, "priority": 1, "service": "svc", "max_attempts": attempts,
			"resumable": kind == "streaming",
		}
	}
	py.store.Set("op/config", map[string]any{
		"version":  py.version,
		"routes":   []any{route("safe", "safe", 3), route("unsafe", "unsafe", 1), route("stream", "streaming", 3)},
		"services": []any{map[string]any{"name": "svc", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": py.keys}},
	})
}

// revoke takes the oldest key away and adds a new one.
func (py *play) revoke() {
	py.mu.Lock()
	gone := py.keys[0]
	py.keys = append(py.keys[1:], fmt.Sprintf("key-%d", py.version+2))
	py.mu.Unlock()
	py.configure()
	py.mu.Lock()
	defer py.mu.Unlock()
	py.rec.revoked[gone] = time.Now()
}

// key returns one of the keys that callers know: one that was taken away is used
// for a while longer.
func (py *play) key(n int) string {
	py.mu.Lock()
	defer py.mu.Unlock()
	if n%8 == 0 {
		return "key-1"
	}
	return py.keys[n%len(py.keys)]
}

// call sends requests one after the other, as one caller, until the context ends.
// It keeps its connections until they are gone.
func (py *play) call(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: 4 * deadline}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		ou := outcome{
			id: fmt.Sprintf("r-%d-%d", caller, n), gateway: (caller + n/5) % len(py.members),
			path: []string{"/safe/x", "/unsafe/x", "/stream/x"}[n%3], key: py.key(caller + n),
		}
		py.ask(client, &ou)
		py.mu.Lock()
		py.rec.outcomes = append(py.rec.outcomes, ou)
		py.mu.Unlock()
		time.Sleep(pauseBetween)
	}
}
