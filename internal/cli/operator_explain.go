package cli

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/transport/control"
)

func init() {
	register(command{
		name:  "explain",
		short: "explain the state of a flow, caller, target or the fleet",
		long: "Asks a balancer to explain a state. KIND and its arguments: 'flow CALLER SERVICE' (caller address:port; service name or address:port), " +
			"'caller ADDRESS' (recent decisions about a caller), 'target NAME', 'fleet' (members, alarms, recent changes and repairs with their causes, and recent decisions). " +
			"For a flow or target the balancer also queries the owner, which counts open flows and chooses targets. " +
			"Works while the platform is down. Exit codes: 0 explained, 1 no such object, 2 wrong use, 4 no balancer answers. " +
			"Example: kumquatworks explain flow 10.9.0.7:40112 quote-desk --balancer 10.0.0.1:7600 --fleet-key-file fleet.key",
		newCommander: func(s Streams) flags.Commander { return &explainCommand{streams: s} },
	})
}

type explainCommand struct {
	balancerOptions
	Everywhere bool `long:"everywhere" description:"ask every live balancer; each line starts with the VM"`
	Args       struct {
		Kind  string   `positional-arg-name:"KIND" required:"yes" description:"flow, caller, target or fleet"`
		Names []string `positional-arg-name:"ARGUMENT" description:"what to explain"`
	} `positional-args:"yes"`
	streams Streams
	// dialLocal returns clients whose requests a balancer answers without querying the owner.
	dialLocal operatorDialer
}

// explainArguments lists the arguments of each kind.
var explainArguments = map[string][]string{
	"flow":   {"CALLER", "SERVICE"},
	"caller": {"ADDRESS"},
	"target": {"NAME"},
	"fleet":  {},
}

// Execute prints the explanation.
func (c *explainCommand) Execute([]string) error {
	request, err := c.newRequest()
	if err != nil {
		return err
	}
	key, err := c.checkAndReadKey()
	if err != nil {
		return err
	}
	dial := func(address string) wire.Operator { return control.NewOperatorClient(address, key) }
	c.dialLocal = func(address string) wire.Operator { return control.NewLocalOperatorClient(address, key) }
	ctx, stop := signalContext()
	defer stop()
	if c.Everywhere {
		return c.explainFromAll(ctx, dial, request)
	}
	return c.explainFromFirst(ctx, dial, request)
}

func (c *explainCommand) newRequest() (*wire.ExplainRequest, error) {
	expected, known := explainArguments[c.Args.Kind]
	if !known {
		return nil, usageError("KIND: %q is not flow, caller, target or fleet", c.Args.Kind)
	}
	if len(c.Args.Names) != len(expected) {
		return nil, usageError("usage: kumquatworks explain %s", strings.Join(append([]string{c.Args.Kind}, expected...), " "))
	}
	names := c.Args.Names
	switch c.Args.Kind {
	case "flow":
		if a, err := netip.ParseAddrPort(names[0]); err != nil || !a.Addr().Is4() {
			return nil, usageError("CALLER: %q is not an IPv4 address:port such as 10.9.0.7:40112", names[0])
		}
		return &wire.ExplainRequest{Caller: names[0], Service: names[1]}, nil
	case "caller":
		if a, err := netip.ParseAddr(names[0]); err != nil || !a.Is4() {
			return nil, usageError("ADDRESS: %q is not an IPv4 address such as 10.9.0.7", names[0])
		}
		return &wire.ExplainRequest{Caller: names[0]}, nil
	case "target":
		return &wire.ExplainRequest{Target: names[0]}, nil
	}
	return &wire.ExplainRequest{Fleet: true}, nil
}

// explainFromFirst queries the balancers in turn and prints the first explanation. It stops
// at the first balancer that reports that the object does not exist.
func (c *explainCommand) explainFromFirst(ctx context.Context, dial operatorDialer, request *wire.ExplainRequest) error {
	var lastErr error
	for _, address := range c.Balancers {
		lines, err := queryExplanation(ctx, dial, address, request)
		if err == nil {
			return c.print("", lines)
		}
		if isInvalidArgument(err) {
			return control.UnwrapRPCError(err)
		}
		lastErr = errors.Wrapf(control.UnwrapRPCError(err), "balancer %s", address)
	}
	return &ExitError{Code: ExitUnknown, Err: errors.Wrap(lastErr, "no balancer answers")}
}

// explainFromAll queries every live balancer in the member list of the first that answers.
func (c *explainCommand) explainFromAll(ctx context.Context, dial operatorDialer, request *wire.ExplainRequest) error {
	status, err := queryFirst(ctx, dial, c.Balancers)
	if err != nil {
		return &ExitError{Code: ExitUnknown, Err: errors.Wrap(err, "no balancer answers")}
	}
	failed := 0
	for _, m := range status.Members {
		if !isLive(m) {
			continue
		}
		lines, err := queryExplanation(ctx, c.dialLocal, m.Control, request)
		if err != nil {
			failed++
			lines = []string{"no answer: " + control.UnwrapRPCError(err).Error()}
		}
		if err := c.print(m.Vm+": ", lines); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Errorf("%s did not return an explanation", pluralize(failed, "balancer"))
	}
	return nil
}

func (c *explainCommand) print(prefix string, lines []string) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(c.streams.Out, prefix+line); err != nil {
			return err
		}
	}
	return nil
}
