package control

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
)

var fleetKey = []byte("0123456789abcdef0123456789abcdef")

// memoryStore is an in-memory platform.
type memoryStore struct {
	mu          sync.Mutex
	records     map[string]platform.Record
	changed     chan struct{}
	unavailable bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{records: map[string]platform.Record{}, changed: make(chan struct{})}
}

func (s *memoryStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key] = platform.Record{Key: key, Value: value, Revision: s.records[key].Revision + 1}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) publish(generation uint64, set objects.Set) {
	raw := objects.Canonical(set)
	digest := objects.Digest(raw)
	records, chunkCount := publish.SnapshotRecords(raw, digest)
	for key, value := range records {
		s.put(key, value)
	}
	s.put(publish.HeadKey, publish.EncodeHead(objects.Head{Generation: generation, Digest: digest, ChunkCount: chunkCount}))
}

func (s *memoryStore) get(key string) (platform.Record, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.Record{}, s.changed, errors.New("down")
	}
	return s.records[key], s.changed, nil
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Record, error) {
	record, _, err := s.get(key)
	return record, err
}

func (s *memoryStore) CompareAndSwap(context.Context, string, []byte, uint64) (platform.WriteOutcome, platform.Record, error) {
	return platform.WriteFailed, platform.Record{}, errors.New("not used")
}

func (s *memoryStore) Watch(ctx context.Context, key string, after uint64) (platform.Record, error) {
	for {
		record, changed, err := s.get(key)
		if err != nil || record.Revision > after {
			return record, err
		}
		select {
		case <-ctx.Done():
			return platform.Record{}, ctx.Err()
		case <-changed:
		}
	}
}

func (s *memoryStore) VMs(context.Context) ([]platform.VM, error) {
	_, _, err := s.get("")
	return nil, err
}

func (s *memoryStore) AcquireLease(context.Context, string, string, time.Duration) (platform.Lease, error) {
	return platform.Lease{}, errors.New("not used")
}

// node is a running control plane with the last view and snapshot from its callbacks.
type node struct {
	*Plane
	mu       sync.Mutex
	view     coordination.View
	snapshot Snapshot
	cancel   context.CancelFunc
	runErr   chan error
}

func (n *node) liveCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.view.Members)
}

func (n *node) generation() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.snapshot.Generation
}

func startNode(t testing.TB, vm string, store platform.Store, seeds ...netip.AddrPort) *node {
	t.Helper()
	n := &node{runErr: make(chan error, 1)}
	plane, err := New(Options{
		VM: vm, Place: "pl-a", SeedAddrs: seeds, FleetKey: fleetKey, Store: store,
		DataAddr:    netip.MustParseAddrPort("127.0.0.1:4754"),
		ControlAddr: netip.MustParseAddrPort("127.0.0.1:0"),
		OnView: func(v coordination.View) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.view = v
		},
		OnSnapshot: func(s Snapshot) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.snapshot = s
		},
	})
	assert.NilError(t, err)
	n.Plane = plane
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.runErr <- plane.Run(ctx) }()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.cancel()
	<-n.runErr
	n.runErr <- nil
}

func waitFor(t testing.TB, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func testSet() objects.Set {
	return objects.Set{Places: []objects.Place{{Name: "pl-a"}}, Pools: []objects.Pool{{Name: "quote", Slots: 2, Connections: 2000}}}
}

// Guards against control planes that do not discover each other, do not send a
// configuration to peers that cannot reach the platform, or keep a member that left.
func TestPlanesJoinAdoptConfigurationAndLeave(t *testing.T) {
	store := newMemoryStore()
	store.publish(1, testSet())
	unreachableStore := newMemoryStore()
	unreachableStore.unavailable = true
	a := startNode(t, "a", store)
	b := startNode(t, "b", unreachableStore, a.Address())
	c := startNode(t, "c", unreachableStore, a.Address())
	nodes := []*node{a, b, c}
	for _, n := range nodes {
		waitFor(t, "view of 3 members", func() bool { return n.liveCount() == 3 })
		waitFor(t, "generation 1", func() bool { return n.generation() == 1 })
	}
	set := testSet()
	set.Pools[0].Slots = 3
	store.publish(2, set)
	for _, n := range nodes {
		waitFor(t, "generation 2", func() bool { return n.generation() == 2 })
	}
	assert.NilError(t, b.Refresh(context.Background()))
	assert.NilError(t, b.Leave(context.Background()))
	b.stop()
	for _, n := range []*node{a, c} {
		waitFor(t, "view of 2 members", func() bool { return n.liveCount() == 2 })
	}
	status, err := NewOperatorClient(c.Address().String(), fleetKey).Status(context.Background(), &wire.StatusRequest{})
	assert.NilError(t, err)
	assert.Equal(t, status.Generation, uint64(2))
	assert.Assert(t, !status.PlatformReachable)
	assert.Assert(t, status.Counters[CounterBytesSent] > 0)
}

// Guards against accepting requests and probes from a sender without the fleet key.
func TestWrongFleetKeyIsRefusedAndCounted(t *testing.T) {
	a := startNode(t, "a", newMemoryStore())
	_, err := NewOperatorClient(a.Address().String(), []byte("another key")).Status(context.Background(), &wire.StatusRequest{})
	assert.Assert(t, err != nil)
	datagram, err := sealProbe([]byte("another key"), &wire.Probe{Kind: wire.ProbeKind_PROBE_KIND_PING, Source: "x"})
	assert.NilError(t, err)
	_, err = a.udpConn.WriteToUDPAddrPort(datagram, a.Address())
	assert.NilError(t, err)
	waitFor(t, "refusals", func() bool {
		totals := a.Counters()
		return totals[counterRefusedProbes] == 1 && totals[counterRefusedRequests] == 1
	})
}

// Guards against a planned stop that cuts off a control request which was accepted before
// it, so that an operator does not learn the outcome.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	a := startNode(t, "a", newMemoryStore())
	waitFor(t, "view of 1 member", func() bool { return a.liveCount() == 1 })
	release, blocked := make(chan struct{}), make(chan struct{})
	go func() {
		_ = a.runInLoop(context.Background(), func(time.Time) { close(blocked); <-release }) // the loop runs at this time
	}()
	<-blocked
	const requests = 20
	results := make(chan error, requests)
	for range requests {
		go func() {
			_, err := NewOperatorClient(a.Address().String(), fleetKey).Status(context.Background(), &wire.StatusRequest{})
			results <- err
		}()
	}
	received, unchanged := uint64(0), 0
	waitFor(t, "all requests at the server", func() bool {
		now := a.counters.snapshot()[CounterBytesReceived]
		if unchanged++; now != received || now == 0 {
			received, unchanged = now, 0
		}
		return unchanged >= 10
	})
	a.cancel()
	close(release)
	for range requests {
		assert.NilError(t, <-results)
	}
}
