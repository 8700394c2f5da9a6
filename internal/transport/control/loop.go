package control

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination/agent"
	"github.com/kumquatworks/kumquatworks/internal/coordination/membership"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// maxDatagramBytes is above the largest probe.
const maxDatagramBytes = 16 << 10

// tasks tracks the goroutines that carry out commands.
type tasks struct{ group sync.WaitGroup }

func (t *tasks) start(f func()) { t.group.Go(f) }

func (t *tasks) wait() { t.group.Wait() }

// loop owns the agent: everything that touches it runs here.
func (p *Plane) loop(ctx context.Context) {
	defer close(p.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			p.send(p.agent.AnnounceLeft(time.Now()))
			return
		case <-ticker.C:
			p.tick(ctx)
		case r := <-p.probes:
			p.send(p.agent.HandleProbe(time.Now(), r.from, r.probe))
		case f := <-p.requests:
			f()
			p.tick(ctx)
		}
	}
}

func (p *Plane) tick(ctx context.Context) { p.carryOut(ctx, p.agent.Tick(time.Now())) }

// carryOut does what the agent decided.
func (p *Plane) carryOut(ctx context.Context, out agent.Output) {
	p.send(out.Messages)
	if out.View != nil && p.options.OnView != nil {
		p.options.OnView(*out.View)
	}
	if out.Joined {
		p.joined()
	}
	if out.Snapshot != nil {
		p.putInForce(Snapshot{
			Generation: out.Snapshot.Head.Generation,
			Digest:     out.Snapshot.Head.Digest,
			Set:        out.Snapshot.Set,
		})
	}
	if out.NewReports && p.options.OnReports != nil {
		p.options.OnReports(out.Reports)
	}
	for _, c := range out.Commands {
		p.tasks.start(func() { p.command(ctx, c) })
	}
	for _, c := range out.Checks {
		p.tasks.start(func() { p.check(ctx, c) })
	}
	for _, addr := range out.ExchangeAddrs {
		p.tasks.start(func() { _ = p.exchange(ctx, addr) })
	}
}

func (p *Plane) joined() {
	_ = level.Info(p.logger).Log("op", "join", "msg", "balancers of the fleet known", "live", p.agent.Counters()["membership_live"])
	if p.options.OnJoined != nil {
		p.options.OnJoined()
	}
}

func (p *Plane) putInForce(s Snapshot) {
	p.inForce = s
	_ = level.Info(p.logger).Log("op", "adopt", "msg", "configuration in force", "generation", s.Generation, "digest", s.Digest)
	if p.options.OnSnapshot != nil {
		p.options.OnSnapshot(s)
	}
}

// send seals and sends probes.
func (p *Plane) send(messages []membership.Outgoing) {
	for _, msg := range messages {
		datagram, err := sealProbe(p.options.FleetKey, msg.Probe)
		if err == nil {
			_, err = p.udp.WriteToUDPAddrPort(datagram, msg.To)
		}
		if err != nil {
			p.counters.add(counterSendErrors, 1)
			continue
		}
		p.counters.add(counterProbeSent, len(datagram))
	}
}

// readProbes reads the UDP socket until it is closed.
func (p *Plane) readProbes() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.counters.add(counterDroppedProbes, 1)
			continue
		}
		p.counters.add(counterProbeReceived, n)
		probe, err := openProbe(p.options.FleetKey, buffer[:n])
		if err != nil {
			p.counters.add(counterRefusedProbes, 1)
			continue
		}
		p.enqueue(from, probe)
	}
}

func (p *Plane) enqueue(from netip.AddrPort, probe *wire.Probe) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	select {
	case p.probes <- received{from, probe}:
	default:
		p.counters.add(counterDroppedProbes, 1)
	}
}
