// Package fleet starts stand-ins and processes of the system on loopback, for the demo, for measurements
// and for tests with real processes. It stops only processes that it started.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
)

// Member is a started entry or agent.
type Member struct {
	Box, Role, DataCentre, Server string
	// Address and Admin are the addresses that it listens on; Backend is the address of the backend
	// server behind an agent.
	Address, Admin, Backend string
	Process                 *Process
}

// Fleet is a set of processes that were started together. Its exported fields are set before use.
type Fleet struct {
	// Bin is the directory of the programs; Dir is where settings and logs are written.
	Bin, Dir string
	// Store and Boxes are the addresses of the platform's stand-ins.
	Store, Boxes string
	// Unlisted stops Add from publishing the list of boxes.
	Unlisted bool
	// Tune adjusts a member's settings before they are written.
	Tune func(settings map[string]any)

	members []*Member
	// mu guards processes, which may be started concurrently.
	mu        sync.Mutex
	processes []*Process
}

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Start starts a program of the directory Bin; its output goes to a log file in Dir.
func (fl *Fleet) Start(name, program string, args ...string) (*Process, error) {
	lo, err := os.OpenFile(filepath.Join(fl.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log file")
	}
	cmd := exec.Command(filepath.Join(fl.Bin, program), args...)
	cmd.Stdout = lo
	cmd.Stderr = lo
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "start "+name)
	}
	pr := &Process{Name: name, cmd: cmd, log: lo, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = lo.Close()
		close(pr.done)
	}()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.processes = append(fl.processes, pr)
	return pr, nil
}

// StartStandIn starts a stand-in of the given kind and returns its address.
func (fl *Fleet) StartStandIn(name, kind string, args ...string) (string, *Process, error) {
	address, err := FreeAddress()
	if err != nil {
		return "", nil, err
	}
	pr, err := fl.Start(name, "standin", append([]string{kind, "--listen", address}, args...)...)
	if err != nil {
		return "", nil, err
	}
	return address, pr, pr.WaitListening(address)
}

// StartPlatform starts the stand-ins of the platform: the key-value service and the list of boxes.
func (fl *Fleet) StartPlatform() error {
	var err error
	if fl.Store, _, err = fl.StartStandIn("store", "store"); err != nil {
		return err
	}
	fl.Boxes, _, err = fl.StartStandIn("boxes", "boxes")
	return err
}

// Add starts a process of the system and, unless Unlisted is set, publishes the list of boxes with it.
func (fl *Fleet) Add(me Member) (*Member, error) {
	var err error
	if me.Address == "" {
		if me.Address, err = FreeAddress(); err != nil {
			return nil, err
		}
		if me.Admin, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	added := &me
	if err := fl.startMember(added); err != nil {
		return nil, err
	}
	fl.members = append(fl.members, added)
	if fl.Unlisted {
		return added, nil
	}
	return added, fl.Publish()
}

// Restart starts a member's process again, with the same addresses.
func (fl *Fleet) Restart(me *Member) error { return fl.startMember(me) }

func (fl *Fleet) startMember(me *Member) error {
	path, err := fl.writeSettings(me)
	if err != nil {
		return err
	}
	me.Process, err = fl.Start(me.Box, "linnetrudder", me.Role, "--settings", path)
	if err != nil {
		return err
	}
	return me.Process.WaitListening(me.Admin)
}

func (fl *Fleet) writeSettings(me *Member) (string, error) {
	se := map[string]any{
		"box": me.Box, "data_centre": me.DataCentre, "listen": me.Address, "admin": me.Admin,
		"shared_key": "demo-key", "log_level": "debug",
		"platform": map[string]any{
			"store": fl.Store, "boxes": fl.Boxes, "calls_per_second": 50, "watch_ms": 2000, "boxes_ms": 200,
		},
		"limits": map[string]any{"heartbeat_ms": 500, "bill_flush_ms": 300, "claim_flush_ms": 50, "stop_ms": 10_000},
	}
	if me.Role == string(boxes.Agent) {
		se["server"] = map[string]any{"name": me.Server, "address": me.Backend}
	}
	if fl.Tune != nil {
		fl.Tune(se)
	}
	body, err := json.MarshalIndent(se, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "encode settings")
	}
	path := filepath.Join(fl.Dir, me.Box+".jsonc")
	body = append([]byte("// Settings of "+me.Box+".\n"), body...)
	return path, eris.Wrap(os.WriteFile(path, body, 0o600), "write settings")
}

// Publish publishes a list of boxes in which all members are live.
func (fl *Fleet) Publish() error { return fl.publishStates(nil) }

// PublishWithLeaving publishes a list of boxes in which one member is leaving and all others are live.
func (fl *Fleet) PublishWithLeaving(leaving *Member) error { return fl.publishStates(leaving) }

func (fl *Fleet) publishStates(leaving *Member) error {
	list := make([]boxes.Box, 0, len(fl.members))
	for _, me := range fl.members {
		state := boxes.Live
		if me == leaving {
			state = boxes.Leaving
		}
		list = append(list, boxes.Box{
			Name: me.Box, Role: boxes.Role(me.Role), DataCentre: me.DataCentre,
			Address: me.Address, Admin: me.Admin, Server: me.Server, State: state,
		})
	}
	return fl.PublishBoxes(list)
}

// PublishBoxes replaces the list of boxes.
func (fl *Fleet) PublishBoxes(list []boxes.Box) error {
	return fl.put("http://"+fl.Boxes+"/v1/boxes", list)
}

// SetStoreFaults replaces the faults of the key-value service.
func (fl *Fleet) SetStoreFaults(faults any) error {
	return fl.put("http://"+fl.Store+"/fault", faults)
}

func (fl *Fleet) put(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "put")
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "put")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "put")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("put %s: %s", url, resp.Status)
	}
	return nil
}

// Members returns the processes of the system, without the stand-ins.
func (fl *Fleet) Members() []*Member { return fl.members }

// Stop shuts the system's processes down gracefully, in reverse order of their start, and then kills all
// processes that still run. It returns an error if a process of the system did not stop in time or exited with a
// code other than 0.
func (fl *Fleet) Stop() error {
	var stopErr error
	for i := len(fl.members) - 1; i >= 0; i-- {
		pr := fl.members[i].Process
		if pr == nil || pr.exited() {
			continue
		}
		_ = pr.Signal(syscall.SIGCONT)
		_ = pr.Signal(syscall.SIGTERM)
		if !pr.Wait(stopTimeout) {
			stopErr = eris.Errorf("%s did not stop in time", pr.Name)
		} else if pr.ExitCode() != 0 {
			stopErr = eris.Errorf("%s exited with code %d", pr.Name, pr.ExitCode())
		}
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, pr := range fl.processes {
		if !pr.exited() {
			_ = pr.Signal(syscall.SIGKILL)
			pr.Wait(stopTimeout)
		}
	}
	return stopErr
}
