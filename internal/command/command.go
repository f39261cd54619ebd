// Package command runs the command lines of the binaries: it parses the arguments, runs the selected
// command, prints its error with the result code and returns an exit code.
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
	// OK means that the command succeeded.
	OK = 0
	// Failed means that the command was refused or failed. The result code is printed if there is one.
	Failed = 1
	// Usage means that the command line is invalid.
	Usage = 2
)

// Program is the command line of a binary. Its fields are set before Run.
type Program struct {
	// Name and Description are shown in the help.
	Name, Description string
	// Root is a pointer to the kong struct that declares the commands and flags.
	Root any
	// Bind returns the arguments for the commands' Run methods. It is called after the command line is
	// parsed.
	Bind func() []any
	// Out and Err are the output streams of the command.
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
