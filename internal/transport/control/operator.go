package control

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// operatorServer serves the operator commands.
type operatorServer struct{ plane *Plane }

// Status tells what this balancer knows about itself, the fleet and the targets.
func (s *operatorServer) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	p := s.plane
	response := &wire.StatusResponse{Counters: p.counters.snapshot()}
	if p.options.Counters != nil {
		maps.Copy(response.Counters, p.options.Counters())
	}
	err := p.do(ctx, func(now time.Time) {
		p.agent.FillStatus(now, response)
		for name, total := range p.agent.Counters() {
			response.Counters[name] = total
		}
		if p.options.Core != nil {
			response.Targets = p.targetStatus(now)
			response.Flows = uint64(p.options.Core.Flows())
		}
	})
	return response, err
}

func (p *Plane) targetStatus(now time.Time) []*wire.TargetStatus {
	var list []*wire.TargetStatus
	for _, t := range p.options.Core.Targets(now) {
		list = append(list, &wire.TargetStatus{
			Target: t.Target, Pool: t.Pool, Service: t.Service, OpenFlows: t.OpenFlows,
			State: t.State, Reason: t.Reason, AgeSeconds: p.agent.ReportAge(now, t.Target),
		})
	}
	return list
}

// Explain tells why a flow, a target or the fleet is in its state, one fact a line.
func (s *operatorServer) Explain(ctx context.Context, r *wire.ExplainRequest) (response *wire.ExplainResponse, err error) {
	p := s.plane
	if p.options.Core == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this balancer has no data path")
	}
	doErr := p.do(ctx, func(now time.Time) {
		var lines []string
		lines, err = p.explain(now, r)
		response = &wire.ExplainResponse{Lines: lines}
	})
	if doErr != nil {
		return nil, doErr
	}
	return response, err
}

func (p *Plane) explain(now time.Time, r *wire.ExplainRequest) ([]string, error) {
	switch {
	case r.GetCaller() != "":
		return p.explainFlow(now, r.Caller, r.GetService())
	case r.GetTarget() != "":
		return p.explainTarget(now, r.Target)
	case r.GetFleet():
		return append(p.agent.Describe(now), p.options.Core.Decisions()...), nil
	}
	return nil, twirp.NewError(twirp.InvalidArgument, "name a caller, a target or the fleet")
}

// explainFlow needs the caller's port for one flow. With an address alone it
// returns the recent decisions about that caller.
func (p *Plane) explainFlow(now time.Time, caller, service string) ([]string, error) {
	if addr, err := netip.ParseAddr(caller); err == nil {
		return decisionsAbout(p.options.Core.Decisions(), addr.String()), nil
	}
	from, err := netip.ParseAddrPort(caller)
	if err != nil || !from.Addr().Unmap().Is4() {
		return nil, twirp.InvalidArgumentError("caller", fmt.Sprintf("%q is not an IPv4 address or address:port", caller))
	}
	to, err := p.findService(service)
	if err != nil {
		return nil, err
	}
	key := protocol.FlowKey{
		Caller:    protocol.NewEndpoint(from),
		Service:   protocol.NewEndpoint(netip.AddrPortFrom(to.Address, to.Port)),
		Transport: to.Protocol.Transport(),
	}
	return p.options.Core.ExplainFlow(now, key), nil
}

func decisionsAbout(decisions []string, addr string) []string {
	var lines []string
	for _, d := range decisions {
		if strings.Contains(d, addr) {
			lines = append(lines, d)
		}
	}
	if len(lines) == 0 {
		lines = append(lines, "no recent decision about "+addr+"; add the port to explain one flow")
	}
	return lines
}

// findService looks a service up by name or by address:port.
func (p *Plane) findService(name string) (objects.Service, error) {
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

// Refresh asks peers for the view, for use after a freeze. It succeeds with
// the first answer, and at once when no peer is known. A view that differs from
// the one before was passed to OnView when it returns.
func (p *Plane) Refresh(ctx context.Context) error {
	var peers []netip.AddrPort
	if err := p.do(ctx, func(time.Time) { peers = p.agent.Peers(refreshPeers) }); err != nil {
		return err
	}
	var err error
	for _, addr := range peers {
		if err = p.exchange(ctx, addr); err == nil {
			return p.settle(ctx)
		}
	}
	return err
}

// settle returns when the loop has carried out what earlier requests changed.
func (p *Plane) settle(ctx context.Context) error { return p.do(ctx, func(time.Time) {}) }

// refreshPeers is the number of peers tried by Refresh.
const refreshPeers = 3
