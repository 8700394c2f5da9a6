package cli

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

func init() {
	register(command{
		name:  "check",
		short: "check configuration files",
		long: "Checks a complete configuration and prints every fault and warning. Nothing is published and nothing is sent over the network. " +
			"Exit codes: 0 no fault (warnings are allowed), 1 faults, 2 wrong use. " +
			"Example: kumquatworks check conf/",
		newCommander: func(s Streams) flags.Commander { return &checkCommand{streams: s} },
	})
}

// pathArguments are the files and folders of a configuration.
type pathArguments struct {
	Paths []string `positional-arg-name:"PATH" required:"1" description:"JSON file, or folder whose *.json files are read"`
}

type checkCommand struct {
	Args    pathArguments `positional-args:"yes"`
	streams Streams
}

// Execute checks the configuration and prints its validation errors and warnings.
func (c *checkCommand) Execute([]string) error {
	set, err := readConfiguration(c.streams, c.Args.Paths)
	if err != nil {
		return err
	}
	printWarnings(c.streams, objects.Warnings(set))
	_, err = fmt.Fprintf(c.streams.Out, "no fault: %s, %s, %s, %s\n", pluralize(len(set.Places), "place"), pluralize(len(set.Services), "service"),
		pluralize(len(set.Pools), "pool"), pluralize(len(set.Targets), "target"))
	return err
}

// readConfiguration reads and checks a configuration and prints its validation errors.
func readConfiguration(s Streams, paths []string) (objects.Set, error) {
	files, err := objects.ReadPaths(paths)
	if err != nil {
		return objects.Set{}, usageError("%v", err)
	}
	set, validationErrors := objects.Parse(files)
	for _, validationErr := range validationErrors {
		fmt.Fprintln(s.Err, validationErr.Error())
	}
	if len(validationErrors) > 0 {
		return objects.Set{}, errors.Errorf("%s in %s", pluralize(len(validationErrors), "fault"), strings.Join(paths, " "))
	}
	return set, nil
}

func printWarnings(s Streams, warnings []string) {
	for _, w := range warnings {
		fmt.Fprintln(s.Out, "warning: "+w)
	}
}

// pluralize returns a number with its noun in the singular or plural.
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
