package telemetry

import (
	"context"
	"encoding/binary"
	"io"
	"math"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// spanBatchTimeout limits how long a finished span waits before it is written. Spans
// that do not fit into the queue of the batch processor are dropped, so that tracing
// never delays packets.
const spanBatchTimeout = time.Second

// Span names. A packet has one ingress span, and one relay span per relay. Owner
// decision and target spans are children of the ingress or relay span of the same balancer.
const (
	SpanIngress  = "ingress"
	SpanRelay    = "relay"
	SpanDecision = "owner decision"
	SpanTarget   = "target"
)

// PacketSpan describes the handling of one packet by one balancer. Record writes it as
// an ingress or relay span and its children.
type PacketSpan struct {
	Flow protocol.FlowKey
	// Hops is the number of times that the packet was relayed before it reached this balancer.
	Hops   uint8
	Start  time.Time
	End    time.Time
	Action string
	Reason string
	// Owner reports whether this balancer decided as the owner of the flow.
	Owner bool
	// Target is the target of a forwarded packet, or the zero value.
	Target protocol.Endpoint
	// Peer is the address of the balancer to which the packet was relayed, or empty.
	Peer string
}

// Tracer writes spans of a sample of the flows.
type Tracer struct {
	provider      *sdktrace.TracerProvider
	tracer        trace.Tracer
	hashThreshold uint64
}

// NewTracer returns a tracer that writes JSON lines to w. samplingRatio is the fraction
// of flows to trace, from 0 to 1. All balancers with the same ratio sample the same flows.
func NewTracer(w io.Writer, samplingRatio float64, vm, place string) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, errors.Wrap(err, "create the trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(spanBatchTimeout)),
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "kumquatworks"),
			attribute.String("vm", vm),
			attribute.String("place", place),
		)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("kumquatworks"), hashThreshold: samplingThreshold(samplingRatio)}, nil
}

// samplingThreshold returns the highest 64-bit flow hash that is sampled at a ratio.
// 0 disables tracing.
func samplingThreshold(ratio float64) uint64 {
	if ratio >= 1 {
		return math.MaxUint64
	}
	return uint64(ratio * (1 << 63) * 2)
}

// Enabled reports whether any flow is traced. A nil tracer traces none.
func (t *Tracer) Enabled() bool { return t != nil && t.hashThreshold > 0 }

// Sampled reports whether a flow is traced.
func (t *Tracer) Sampled(flow protocol.FlowKey) bool {
	return t.Enabled() && state.FlowHash(flow) <= t.hashThreshold
}

// Record writes the spans of a packet. The trace ID is derived from the flow, so that
// spans of all balancers share a trace without a field in the packet.
func (t *Tracer) Record(p PacketSpan) {
	name := SpanIngress
	if p.Hops > 0 {
		name = SpanRelay
	}
	ctx, span := t.start(flowContext(p.Flow), name, p.Start)
	span.SetAttributes(
		attribute.String("caller", p.Flow.Caller.String()),
		attribute.String("service", p.Flow.Service.String()),
		attribute.Int("hops", int(p.Hops)),
		attribute.String("action", p.Action),
		attribute.String("reason", p.Reason),
	)
	if p.Peer != "" {
		span.SetAttributes(attribute.String("peer", p.Peer))
	}
	if p.Owner {
		_, decision := t.start(ctx, SpanDecision, p.Start)
		decision.SetAttributes(attribute.String("reason", p.Reason))
		decision.End(trace.WithTimestamp(p.End))
	}
	if !p.Target.IsZero() {
		_, target := t.start(ctx, SpanTarget, p.End)
		target.SetAttributes(attribute.String("target", p.Target.String()))
		target.End(trace.WithTimestamp(p.End))
	}
	span.End(trace.WithTimestamp(p.End))
}

// Close flushes the queued spans and shuts the tracer down.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "flush the trace spans")
}

func (t *Tracer) start(ctx context.Context, name string, at time.Time) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithTimestamp(at))
}

// flowContext returns a context whose remote parent span represents the flow.
func flowContext(flow protocol.FlowKey) context.Context {
	hash := state.FlowHash(flow)
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[:], hash)
	binary.BigEndian.PutUint64(id[8:], state.Mix(hash, 1))
	var span trace.SpanID
	binary.BigEndian.PutUint64(span[:], state.Mix(hash, 2))
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    id,
		SpanID:     span,
		TraceFlags: trace.FlagsSampled,
		Remote:     true,
	}))
}
