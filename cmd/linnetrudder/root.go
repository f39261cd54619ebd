package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// root lists the commands; each has a file of its own.
type root struct {
	Entry entryCmd `cmd:"" help:"Serve callers on an entry box. Example: linnetrudder entry --settings entry.jsonc"`
	Agent agentCmd `cmd:"" help:"Guard the backend server of this box. Example: linnetrudder agent --settings agent.jsonc"`
	Check checkCmd `cmd:"" help:"Check a settings file and print the effective settings. Example: linnetrudder check --role entry --settings entry.jsonc"`
}

// streams are where a command writes.
type streams struct{ out, err io.Writer }

// execute runs the command line and returns the exit code.
func execute(args []string, out, errOut io.Writer) int {
	var ro root
	pa, err := kong.New(&ro, kong.Name("linnetrudder"),
		kong.Description("A model-aware router for versions and cascades."), kong.Writers(out, errOut))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	ct, err := pa.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if err := ct.Run(&streams{out: out, err: errOut}); err != nil {
		report(errOut, err)
		return exitFailed
	}
	return exitOK
}

func report(errOut io.Writer, err error) {
	var er *result.Error
	if errors.As(err, &er) {
		fmt.Fprintf(errOut, "%d %s\n", er.Code(), er.Error())
		return
	}
	fmt.Fprintln(errOut, err)
}
