package dsr

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

var startTime = time.Unix(1_000_000, 0)

// testBalancer drives a dispatcher in simulated time.
type testBalancer struct {
	t        *testing.T
	d        *Dispatcher
	now      time.Time
	revision uint64
	targets  []Announcement
	// evacuated holds the evacuated places.
	evacuated []string
	nextPort  uint16
}

// newTestBalancer returns a balancer in place a that has run long enough to estimate the
// loss of its network, which loses nothing. It has a route to each service, and the
// given number of targets of service web, in places a, b and c in turn.
func newTestBalancer(t *testing.T, targets int) *testBalancer {
	b := newTestBalancerInWarmup(t, targets)
	b.d.loss.totalSent = warmupPackets
	return b
}

// newTestBalancerInWarmup is newTestBalancer with a dispatcher that has just started, so
// that its loss estimate is in the warm-up.
func newTestBalancerInWarmup(t *testing.T, targets int) *testBalancer {
	b := &testBalancer{
		t:        t,
		d:        NewDispatcher(Options{Place: "a", MaxFlowLifetime: time.Minute}),
		now:      startTime,
		revision: 100,
		nextPort: 1024,
	}
	b.d.SetRoutes(newRouteSet(1, "web", "other"))
	for i := range targets {
		b.targets = append(b.targets, newAnnouncement(i, "web", string(rune('a'+i%3))))
	}
	b.publishListing()
	return b
}

// newRouteSet returns a version of the configuration with one route to each service.
func newRouteSet(version uint64, services ...string) RouteSet {
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
	return protocol.Endpoint{IP: [4]byte{198, 18, byte((i + 1) >> 8), byte(i + 1)}, Port: 443}
}

func newAnnouncement(i int, service, place string) Announcement {
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

// publishListing applies a listing of the current targets with the next revision.
func (b *testBalancer) publishListing() {
	b.revision++
	b.d.ApplyListing(b.now, Listing{Targets: append([]Announcement(nil), b.targets...), EvacuatedPlaces: placeSet(b.evacuated), Revision: b.revision})
	b.d.ConfirmRead(b.now)
}

// advance moves time forward in steps of the tick interval.
func (b *testBalancer) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(100*time.Millisecond, end.Sub(b.now)))
		b.d.Tick(b.now)
	}
}

// callerFlow is the caller's side of a flow.
type callerFlow struct {
	b           *testBalancer
	flow        protocol.FlowKey
	seq         uint32
	ack         uint32
	target      *Target
	retransmits uint32
}

// newFlow returns a flow to the route at the given position in newRouteSet.
func (b *testBalancer) newFlow(route int) *callerFlow {
	b.nextPort++
	return &callerFlow{
		b: b,
		flow: protocol.FlowKey{
			Caller:    protocol.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: b.nextPort},
			Service:   routeAddress(route),
			Transport: protocol.TransportTCP,
		},
		seq: 1000,
	}
}

// sendOpener sends the opener, or retransmits it.
func (c *callerFlow) sendOpener() Decision {
	d := c.b.d.Handle(c.b.now, Packet{Flow: c.flow, Opener: true, Retransmits: c.retransmits, Seq: c.seq})
	c.retransmits++
	if d.Action == ActionForward {
		c.target = d.target
	}
	return d
}

// send sends a packet with the token of the current target.
func (c *callerFlow) send(seq uint32, bytes int) Decision {
	p := Packet{Flow: c.flow, Seq: seq, Ack: c.ack, Bytes: bytes}
	if c.target != nil {
		p.Token = c.target.Token
	}
	return c.b.d.Handle(c.b.now, p)
}

// open sends the opener and acknowledges its answer.
func (c *callerFlow) open() *callerFlow {
	d := c.sendOpener()
	assert.Equal(c.b.t, d.Action, ActionForward, "%s", d.Reason)
	return c.ackOpener()
}

// ackOpener acknowledges the answer to the opener.
func (c *callerFlow) ackOpener() *callerFlow {
	c.seq++
	c.ack = 5001
	c.send(c.seq, 0)
	return c
}

// sendRequest sends new bytes.
func (c *callerFlow) sendRequest(bytes int) Decision {
	d := c.send(c.seq, bytes)
	c.seq += uint32(bytes)
	return d
}

// ackResponse acknowledges bytes of a response.
func (c *callerFlow) ackResponse(bytes int) Decision {
	c.ack += uint32(bytes)
	return c.send(c.seq, 0)
}

// exchange sends a request and acknowledges its answer.
func (c *callerFlow) exchange() {
	c.sendRequest(10)
	c.ackResponse(10)
}

// retransmit sends the last bytes again.
func (c *callerFlow) retransmit(bytes int) Decision {
	return c.send(c.seq-uint32(bytes), bytes)
}

// sendFin closes the caller's side of the flow.
func (c *callerFlow) sendFin() Decision {
	return c.b.d.Handle(c.b.now, Packet{Flow: c.flow, Seq: c.seq, Ack: c.ack, Fin: true, Token: c.target.Token})
}

// openToOther opens a flow to any target but the excluded one. Tests use it to show that
// other targets still answer.
func (b *testBalancer) openToOther(excluded *Target) *callerFlow {
	return b.openMatching(func(t *Target) bool { return t != excluded })
}

// openTo opens a flow to a target.
func (b *testBalancer) openTo(target *Target) *callerFlow {
	return b.openMatching(func(t *Target) bool { return t == target })
}

// openMatching sends openers until one goes to a matching target, and completes that
// handshake. The other openers stay unanswered.
func (b *testBalancer) openMatching(match func(*Target) bool) *callerFlow {
	for range 100 {
		if c := b.newFlow(0); match(c.sendOpener().target) {
			return c.ackOpener()
		}
	}
	b.t.Fatal("no opener was forwarded to a matching target")
	return nil
}
