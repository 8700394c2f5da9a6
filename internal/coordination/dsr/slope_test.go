package dsr

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// newLoadedDispatcher returns a dispatcher with the given numbers of targets, in services of
// five, and of open flows. The packets continue those flows.
func newLoadedDispatcher(targets, flows int) (*Dispatcher, []Packet) {
	d := NewDispatcher(Options{Place: "a", MaxFlowLifetime: time.Minute})
	set := RouteSet{Version: 1, IdleTimeout: time.Hour}
	list := Listing{Revision: 1}
	for i := range targets {
		service := fmt.Sprintf("s-%d", i/5)
		a := Announcement{ID: fmt.Sprintf("i-%08x", i+1), Incarnation: uint64(i), Service: service, Place: "a", Slots: 2, Created: uint64(i)}
		list.Targets = append(list.Targets, a)
		if i%5 == 0 {
			address := protocol.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 443}
			set.Routes = append(set.Routes, &Route{Name: service, Address: address, Backends: []Backend{{Service: service, Weight: 1}}})
		}
	}
	d.SetRoutes(set)
	d.ApplyListing(startTime, list)
	packets := make([]Packet, flows)
	for i := range packets {
		p := Packet{Opener: true, Seq: 1}
		p.Flow.Caller = protocol.Endpoint{IP: [4]byte{100, 64, byte(i >> 16), byte(i >> 8)}, Port: uint16(i&255) + 1024}
		p.Flow.Service = set.Routes[i%len(set.Routes)].Address
		decision := d.Handle(startTime, p)
		packets[i] = Packet{Flow: p.Flow, Token: decision.target.Token, Seq: 2, Ack: 1, Bytes: 100}
	}
	for service := range d.targets.byService {
		d.loads[service] = Load{rttMeasured: true, SlowShare: 1, Limit: 1} // every service is overloaded
	}
	return d, packets
}

// BenchmarkSlope measures the time and memory of a balancer by the number of targets and flows.
func BenchmarkSlope(b *testing.B) {
	for _, size := range []struct{ targets, flows int }{{150, 300}, {500, 1000}, {2000, 5000}, {5000, 10250}} {
		name := fmt.Sprintf("targets=%d,flows=%d", size.targets, size.flows)
		d, packets := newLoadedDispatcher(size.targets, size.flows)
		b.Run(name+"/packet", func(b *testing.B) {
			for i := range b.N {
				p := packets[i%len(packets)]
				p.Seq += uint32(i)
				d.Handle(startTime, p)
			}
		})
		b.Run(name+"/tick", func(b *testing.B) {
			for range b.N {
				d.Tick(startTime)
			}
		})
		b.Run(name+"/opener", func(b *testing.B) {
			for i := range b.N {
				p := packets[i%len(packets)]
				d.Handle(startTime, Packet{Flow: p.Flow, Opener: true, Seq: uint32(i) + 100})
			}
		})
		b.Run(name+"/memory", func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept, _ := newLoadedDispatcher(size.targets, size.flows)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
			runtime.KeepAlive(kept)
		})
	}
}
