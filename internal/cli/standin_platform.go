package cli

import (
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	standplatform "github.com/kumquatworks/kumquatworks/internal/standin/platform"
)

func init() {
	register(command{
		group: standinGroup,
		name:  "platform",
		short: "run the platform stand-in",
		long: "Serves a key-value store and a VM list as JSON over HTTP. Faults are injected through paths below /test/. " +
			"Stops at SIGTERM. Example: kumquatworks standin platform --listen 127.0.0.1:7400 --vms vms.json",
		newCommander: func(s Streams) flags.Commander { return &standinPlatformCommand{streams: s} },
	})
}

type standinPlatformCommand struct {
	Listen  string `long:"listen" default:"127.0.0.1:7400" description:"HTTP address:port"`
	VMs     string `long:"vms" description:"JSON file with the VM list at start"`
	streams Streams
}

// Execute serves the platform until SIGTERM.
func (c *standinPlatformCommand) Execute([]string) error {
	if err := checkAddresses([]namedAddress{{"--listen", c.Listen}}); err != nil {
		return err
	}
	var vms []platform.VM
	if c.VMs != "" {
		if err := readJSON(c.VMs, &vms); err != nil {
			return err
		}
	}
	ctx, stop := signalContext()
	defer stop()
	return serveHTTP(ctx, c.Listen, standplatform.NewServer(time.Now, vms), newLogger(c.streams, "platform"))
}
