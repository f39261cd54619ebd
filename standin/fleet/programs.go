package fleet

import (
	"fmt"
	"os"
	"os/exec"
)

// RunWithPrograms builds packages of the module into a temporary directory, calls run with it and removes it. It returns
// the exit code of run, or 1 after it has printed an error.
func RunWithPrograms(run func(dir string) int, packages ...string) int {
	dir, err := os.MkdirTemp("", "linnetrudder-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create directory:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	args := []string{"build", "-o", dir + "/"}
	for _, name := range packages {
		args = append(args, "github.com/linnetrudder/linnetrudder/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return run(dir)
}
