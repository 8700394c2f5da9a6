package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:         "version",
		short:        "print the version",
		long:         "Prints the version of the program. Example: kumquatworks version",
		newCommander: func(s Streams) flags.Commander { return &versionCommand{streams: s} },
	})
}

type versionCommand struct {
	streams Streams
}

// Execute prints the module version from the build information of the binary.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(c.streams.Out, "kumquatworks %s\n", version)
	return err
}
