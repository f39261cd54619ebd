package main

import (
	"io"

	"github.com/linnetrudder/linnetrudder/internal/command"
)

// root is the command line. Each command is declared in a file of its own.
type root struct {
	Entry   entryCmd   `cmd:"" help:"Run an entry, which serves callers. Example: linnetrudder entry --settings entry.jsonc"`
	Agent   agentCmd   `cmd:"" help:"Run the agent of the backend server on this box. Example: linnetrudder agent --settings agent.jsonc"`
	Gateway gatewayCmd `cmd:"" help:"Run a gateway, which serves callers on the users' platform. Example: linnetrudder gateway --settings local.toml"`
	Check   checkCmd   `cmd:"" help:"Validate a settings file and print the effective settings. Example: linnetrudder check --role entry --settings entry.jsonc"`
}

// streams are the output streams of a command.
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
