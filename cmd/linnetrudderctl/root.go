package main

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/command"
)

// root is the command line. Each command is declared in a file of its own.
type root struct {
	Admin    []string `help:"Admin addresses of entries, IP address and port; the first that answers is used." env:"LINNETRUDDER_ADMIN"`
	Key      string   `help:"Operator key." env:"LINNETRUDDER_KEY"`
	Operator string   `help:"Operator name that is recorded with a change." env:"LINNETRUDDER_OPERATOR" default:"operator"`
	JSON     bool     `help:"Print JSON."`

	Apply    applyCmd    `cmd:"" help:"Replace the configuration. Example: linnetrudderctl apply --base 7 fleet.jsonc"`
	Get      getCmd      `cmd:"" help:"Print the configuration in force or an earlier revision."`
	Diff     diffCmd     `cmd:"" help:"Show what applying a file would change."`
	History  historyCmd  `cmd:"" help:"List the newest configuration changes."`
	Versions versionsCmd `cmd:"" help:"List versions with their states and shares."`
	Rollout  rolloutCmd  `cmd:"" help:"Set a version's share of new requests. Example: linnetrudderctl rollout menu@v2 --share 0.1"`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw a version: it gets no new requests. Example: linnetrudderctl withdraw menu@v2"`
	Evacuate evacuateCmd `cmd:"" help:"Evacuate a data centre: its backend servers get no new requests. Examples: linnetrudderctl evacuate north; linnetrudderctl evacuate north --end"`
	Status   statusCmd   `cmd:"" help:"Show the configuration revision in force on each box."`
	Bill     billCmd     `cmd:"" help:"Print the bills, summed by team and version."`
	Timeline timelineCmd `cmd:"" help:"Merge the timelines of all processes. Example: linnetrudderctl timeline --request ID"`
	Explain  explainCmd  `cmd:"" help:"Explain how a request would be routed, or how a past request ended. Examples: linnetrudderctl explain --team kitchen-a --model auto --kind menu; linnetrudderctl explain --request ID --logs a.log --logs b.log"`
}

// printer writes a command's output.
type printer struct {
	out  io.Writer
	json bool
}

// show prints a value as JSON if --json is set, and otherwise calls text.
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
