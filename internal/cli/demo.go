package cli

import (
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/demo"
)

// Bounds of the time during which a demo generates load. Startup and shutdown come on top.
const (
	minDemoSeconds = 5
	maxDemoSeconds = 20
)

func init() {
	register(command{
		name:  "demo",
		short: "run a whole fleet with embedded stand-ins",
		long: "Runs 7 balancers in 3 places, 18 targets and their callers in one process on loopback. While traffic flows it publishes a change, " +
			"drains a target and stops a balancer gracefully. It prints the counts of the callers, targets and sockets. Exit codes: 0 every guarantee held; " +
			"1 a flow broke, an answer belonged to another request or service, a request ran twice or although it was reported as not run, a draining target got new flows, " +
			"or the demo could not be completed. Example: kumquatworks demo --users guild --seconds 20",
		newCommander: func(s Streams) flags.Commander { return &demoCommand{streams: s} },
	})
}

type demoCommand struct {
	Users   string `long:"users" default:"coralline" choice:"coralline" choice:"guild" description:"whose places and services run"`
	Seconds int    `long:"seconds" default:"15" description:"time that traffic flows, 5 to 20 s; steps that take longer extend it"`
	Logs    string `long:"logs" value-name:"FILE" description:"file that receives the log lines of the balancers; none if empty"`

	streams Streams
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	if c.Seconds < minDemoSeconds || c.Seconds > maxDemoSeconds {
		return usageError("--seconds: %d is not between %d and %d", c.Seconds, minDemoSeconds, maxDemoSeconds)
	}
	logs := io.Discard
	if c.Logs != "" {
		file, err := os.Create(c.Logs)
		if err != nil {
			return errors.Wrap(err, "--logs")
		}
		defer file.Close()
		logs = file
	}
	ctx, stop := signalContext()
	defer stop()
	outcome, err := demo.Run(ctx, c.streams.Out, demo.Options{
		Users: c.Users, Load: time.Duration(c.Seconds) * time.Second, Logs: logs,
	})
	if err != nil {
		return err
	}
	return outcome.Err()
}
