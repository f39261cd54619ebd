// Command soak runs gateways as separate processes under faults that a seed draws,
// and checks what callers and backend servers see. It ends with an error if a
// promise was broken, and names the folder with the logs.
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
	Bin      string        `help:"Folder of the built programs." default:"bin" type:"existingdir"`
	Dir      string        `help:"Folder for settings and logs; a new one if it is empty."`
	Seed     uint64        `help:"First seed; the time if it is zero."`
	Runs     int           `help:"Runs, each with the next seed." default:"1"`
	Trouble  time.Duration `help:"How long faults strike." default:"8s"`
	Gateways int           `help:"Gateways." default:"4"`
	Servers  int           `help:"Backend servers." default:"6"`
	Callers  int           `help:"Callers." default:"16"`
	Poison   bool          `help:"Let one request end the servers that run it."`
	Reports  bool          `help:"Let servers report their shutdown and pauses in answers."`
	Restores bool          `help:"Let the key-value service go back to older copies."`
}

func main() {
	var ar arguments
	kong.Parse(&ar, kong.Description("Plays seeded faults against real gateways."))
	broken, err := ar.play()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || broken > 0 {
		os.Exit(1)
	}
}

// play plays all runs and returns how many broke a promise.
func (ar *arguments) play() (broken int, err error) {
	if ar.Seed == 0 {
		ar.Seed = uint64(time.Now().Unix())
	}
	if ar.Dir == "" {
		if ar.Dir, err = os.MkdirTemp("", "linnetrudder-soak-"); err != nil {
			return 0, fmt.Errorf("folder: %w", err)
		}
	}
	for seed := ar.Seed; seed < ar.Seed+uint64(ar.Runs); seed++ {
		dir := filepath.Join(ar.Dir, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return broken, fmt.Errorf("folder: %w", err)
		}
		pl := soak.GeneratePlan(seed, ar.Gateways, ar.Servers, ar.Trouble)
		if ar.Poison {
			pl = pl.WithPoison()
		}
		if ar.Reports {
			pl = pl.WithReports()
		}
		if ar.Restores {
			pl = pl.WithRestores()
		}
		so := &soak.Runner{Bin: ar.Bin, Dir: dir, Callers: ar.Callers}
		violations, err := so.Run(context.Background(), pl)
		if err != nil {
			return broken, fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d faults, %d promises broken\n", seed, len(pl.Faults), len(violations))
		if len(violations) > 0 {
			broken++
			ar.show(dir, pl, violations)
		}
	}
	return broken, nil
}

// shown is how many violations of a run are printed.
const shown = 10

func (ar *arguments) show(dir string, pl soak.Plan, violations []soak.Violation) {
	for _, vi := range violations[:min(shown, len(violations))] {
		fmt.Println(" ", vi)
	}
	for _, fa := range pl.Faults {
		fmt.Println("    ", fa)
	}
	fmt.Println("  logs in", dir)
}
