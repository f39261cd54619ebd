package crowd_test

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
	dir, err := os.MkdirTemp("", "linnetrudder-crowd-")
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
