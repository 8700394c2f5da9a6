package feed

import (
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
		Id: "i-1", Service: "web", Ip: []byte{10, 0, 0, 1}, Port: 80, Slots: 1, Revision: 1,
	}}})
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
