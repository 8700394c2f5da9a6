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
		short: "tell why a flow, caller, target or the fleet is in its state",
		long: "Asks a balancer why. KIND and its arguments: 'flow CALLER SERVICE' (caller address:port; service name or address:port), " +
			"'caller ADDRESS' (recent decisions about a caller), 'target NAME', 'fleet' (members, alarms, what changed and was repaired lately and why, and recent decisions). " +
			"For a flow or target the balancer asks the owner too, which counts open flows and chooses targets. " +
			"Works while the platform is down. Exit codes: 0 explained, 1 no such object, 2 wrong use, 4 no balancer answers. " +
			"Example: kumquatworks explain flow 10.9.0.7:40112 quote-desk --balancer 10.0.0.1:7600 --fleet-key-file fleet.key",
		build: func(s Streams) flags.Commander { return &explainCommand{streams: s} },
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
	// local dials balancers that answer by themselves.
	local operatorDial
}

// explainUses lists the arguments of each kind.
var explainUses = map[string][]string{
	"flow":   {"CALLER", "SERVICE"},
	"caller": {"ADDRESS"},
	"target": {"NAME"},
	"fleet":  {},
}

// Execute prints the explanation.
func (c *explainCommand) Execute([]string) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	key, err := c.key()
	if err != nil {
		return err
	}
	dial := func(address string) wire.Operator { return control.NewOperatorClient(address, key) }
	c.local = func(address string) wire.Operator { return control.NewLocalOperatorClient(address, key) }
	ctx, stop := untilSignal()
	defer stop()
	if c.Everywhere {
		return c.askAll(ctx, dial, request)
	}
	return c.askOne(ctx, dial, request)
}

func (c *explainCommand) request() (*wire.ExplainRequest, error) {
	use, known := explainUses[c.Args.Kind]
	if !known {
		return nil, usageError("KIND: %q is not flow, caller, target or fleet", c.Args.Kind)
	}
	if len(c.Args.Names) != len(use) {
		return nil, usageError("use: kumquatworks explain %s", strings.Join(append([]string{c.Args.Kind}, use...), " "))
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

// askOne asks the named balancers in turn. An answer that the object does not exist ends the search.
func (c *explainCommand) askOne(ctx context.Context, dial operatorDial, request *wire.ExplainRequest) error {
	var last error
	for _, address := range c.Balancers {
		lines, err := explain(ctx, dial, address, request)
		if err == nil {
			return c.print("", lines)
		}
		if isInvalid(err) {
			return control.UnwrapRPCError(err)
		}
		last = errors.Wrapf(control.UnwrapRPCError(err), "balancer %s", address)
	}
	return &ExitError{Code: ExitUnknown, Err: errors.Wrap(last, "no balancer answers")}
}

// askAll asks every live balancer that the first one knows.
func (c *explainCommand) askAll(ctx context.Context, dial operatorDial, request *wire.ExplainRequest) error {
	status, err := askFirst(ctx, dial, c.Balancers)
	if err != nil {
		return &ExitError{Code: ExitUnknown, Err: errors.Wrap(err, "no balancer answers")}
	}
	failed := 0
	for _, m := range status.Members {
		if !live(m) {
			continue
		}
		lines, err := explain(ctx, c.local, m.Control, request)
		if err != nil {
			failed++
			lines = []string{"no answer: " + control.UnwrapRPCError(err).Error()}
		}
		if err := c.print(m.Vm+": ", lines); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Errorf("%s without an explanation", count(failed, "balancer"))
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
