// Command measure runs the bounded loopback measurements behind
// docs/CAPACITY.md and docs/performance.md. Each prints one line a run.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

type flags struct {
	Bin   string   `required:"" help:"Folder of the programs." type:"path"`
	Links linksCmd `cmd:"" help:"Processor time, memory and bytes of one quiet process with many peers."`
	Load  loadCmd  `cmd:"" help:"Latency and processor time of requests, against the engine alone."`
	Hold  holdCmd  `cmd:"" help:"Memory of an entry that holds open streams."`
	Bills billsCmd `cmd:"" help:"Size and number of writes of bills, and memory while the store is down."`
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
