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

// Process is a started program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	// done is closed when the program has exited.
	done chan struct{}
}

// Signal sends a signal to the program.
func (pr *Process) Signal(si os.Signal) error {
	return eris.Wrap(pr.cmd.Process.Signal(si), "signal "+pr.Name)
}

// PID returns the program's process id.
func (pr *Process) PID() int { return pr.cmd.Process.Pid }

// Wait waits until the program has exited or the timeout has passed. It reports whether the program has
// exited.
func (pr *Process) Wait(timeout time.Duration) bool {
	ti := time.NewTimer(timeout)
	defer ti.Stop()
	select {
	case <-pr.done:
	case <-ti.C:
	}
	return pr.exited()
}

// exited reports whether the program has exited.
func (pr *Process) exited() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

// ExitCode returns the exit code of a program that has exited.
func (pr *Process) ExitCode() int { return pr.cmd.ProcessState.ExitCode() }

// WaitListening waits until the program accepts connections at an address. If it exits or does not
// listen within startTimeout, the error contains the end of its log, since the log file is removed with
// the test's directory.
func (pr *Process) WaitListening(address string) error {
	listening := false
	err := WaitUntil(startTimeout, "port "+address, func() bool {
		co, err := net.Dial("tcp", address)
		if err == nil {
			_ = co.Close()
			listening = true
		}
		return listening || pr.exited()
	})
	if listening {
		return nil
	}
	if err == nil {
		err = eris.Errorf("port %s: the program has exited", address)
	}
	body, readErr := os.ReadFile(pr.log.Name())
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	return fmt.Errorf("%s (exited: %t): %w: %s", pr.Name, pr.exited(), err, body[max(0, len(body)-logTailBytes):])
}

// logTailBytes is how many bytes of a log an error contains.
const logTailBytes = 2000

// WaitUntil polls a condition until it holds. After a timeout it returns an error with the description.
// The timeout should be long enough to be reached only if the system is broken.
func WaitUntil(timeout time.Duration, description string, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: not reached within %s", description, timeout)
}
