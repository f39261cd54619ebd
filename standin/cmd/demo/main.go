// Command demo runs the complete system as separate processes on loopback: two entries, three
// agents and stand-ins for the backend servers and the platform, in two data centres. It sends
// requests, prints the results and exits with a non-zero status if any of them is wrong.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

type flags struct {
	Bin    string `required:"" help:"Directory of the built programs." type:"path"`
	Config string `required:"" help:"Configuration file to apply." type:"path"`
}

func main() {
	var fl flags
	kong.Parse(&fl)
	if err := run(fl); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed")
}

func run(fl flags) (err error) {
	dir, err := os.MkdirTemp("", "linnetrudder-demo-")
	if err != nil {
		return err
	}
	de := &demo{fleet: &fleet.Fleet{Bin: fl.Bin, Dir: dir}, bin: fl.Bin, config: fl.Config}
	defer func() {
		stopErr := de.fleet.Stop()
		if err == nil {
			err = stopErr
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "settings and logs are in", filepath.Clean(dir))
			return
		}
		_ = os.RemoveAll(dir)
	}()
	for _, st := range steps {
		fmt.Println("==", st.name)
		if err := st.run(de); err != nil {
			return fmt.Errorf("%s: %w", st.name, err)
		}
	}
	return nil
}
