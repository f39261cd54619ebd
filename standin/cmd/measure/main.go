// Command measure runs the loopback measurements whose figures are in docs/CAPACITY.md and
// docs/performance.md. Each of them has a limited duration and prints one line per measured
// configuration.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

type flags struct {
	Bin   string   `required:"" help:"Directory of the built programs." type:"path"`
	Links linksCmd `cmd:"" help:"Measure processor time, memory and link traffic of an idle process with many peers."`
	Load  loadCmd  `cmd:"" help:"Measure latency and processor time of requests, compared to the engine alone."`
	Hold  holdCmd  `cmd:"" help:"Measure the memory of an entry and an agent with open streams."`
	Bills billsCmd `cmd:"" help:"Measure memory while the store is down and the store calls to write the bills afterwards."`
}

func main() {
	var fl flags
	ct := kong.Parse(&fl)
	dir, err := os.MkdirTemp("", "linnetrudder-measure-")
	if err != nil {
		ct.FatalIfErrorf(err)
	}
	fe := &fleet.Fleet{Bin: fl.Bin, Dir: dir}
	err = ct.Run(fe)
	if stopErr := fe.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err, "- logs in", dir)
		os.Exit(1)
	}
	_ = os.RemoveAll(dir)
}
