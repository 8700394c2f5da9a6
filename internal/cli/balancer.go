package cli

import (
	"context"
	"fmt"
	"io/fs"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/settings"
	"github.com/kumquatworks/kumquatworks/internal/transport"
	"github.com/kumquatworks/kumquatworks/platform"
)

func init() {
	register(command{
		name:  "balancer",
		short: "run a balancer",
		long: "Runs one balancer of the fleet until SIGTERM. It then leaves the fleet: it announces that it leaves, hands over its flows, and forwards packets until the fabric sends no more. " +
			"A second SIGTERM stops the process at once. Log lines go to standard error as JSON. " +
			"Without --config, it runs on the users' platform with the settings file that KUMQUATWORKS_SETTINGS names, and log lines go to standard output. " +
			"Example: kumquatworks balancer --config /etc/kumquatworks/balancer.json",
		newCommander: func(s Streams) flags.Commander { return &balancerCommand{streams: s} },
	})
}

type balancerCommand struct {
	Config             string  `long:"config" value-name:"FILE" description:"settings file (JSON); timers are in milliseconds"`
	Check              bool    `long:"check" description:"check the settings file and exit"`
	MetricsPort        uint16  `long:"metrics-port" value-name:"PORT" description:"on the users' platform: port for counters and latencies under /debug/vars"`
	TraceSamplingRatio float64 `long:"trace-share" value-name:"SHARE" description:"on the users' platform: share of all flows, 0 to 1, whose packets write spans to the log stream"`
	LogLevel           string  `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"on the users' platform: lowest level of log lines"`

	streams Streams
}

// Execute runs the balancer, or only checks its settings.
func (c *balancerCommand) Execute([]string) error {
	if c.Config == "" {
		return c.runOnPlatform()
	}
	s, err := settings.Read(c.Config)
	if pathErr := (*fs.PathError)(nil); errors.As(err, &pathErr) {
		return usageError("--config: %v", pathErr)
	}
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintf(c.streams.Out, "settings %s are valid: vm %s, place %s\n", c.Config, s.VM, s.Place)
		return err
	}
	ctx, stop := firstSignalContext()
	defer stop()
	return transport.RunProcess(ctx, s, c.streams.Err)
}

// runOnPlatform runs a balancer with the settings of the users' platform, or only checks them.
func (c *balancerCommand) runOnPlatform() error {
	if c.TraceSamplingRatio < 0 || c.TraceSamplingRatio > 1 {
		return usageError("--trace-share: takes a number from 0 to 1")
	}
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return usageError("--config is required unless %s names the settings of the platform", platform.SettingsVariable)
	}
	if c.Check {
		s, err := platform.ReadSettings(path)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.streams.Out, "settings %s are valid: vm %s, place %s\n", path, s.VM, s.Place)
		return err
	}
	ctx, stop := firstSignalContext()
	defer stop()
	return platform.Run(ctx, path, platform.Options{MetricsPort: c.MetricsPort, LogLevel: c.LogLevel, TraceSamplingRatio: c.TraceSamplingRatio}, c.streams.Out)
}

// firstSignalContext returns a context that is canceled by the first SIGTERM or SIGINT.
// It then stops catching signals, so a second one ends the process.
func firstSignalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signalContext()
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
