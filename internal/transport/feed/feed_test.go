package feed

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/standin/loopback"
)

// memoryDirectory is a Directory in memory. It also stands in for the platform's routes.
type memoryDirectory struct {
	mu      sync.Mutex
	members []feed.Member
	// routesVersion is the version of the platform's routes.
	routesVersion atomic.Uint64
	// platformRouteReads counts the reads of the platform's routes by a follower whose
	// parent has no delta for it.
	platformRouteReads atomic.Int64
	// platformRouteReadDuration is how long such a read takes, in nanoseconds.
	platformRouteReadDuration atomic.Int64
	// beforeMembers, unless nil, delays or fails the reads of the member list.
	beforeMembers func(context.Context) error
}

func (d *memoryDirectory) Register(_ context.Context, m feed.Member) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.members, m) {
		d.members = append(d.members, m)
	}
	return nil
}

func (d *memoryDirectory) Members(ctx context.Context) ([]feed.Member, error) {
	if d.beforeMembers != nil {
		if err := d.beforeMembers(ctx); err != nil {
			return nil, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.members), nil
}

// node is a balancer with its replication service, which handles no packets.
type node struct {
	dispatcher *dsr.Dispatcher
	service    *Service
	clock      pausableClock
	stop       context.CancelFunc
}

// freeAddress returns a loopback address whose port is free for both TCP and UDP.
func freeAddress(t *testing.T) netip.AddrPort {
	addresses, err := loopback.FreeAddresses(1)
	assert.NilError(t, err)
	return addresses[0]
}

// startNode starts a node with sockets on the loopback interface.
func startNode(t *testing.T, vm string, directory *memoryDirectory) *node {
	dispatcher := dsr.NewDispatcher(dsr.Options{Place: "a", MaxFlowLifetime: time.Minute})
	n := &node{dispatcher: dispatcher}
	service, err := New(Options{
		Self:                feed.Member{VM: vm, Address: freeAddress(t)},
		MaxPropagationDelay: 3 * time.Second,
		Dispatcher:          dispatcher,
		Directory:           directory,
		ReadRoutes: func(ctx context.Context) error {
			directory.platformRouteReads.Add(1)
			time.Sleep(time.Duration(directory.platformRouteReadDuration.Load()))
			if ctx.Err() != nil {
				return ctx.Err()
			}
			n.setRoutes(directory.routesVersion.Load())
			return nil
		},
		Logger: log.NewNopLogger(),
		Now:    n.clock.now,
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); service.Run(ctx) }()
	n.service, n.stop = service, func() { stop(); <-done }
	t.Cleanup(n.stop)
	return n
}

// setRoutes sets the node's routes, with the given version.
func (n *node) setRoutes(version uint64) {
	n.dispatcher.SetRoutes(dsr.RouteSet{Version: version, IdleTimeout: 7 * time.Second, Routes: []*dsr.Route{{
		Name: "r", Address: protocol.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}, Timeout: time.Second,
		Backends: []dsr.Backend{{Service: "web", Weight: 1, MaxFlowsPerTarget: 2000}},
	}}})
}

// applyPlatformState sets the node's routes and applies a listing of targets with the
// given IDs, as after reading the platform.
func (n *node) applyPlatformState(version, revision uint64, ids ...string) {
	n.setRoutes(version)
	l := dsr.Listing{Revision: revision}
	for i, id := range ids {
		l.Targets = append(l.Targets, dsr.Announcement{ID: id, Incarnation: 7, Service: "web", Slots: 2, Revision: 1,
			Place: "a", Endpoint: protocol.Endpoint{IP: [4]byte{10, 0, 0, byte(i)}, Port: 80}})
	}
	now := n.clock.now()
	n.dispatcher.ApplyListing(now, l)
	n.dispatcher.ConfirmRead(now)
}

// follows reports whether the node has data and need not read the platform.
func (n *node) follows() bool {
	_, hasData := n.dispatcher.Summary()
	return hasData && !n.service.MustReadPlatform()
}

// parentVM returns the VM of the balancer that the node follows.
func (n *node) parentVM() string {
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	return n.service.parent.VM
}

// repeatUntilStopped calls apply repeatedly until the test ends or stop is called.
func (n *node) repeatUntilStopped(t *testing.T, apply func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			apply()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// waitFor waits for a condition. The timeout only ends a test that fails.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(20*time.Millisecond))
}

// startPair starts two nodes and returns the parent, which reads the platform, and its
// follower.
func startPair(t *testing.T) (parent, follower *node, directory *memoryDirectory) {
	directory = &memoryDirectory{}
	directory.routesVersion.Store(3)
	a, b := startNode(t, "vm-1", directory), startNode(t, "vm-2", directory)
	waitFor(t, "one node to have a parent", func() bool {
		for _, n := range []*node{a, b} {
			if n.parentVM() != "" {
				follower = n
			}
		}
		return follower != nil
	})
	parent = a
	if follower == a {
		parent = b
	}
	return parent, follower, directory
}

// Guards against a follower that misses routes or targets of its parent, and against
// calls to the platform whose number grows with the number of balancers.
func TestFollowerReplicatesRoutesAndTargets(t *testing.T) {
	parent, follower, directory := startPair(t)
	waitFor(t, "both to read the platform", func() bool { return follower.service.MustReadPlatform() && parent.service.MustReadPlatform() })
	var mu sync.Mutex
	version, ids := uint64(3), []string{"i-1", "i-2"}
	revision := uint64(10)
	parent.repeatUntilStopped(t, func() {
		mu.Lock()
		defer mu.Unlock()
		revision++
		parent.applyPlatformState(version, revision, ids...)
	})
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	assert.Assert(t, parent.service.MustReadPlatform())
	assert.Equal(t, follower.dispatcher.Gauges().Targets, 2)
	assert.Equal(t, follower.dispatcher.Gauges().RoutesVersion, uint64(3))
	assert.Equal(t, directory.platformRouteReads.Load(), int64(0), "a follower without routes must get them from its parent")
	mu.Lock()
	version, ids = 4, []string{"i-1", "i-2", "i-3"}
	mu.Unlock()
	waitFor(t, "the change to reach the follower", func() bool {
		g := follower.dispatcher.Gauges()
		return g.Targets == 3 && g.RoutesVersion == 4
	})
	assert.Equal(t, directory.platformRouteReads.Load(), int64(0), "a small change must come from the parent")
	mu.Lock()
	ids = ids[1:]
	mu.Unlock()
	waitFor(t, "the removal of a target to reach the follower", func() bool { return follower.dispatcher.Gauges().Targets == 2 })
}

// Guards against a large configuration that a follower never applies: a read that takes
// longer than a request to the parent would be given up and begun again.
func TestSlowReadOfRoutesIsNotGivenUp(t *testing.T) {
	parent, follower, directory := startPair(t)
	directory.platformRouteReadDuration.Store(int64(fetchTimeout + 200*time.Millisecond))
	follower.setRoutes(1) // the parent has no delta for a version that it never had
	parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 10, "i-1") })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	assert.Equal(t, follower.dispatcher.Gauges().RoutesVersion, uint64(3))
	assert.Equal(t, directory.platformRouteReads.Load(), int64(1))
}

// Guards against a follower that continues with outdated data when its parent no longer
// reads the platform, or has stopped.
func TestFollowerReadsPlatformWhenParentDataAreOld(t *testing.T) {
	parent, follower, _ := startPair(t)
	stop := parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 10, "i-1") })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	stop()
	waitFor(t, "the follower to read the platform again", func() bool { return follower.service.MustReadPlatform() })
	stop = parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 11, "i-1") })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	stop()
	parent.stop()
	waitFor(t, "the follower to read the platform again", func() bool { return follower.service.MustReadPlatform() })
}

// Guards against datagrams of other senders that make the process panic or are accepted
// as answers of the parent.
func TestUnexpectedDatagramsAreIgnored(t *testing.T) {
	_, follower, _ := startPair(t)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for _, data := range [][]byte{nil, {0xff}, {0x08}, {0x08, 0x01, 0x10, 0x7f}} {
		follower.service.handleDatagram(context.Background(), time.Now(), kindState, data, from)
		follower.service.handleDatagram(context.Background(), time.Now(), 'x', data, from)
	}
	assert.Assert(t, follower.service.MustReadPlatform())
}

// Guards against fields of a route that are lost when a delta is encoded and decoded.
func TestRoutesDeltaRoundTrip(t *testing.T) {
	sent := dsr.RoutesDelta{AfterVersion: 1, Version: 2, Digest: 1<<63 + 7, IdleTimeout: 7 * time.Second, Changed: []*dsr.Route{{
		Name: "r", Address: protocol.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}, Timeout: time.Second,
		LatencyTarget: 250 * time.Millisecond, Priority: 2,
		Backends: []dsr.Backend{{Service: "web", Weight: 90, MaxFlowsPerTarget: 2000}, {Service: "old", Weight: 10, ColdPerSecond: 2.5, ColdDuration: 3 * time.Second}},
	}}, Removed: []protocol.Endpoint{{IP: [4]byte{198, 18, 0, 2}, Port: 80}}}
	received, err := decodeRoutesDelta(1, encodeRoutesDelta(sent))
	assert.NilError(t, err)
	assert.Equal(t, received.Changed[0].Backends[0], sent.Changed[0].Backends[0])
	assert.Equal(t, received.Changed[0].Backends[1], sent.Changed[0].Backends[1])
	assert.Equal(t, received.Changed[0].LatencyTarget, sent.Changed[0].LatencyTarget)
	assert.Equal(t, received.Changed[0].Priority, sent.Changed[0].Priority)
	assert.Equal(t, received.Removed[0], sent.Removed[0])
	assert.Equal(t, received.IdleTimeout, sent.IdleTimeout)
	assert.Equal(t, received.Digest, sent.Digest)
}

// Guards against a follower that merges a delta of its parent into routes that the parent never
// had: it must have the platform's routes afterwards.
func TestFollowerOfSkippedVersionReadsRoutes(t *testing.T) {
	parent, follower, directory := startPair(t)
	follower.setRoutes(2)
	parent.setRoutes(1)
	parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 10, "i-1") })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	assert.Equal(t, follower.dispatcher.Gauges().RoutesDigest, parent.dispatcher.Gauges().RoutesDigest)
	assert.Equal(t, directory.platformRouteReads.Load(), int64(1))
}

// Guards against a follower whose routes differ from those of its version for good: it counted
// as up to date as long as its parent had the same version.
func TestFollowerWithOtherRoutesOfSameVersionIsCorrected(t *testing.T) {
	parent, follower, _ := startPair(t)
	wrong := dsr.NewDispatcher(dsr.Options{})
	wrong.SetRoutes(dsr.RouteSet{Version: 3, Routes: []*dsr.Route{{Name: "dropped", Address: protocol.Endpoint{IP: [4]byte{198, 18, 0, 9}, Port: 443}}}})
	delta, ok := wrong.RoutesDelta(0)
	assert.Assert(t, ok)
	assert.Equal(t, follower.dispatcher.ApplyRoutesDelta(follower.clock.now(), delta), dsr.DeltaApplied)
	parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 10, "i-1") })
	waitFor(t, "the follower to have the routes of its parent", func() bool {
		return follower.follows() && follower.dispatcher.Gauges().RoutesDigest == parent.dispatcher.Gauges().RoutesDigest
	})
}

// Guards against a follower whose targets differ from its parent's for good, because neither
// sees a change.
func TestFollowerWithOtherTargetsIsCorrected(t *testing.T) {
	parent, follower, _ := startPair(t)
	parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 10, "i-1") })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	extra := dsr.Announcement{ID: "i-9", Incarnation: 9, Service: "web", Slots: 2, Revision: 2, Place: "a"}
	follower.dispatcher.ApplyDelta(follower.clock.now(), dsr.Delta{Revision: 10, Targets: []dsr.Announcement{extra}})
	assert.Equal(t, follower.dispatcher.Gauges().Targets, 2)
	waitFor(t, "the follower to have the targets of its parent", func() bool { return follower.dispatcher.Gauges().Targets == 1 })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
}

// Guards against data that count as current although they are known to differ from the parent's:
// the follower must read the platform.
func TestFollowerWithLastingMismatchReadsPlatform(t *testing.T) {
	parent, follower, _ := startPair(t)
	parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 10, "i-1", "i-2") })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	follower.dispatcher.ApplyDelta(follower.clock.now(), dsr.Delta{Revision: 10, Gone: []string{"i-1"}})
	waitFor(t, "the follower to read the platform", follower.service.MustReadPlatform)
	follower.applyPlatformState(3, 11, "i-1", "i-2")
	assert.Equal(t, follower.dispatcher.Gauges().Targets, 2)
}

// startChain starts three nodes of a place of eight: the root of the tree, one of its
// followers, and a follower of that one. The other members do not answer.
func startChain(t *testing.T) (root, middle, leaf *node) {
	members := make([]feed.Member, feed.Fanout+2)
	for i := range members {
		members[i] = feed.Member{VM: fmt.Sprintf("vm-%d", i), Address: netip.MustParseAddrPort("127.0.0.1:1")}
	}
	parentOf := make(map[string]string, len(members))
	for _, m := range members {
		f := feed.NewFollower(m.VM, time.Second, time.Time{})
		f.SetMembers(members)
		parent, _ := f.Parent(time.Time{})
		parentOf[m.VM] = parent.VM
	}
	directory := &memoryDirectory{}
	nodes := make(map[string]*node, 3)
	for vm, parent := range parentOf {
		if grandparent := parentOf[parent]; grandparent != "" {
			nodes[grandparent], nodes[parent], nodes[vm] = nil, nil, nil
			root, middle, leaf = startNode(t, grandparent, directory), startNode(t, parent, directory), startNode(t, vm, directory)
			break
		}
	}
	for _, m := range members {
		if _, started := nodes[m.VM]; !started {
			assert.NilError(t, directory.Register(context.Background(), m))
		}
	}
	return root, middle, leaf
}

// Guards against a follower that has read the platform and then rejects the data of its
// parent, because the platform's revision has grown without a change of targets.
func TestFollowerFollowsItsParentAfterOwnRead(t *testing.T) {
	root, middle, leaf := startChain(t)
	var revision atomic.Uint64
	revision.Store(10)
	root.repeatUntilStopped(t, func() { root.applyPlatformState(3, revision.Load(), "i-1") })
	waitFor(t, "the members to follow", func() bool {
		return middle.follows() && leaf.follows() && leaf.parentVM() == middle.service.options.Self.VM
	})
	before, _ := middle.dispatcher.Summary()
	revision.Store(12)
	waitFor(t, "the platform's revision to reach the parent", func() bool {
		summary, _ := middle.dispatcher.Summary()
		return summary.Revision == 12 && summary.ChangeSequence == before.ChangeSequence
	})
	leaf.applyPlatformState(3, 12, "i-1")
	readAt := leaf.clock.now()
	waitFor(t, "the data to be confirmed after the read", func() bool {
		summary, _ := leaf.dispatcher.Summary()
		return summary.AsOf.After(readAt)
	})
}
