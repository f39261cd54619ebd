package crowd_test

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
