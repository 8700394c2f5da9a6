package feed

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Guards against a malformed response of a parent that stops the process, when it is
// applied or with a packet that comes later.
func FuzzParentResponses(f *testing.F) {
	routes, err := proto.Marshal(&wire.FeedRoutesResponse{Version: 2, Changed: []*wire.FeedRoute{{
		Name: "r", Ip: []byte{198, 18, 0, 1}, Port: 443, LatencyMs: 100, Backends: []*wire.FeedBackend{{Service: "web", Weight: 1, Connections: 5}},
	}}})
	assert.NilError(f, err)
	targets, err := proto.Marshal(&wire.FeedTargetsResponse{Epoch: 1, Change: 1, Revision: 1, Full: true, Targets: []*wire.FeedTarget{{
		Id: "i-1", Service: "web", Ip: []byte{10, 0, 0, 1}, Port: 80, Slots: 1, Revision: 1, Place: "a",
	}}, EvacuatedPlaces: []string{"a", "", "a/b"}})
	assert.NilError(f, err)
	f.Add(routes, targets, uint16(1))
	f.Add([]byte{0xff}, []byte{0x2a, 0x00}, uint16(9))
	f.Fuzz(func(_ *testing.T, routes, targets []byte, port uint16) {
		d := dsr.NewDispatcher(dsr.Options{Place: "a"})
		now := boottime.Now()
		var routesResponse wire.FeedRoutesResponse
		if proto.Unmarshal(routes, &routesResponse) == nil {
			if delta, err := decodeRoutesDelta(0, &routesResponse); err == nil {
				d.ApplyRoutesDelta(now, delta)
			}
		}
		var targetsResponse wire.FeedTargetsResponse
		if proto.Unmarshal(targets, &targetsResponse) == nil {
			if delta, err := decodeTargetsDelta(&targetsResponse); err == nil {
				d.ApplyDelta(now, delta)
			}
		}
		p := dsr.Packet{Opener: true, Seq: 1}
		p.Flow.Service = protocol.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
		for i := range uint16(4) {
			p.Flow.Caller.Port = port + i
			decision := d.Handle(now, p)
			d.Handle(now, dsr.Packet{Flow: p.Flow, Seq: 2, Ack: 7, Bytes: 10, Token: decision.Token})
			now = now.Add(time.Second)
			d.Tick(now)
		}
	})
}

// Guards against fields of a parent's response at their limits: they must be refused with an error
// that names the object, or bounded alike on all processors.
func TestExtremeParentResponses(t *testing.T) {
	ip := []byte{10, 0, 0, 1}
	for name, response := range map[string]*wire.FeedTargetsResponse{
		"i-1": {Targets: []*wire.FeedTarget{{Id: "i-1", Service: "web", Ip: ip, Port: 80, Slots: 0}}},
		"i-2": {Targets: []*wire.FeedTarget{{Id: "i-2", Service: "web", Ip: ip, Port: 80, Slots: math.MaxUint32}}},
		"i-3": {Targets: []*wire.FeedTarget{{Id: "i-3", Ip: ip, Port: 80, Slots: 1}}},
		"i-4": {Targets: []*wire.FeedTarget{{Id: "i-4", Service: "web", Ip: ip, Port: 65536, Slots: 1}}},
		"i-5": {Targets: []*wire.FeedTarget{{Id: "i-5", Service: "web", Ip: ip[:3], Port: 80, Slots: 1}}},
	} {
		_, err := decodeTargetsDelta(response)
		assert.ErrorContains(t, err, name)
	}
	for _, weight := range []float64{0, -1, math.Inf(1), math.NaN()} {
		_, err := decodeRoutesDelta(0, &wire.FeedRoutesResponse{Changed: []*wire.FeedRoute{{Name: "r-1", Ip: ip, Port: 80, Backends: []*wire.FeedBackend{{Service: "web", Weight: weight}}}}})
		assert.ErrorContains(t, err, "r-1", "%v", weight)
	}
	for _, extreme := range []int64{math.MaxInt64, math.MinInt64} {
		d, err := decodeRoutesDelta(0, &wire.FeedRoutesResponse{IdleTimeoutMs: extreme, Changed: []*wire.FeedRoute{{Ip: ip, TimeoutMs: extreme, LatencyMs: extreme}}})
		assert.NilError(t, err)
		want := milliseconds(extreme)
		assert.Assert(t, want == 0 || want == time.Duration(maxMilliseconds)*time.Millisecond)
		assert.Assert(t, d.IdleTimeout == want && d.Changed[0].Timeout == want && d.Changed[0].LatencyTarget == want)
	}
}
