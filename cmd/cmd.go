// Package cmd implements the command line. Each subcommand has a file of its own.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of every subcommand.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitNotFound = 4
	ExitRetry    = 5
	ExitDenied   = 6
)

// ErrExit ends the program with exit code Code, after it prints Reason if that is not empty.
type ErrExit struct {
	Code   int
	Reason string
}

// Error returns the reason.
func (err ErrExit) Error() string {
	return err.Reason
}

// IsErrExit reports whether err is or wraps an ErrExit.
func IsErrExit(err error) bool {
	return errors.As(err, new(ErrExit))
}

// streams are the outputs of a subcommand. Results go to out, everything else goes to log.
type streams struct {
	out io.Writer
	log io.Writer
}

// registrars add the subcommands to the parser. The file of each subcommand appends its own.
var registrars []func(parser *flags.Parser, std streams) error

// Run executes the command line and returns the exit code.
func Run(args []string, out, log io.Writer) int {
	parser := flags.NewNamedParser("hyssopjunction", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Schedules latency-critical services and batch jobs on shared workers."
	for _, register := range registrars {
		if err := register(parser, streams{out: out, log: log}); err != nil {
			_, _ = fmt.Fprintln(log, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, out, log)
}

// report prints err and returns its exit code.
func report(err error, out, log io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var exit ErrExit
	if errors.As(err, &exit) {
		if exit.Reason != "" {
			_, _ = fmt.Fprintln(log, exit.Reason)
		}
		return exit.Code
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, usage.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(log, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(log, err)
	return ExitFailed
}
