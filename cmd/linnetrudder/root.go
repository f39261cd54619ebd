package main

import (
	"io"

	"github.com/linnetrudder/linnetrudder/internal/command"
)

// root lists the commands; each has a file of its own.
type root struct {
	Entry   entryCmd   `cmd:"" help:"Serve callers on an entry box. Example: linnetrudder entry --settings entry.jsonc"`
	Agent   agentCmd   `cmd:"" help:"Guard the backend server of this box. Example: linnetrudder agent --settings agent.jsonc"`
	Gateway gatewayCmd `cmd:"" help:"Serve callers on the users' platform. Example: linnetrudder gateway --settings local.toml"`
	Check   checkCmd   `cmd:"" help:"Check a settings file and print the effective settings. Example: linnetrudder check --role entry --settings entry.jsonc"`
}

// streams are where a command writes.
type streams struct{ out, err io.Writer }

// execute runs the command line and returns the exit code.
func execute(args []string, out, errOut io.Writer) int {
	pr := command.Program{
		Name:        "linnetrudder",
		Description: "A model-aware router for versions and cascades.",
		Root:        &root{},
		Bind:        func() []any { return []any{&streams{out: out, err: errOut}} },
		Out:         out,
		Err:         errOut,
	}
	return pr.Run(args)
}
