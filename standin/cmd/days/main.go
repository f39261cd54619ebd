// Command days plays days of the users' deployments over several seeds, keeps what
// they were worth, and compares two such sets day by day and seed by seed, so that no
// change below the noise is taken for a gain. It also draws days of trouble.
//
//	days play --bench PROGRAM --out before.json SITE.toml:quiet-1 SITE.toml:scale-1
//	days compare before.json after.json --plot paired.svg
//	days losses --by second day.txt
//	days draw --bench PROGRAM --out FOLDER --first 1 --days 40 SITE.toml
package main

import (
	"github.com/alecthomas/kong"
)

var arguments struct {
	Play     playCmd     `cmd:"" help:"Play days over several seeds and keep the results."`
	Compare  compareCmd  `cmd:"" help:"Show the paired differences of two sets of results."`
	Draw     drawCmd     `cmd:"" help:"Draw days of trouble at random."`
	Losses   lossesCmd   `cmd:"" help:"Say where credit was lost, from the gateways' logs."`
	Timeline timelineCmd `cmd:"" help:"Draw what was served in time over the seconds of days."`
}

func main() {
	ctx := kong.Parse(&arguments, kong.Description("Plays days and compares their worth."))
	ctx.FatalIfErrorf(ctx.Run())
}
