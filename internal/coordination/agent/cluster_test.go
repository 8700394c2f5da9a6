package agent

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/health"
	"github.com/kumquatworks/kumquatworks/internal/coordination/membership"
	"github.com/kumquatworks/kumquatworks/internal/faketime"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Bytes on the sockets in addition to the messages themselves. A test in
// transport/control compares them with the traffic of real control planes over loopback.
const (
	envelopeBytes      = 21  // envelope and authentication code of a probe
	twirpOverheadBytes = 650 // headers of one request and its response
	healthCheckBytes   = 260 // one request to a health endpoint and its response
)

// cluster runs agents in fake time with an emulated network, platform and targets.
type cluster struct {
	t      testing.TB
	now    time.Time
	rng    *rand.Rand
	queue  faketime.Queue
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	byName map[string]*node

	lossRate     float64
	noSeeds      bool
	maxClockSkew time.Duration
	linkDown     func(a, b *node) bool
	dropProbe    func(to *node, p *wire.Probe) bool
	platform     fakePlatform
	targets      map[string]health.Result

	checkLost func(n *node, target string) bool // reports whether a health check gets no answer
}

// node is one balancer with its latest outputs and its traffic counters.
type node struct {
	*Agent
	vm          string
	place       string
	addr        netip.AddrPort
	clockOffset time.Duration
	dead        bool
	frozen      bool
	deferred    []func()

	view          map[string]bool
	viewChanges   int
	adopted       []uint64
	reports       map[string]coordination.TargetReport
	bytesSent     int
	bytesReceived int
}

func (n *node) running() bool { return !n.dead && !n.frozen }

var places = []string{"pl-a", "pl-b", "pl-c"}

func newCluster(t testing.TB, size int, seed uint64) *cluster {
	return newSkewedCluster(t, size, seed, 0)
}

// newSkewedCluster starts balancers whose clocks differ by up to skew.
func newSkewedCluster(t testing.TB, size int, seed uint64, skew time.Duration) *cluster {
	c := &cluster{
		t: t, maxClockSkew: skew, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[netip.AddrPort]*node{}, byName: map[string]*node{},
		linkDown:  func(a, b *node) bool { return false },
		dropProbe: func(*node, *wire.Probe) bool { return false },
		targets:   map[string]health.Result{},
	}
	c.platform.c = c
	c.platform.snapshots = map[string][]byte{}
	for i := range size {
		c.addNode(fmt.Sprintf("vm-%03d", i), places[i%len(places)])
	}
	return c
}

// addNode starts a balancer whose seeds are the first two balancers.
func (c *cluster) addNode(vm, place string) *node {
	i := len(c.nodes)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
	n := &node{vm: vm, place: place, addr: addr, view: map[string]bool{}, reports: map[string]coordination.TargetReport{}}
	if c.maxClockSkew > 0 {
		n.clockOffset = time.Duration(c.rng.Int64N(int64(c.maxClockSkew)))
	}
	c.nodes = append(c.nodes, n)
	c.byAddr[addr] = n
	c.byName[vm] = n
	c.boot(n)
	return n
}

// boot starts a new process of a balancer, without the state of an earlier one.
func (c *cluster) boot(n *node) {
	identity := membership.Config{
		VM: n.vm, Place: n.place, DataAddr: n.addr, ControlAddr: n.addr, RandomSeed: c.rng.Uint64(),
		SeedAddrs: []netip.AddrPort{c.nodes[0].addr, c.nodes[min(1, len(c.nodes)-1)].addr},
	}
	if c.noSeeds {
		identity.SeedAddrs = nil
	}
	n.Agent = New(NewConfig(identity, c.clock(n), nil), c.clock(n))
	n.dead, n.adopted = false, nil
	c.after(time.Duration(c.rng.IntN(50))*time.Millisecond, func() { c.tick(n, n.Agent) })
}

func (c *cluster) clock(n *node) time.Time { return c.now.Add(n.clockOffset) }

func (c *cluster) after(d time.Duration, run func()) {
	c.queue.Schedule(c.now.Add(d), run)
}

// run advances fake time.
func (c *cluster) run(d time.Duration) { c.queue.RunUntil(&c.now, c.now.Add(d)) }

// tick advances one process every 50 ms until it dies or is replaced.
func (c *cluster) tick(n *node, process *Agent) {
	if n.dead || n.Agent != process {
		return
	}
	if !n.frozen {
		c.applyOutput(n, n.Tick(c.clock(n)))
	}
	c.after(50*time.Millisecond, func() { c.tick(n, process) })
}

// unfreeze resumes a frozen balancer, which first handles the messages that arrived meanwhile.
func (c *cluster) unfreeze(n *node) {
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, deliver := range deferred {
		deliver()
	}
}

func (c *cluster) applyOutput(n *node, out Output) {
	c.send(n, out.Messages)
	if out.View != nil {
		n.viewChanges++
		clear(n.view)
		for _, m := range out.View.Members {
			n.view[m.VM] = true
		}
	}
	if out.Snapshot != nil {
		n.adopted = append(n.adopted, out.Snapshot.Head.Generation)
	}
	if out.NewReports {
		for _, r := range out.Reports {
			n.reports[r.Target] = r
		}
	}
	for _, cmd := range out.Commands {
		c.platform.execute(n, cmd)
	}
	for _, check := range out.Checks {
		c.check(n, check)
	}
	for _, addr := range out.ExchangeAddrs {
		c.exchange(n, c.byAddr[addr])
	}
}

func (c *cluster) send(n *node, messages []membership.Outgoing) {
	for _, m := range messages {
		size := proto.Size(m.Probe) + envelopeBytes
		n.bytesSent += size
		to := c.byAddr[m.To]
		if to == nil || c.linkDown(n, to) || c.rng.Float64() < c.lossRate || c.dropProbe(to, m.Probe) {
			continue
		}
		probe := proto.Clone(m.Probe).(*wire.Probe)
		c.after(c.latency(), func() { c.deliver(n, to, probe, size) })
	}
}

func (c *cluster) latency() time.Duration {
	return time.Millisecond + time.Duration(c.rng.IntN(2000))*time.Microsecond
}

func (c *cluster) deliver(from, to *node, p *wire.Probe, size int) {
	if to.dead {
		return
	}
	receive := func() {
		to.bytesReceived += size
		c.send(to, to.HandleProbe(c.clock(to), from.addr, p))
	}
	if to.frozen {
		to.deferred = append(to.deferred, receive)
		return
	}
	receive()
}

// call emulates a request to a peer. handle runs at the peer and returns the bytes
// of both messages; done runs at the caller after the response, or with ok false
// after the timeout.
func (c *cluster) call(from, to *node, handle func() int, done func(ok bool)) {
	process := from.Agent
	finish := func(ok bool) func() {
		return func() {
			if from.running() && from.Agent == process {
				done(ok)
			}
		}
	}
	if to == nil || c.linkDown(from, to) {
		c.after(2*time.Second, finish(false))
		return
	}
	c.after(c.latency(), func() {
		if !to.running() {
			c.after(2*time.Second, finish(false))
			return
		}
		size := twirpOverheadBytes + handle()
		from.bytesSent, to.bytesReceived = from.bytesSent+size/2, to.bytesReceived+size/2
		from.bytesReceived, to.bytesSent = from.bytesReceived+size/2, to.bytesSent+size/2
		c.after(c.latency(), finish(true))
	})
}

func (c *cluster) exchange(n, to *node) {
	request := n.ExchangeRequest()
	var response *wire.ExchangeResponse
	handle := func() int {
		response = to.HandleExchange(c.clock(to), request)
		return proto.Size(request) + proto.Size(response)
	}
	c.call(n, to, handle, func(ok bool) {
		if !ok {
			return
		}
		followUp := n.HandleExchangeResponse(c.clock(n), proto.Clone(response).(*wire.ExchangeResponse))
		if followUp == nil {
			return
		}
		push := func() int {
			to.HandleExchange(c.clock(to), followUp)
			return proto.Size(followUp)
		}
		c.call(n, to, push, func(bool) {})
	})
}

func (c *cluster) check(n *node, check health.Check) {
	n.bytesSent += healthCheckBytes / 3
	n.bytesReceived += healthCheckBytes * 2 / 3
	process := n.Agent
	c.after(c.latency(), func() {
		result := c.targets[check.Target]
		if c.checkLost != nil && c.checkLost(n, check.Target) {
			result = health.Result{}
		}
		c.after(c.latency(), func() {
			if n.running() && n.Agent == process {
				n.HandleCheckResult(c.clock(n), check.Target, result)
			}
		})
	})
}

// runningNodes returns the balancers that are neither dead nor frozen.
func (c *cluster) runningNodes() []*node {
	var list []*node
	for _, n := range c.nodes {
		if n.running() {
			list = append(list, n)
		}
	}
	return list
}

// viewsAgree reports whether the view of every running balancer holds exactly the running balancers.
func (c *cluster) viewsAgree() bool {
	live := c.runningNodes()
	for _, n := range live {
		if len(n.view) != len(live) {
			return false
		}
	}
	for _, n := range live {
		for _, m := range live {
			if !n.view[m.vm] {
				return false
			}
		}
	}
	return true
}

// runUntil advances fake time until the condition holds and returns the time that
// it took, or a value above limit if the condition did not hold in time.
func (c *cluster) runUntil(limit time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	start := c.now
	for c.now.Sub(start) < limit {
		if condition() {
			return c.now.Sub(start)
		}
		c.run(10 * time.Millisecond)
	}
	return limit + time.Hour
}

// runUntilSettled advances fake time until the views agree, and 5 s more.
func (c *cluster) runUntilSettled() {
	c.t.Helper()
	for range 120 {
		c.run(time.Second)
		if c.viewsAgree() {
			c.run(5 * time.Second)
			return
		}
	}
	c.t.Fatalf("views of %d balancers did not agree within 2 minutes", len(c.nodes))
}

func (c *cluster) vmList() []platform.VM {
	var list []platform.VM
	for _, n := range c.nodes {
		list = append(list, platform.VM{Name: n.vm, Place: n.place, DataAddress: n.addr, ControlAddress: n.addr})
	}
	return list
}

// fleetSet returns a configuration whose targets are distributed over the places.
func fleetSet(targets int) objects.Set {
	set := objects.Set{Pools: []objects.Pool{{Name: "quote", Slots: 2, Connections: 2000}}}
	for _, p := range places {
		set.Places = append(set.Places, objects.Place{Name: p})
	}
	for i := range targets {
		set.Targets = append(set.Targets, objects.Target{
			Name: fmt.Sprintf("quote-%04d", i), Pool: "quote", Place: places[i%len(places)],
			Address: netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), Port: 9000,
			Health: fmt.Sprintf("10.2.%d.%d:9100", i>>8, i&255),
		})
	}
	return set
}
