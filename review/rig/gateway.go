package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the system with the settings file that the platform gives it.
type gateway struct {
	name, zone, ip                       string
	frontend, readiness, control, config string
	// grace is grace_s of the settings, ports the first port among gateways.
	grace, ports int
	seeds        string
	store        string
	cmd          *exec.Cmd
	log          *os.File
	done         chan struct{}
}

// loopbackIP returns a loopback address of this run for a machine.
func loopbackIP(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%128, 1+pid%250, 1+machine)
}

// freePort returns a port that is free at an address now.
func freePort(ip string) (int, error) {
	li, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer li.Close()
	return li.Addr().(*net.TCPAddr).Port, nil
}

// platformBounds are the bounds of the deployment, as on its sheet.
const platformBounds = `seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_skew_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
budget_extra = 54
canary_share = 0.15
canary_slack = 30
rollback_ms = 5000
recovery_s = 12
iteration_ms = 120
retry_after_s = 7.8
session_s = 5
`

// prepareGateways writes the settings files of gateways, one in each of the zones.
func prepareGateways(dir string, zones []string, st *store) ([]*gateway, error) {
	list := make([]*gateway, len(zones))
	ports, err := freePort(loopbackIP(0))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i, zone := range zones {
		ga := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: loopbackIP(i)}
		for _, address := range []*string{&ga.frontend, &ga.readiness, &ga.control} {
			port, err := freePort(ga.ip)
			if err != nil {
				return nil, err
			}
			*address = net.JoinHostPort(ga.ip, fmt.Sprint(port))
		}
		ga.store = st.address
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", ga.control))
		}
		list[i] = ga
	}
	for _, ga := range list {
		ga.config, ga.ports, ga.seeds, ga.grace = filepath.Join(dir, ga.name+".toml"), ports, strings.Join(seeds, ","), 8
		if err := ga.writeSettings(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// writeSettings writes the settings file.
func (ga *gateway) writeSettings() error {
	text := fmt.Sprintf(`node_name = %q
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "kigali"
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
tolerance_member = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
%s = "kigali"
[listen]
frontend = %q
readiness = %q
control = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
grace_s = %d
%s[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, ga.name, ga.ip, ga.zone, ga.ports, ga.ports+15, ga.seeds, ga.zone, ga.frontend, ga.readiness, ga.control, ga.grace,
		platformBounds, ga.store)
	return os.WriteFile(ga.config, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (ga *gateway) start(root string) error {
	var err error
	if ga.log, err = os.OpenFile(ga.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	ga.cmd = exec.Command("target/linnetrudder", "gateway")
	ga.cmd.Dir = root
	ga.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LINNETRUDDER_CONFIG=" + ga.config,
	}
	ga.cmd.Stdout, ga.cmd.Stderr = ga.log, ga.log
	if err := ga.cmd.Start(); err != nil {
		return err
	}
	ga.done = make(chan struct{})
	go func() {
		_ = ga.cmd.Wait()
		close(ga.done)
	}()
	started.Lock()
	defer started.Unlock()
	started.gateways = append(started.gateways, ga)
	return nil
}

// started holds the gateways that this run has started.
var started struct {
	sync.Mutex
	gateways []*gateway
}

// endOnSignal ends the started gateways and the run when the run is asked to stop.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		started.Lock()
		for _, ga := range started.gateways {
			_ = ga.cmd.Process.Kill()
		}
		os.Exit(exitNotRun)
	}()
}

// ready asks the process whether it is ready, as the platform does.
func (ga *gateway) ready() bool {
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := cl.Get("http://" + ga.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func awaitReady(list []*gateway, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, ga := range list {
			all = all && ga.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// kill ends the process if it still runs.
func (ga *gateway) kill() {
	if ga.cmd == nil || ga.cmd.Process == nil {
		return
	}
	_ = ga.cmd.Process.Signal(syscall.SIGCONT)
	_ = ga.cmd.Process.Kill()
	<-ga.done
	_ = ga.log.Close()
}
