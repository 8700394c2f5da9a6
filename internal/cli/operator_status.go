package cli

import (
	"context"
	"slices"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

func init() {
	register(command{
		name:  "status",
		short: "show the state of the fleet",
		long: "Queries one balancer, and every live balancer in its member list, for generations, VMs, targets and alarms. Works while the platform is down, with any balancer. " +
			"Figures without an age are from the balancers that were queried now; ages are in seconds. Exit codes: 0 nothing needs attention; 1 something does, listed under attention; 2 wrong use; 4 no balancer answers. " +
			"With --metrics, it reads the metrics of balancers on the users' platform instead: whether the store has returned from an older copy, when, and which balancers have read it anew. " +
			"Example: kumquatworks status --balancer 10.0.0.1:7600 --fleet-key-file fleet.key",
		newCommander: func(s Streams) flags.Commander { return &statusCommand{streams: s} },
	})
}

type statusCommand struct {
	balancerOptions
	JSON     bool     `long:"json" description:"print JSON"`
	Local    bool     `long:"local" description:"ask only the first balancer that answers; open flows are then those that it owns, and generations of others may be 10 s old"`
	Targets  bool     `long:"targets" description:"list every pool and target, also those that serve normally"`
	Counters bool     `long:"counters" description:"list the counters, summed over the balancers since their start"`
	Metrics  []string `long:"metrics" value-name:"ADDR" description:"on the users' platform: metrics address:port of a balancer (its --metrics-port); repeat it for each; takes only --json besides"`
	streams  Streams
}

// Execute queries the balancers and prints the state of the fleet.
func (c *statusCommand) Execute([]string) error {
	if len(c.Metrics) > 0 {
		return c.reportStores()
	}
	dial, err := c.newDialer()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	first, err := queryFirst(ctx, dial, c.Balancers)
	if err != nil {
		return &ExitError{Code: ExitUnknown, Err: errors.Wrap(err, "no balancer answers")}
	}
	report := newFleetReport(first, c.queryPeers(ctx, dial, first))
	if c.JSON {
		err = printJSON(c.streams, report)
	} else {
		err = report.print(c.streams.Out, c.Targets, c.Counters)
	}
	if err == nil && len(report.Attention) > 0 {
		err = errors.Errorf("%s", pluralize(len(report.Attention), "thing")+" to attend to")
	}
	return err
}

// peerResponses are the responses and errors of the other live balancers, by VM name.
type peerResponses struct {
	responses map[string]*wire.StatusResponse
	failures  map[string]error
}

func (c *statusCommand) queryPeers(ctx context.Context, dial operatorDialer, first *wire.StatusResponse) peerResponses {
	if c.Local {
		return peerResponses{}
	}
	members := slices.DeleteFunc(slices.Clone(first.Members), func(m *wire.Member) bool { return m.Vm == first.Vm || !isLive(m) })
	responses, failures := queryMembers(ctx, dial, members)
	return peerResponses{responses: responses, failures: failures}
}
