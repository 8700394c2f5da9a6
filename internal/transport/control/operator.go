package control

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// operatorServer implements the operator service.
type operatorServer struct {
	plane *Plane
	// local disables the queries to the owners of a flow or target.
	local bool
}

// Status returns the state of this balancer, and its view of the fleet and the targets.
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

// Refresh updates the view by an exchange with a peer, for use after a freeze. It tries
// peers in turn and succeeds with the first that answers, or at once if no peer is known.
// If the view changed, OnView was called with it before Refresh returns.
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

// waitForLoop returns when the event loop has applied the effects of earlier calls.
func (p *Plane) waitForLoop(ctx context.Context) error { return p.runInLoop(ctx, func(time.Time) {}) }

// maxRefreshPeers limits the peers that Refresh tries.
const maxRefreshPeers = 3
