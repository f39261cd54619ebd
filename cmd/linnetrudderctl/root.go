package main

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/command"
)

// root lists the commands; each has a file of its own.
type root struct {
	Admin    []string `help:"Admin addresses of entries, IP number and port; the first that answers serves." env:"LINNETRUDDER_ADMIN"`
	Key      string   `help:"Operator key." env:"LINNETRUDDER_KEY"`
	Operator string   `help:"Name that is kept with a change." env:"LINNETRUDDER_OPERATOR" default:"operator"`
	JSON     bool     `help:"Print JSON."`

	Apply    applyCmd    `cmd:"" help:"Replace the configuration. Example: linnetrudderctl apply --base 7 fleet.jsonc"`
	Get      getCmd      `cmd:"" help:"Print the configuration in force or a kept revision."`
	Diff     diffCmd     `cmd:"" help:"Show what applying a file would change."`
	History  historyCmd  `cmd:"" help:"List the newest changes."`
	Versions versionsCmd `cmd:"" help:"List versions with their states and shares."`
	Rollout  rolloutCmd  `cmd:"" help:"Set a version's share of new work. Example: linnetrudderctl rollout menu@v2 --share 0.1"`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw a version: it gets nothing new. Example: linnetrudderctl withdraw menu@v2"`
	Evacuate evacuateCmd `cmd:"" help:"Empty a data centre: its backend servers get nothing new. Examples: linnetrudderctl evacuate north; linnetrudderctl evacuate north --end"`
	Status   statusCmd   `cmd:"" help:"Show which box has which revision in force."`
	Bill     billCmd     `cmd:"" help:"Sum up the bills by team and version."`
	Timeline timelineCmd `cmd:"" help:"Merge the time lines of all processes. Example: linnetrudderctl timeline --request ID"`
	Explain  explainCmd  `cmd:"" help:"Show why a request would go where, or what became of one. Examples: linnetrudderctl explain --team kitchen-a --model auto --kind menu; linnetrudderctl explain --request ID --logs a.log --logs b.log"`
}

// printer writes a command's outcome.
type printer struct {
	out  io.Writer
	json bool
}

// show prints a value as JSON, or hands over to the text form.
func (pr *printer) show(value any, text func(w io.Writer)) error {
	if !pr.json {
		text(pr.out)
		return nil
	}
	enc := json.NewEncoder(pr.out)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(value), "print")
}

// execute runs the command line and returns the exit code.
func execute(args []string, out, errOut io.Writer) int {
	var ro root
	pr := command.Program{
		Name:        "linnetrudderctl",
		Description: "Operate linnetrudder.",
		Root:        &ro,
		Bind: func() []any {
			cl := &client{admins: ro.Admin, key: ro.Key, operator: ro.Operator}
			return []any{cl, &printer{out: out, json: ro.JSON}}
		},
		Out: out,
		Err: errOut,
	}
	return pr.Run(args)
}
