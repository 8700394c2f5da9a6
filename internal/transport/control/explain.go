package control

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// localPathPrefix is the path prefix of the operator service that answers from the state
// of this balancer only. Queries to owners use it, so that balancers whose views differ
// do not forward a request to each other in a loop.
const localPathPrefix = "/local"

// ownerQueryTimeout limits the queries to all owners of one request. It is shorter than
// the timeout of the operator commands.
const ownerQueryTimeout = 1500 * time.Millisecond

// errNoConfiguration is returned for requests about an object while no configuration is
// in force.
var errNoConfiguration = twirp.NewError(twirp.InvalidArgument, "this balancer has no configuration in force")

// Explain describes the state of a flow, a target or the fleet and the reasons for it,
// one fact per line.
func (s *operatorServer) Explain(ctx context.Context, r *wire.ExplainRequest) (response *wire.ExplainResponse, err error) {
	p := s.plane
	if p.options.Core == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this balancer has no data path")
	}
	var lines, owners []string
	loopErr := p.runInLoop(ctx, func(now time.Time) {
		lines, err = p.explain(now, r)
		owners = p.ownersOf(r)
	})
	if loopErr != nil {
		return nil, loopErr
	}
	if err == nil && !s.local {
		lines = p.addOwnerAnswers(ctx, r, lines, owners)
	}
	return &wire.ExplainResponse{Lines: lines}, err
}

// ownersOf returns the owners of the flow or target that a request names. The owners of
// a target are those of the shards of its service.
func (p *Plane) ownersOf(r *wire.ExplainRequest) []string {
	if r.GetTarget() != "" {
		return p.options.Core.TargetOwners(r.Target)
	}
	if _, err := netip.ParseAddrPort(r.GetCaller()); err != nil {
		return nil
	}
	key, err := p.flowKey(r.Caller, r.GetService())
	if err != nil {
		return nil
	}
	if owner := p.options.Core.FlowOwner(key); owner != "" {
		return []string{owner}
	}
	return nil
}

// addOwnerAnswers queries the owners and puts their answers before the lines of this
// balancer, because only owners count open flows and select targets.
func (p *Plane) addOwnerAnswers(ctx context.Context, r *wire.ExplainRequest, localLines, owners []string) []string {
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	var lines []string
	failedOwners := 0
	for _, vm := range owners {
		if vm == p.options.VM {
			lines = append(lines, localLines...)
			localLines = nil
			continue
		}
		ownerLines, err := p.queryOwner(ctx, vm, r)
		if err != nil {
			failedOwners++
			lines = append(lines, fmt.Sprintf("the owner %s does not answer: %v", vm, err))
			continue
		}
		lines = append(append(lines, "the owner "+vm+" answers:"), ownerLines...)
	}
	if r.GetTarget() != "" && len(lines) > 0 && failedOwners == 0 {
		return lines // the local lines would only repeat the answers, without the open flows
	}
	if len(lines) > 0 && len(localLines) > 0 {
		lines = append(lines, "this is known at "+p.options.VM+":")
	}
	return append(lines, localLines...)
}

func (p *Plane) queryOwner(ctx context.Context, vm string, r *wire.ExplainRequest) ([]string, error) {
	addr, ok := p.peerAddress(ctx, vm)
	if !ok {
		return nil, errors.New("it is no longer among the live balancers")
	}
	client := wire.NewOperatorProtobufClient("http://"+addr.String(), p.peerHTTPClient, twirp.WithClientPathPrefix(localPathPrefix))
	response, err := client.Explain(ctx, r)
	return response.GetLines(), UnwrapRPCError(err)
}

func (p *Plane) explain(now time.Time, r *wire.ExplainRequest) ([]string, error) {
	switch {
	case r.GetCaller() != "":
		return p.explainFlow(now, r.Caller, r.GetService())
	case r.GetTarget() != "":
		return p.explainTarget(now, r.Target)
	case r.GetFleet():
		return p.explainFleet(now), nil
	}
	return nil, twirp.NewError(twirp.InvalidArgument, "the request must name a caller, a target or the fleet")
}

// explainFlow explains one flow if caller is an address with a port. For an address
// without a port it returns the recent decisions about that caller.
func (p *Plane) explainFlow(now time.Time, caller, service string) ([]string, error) {
	if addr, err := netip.ParseAddr(caller); err == nil {
		return decisionsAboutCaller(p.options.Core.Decisions(), addr.String()), nil
	}
	key, err := p.flowKey(caller, service)
	if err != nil {
		return nil, err
	}
	return p.options.Core.ExplainFlow(now, key), nil
}

func (p *Plane) flowKey(caller, service string) (protocol.FlowKey, error) {
	callerAddr, err := netip.ParseAddrPort(caller)
	if err != nil || !callerAddr.Addr().Unmap().Is4() {
		return protocol.FlowKey{}, twirp.InvalidArgumentError("caller", fmt.Sprintf("%q is not an IPv4 address or address:port", caller))
	}
	found, err := p.findService(service)
	if err != nil {
		return protocol.FlowKey{}, err
	}
	return protocol.FlowKey{
		Caller:    protocol.NewEndpoint(callerAddr),
		Service:   protocol.NewEndpoint(netip.AddrPortFrom(found.Address, found.Port)),
		Transport: found.Protocol.Transport(),
	}, nil
}

// explainFleet lists the members, the alarms, the recent changes with their causes and
// the recent decisions.
func (p *Plane) explainFleet(now time.Time) []string {
	lines := p.agent.Describe(now)
	for _, event := range p.agent.Events() {
		lines = append(lines, "changed: "+event)
	}
	for _, change := range p.options.Core.OwnershipChanges() {
		lines = append(lines, "repaired: "+change)
	}
	for _, decision := range p.options.Core.Decisions() {
		lines = append(lines, "decided: "+decision)
	}
	return lines
}

func decisionsAboutCaller(decisions []string, addr string) []string {
	var lines []string
	for _, d := range decisions {
		if strings.Contains(d, " "+addr+":") {
			lines = append(lines, d)
		}
	}
	if len(lines) == 0 {
		lines = append(lines, "no recent decision about "+addr+"; add the port to explain one flow")
	}
	return lines
}

// findService looks up a service by its name or its address:port.
func (p *Plane) findService(name string) (objects.Service, error) {
	if p.inForce.Generation == 0 {
		return objects.Service{}, errNoConfiguration
	}
	addr, addrErr := netip.ParseAddrPort(name)
	for _, s := range p.inForce.Set.Services {
		if s.Name == name || addrErr == nil && s.Address == addr.Addr() && s.Port == addr.Port() {
			return s, nil
		}
	}
	message := fmt.Sprintf("no service %q in generation %d", name, p.inForce.Generation)
	return objects.Service{}, twirp.InvalidArgumentError("service", message)
}

func (p *Plane) explainTarget(now time.Time, name string) ([]string, error) {
	if p.inForce.Generation == 0 {
		return nil, errNoConfiguration
	}
	for _, t := range p.options.Core.Targets(now) {
		if t.Target == name {
			return append(describeTarget(t), p.agent.DescribeTarget(now, name)...), nil
		}
	}
	message := fmt.Sprintf("no target %q in generation %d", name, p.inForce.Generation)
	return nil, twirp.InvalidArgumentError("target", message)
}

func describeTarget(t coordination.TargetState) []string {
	line := fmt.Sprintf("target %s of pool %s and service %s: %s, %d open flows owned here", t.Target, t.Pool, t.Service, t.State, t.OpenFlows)
	if t.Reason == "" {
		return []string{line}
	}
	return []string{line, "no new flows: " + t.Reason}
}
