package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"time"

	"github.com/rotisserie/eris"
)

// Process is one started program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	// ended is closed when the program has ended.
	done chan struct{}
}

// Signal sends a signal to the program.
func (pr *Process) Signal(si os.Signal) error {
	return eris.Wrap(pr.cmd.Process.Signal(si), "signal "+pr.Name)
}

// ID returns the program's process id.
func (pr *Process) PID() int { return pr.cmd.Process.Pid }

// Wait waits until the program has ended, at most for a time. It reports
// whether it has.
func (pr *Process) Wait(most time.Duration) bool {
	ti := time.NewTimer(most)
	defer ti.Stop()
	select {
	case <-pr.done:
	case <-ti.C:
	}
	return pr.exited()
}

// hasEnded reports whether the program has ended by now.
func (pr *Process) exited() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

// Code returns the exit code of an ended program.
func (pr *Process) ExitCode() int { return pr.cmd.ProcessState.ExitCode() }

// WaitPort waits until the program listens. A program that does not is shown with
// the end of its log, since the log goes with the test's folder.
func (pr *Process) WaitListening(address string) error {
	listens := false
	err := WaitUntil(startTimeout, "port "+address, func() bool {
		co, err := net.Dial("tcp", address)
		if err == nil {
			_ = co.Close()
			listens = true
		}
		return listens || pr.exited()
	})
	if listens {
		return nil
	}
	if err == nil {
		err = eris.Errorf("port %s: the program has ended", address)
	}
	body, readErr := os.ReadFile(pr.log.Name())
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	return fmt.Errorf("%s, ended %t: %w: %s", pr.Name, pr.exited(), err, body[max(0, len(body)-logTailBytes):])
}

// logTail is how many bytes of a log are shown.
const logTailBytes = 2000

// Until waits for a condition; it fails after a bound that only a broken
// system reaches.
func WaitUntil(most time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, most)
}
