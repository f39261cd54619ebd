// Package e2e tests the system as separate processes on loopback, with kills, suspended processes,
// outages and graceful shutdowns. Tests poll for conditions, with time-outs that only a faulty
// system reaches, so that a slow machine does not change a result.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "linnetrudder-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	cmd := exec.Command("go", "build", "-o", dir+"/",
		"github.com/linnetrudder/linnetrudder/cmd/...", "github.com/linnetrudder/linnetrudder/standin/cmd/standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
