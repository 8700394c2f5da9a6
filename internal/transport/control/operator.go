package control

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// operatorServer serves the operator commands.
type operatorServer struct {
	plane *Plane
	// local keeps questions about a flow or target from being passed on to its owner.
	local bool
}

// Status tells what this balancer knows about itself, the fleet and the targets.
func (s *operatorServer) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	p := s.plane
	response := &wire.StatusResponse{Counters: p.counters.snapshot()}
	if p.options.DataPathCounters != nil {
		maps.Copy(response.Counters, p.options.DataPathCounters())
	}
	err := p.runInLoop(ctx, func(now time.Time) {
		p.agent.FillStatus(now, response)
		for name, total := range p.agent.Counters() {
			response.Counters[name] = total
		}
		if p.options.Core != nil {
			response.Targets = p.targetStatus(now)
			response.Flows = uint64(p.options.Core.FlowCount())
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

// Refresh asks peers for the view, for use after a freeze. It succeeds with
// the first answer, and at once when no peer is known. A view that differs from
// the one before was passed to OnView when it returns.
func (p *Plane) Refresh(ctx context.Context) error {
	var peers []netip.AddrPort
	if err := p.runInLoop(ctx, func(time.Time) { peers = p.agent.Peers(maxRefreshPeers) }); err != nil {
		return err
	}
	var err error
	for _, addr := range peers {
		if err = p.runExchange(ctx, addr); err == nil {
			return p.waitForLoop(ctx)
		}
	}
	return err
}

// settle returns when the loop has carried out what earlier requests changed.
func (p *Plane) waitForLoop(ctx context.Context) error { return p.runInLoop(ctx, func(time.Time) {}) }

// refreshPeers is the number of peers tried by Refresh.
const maxRefreshPeers = 3
