package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is one process of the system, started with the command of the deploy file.
type gateway struct {
	name, frontend, ready string
	settings, log         string
	cmd                   *exec.Cmd
	started               time.Time
	done                  chan struct{}
}

// command is the first word of `run` of the role in deploy/system.toml, at the repository's root.
const command = "target/linnetrudder"

// settingsText is a settings file as DEPLOY.md shows it, with the bounds of the site umurongo-rudder.
const settingsText = `node_name = %q
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = %q
region = "kigali"
port_range = [%d,%d]
seeds = []
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
gikondo = "kigali"
kicukiro = "kigali"
masaka = "kigali"
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
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
grace_s = 8
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
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`

func newGateway(dir, name, zone, storeAddress string) *gateway {
	relay := freePort()
	ga := &gateway{
		name: name, frontend: freeAddress(), ready: freeAddress(),
		settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, zone, relay, relay, ga.frontend, ga.ready, freeAddress(), storeAddress)
	must(os.WriteFile(ga.settings, []byte(text), 0o600))
	return ga
}

func (ga *gateway) start() {
	out, err := os.OpenFile(ga.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	ga.cmd = exec.Command(command, "gateway")
	ga.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LINNETRUDDER_CONFIG=" + ga.settings}
	ga.cmd.Stdout, ga.cmd.Stderr = out, out
	ga.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(ga.cmd.Start())
	ga.started, ga.done = time.Now(), make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(ga.cmd, ga.done)
}

func (ga *gateway) signal(si syscall.Signal) { _ = ga.cmd.Process.Signal(si) }

func (ga *gateway) kill() {
	if ga.cmd == nil {
		return
	}
	ga.signal(syscall.SIGKILL)
	<-ga.done
}

// isReady asks the readiness address once.
func (ga *gateway) isReady() bool {
	cl := http.Client{Timeout: time.Second}
	resp, err := cl.Get("http://" + ga.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }

// taken holds the ports that were given out: a port is free again once its probe is closed.
var taken = map[int]bool{}

func freePort() int {
	for {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		port := li.Addr().(*net.TCPAddr).Port
		_ = li.Close()
		if !taken[port] {
			taken[port] = true
			return port
		}
	}
}
