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

// Bytes on the sockets besides the messages themselves. The real planes over
// loopback are checked against these in transport/control.
const (
	sealBytes  = 21  // envelope and authentication code of a probe
	twirpBytes = 650 // headers of one request and its response
	checkBytes = 260 // one request to a health endpoint and its response
)

// cluster runs agents over a fake network, platform and targets in fake time.
type cluster struct {
	t      testing.TB
	now    time.Time
	rng    *rand.Rand
	queue  faketime.Queue
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	byName map[string]*node

	loss     float64
	noSeeds  bool
	skew     time.Duration // clocks differ by up to this
	cut      func(a, b *node) bool
	drop     func(to *node, p *wire.Probe) bool
	platform fakePlatform
	targets  map[string]health.Result

	checkLost func(n *node, target string) bool // the probe of a target gets no answer
}

// node is one balancer with what its callbacks told.
type node struct {
	*Agent
	vm      string
	place   string
	addr    netip.AddrPort
	offset  time.Duration
	dead    bool
	frozen  bool
	backlog []func()

	view     map[string]bool
	views    int // changes of the view
	adopted  []uint64
	reports  map[string]coordination.TargetReport
	sent     int
	received int
}

func (n *node) up() bool { return !n.dead && !n.frozen }

var places = []string{"pl-a", "pl-b", "pl-c"}

func newCluster(t testing.TB, size int, seed uint64) *cluster {
	return newSkewedCluster(t, size, seed, 0)
}

// newSkewedCluster starts balancers whose clocks differ by up to skew.
func newSkewedCluster(t testing.TB, size int, seed uint64, skew time.Duration) *cluster {
	c := &cluster{
		t: t, skew: skew, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[netip.AddrPort]*node{}, byName: map[string]*node{},
		cut:     func(a, b *node) bool { return false },
		drop:    func(*node, *wire.Probe) bool { return false },
		targets: map[string]health.Result{},
	}
	c.platform.c = c
	c.platform.snapshots = map[string][]byte{}
	for i := range size {
		c.add(fmt.Sprintf("vm-%03d", i), places[i%len(places)])
	}
	return c
}

// add starts a balancer whose seeds are the first two.
func (c *cluster) add(vm, place string) *node {
	i := len(c.nodes)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
	n := &node{vm: vm, place: place, addr: addr, view: map[string]bool{}, reports: map[string]coordination.TargetReport{}}
	if c.skew > 0 {
		n.offset = time.Duration(c.rng.Int64N(int64(c.skew)))
	}
	c.nodes = append(c.nodes, n)
	c.byAddr[addr] = n
	c.byName[vm] = n
	c.boot(n)
	return n
}

// boot starts the process of a balancer anew, without what an earlier one knew.
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

func (c *cluster) clock(n *node) time.Time { return c.now.Add(n.offset) }

func (c *cluster) after(d time.Duration, run func()) {
	c.queue.Schedule(c.now.Add(d), run)
}

// run advances fake time.
func (c *cluster) run(d time.Duration) { c.queue.RunUntil(&c.now, c.now.Add(d)) }

// tick advances one process every 50 ms until it is replaced.
func (c *cluster) tick(n *node, process *Agent) {
	if n.dead || n.Agent != process {
		return
	}
	if !n.frozen {
		c.carryOut(n, n.Tick(c.clock(n)))
	}
	c.after(50*time.Millisecond, func() { c.tick(n, process) })
}

func (c *cluster) thaw(n *node) {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, deliver := range backlog {
		deliver()
	}
}

func (c *cluster) carryOut(n *node, out Output) {
	c.send(n, out.Messages)
	if out.View != nil {
		n.views++
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
		c.platform.command(n, cmd)
	}
	for _, check := range out.Checks {
		c.check(n, check)
	}
	for _, addr := range out.Exchanges {
		c.exchange(n, c.byAddr[addr])
	}
}

func (c *cluster) send(n *node, messages []membership.Outgoing) {
	for _, m := range messages {
		size := proto.Size(m.Probe) + sealBytes
		n.sent += size
		to := c.byAddr[m.To]
		if to == nil || c.cut(n, to) || c.rng.Float64() < c.loss || c.drop(to, m.Probe) {
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
		to.received += size
		c.send(to, to.HandleProbe(c.clock(to), from.addr, p))
	}
	if to.frozen {
		to.backlog = append(to.backlog, receive)
		return
	}
	receive()
}

// call makes a request to a peer: handle runs there, done here after the
// answer, or with ok false after the timeout.
func (c *cluster) call(from, to *node, handle func() int, done func(ok bool)) {
	process := from.Agent
	finish := func(ok bool) func() {
		return func() {
			if from.up() && from.Agent == process {
				done(ok)
			}
		}
	}
	if to == nil || c.cut(from, to) {
		c.after(2*time.Second, finish(false))
		return
	}
	c.after(c.latency(), func() {
		if !to.up() {
			c.after(2*time.Second, finish(false))
			return
		}
		size := twirpBytes + handle()
		from.sent, to.received = from.sent+size/2, to.received+size/2
		from.received, to.sent = from.received+size/2, to.sent+size/2
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
		more := n.HandleExchangeResponse(c.clock(n), proto.Clone(response).(*wire.ExchangeResponse))
		if more == nil {
			return
		}
		push := func() int {
			to.HandleExchange(c.clock(to), more)
			return proto.Size(more)
		}
		c.call(n, to, push, func(bool) {})
	})
}

func (c *cluster) check(n *node, check health.Check) {
	n.sent += checkBytes / 3
	n.received += checkBytes * 2 / 3
	process := n.Agent
	c.after(c.latency(), func() {
		result := c.targets[check.Target]
		if c.checkLost != nil && c.checkLost(n, check.Target) {
			result = health.Result{}
		}
		c.after(c.latency(), func() {
			if n.up() && n.Agent == process {
				n.HandleCheck(c.clock(n), check.Target, result)
			}
		})
	})
}

// live returns the balancers that run.
func (c *cluster) live() []*node {
	var list []*node
	for _, n := range c.nodes {
		if n.up() {
			list = append(list, n)
		}
	}
	return list
}

// agree reports whether every running balancer's view is the running balancers.
func (c *cluster) agree() bool {
	live := c.live()
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

// until runs until the condition holds, and returns the fake time that took.
func (c *cluster) until(limit time.Duration, condition func() bool) time.Duration {
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

// settle starts the cluster up.
func (c *cluster) settle() {
	c.t.Helper()
	for range 120 {
		c.run(time.Second)
		if c.agree() {
			c.run(5 * time.Second)
			return
		}
	}
	c.t.Fatalf("views of %d balancers did not agree within 2 minutes", len(c.nodes))
}

func (c *cluster) vmList() []platform.VM {
	var list []platform.VM
	for _, n := range c.nodes {
		list = append(list, platform.VM{Name: n.vm, Place: n.place, Data: n.addr, Control: n.addr})
	}
	return list
}

// fleetSet returns a configuration with targets of two pools spread over the places.
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
