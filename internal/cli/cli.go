// Package cli implements the command line of kumquatworks. Each command registers itself
// in an init function of its file.
package cli

import (
	"fmt"
	"io"
	"os"
	"regexp"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of every command except check-config, which has its own.
const (
	ExitSuccess = 0
	// ExitFailure: the command failed, or it found validation errors or a condition that needs attention.
	ExitFailure = 1
	// ExitUsage: the command line is invalid.
	ExitUsage = 2
	// ExitConflict: another operator's publish was accepted first.
	ExitConflict = 3
	// ExitUnknown: the outcome of a publish is unknown, or no balancer answers.
	ExitUnknown = 4
)

// ExitError is an error with the exit code of the command.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command describes one command. group is empty for a top-level command.
type command struct {
	group string
	name  string
	short string
	long  string
	// newCommander returns the go-flags command. Its Execute method runs the command.
	newCommander func(Streams) flags.Commander
}

// commands lists every command that was registered.
var commands []command

func register(c command) { commands = append(commands, c) }

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	streams := Streams{In: os.Stdin, Out: out, Err: errOut}
	parser := flags.NewNamedParser("kumquatworks", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "layer-4 load balancer"
	parser.CommandHandler = execute
	if err := addCommands(parser, streams); err != nil {
		panic(err) // the commands are compiled in, so an error is a bug
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, streams)
}

// execute runs a command. It rejects arguments that the command did not declare.
func execute(commander flags.Commander, args []string) error {
	if commander == nil {
		return nil
	}
	if len(args) > 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return commander.Execute(nil)
}

// usageError returns an error about an invalid command line, with exit code ExitUsage.
func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: errors.Errorf(format+"; see kumquatworks --help", args...)}
}

// optionTypeDescriptions describes the values that an option of a Go type accepts.
var optionTypeDescriptions = map[string]string{
	"int": "a whole number", "uint": "a whole number from 0", "uint64": "a whole number from 0",
	"float64": "a number", "time.Duration": "a duration such as 250ms",
}

// invalidOptionPattern matches the message of go-flags about an option value that does not parse.
var invalidOptionPattern = regexp.MustCompile("^invalid argument for flag `(.+)' \\(expected \\*?([a-zA-Z0-9.]+)\\)")

// simplifyUsageMessage replaces the Go type in a message of go-flags by a description of its values.
func simplifyUsageMessage(message string) string {
	match := invalidOptionPattern.FindStringSubmatch(message)
	if match == nil || optionTypeDescriptions[match[2]] == "" {
		return message
	}
	return match[1] + ": takes " + optionTypeDescriptions[match[2]]
}

func addCommands(parser *flags.Parser, streams Streams) error {
	groups := map[string]*flags.Command{}
	for _, c := range commands {
		parent := parser.Command
		if c.group != "" {
			if groups[c.group] == nil {
				group, err := parser.AddCommand(c.group, "test components, not for production", "Stand-ins for outside systems, used by tests and the demo.", &struct{}{})
				if err != nil {
					return errors.Wrapf(err, "group %s", c.group)
				}
				groups[c.group] = group
			}
			parent = groups[c.group]
		}
		if _, err := parent.AddCommand(c.name, c.short, c.long, c.newCommander(streams)); err != nil {
			return errors.Wrapf(err, "command %s", c.name)
		}
	}
	return nil
}

// reportError prints the error, if any, and returns the exit code for it.
func reportError(err error, streams Streams) int {
	if err == nil {
		return ExitSuccess
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			fmt.Fprintln(streams.Out, flagsErr.Message)
			return ExitSuccess
		}
		fmt.Fprintf(streams.Err, "kumquatworks: %s; see kumquatworks --help\n", simplifyUsageMessage(flagsErr.Message))
		return ExitUsage
	}
	fmt.Fprintf(streams.Err, "kumquatworks: %s\n", err)
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	return ExitFailure
}
