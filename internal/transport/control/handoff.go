package control

import (
	"context"
	"encoding/binary"
	"math"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// handoffBatchSize is the maximum number of bindings in one request, about 20 KB.
	handoffBatchSize = 500
	// handoffBindingsPerSecond limits the rate of the handoff. A planned leave is short and
	// rare, so it may exceed the steady-state bandwidth budget of the control plane.
	handoffBindingsPerSecond = 5000
	// maxHandoffAttempts limits the attempts to deliver one batch.
	maxHandoffAttempts = 3
	// leavePropagationDelay is the time between the announcement of the leave and the
	// handoff. It lets the announcement reach the other balancers before the handoff
	// determines the recipients of the bindings.
	leavePropagationDelay = 500 * time.Millisecond
)

// Leave announces a planned leave and hands off the bindings that other balancers need.
// Run must continue until the fabric sends no more packets. If Leave returns an error,
// bindings may not have been delivered, and it may be called again.
func (p *Plane) Leave(ctx context.Context) error {
	if err := p.runInLoop(ctx, func(time.Time) { p.agent.AnnounceLeaving() }); err != nil {
		return errors.Wrap(err, "announce planned leave")
	}
	if p.options.Core == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(leavePropagationDelay):
	}
	return p.handOffBindings(ctx)
}

// handOffBindings sends batches until none is left. A batch that cannot be delivered is
// counted and skipped.
func (p *Plane) handOffBindings(ctx context.Context) error {
	limiter := rate.NewLimiter(handoffBindingsPerSecond, handoffBatchSize)
	undelivered := 0
	for {
		batches := p.options.Core.Handoff(boottime.Now(), handoffBatchSize)
		if len(batches) == 0 {
			break
		}
		for _, batch := range batches {
			if err := limiter.WaitN(ctx, min(len(batch.Bindings), handoffBatchSize)); err != nil {
				return errors.Wrap(err, "handoff")
			}
			if err := p.sendBatch(ctx, batch); err != nil {
				undelivered += len(batch.Bindings)
				p.counters.add(counterHandoffUndelivered, len(batch.Bindings))
				_ = level.Warn(p.logger).Log("op", "handoff", "msg", "batch of bindings not delivered", "peer", batch.VM, "err", err)
			}
		}
	}
	if undelivered > 0 {
		return errors.Errorf("handoff: %d bindings were not delivered", undelivered)
	}
	return nil
}

// sendBatch sends a batch to its recipient and retries failed attempts at once.
func (p *Plane) sendBatch(ctx context.Context, batch coordination.HandoffBatch) error {
	addr, ok := p.peerAddress(ctx, batch.VM)
	if !ok {
		return errors.Errorf("peer %s is not known", batch.VM)
	}
	request := &wire.HandoffRequest{Source: p.options.VM, Bindings: bindingsToWire(batch.Bindings)}
	var err error
	for range maxHandoffAttempts {
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		_, err = p.peerClient(addr).Handoff(callCtx, request)
		cancel()
		if err == nil {
			p.counters.add(counterHandoffSent, len(batch.Bindings))
			return nil
		}
	}
	return errors.Wrapf(err, "handoff to %s", batch.VM)
}

func (p *Plane) acceptHandoff(r *wire.HandoffRequest) *wire.HandoffResponse {
	if p.options.OnHandoff == nil {
		return &wire.HandoffResponse{}
	}
	accepted := p.options.OnHandoff(bindingsFromWire(r.GetBindings()))
	p.counters.add(counterHandoffAccepted, accepted)
	return &wire.HandoffResponse{Accepted: uint32(accepted)}
}

func bindingsToWire(bindings []state.Binding) []*wire.FlowBinding {
	list := make([]*wire.FlowBinding, 0, len(bindings))
	for _, b := range bindings {
		list = append(list, &wire.FlowBinding{
			CallerIp: ipToWire(b.Flow.Caller), CallerPort: uint32(b.Flow.Caller.Port),
			ServiceIp: ipToWire(b.Flow.Service), ServicePort: uint32(b.Flow.Service.Port),
			Transport: uint32(b.Flow.Transport),
			TargetIp:  ipToWire(b.Target), TargetPort: uint32(b.Target.Port),
			Strength:  uint32(b.Strength),
			OpenerTag: b.OpenerTag, AnswerTag: b.AnswerTag,
			IdleSeconds: uint32(min(b.Idle/time.Second, math.MaxUint32)),
		})
	}
	return list
}

// bindingsFromWire decodes bindings and skips those with values out of range.
func bindingsFromWire(list []*wire.FlowBinding) []state.Binding {
	bindings := make([]state.Binding, 0, len(list))
	for _, wireBinding := range list {
		maxPort := max(wireBinding.GetCallerPort(), wireBinding.GetServicePort(), wireBinding.GetTargetPort())
		if maxPort > math.MaxUint16 || wireBinding.GetTransport() > math.MaxUint8 || wireBinding.GetStrength() > uint32(state.StrengthConfirmed) {
			continue
		}
		bindings = append(bindings, state.Binding{
			Flow: protocol.FlowKey{
				Caller:    endpointFromWire(wireBinding.CallerIp, wireBinding.CallerPort),
				Service:   endpointFromWire(wireBinding.ServiceIp, wireBinding.ServicePort),
				Transport: uint8(wireBinding.Transport),
			},
			Target:    endpointFromWire(wireBinding.TargetIp, wireBinding.TargetPort),
			Strength:  state.Strength(wireBinding.Strength),
			OpenerTag: wireBinding.OpenerTag, AnswerTag: wireBinding.AnswerTag,
			Idle: time.Duration(wireBinding.IdleSeconds) * time.Second,
		})
	}
	return bindings
}

func ipToWire(e protocol.Endpoint) uint32 { return binary.BigEndian.Uint32(e.IP[:]) }

func endpointFromWire(ip, port uint32) protocol.Endpoint {
	e := protocol.Endpoint{Port: uint16(port)}
	binary.BigEndian.PutUint32(e.IP[:], ip)
	return e
}
