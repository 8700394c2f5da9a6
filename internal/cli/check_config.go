package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/platform"
)

// Exit codes of check-config. Scripts use them to decide whether to send a configuration.
const (
	exitConfigWarnings   = 1
	exitConfigErrors     = 2
	exitConfigUnreadable = 3
)

const (
	// maxConfigBytes limits a configuration file.
	maxConfigBytes = 1 << 20
	// maxFindingsOfKind limits the findings of one kind that are printed in full.
	maxFindingsOfKind = 10
	// groupedFindings is the number of findings that are printed of a larger group.
	groupedFindings = 3
)

func init() {
	register(command{
		name:  "check-config",
		short: "check a configuration of the users' platform",
		long: "Checks a configuration in the form of the platform's store before it is sent, and prints errors, warnings, and the differences from the version in force. " +
			"Nothing is sent over the network. - reads standard input. " +
			"Exit codes: 0 neither errors nor warnings, 1 warnings only, 2 errors or wrong use, 3 a file could not be read. " +
			"Example: kumquatworks check-config new.json --in-force current.json",
		newCommander: func(s Streams) flags.Commander { return &checkConfigCommand{streams: s} },
	})
}

type checkConfigCommand struct {
	InForce string `long:"in-force" value-name:"FILE" description:"configuration in force, for the differences and the version"`
	All     bool   `long:"all" description:"print every finding, also of kinds with more than ten"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"1" description:"configuration to check (JSON), at most 1 MiB"`
	} `positional-args:"yes"`
	streams Streams
}

// Execute checks the configuration and prints the findings.
func (c *checkConfigCommand) Execute([]string) error {
	if c.Args.File == "-" && c.InForce == "-" {
		return usageError("only one of FILE and --in-force can be standard input")
	}
	value, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = c.read(c.InForce); err != nil {
			return err
		}
	}
	report, err := platform.ValidateConfig(value, inForce)
	if err != nil {
		return &ExitError{Code: exitConfigUnreadable, Err: errors.Wrap(err, c.InForce)}
	}
	c.print(report.Findings)
	errorCount, warningCount := report.Count(platform.SeverityError), report.Count(platform.SeverityWarning)
	summary := fmt.Sprintf("%s, %s", pluralize(errorCount, "error"), pluralize(warningCount, "warning"))
	if c.InForce != "" {
		summary += ", " + pluralize(report.Count(platform.SeverityChange), "change")
	}
	summary = fmt.Sprintf("%s: version %d, %s, %s: %s", c.Args.File, report.Version, pluralize(report.Routes, "route"), pluralize(report.Services, "service"), summary)
	switch {
	case errorCount > 0:
		return &ExitError{Code: exitConfigErrors, Err: errors.New(summary)}
	case warningCount > 0:
		return &ExitError{Code: exitConfigWarnings, Err: errors.New(summary)}
	}
	_, err = fmt.Fprintln(c.streams.Out, summary)
	return err
}

// read returns the content of a file, or of standard input for "-".
func (c *checkConfigCommand) read(path string) ([]byte, error) {
	in := c.streams.In
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, &ExitError{Code: exitConfigUnreadable, Err: err}
		}
		defer file.Close()
		in = file
	}
	value, err := io.ReadAll(io.LimitReader(in, maxConfigBytes+1))
	if err == nil && len(value) > maxConfigBytes {
		err = errors.Errorf("%s is larger than %d bytes", path, maxConfigBytes)
	}
	if err != nil {
		return nil, &ExitError{Code: exitConfigUnreadable, Err: err}
	}
	return value, nil
}

// print prints the findings. Of a kind with many, it prints their number and the first ones.
func (c *checkConfigCommand) print(findings []platform.Finding) {
	for len(findings) > 0 {
		kind, n := findings[0].Kind, 1
		for n < len(findings) && findings[n].Kind == kind {
			n++
		}
		shown := n
		if n > maxFindingsOfKind && !c.All {
			shown = groupedFindings
			fmt.Fprintf(c.streams.Out, "%s: %d of kind %s; the first %d follow, --all prints all\n", findings[0].Severity, n, kind, shown)
		}
		for _, f := range findings[:shown] {
			fmt.Fprintln(c.streams.Out, f)
		}
		findings = findings[n:]
	}
}
