// Package e2e tests the system as separate processes on loopback, with kills,
// freezes, outages and planned stops. Waits end when something has happened,
// and their bounds are reached only by a broken system, so that a slow machine
// does not change a verdict.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// bin is the folder of the built programs.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "linnetrudder-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	cmd := exec.Command("go", "build", "-o", dir+"/",
		"github.com/linnetrudder/linnetrudder/cmd/...", "github.com/linnetrudder/linnetrudder/standin/cmd/standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
