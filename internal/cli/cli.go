// Package cli is the command line of kumquatworks. Each command lives in its
// own file and registers itself in commands.
package cli

import (
	"fmt"
	"io"
	"os"
	"regexp"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of every command.
const (
	ExitSuccess  = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

// ExitError carries an exit code with the message for the operator.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// Streams are the streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command describes one entry of the command line. group is empty for a top-level command.
type command struct {
	group string
	name  string
	short string
	long  string
	// build returns the go-flags command; its Execute method runs the command.
	newCommander func(Streams) flags.Commander
}

// commands lists every command. Each command file appends its own in an init function.
var commands []command

func register(c command) { commands = append(commands, c) }

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	streams := Streams{In: os.Stdin, Out: out, Err: errOut}
	parser := flags.NewNamedParser("kumquatworks", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "layer-4 load balancer"
	parser.CommandHandler = execute
	if err := addCommands(parser, streams); err != nil {
		panic(err) // the command table is part of the program
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, streams)
}

// execute runs a command. Arguments that the command did not declare are refused.
func execute(commander flags.Commander, args []string) error {
	if commander == nil {
		return nil
	}
	if len(args) > 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return commander.Execute(nil)
}

// usageError reports a wrong use of the command line.
func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: errors.Errorf(format+"; see kumquatworks --help", args...)}
}

// optionTypes says in words what an option of a Go type takes.
var optionTypeDescriptions = map[string]string{
	"int": "a whole number", "uint": "a whole number from 0", "uint64": "a whole number from 0",
	"float64": "a number", "time.Duration": "a duration such as 250ms",
}

// invalidOption matches the message of go-flags about a value that does not parse.
var invalidOptionPattern = regexp.MustCompile("^invalid argument for flag `(.+)' \\(expected \\*?([a-zA-Z0-9.]+)\\)")

// plainUsage replaces Go types in a message of go-flags by words.
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
				group, err := parser.AddCommand(c.group, "test parts, not for production", "Stand-ins for outside systems, used by tests and the demo.", &struct{}{})
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

// report prints the error, if any, and maps it to an exit code.
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
