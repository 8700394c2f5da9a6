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
	ExitDone     = 0
	ExitFailed   = 1
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
	build func(Streams) flags.Commander
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
	return report(err, streams)
}

// execute runs a command. Arguments that the command did not declare are refused.
func execute(command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	if len(args) > 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return command.Execute(nil)
}

// usageError reports a wrong use of the command line.
func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: errors.Errorf(format+"; see kumquatworks --help", args...)}
}

// optionTypes says in words what an option of a Go type takes.
var optionTypes = map[string]string{
	"int": "a whole number", "uint": "a whole number from 0", "uint64": "a whole number from 0",
	"float64": "a number", "time.Duration": "a duration such as 250ms",
}

// invalidOption matches the message of go-flags about a value that does not parse.
var invalidOption = regexp.MustCompile("^invalid argument for flag `(.+)' \\(expected \\*?([a-zA-Z0-9.]+)\\)")

// plainUsage replaces Go types in a message of go-flags by words.
func plainUsage(message string) string {
	match := invalidOption.FindStringSubmatch(message)
	if match == nil || optionTypes[match[2]] == "" {
		return message
	}
	return match[1] + ": takes " + optionTypes[match[2]]
}

func addCommands(parser *flags.Parser, streams Streams) error {
	groups := map[string]*flags.Command{}
	for _, c := range commands {
		parent := parser.Command
		if c.group != "" {
			if groups[c.group] == nil {
				g, err := parser.AddCommand(c.group, "test parts, not for production", "Stand-ins for outside systems, used by tests and the demo.", &struct{}{})
				if err != nil {
					return errors.Wrapf(err, "group %s", c.group)
				}
				groups[c.group] = g
			}
			parent = groups[c.group]
		}
		if _, err := parent.AddCommand(c.name, c.short, c.long, c.build(streams)); err != nil {
			return errors.Wrapf(err, "command %s", c.name)
		}
	}
	return nil
}

// report prints the error, if any, and maps it to an exit code.
func report(err error, streams Streams) int {
	if err == nil {
		return ExitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(streams.Out, usage.Message)
			return ExitDone
		}
		fmt.Fprintf(streams.Err, "kumquatworks: %s; see kumquatworks --help\n", plainUsage(usage.Message))
		return ExitUsage
	}
	fmt.Fprintf(streams.Err, "kumquatworks: %s\n", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
