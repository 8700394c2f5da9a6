package cli

import (
	"context"
	"fmt"
	"io/fs"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/settings"
	"github.com/kumquatworks/kumquatworks/internal/transport"
)

func init() {
	register(command{
		name:  "balancer",
		short: "run a balancer",
		long: "Runs one balancer of the fleet until SIGTERM, then leaves: it announces the leave, hands over flows, and forwards until the fabric sends no more packets. " +
			"A second SIGTERM stops at once. Log lines go to standard error as JSON. " +
			"Example: kumquatworks balancer --config /etc/kumquatworks/balancer.json",
		build: func(s Streams) flags.Commander { return &balancerCommand{streams: s} },
	})
}

type balancerCommand struct {
	Config string `long:"config" value-name:"FILE" required:"yes" description:"settings file (JSON); timers are in milliseconds"`
	Check  bool   `long:"check" description:"check the settings file and exit"`

	streams Streams
}

// Execute runs the balancer, or checks its settings.
func (c *balancerCommand) Execute([]string) error {
	s, err := settings.Read(c.Config)
	if unreadable := (*fs.PathError)(nil); errors.As(err, &unreadable) {
		return usageError("--config: %v", unreadable)
	}
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintf(c.streams.Out, "settings %s are valid: vm %s, place %s\n", c.Config, s.VM, s.Place)
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process
	return transport.RunProcess(ctx, s, c.streams.Err)
}
