// Package command runs a command line the same way for every binary: it
// parses, runs the chosen command, and turns errors into numbered lines and
// exit codes.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// The exit codes.
const (
	// OK means done.
	OK = 0
	// Failed means refused or failed, with a number where there is one.
	Failed = 1
	// Usage means that the command line was wrong.
	Usage = 2
)

// Program is one binary's command line. Its fields are set before Run.
type Program struct {
	// Name and Description are shown in the help.
	Name, Description string
	// Root is a pointer to the struct of commands.
	Root any
	// Bind returns what the commands' Run methods are given; it is called
	// after the command line was parsed.
	Bind func() []any
	// Out and Err are where the command writes.
	Out, Err io.Writer
}

// Run runs the command line and returns the exit code.
func (pr *Program) Run(args []string) int {
	pa, err := kong.New(pr.Root, kong.Name(pr.Name), kong.Description(pr.Description), kong.Writers(pr.Out, pr.Err))
	if err != nil {
		fmt.Fprintln(pr.Err, err)
		return Usage
	}
	ct, err := pa.Parse(args)
	if err != nil {
		fmt.Fprintln(pr.Err, err)
		return Usage
	}
	if err := ct.Run(pr.Bind()...); err != nil {
		pr.report(err)
		return Failed
	}
	return OK
}

func (pr *Program) report(err error) {
	var er *result.Error
	if errors.As(err, &er) {
		fmt.Fprintf(pr.Err, "%d %s\n", er.Code(), er.Error())
		return
	}
	fmt.Fprintln(pr.Err, err)
}
