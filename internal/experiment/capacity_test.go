package experiment

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// The benchmarks of this file measure the cost per flow, target and member that is
// listed as slopes in docs/CAPACITY.md. Run them with:
// go test -run '^$' -bench Slope -benchtime 1x ./internal/experiment

const (
	maxServices = 1100
	placeCount  = 5
)

// fleetSet returns a valid configuration with the given number of targets and up to 1,100 services.
func fleetSet(targets int) objects.Set {
	services := min(maxServices, max(1, targets/4))
	set := objects.Set{}
	for i := range placeCount {
		set.Places = append(set.Places, objects.Place{Name: fmt.Sprintf("place-%d", i)})
	}
	for i := range services {
		pool := fmt.Sprintf("pool-%04d", i)
		set.Pools = append(set.Pools, objects.Pool{Name: pool, Slots: 2, Connections: maxConnections})
		set.Services = append(set.Services, objects.Service{
			Name: fmt.Sprintf("service-%04d", i), Pool: pool, Port: servicePort, Protocol: objects.ProtocolTCP,
			Address: netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)}), Preference: objects.PreferenceAffinity,
			Priority: objects.PriorityNormal, OpenTimeoutMS: 1000,
		})
	}
	for i := range targets {
		set.Targets = append(set.Targets, objects.Target{
			Name: fmt.Sprintf("target-%05d", i), Pool: set.Pools[i%services].Name, Place: set.Places[i%placeCount].Name,
			Address: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), Port: servicePort, Weight: 100,
			Health: fmt.Sprintf("10.1.%d.%d:8080", i>>8, i&255),
		})
	}
	return set
}

func viewOf(members int) coordination.View {
	v := coordination.View{}
	for i := range members {
		v.Members = append(v.Members, coordination.Member{
			VM: fmt.Sprintf("vm-%04d", i), Place: fmt.Sprintf("place-%d", i%placeCount),
			DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 4754),
		})
	}
	return v
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// packetOf returns a packet from the caller of flow i to a service.
func packetOf(service protocol.Endpoint, i int, kind protocol.Kind, tag uint32) coordination.Ingress {
	return coordination.Ingress{Packet: protocol.Packet{
		Source:      protocol.Endpoint{IP: [4]byte{198, 18, byte(i >> 24), byte(i >> 16)}, Port: uint16(i)},
		Destination: service, Transport: protocol.TransportTCP, Kind: kind, Tag: tag, HasTag: true,
	}}
}

// BenchmarkSlopeFlows measures memory and CPU time for different numbers of open flows at their owner.
func BenchmarkSlopeFlows(b *testing.B) {
	for _, flows := range []int{100_000, 250_000, 500_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				measureFlows(b, flows)
			}
		})
	}
}

func measureFlows(b *testing.B, flows int) {
	set := fleetSet(18)
	for i := range set.Pools {
		set.Pools[i].Connections = 1 << 20
	}
	table, err := state.NewTable(1, "slope", set)
	assert.NilError(b, err)
	now := time.Unix(1_700_000_000, 0)
	d := coordination.NewDispatcher(coordination.Options{Self: "vm-0000", Place: "place-0"})
	d.AdoptTable(now, table)
	d.SetView(now, viewOf(1))
	service := protocol.NewEndpoint(netip.AddrPortFrom(set.Services[0].Address, servicePort))
	before := heapBytes()
	begin := time.Now()
	for i := range flows {
		openFlow(b, d, now, service, i)
		if i%1000 == 0 {
			now = now.Add(100 * time.Millisecond)
			d.Tick(now)
		}
	}
	perOpener := float64(time.Since(begin).Nanoseconds()) / float64(flows)
	now = now.Add(time.Minute)
	d.Tick(now)
	perFlow := float64(heapBytes()-before) / float64(flows)
	begin = time.Now()
	for i := range flows {
		got := d.Handle(now, packetOf(service, i, protocol.KindData, 1001))
		if got.Action != coordination.ActionForward {
			b.Fatalf("flow %d: %v %s", i, got.Action, got.Reason)
		}
	}
	perPacket := float64(time.Since(begin).Nanoseconds()) / float64(flows)
	assert.Equal(b, d.FlowCount(), flows)
	b.ReportMetric(perFlow, "B/flow")
	b.ReportMetric(perOpener, "ns/open")
	b.ReportMetric(perPacket, "ns/packet")
	b.ReportMetric(1e9/perOpener, "openers/s")
	b.ReportMetric(1e9/perPacket, "packets/s")
}

// openFlow establishes a flow with an opener, its answer and a confirmation.
func openFlow(b *testing.B, d *coordination.Dispatcher, now time.Time, service protocol.Endpoint, i int) {
	opener := packetOf(service, i, protocol.KindOpener, uint32(i))
	got := d.Handle(now, opener)
	if got.Action != coordination.ActionForward {
		b.Fatalf("opener %d: %v %s", i, got.Action, got.Reason)
	}
	answer := opener
	answer.Packet.Source, answer.Packet.Destination = got.Endpoint, opener.Packet.Source
	answer.Packet.Kind, answer.Packet.Tag = protocol.KindSYNACK, 1001
	d.Handle(now, answer)
	d.Handle(now, packetOf(service, i, protocol.KindData, 1001))
}

// Guards against a flow table entry that grows or contains pointers: with hundreds of
// thousands of flows, the memory of a balancer would exceed the limit.
func TestFlowEntryMemory(t *testing.T) {
	const (
		flows = 500_000
		limit = 160 // heap bytes per entry
	)
	before := heapBytes()
	table := state.NewFlowTable(flows)
	for i := range flows {
		p := packetOf(protocol.Endpoint{IP: [4]byte{203, 0, 113, 1}, Port: servicePort}, i, protocol.KindOpener, 0).Packet
		key := protocol.FlowKey{Caller: p.Source, Service: p.Destination, Transport: p.Transport}
		assert.Assert(t, table.Put(key, state.Entry{Target: p.Destination}))
	}
	perFlow := float64(heapBytes()-before) / flows
	t.Logf("%.1f heap bytes per entry", perFlow)
	assert.Equal(t, table.Len(), flows)
	assert.Assert(t, perFlow <= limit, "%.1f bytes", perFlow)
}

// BenchmarkSlopeTargets measures the size of a configuration and the time to encode,
// check and load it for different numbers of targets.
func BenchmarkSlopeTargets(b *testing.B) {
	for _, targets := range []int{500, 1000, 2000, 5000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			for b.Loop() {
				measureTargets(b, targets)
			}
		})
	}
}

func measureTargets(b *testing.B, targets int) {
	set := fleetSet(targets)
	before := heapBytes()
	begin := time.Now()
	snapshot := objects.Canonical(set)
	digest := objects.Digest(snapshot)
	encode := time.Since(begin)
	begin = time.Now()
	parsed, validationErrors := objects.Parse([]objects.File{{Name: "snapshot", Data: snapshot}})
	assert.Equal(b, len(validationErrors), 0)
	assert.Equal(b, len(objects.Check(parsed)), 0)
	check := time.Since(begin)
	begin = time.Now()
	table, err := state.NewTable(1, digest, parsed)
	assert.NilError(b, err)
	build := time.Since(begin)
	memory := heapBytes() - before
	b.ReportMetric(float64(len(snapshot))/float64(targets), "snapshot-B/target")
	b.ReportMetric(float64(memory)/float64(targets), "heap-B/target")
	b.ReportMetric(float64(encode.Microseconds())/float64(targets), "encode-us/target")
	b.ReportMetric(float64(check.Microseconds())/float64(targets), "check-us/target")
	b.ReportMetric(float64(build.Microseconds())/float64(targets), "table-us/target")
	runtime.KeepAlive(table)
}

// BenchmarkSlopeMembers measures a view change for different numbers of balancers, with 1,100 services in use.
func BenchmarkSlopeMembers(b *testing.B) {
	for _, members := range []int{7, 100, 400, 800} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			for b.Loop() {
				measureMembers(b, members)
			}
		})
	}
}

func measureMembers(b *testing.B, members int) {
	table, err := state.NewTable(1, "slope", fleetSet(5000))
	assert.NilError(b, err)
	now := time.Unix(1_700_000_000, 0)
	d := coordination.NewDispatcher(coordination.Options{Self: "vm-0000", Place: "place-0"})
	d.AdoptTable(now, table)
	d.SetView(now, viewOf(members))
	sendOpenerToEachService(d, now, table)
	const changes = 10
	begin := time.Now()
	for i := range changes {
		view := viewOf(members)
		view.Members = append(view.Members[:1+i%(members-1)], view.Members[2+i%(members-1):]...)
		d.SetView(now.Add(time.Duration(i)*time.Second), view)
		sendOpenerToEachService(d, now.Add(time.Duration(i)*time.Second), table)
	}
	b.ReportMetric(float64(time.Since(begin).Microseconds())/changes, "us/change")
	b.ReportMetric(float64(viewBytes(now, table, members))/float64(members), "heap-B/member")
}

// viewBytes returns the heap bytes of a view with the ranking of the members for all
// shards. The balancer is not a member and so owns no shard, which keeps flows and
// load counts out of the result.
func viewBytes(now time.Time, table *state.Table, members int) uint64 {
	d := coordination.NewDispatcher(coordination.Options{Self: "vm-none", Place: "place-0"})
	d.AdoptTable(now, table)
	before := heapBytes()
	d.SetView(now, viewOf(members))
	sendOpenerToEachService(d, now, table)
	after := heapBytes()
	runtime.KeepAlive(d)
	return after - before
}

// sendOpenerToEachService sends one opener to each service, so that its owner is computed.
func sendOpenerToEachService(d *coordination.Dispatcher, now time.Time, table *state.Table) {
	i := 0
	table.ForEachService(func(s *state.Service) {
		i++
		d.Handle(now, packetOf(s.Address.Endpoint, i, protocol.KindOpener, uint32(i)))
	})
}
