package control

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination/agent"
	"github.com/kumquatworks/kumquatworks/internal/coordination/membership"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// maxDatagramBytes is the size of the receive buffer. It exceeds the largest probe.
const maxDatagramBytes = 16 << 10

// tasks tracks the goroutines that execute commands, health checks and exchanges.
type tasks struct{ waitGroup sync.WaitGroup }

func (t *tasks) start(f func()) { t.waitGroup.Go(f) }

func (t *tasks) wait() { t.waitGroup.Wait() }

// loop is the event loop. The agent is not safe for concurrent use, so all calls to it
// are made here while the loop runs.
func (p *Plane) loop(ctx context.Context) {
	defer close(p.loopDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			p.sendProbes(p.agent.AnnounceLeft(boottime.Now()))
			return
		case <-ticker.C:
			p.tick(ctx)
		case received := <-p.probeQueue:
			p.sendProbes(p.agent.HandleProbe(boottime.Now(), received.from, received.probe))
		case call := <-p.loopCalls:
			call()
			p.tick(ctx)
		}
	}
}

func (p *Plane) tick(ctx context.Context) { p.applyOutput(ctx, p.agent.Tick(boottime.Now())) }

// applyOutput sends the messages, calls the callbacks and starts the tasks that the
// agent has requested.
func (p *Plane) applyOutput(ctx context.Context, output agent.Output) {
	p.sendProbes(output.Messages)
	if output.View != nil && p.options.OnView != nil {
		p.options.OnView(*output.View)
	}
	if output.Joined {
		p.handleJoined()
	}
	if output.Snapshot != nil {
		p.applySnapshot(Snapshot{
			Generation: output.Snapshot.Head.Generation,
			Digest:     output.Snapshot.Head.Digest,
			Set:        output.Snapshot.Set,
		})
	}
	if output.NewReports && p.options.OnReports != nil {
		p.options.OnReports(output.Reports)
	}
	for _, c := range output.Commands {
		p.tasks.start(func() { p.executeCommand(ctx, c) })
	}
	for _, c := range output.Checks {
		p.tasks.start(func() { p.runHealthCheck(ctx, c) })
	}
	for _, addr := range output.ExchangeAddrs {
		p.tasks.start(func() { _ = p.runExchange(ctx, addr) })
	}
}

func (p *Plane) handleJoined() {
	_ = level.Info(p.logger).Log("op", "join", "msg", "joined the fleet", "live", p.agent.Counters()["membership_live"])
	if p.options.OnJoined != nil {
		p.options.OnJoined()
	}
}

// applySnapshot puts a snapshot in force and passes it to OnSnapshot.
func (p *Plane) applySnapshot(s Snapshot) {
	p.inForce = s
	_ = level.Info(p.logger).Log("op", "adopt", "msg", "configuration in force", "generation", s.Generation, "digest", s.Digest)
	if p.options.OnSnapshot != nil {
		p.options.OnSnapshot(s)
	}
}

// sendProbes authenticates and sends probes. Failed sends are only counted.
func (p *Plane) sendProbes(messages []membership.Outgoing) {
	for _, msg := range messages {
		datagram, err := sealProbe(p.options.FleetKey, msg.Probe)
		if err == nil {
			_, err = p.udpConn.WriteToUDPAddrPort(datagram, msg.To)
		}
		if err != nil {
			p.counters.add(counterSendErrors, 1)
			continue
		}
		p.counters.add(counterProbeSent, len(datagram))
	}
}

// readProbes reads the UDP socket until it is closed, and queues the probes whose MAC
// is valid.
func (p *Plane) readProbes() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.udpConn.ReadFromUDPAddrPort(buffer)
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
		p.enqueueProbe(from, probe)
	}
}

// enqueueProbe queues a probe for the event loop, or drops it if the queue is full.
func (p *Plane) enqueueProbe(from netip.AddrPort, probe *wire.Probe) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	select {
	case p.probeQueue <- receivedProbe{from, probe}:
	default:
		p.counters.add(counterDroppedProbes, 1)
	}
}
