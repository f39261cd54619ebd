// Command days runs simulated days of the users' deployments on their simulator over several seeds,
// saves the scores ("worth") and compares two sets of results by day and seed, so that differences
// below the noise are not mistaken for improvements. It also generates random days of disruptions,
// reports where credit was lost and plots what was served in time.
//
//	days play --bench PROGRAM --out before.json SITE.toml:quiet-1 SITE.toml:scale-1
//	days compare before.json after.json --plot paired.svg
//	days losses --by second day.txt
//	days draw --bench PROGRAM --out DIRECTORY --first 1 --days 40 SITE.toml
package main

import (
	"github.com/alecthomas/kong"
)

var arguments struct {
	Play     playCmd     `cmd:"" help:"Run days over several seeds and save the results."`
	Compare  compareCmd  `cmd:"" help:"Show the paired differences between two sets of results."`
	Draw     drawCmd     `cmd:"" help:"Generate random days of disruptions."`
	Losses   lossesCmd   `cmd:"" help:"Report where credit was lost, from the gateways' logs."`
	Timeline timelineCmd `cmd:"" help:"Plot the requests served in time over the seconds of days."`
}

func main() {
	ctx := kong.Parse(&arguments, kong.Description("Runs days on the bench and compares their worth."))
	ctx.FatalIfErrorf(ctx.Run())
}
