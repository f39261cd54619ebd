// Command soak runs gateways as separate processes under faults generated from a seed and checks
// the guarantees that callers and backend servers rely on. If one is violated, it prints the
// violations and the directory of the logs and exits with a non-zero status.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/linnetrudder/linnetrudder/standin/soak"
)

type arguments struct {
	Bin       string        `help:"Directory of the built programs." default:"bin" type:"existingdir"`
	Dir       string        `help:"Directory for settings and logs; a temporary one by default."`
	Seed      uint64        `help:"First seed; the current time if zero."`
	Runs      int           `help:"Number of runs, with consecutive seeds." default:"1"`
	Trouble   time.Duration `help:"How long faults are injected." default:"8s"`
	Gateways  int           `help:"Number of gateways." default:"4"`
	Servers   int           `help:"Number of backend servers." default:"6"`
	Callers   int           `help:"Number of concurrent callers." default:"16"`
	Poison    bool          `help:"Include a request that crashes the servers that run it."`
	Part      bool          `help:"Include requests with a part of their prompts that crashes the servers that run them."`
	Reports   bool          `help:"Include servers that report their shutdown or a pause in responses."`
	Restores  bool          `help:"Include restores of the key-value service from older copies."`
	Silences  bool          `help:"Include open connections that become silent for good."`
	Misbehave bool          `help:"Include servers that repeat responses, send heads without end and stop within streams."`
	Garble    bool          `help:"Include servers that cut and split responses, and add parts of others."`
	Operate   bool          `help:"Let half of the callers perform operations with retries, and stop, reload and reconfigure gateways in series."`
	Brief     bool          `help:"Stop gateways with a grace period that is shorter than the timeout of requests."`
	Ends      bool          `help:"Let backend servers learn late, or by a reset only, that a gateway has ended a connection."`
	Starve    bool          `help:"Suspend gateways for short times again and again, as on machines with little processor time."`
	Odd       bool          `help:"Include entries in the key-value service that no backend server writes."`
	Crowds    bool          `help:"Include clients that don't keep to the limits, before gateways with 128 MB and 700 descriptors."`
	Large     bool          `help:"Include large configurations, and small links to the key-value service."`
}

func main() {
	var ar arguments
	kong.Parse(&ar, kong.Description("Tests gateways under faults generated from a seed."))
	failedRuns, err := ar.runAll()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || failedRuns > 0 {
		os.Exit(1)
	}
}

// runAll does all runs and returns how many of them had violations.
func (ar *arguments) runAll() (failedRuns int, err error) {
	if ar.Seed == 0 {
		ar.Seed = uint64(time.Now().Unix())
	}
	if ar.Dir == "" {
		if ar.Dir, err = os.MkdirTemp("", "linnetrudder-soak-"); err != nil {
			return 0, fmt.Errorf("create directory: %w", err)
		}
	}
	for seed := ar.Seed; seed < ar.Seed+uint64(ar.Runs); seed++ {
		dir := filepath.Join(ar.Dir, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return failedRuns, fmt.Errorf("create directory: %w", err)
		}
		pl := ar.plan(seed)
		so := &soak.Runner{Bin: ar.Bin, Dir: dir, Callers: ar.Callers}
		violations, err := so.Run(context.Background(), pl)
		if err != nil {
			return failedRuns, fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d faults, %d promises broken\n", seed, len(pl.Faults), len(violations))
		if len(violations) > 0 {
			failedRuns++
			ar.printViolations(dir, pl, violations)
		}
	}
	return failedRuns, nil
}

// plan returns the plan of a seed.
func (ar *arguments) plan(seed uint64) soak.Plan {
	pl := soak.GeneratePlan(seed, ar.Gateways, ar.Servers, ar.Trouble)
	if ar.Poison {
		pl = pl.WithPoison()
	}
	if ar.Part {
		pl = pl.WithPoisonPart()
	}
	if ar.Reports {
		pl = pl.WithReports()
	}
	if ar.Restores {
		pl = pl.WithRestores()
	}
	if ar.Silences {
		pl = pl.WithSilences()
	}
	if ar.Garble {
		pl = pl.WithGarbling()
	}
	if ar.Misbehave {
		pl = pl.WithMisbehaviour()
	}
	if ar.Operate {
		pl = pl.WithOperations()
	}
	if ar.Brief {
		pl = pl.WithBriefStops()
	}
	if ar.Ends {
		pl = pl.WithMissedEnds()
	}
	if ar.Starve {
		pl = pl.WithStarvation()
	}
	if ar.Odd {
		pl = pl.WithOddEntries()
	}
	if ar.Crowds {
		pl = pl.WithCrowds()
	}
	if ar.Large {
		pl = pl.WithLargeConfigs()
	}
	return pl
}

// maxPrinted is the maximum number of violations printed per run.
const maxPrinted = 10

func (ar *arguments) printViolations(dir string, pl soak.Plan, violations []soak.Violation) {
	for _, vi := range violations[:min(maxPrinted, len(violations))] {
		fmt.Println(" ", vi)
	}
	for _, fa := range pl.Faults {
		fmt.Println("    ", fa)
	}
	fmt.Println("  logs in", dir)
}
