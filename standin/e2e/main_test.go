// Package e2e tests the system as separate processes on loopback, with kills, suspended processes,
// outages and graceful shutdowns. Tests poll for conditions, with time-outs that only a faulty
// system reaches, so that a slow machine does not change a result.
package e2e

import (
	"os"
	"testing"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithPrograms(func(dir string) int {
		binDir = dir
		return m.Run()
	}, "cmd/...", "standin/cmd/standin"))
}
