package cli

import (
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatworks/kumquatworks/internal/experiment"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

func init() {
	register(command{
		name:  "experiment",
		short: "measure load distribution and broken flows in a simulated fleet",
		long: "Runs one measurement with simulated balancers, targets and callers in simulated time and prints one table. " +
			"The same seed gives the same table. Example: kumquatworks experiment slots --seed 1",
		newCommander: func(s Streams) flags.Commander { return &experimentCommand{streams: s} },
	})
}

type experimentCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of all random choices"`
	Flows    int    `long:"flows" default:"2000" description:"long flows (broken, imbalance, bounds)"`
	Requests int    `long:"requests" default:"20000" description:"requests for each row (slots, bounds)"`
	WorkMS   int    `long:"work" default:"200" description:"mean time that a request holds a slot, in milliseconds"`
	Protocol string `long:"protocol" default:"quic" choice:"quic" choice:"tcp" description:"transport of the flows (broken)"`
	Args     struct {
		Measure string `positional-arg-name:"MEASURE" description:"broken, slots, imbalance or bounds" required:"yes"`
	} `positional-args:"yes"`

	streams Streams
}

// Execute runs the measurement.
func (c *experimentCommand) Execute([]string) error {
	if c.Flows <= 0 || c.Requests <= 0 || c.WorkMS <= 0 {
		return &flags.Error{Type: flags.ErrMarshal, Message: "experiment: --flows, --requests and --work must be at least 1"}
	}
	work := time.Duration(c.WorkMS) * time.Millisecond
	switch c.Args.Measure {
	case "broken":
		return experiment.PrintBroken(c.streams.Out, c.Seed, c.Flows, objects.Protocol(c.Protocol))
	case "slots":
		return experiment.PrintSlots(c.streams.Out, c.Seed, c.Requests, work)
	case "bounds":
		return experiment.PrintBounds(c.streams.Out, experiment.BoundsOptions{
			Seed: c.Seed, Flows: c.Flows, Requests: c.Requests, MeanRequestDuration: work,
		})
	case "imbalance":
		return experiment.PrintImbalance(c.streams.Out, c.Seed, c.Flows, work)
	}
	return &flags.Error{
		Type:    flags.ErrInvalidChoice,
		Message: "experiment: measure \"" + c.Args.Measure + "\" is not one of broken, slots, imbalance, bounds",
	}
}
