package platform

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// startServer starts a platform and returns it with a client and the clock, which the test
// advances.
func startServer(t *testing.T) (*Server, *platform.Client, *atomic.Int64) {
	t.Helper()
	clock := &atomic.Int64{}
	server := NewServer(func() time.Time { return time.Unix(0, clock.Load()) }, nil)
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return server, platform.NewClient(strings.Replace(httpServer.URL, "http://", "http://vm-a@", 1)), clock
}

// Guards against a lost update: a second writer that expects an old revision must not overwrite
// the value of the first.
func TestCompareAndSwapRejectsStaleRevision(t *testing.T) {
	_, client, _ := startServer(t)
	ctx := context.Background()
	outcome, record, err := client.CompareAndSwap(ctx, "config/head", []byte("one"), 0)
	assert.NilError(t, err)
	assert.Equal(t, outcome, platform.WriteDone)
	assert.Equal(t, record.Revision, uint64(1))
	outcome, record, err = client.CompareAndSwap(ctx, "config/head", []byte("two"), 0)
	assert.NilError(t, err)
	assert.Equal(t, outcome, platform.WriteConflict)
	assert.Equal(t, string(record.Value), "one")
	record, err = client.Get(ctx, "config/head")
	assert.NilError(t, err)
	assert.Equal(t, string(record.Value), "one")
}

// Guards against reporting to an operator that a write failed although it took effect, or that
// its outcome is unknown although it cannot have taken effect.
func TestWriteOutcomeOfEachFault(t *testing.T) {
	server, client, _ := startServer(t)
	ctx := context.Background()
	write := func(value []byte) platform.WriteOutcome {
		outcome, _, err := client.CompareAndSwap(ctx, "k", value, 0)
		assert.Assert(t, err != nil)
		return outcome
	}
	server.SetFaults(Faults{RejectCalls: true})
	assert.Equal(t, write([]byte("v")), platform.WriteFailed)
	server.SetFaults(Faults{Outage: true})
	assert.Equal(t, write([]byte("v")), platform.WriteUnknown)
	assert.Equal(t, write(bytes.Repeat([]byte("v"), platform.MaxValueBytes+1)), platform.WriteFailed)
	assert.Equal(t, server.store.get("k", 0).Revision, uint64(0))
	server.SetFaults(Faults{LostResponses: 1})
	assert.Equal(t, write([]byte("v")), platform.WriteUnknown)
	assert.Equal(t, server.store.get("k", 0).Revision, uint64(1))
	unreachable := platform.NewClient("http://127.0.0.1:1")
	outcome, _, err := unreachable.CompareAndSwap(ctx, "k", nil, 0)
	assert.Assert(t, err != nil)
	assert.Equal(t, outcome, platform.WriteFailed)
}

// Guards against a watch that misses a write, or that takes more than one call while it waits.
func TestWatchReturnsNextWrite(t *testing.T) {
	server, client, _ := startServer(t)
	ctx := context.Background()
	got := make(chan platform.Record, 1)
	go func() {
		record, _ := client.Watch(ctx, "k", 1)
		got <- record
	}()
	for server.counts.snapshot().Pending["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	server.store.compareAndSwap("k", []byte("1"), 0)
	server.store.compareAndSwap("other", []byte("x"), 0)
	server.store.compareAndSwap("k", []byte("2"), 1)
	assert.Equal(t, string((<-got).Value), "2")
	counts := server.counts.snapshot()
	assert.Equal(t, counts.ByKind["watch"], uint64(1))
	assert.Equal(t, counts.ByClient["vm-a"], uint64(1))
}

// Guards against an injected disconnection or outage that leaves pending watches connected.
func TestDisconnectEndsPendingWatches(t *testing.T) {
	server, client, _ := startServer(t)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Watch(context.Background(), "k", 0)
		failed <- err
	}()
	for server.counts.snapshot().Pending["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	server.SetFaults(Faults{DisconnectedClients: []string{"vm-a"}})
	assert.Assert(t, <-failed != nil)
}

// Guards against two holders of one lease that get the same fencing token.
func TestFencingTokenIncreasesWithEachHolder(t *testing.T) {
	_, client, clock := startServer(t)
	ctx := context.Background()
	acquire := func(holder string) platform.Lease {
		lease, err := client.AcquireLease(ctx, "reader", holder, time.Second)
		assert.NilError(t, err)
		return lease
	}
	first := acquire("a")
	assert.Equal(t, acquire("b").Holder, "a")
	assert.Equal(t, acquire("a").FencingToken, first.FencingToken)
	clock.Add(int64(time.Second))
	second := acquire("b")
	assert.Equal(t, second.Holder, "b")
	assert.Assert(t, second.FencingToken > first.FencingToken)
}

// Guards against injected stale reads and VM list lag that have no effect: scenarios that
// depend on them would pass without testing anything.
func TestStaleReadsAndVMListLag(t *testing.T) {
	server, client, clock := startServer(t)
	ctx := context.Background()
	server.store.compareAndSwap("k", []byte("old"), 0)
	server.store.compareAndSwap("k", []byte("new"), 1)
	server.SetFaults(Faults{StaleRevisions: 1, VMLagMS: 1000})
	record, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(record.Value), "old")
	server.PutVM(platform.VM{Name: "vm-1"})
	vms, err := client.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
	clock.Add(int64(time.Second))
	vms, err = client.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 1)
}
