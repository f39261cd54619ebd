package soak

import (
	"os"
	"testing"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// bin is the directory of the built program.
var bin string

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithPrograms(func(dir string) int {
		bin = dir
		return m.Run()
	}, "cmd/linnetrudder"))
}
