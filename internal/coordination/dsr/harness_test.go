package dsr

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

var epoch = time.Unix(1_000_000, 0)

// bench drives a dispatcher in fake time.
type bench struct {
	t        *testing.T
	d        *Dispatcher
	now      time.Time
	revision uint64
	targets  []Announcement
	nextPort uint16
}

// newBench returns a dispatcher that has run for a while on a network without
// loss, in place a, with a route to each service and the given number of targets of
// service web in places a, b and c by turns.
func newBench(t *testing.T, targets int) *bench {
	b := newFreshBench(t, targets)
	b.d.loss.totalSent = warmupPackets
	return b
}

// newFreshBench returns the same with a dispatcher that has just started.
func newFreshBench(t *testing.T, targets int) *bench {
	b := &bench{
		t:        t,
		d:        NewDispatcher(Options{Place: "a", FlowLife: time.Minute}),
		now:      epoch,
		revision: 100,
		nextPort: 1024,
	}
	b.d.SetRoutes(routesOf(1, "web", "other"))
	for i := range targets {
		b.targets = append(b.targets, announce(i, "web", string(rune('a'+i%3))))
	}
	b.list()
	return b
}

// routesOf returns a version with one route to each service.
func routesOf(version uint64, services ...string) RouteSet {
	set := RouteSet{Version: version, IdleTimeout: 15 * time.Second}
	for i, s := range services {
		set.Routes = append(set.Routes, &Route{
			Name:     s,
			Address:  routeAddress(i),
			Backends: []Backend{{Service: s, Weight: 1}},
			Timeout:  time.Second,
		})
	}
	return set
}

func routeAddress(i int) protocol.Endpoint {
	return protocol.Endpoint{IP: [4]byte{198, 18, 0, byte(i + 1)}, Port: 443}
}

func announce(i int, service, place string) Announcement {
	return Announcement{
		ID:          fmt.Sprintf("i-%08x", i+1),
		Incarnation: uint64(i + 1),
		Started:     1,
		Service:     service,
		Endpoint:    protocol.Endpoint{IP: [4]byte{10, 128, 0, byte(i + 1)}, Port: 8080},
		Place:       place,
		Slots:       2,
		Created:     uint64(i + 1),
		Revision:    uint64(i + 1),
	}
}

// list gives the dispatcher a reading of the announcements.
func (b *bench) list() {
	b.revision++
	b.d.Observe(b.now, Listing{Targets: append([]Announcement(nil), b.targets...), Revision: b.revision})
}

// wait lets time pass in steps of the tick.
func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(100*time.Millisecond, end.Sub(b.now)))
		b.d.Tick(b.now)
	}
}

// call is the caller's side of a flow.
type call struct {
	b      *bench
	flow   protocol.FlowKey
	seq    uint32
	ack    uint32
	target *Target
	copies uint32
}

// dial makes a flow to the route of a service by its position in routesOf.
func (b *bench) dial(route int) *call {
	b.nextPort++
	return &call{
		b: b,
		flow: protocol.FlowKey{
			Caller:    protocol.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: b.nextPort},
			Service:   routeAddress(route),
			Transport: protocol.TransportTCP,
		},
		seq: 1000,
	}
}

// opener sends the opener, or its next copy.
func (c *call) opener() Decision {
	d := c.b.d.Handle(c.b.now, Packet{Flow: c.flow, Opener: true, Copy: c.copies, Seq: c.seq})
	c.copies++
	if d.Action == ActionForward {
		c.target = d.target
	}
	return d
}

// packet sends a packet with the token of the present target.
func (c *call) packet(seq uint32, bytes int) Decision {
	p := Packet{Flow: c.flow, Seq: seq, Ack: c.ack, Bytes: bytes}
	if c.target != nil {
		p.Token = c.target.Token
	}
	return c.b.d.Handle(c.b.now, p)
}

// open sends an opener and acknowledges its answer.
func (c *call) open() *call {
	d := c.opener()
	assert.Equal(c.b.t, d.Action, ActionForward, "%s", d.Reason)
	return c.acknowledge()
}

// acknowledge acknowledges the answer to the opener.
func (c *call) acknowledge() *call {
	c.seq++
	c.ack = 5001
	c.packet(c.seq, 0)
	return c
}

// request sends new bytes.
func (c *call) request(bytes int) Decision {
	d := c.packet(c.seq, bytes)
	c.seq += uint32(bytes)
	return d
}

// answered acknowledges bytes of a response.
func (c *call) answered(bytes int) Decision {
	c.ack += uint32(bytes)
	return c.packet(c.seq, 0)
}

// exchange sends a request and acknowledges its answer.
func (c *call) exchange() {
	c.request(10)
	c.answered(10)
}

// again sends the last bytes once more.
func (c *call) again(bytes int) Decision {
	return c.packet(c.seq-uint32(bytes), bytes)
}

// fin ends the caller's side.
func (c *call) fin() Decision {
	return c.b.d.Handle(c.b.now, Packet{Flow: c.flow, Seq: c.seq, Ack: c.ack, Fin: true, Token: c.target.Token})
}

// lively opens a flow to another target than one, which shows signs of life when asked.
func (b *bench) lively(other *Target) *call {
	return b.openWhere(func(t *Target) bool { return t != other })
}

// openAt opens a flow to a target.
func (b *bench) openAt(target *Target) *call {
	return b.openWhere(func(t *Target) bool { return t == target })
}

// openWhere opens flows until the target of one is wanted. The others stay unanswered.
func (b *bench) openWhere(wanted func(*Target) bool) *call {
	for range 100 {
		if c := b.dial(0); wanted(c.opener().target) {
			return c.acknowledge()
		}
	}
	b.t.Fatal("no flow goes to a wanted target")
	return nil
}
