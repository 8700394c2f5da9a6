package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/publish"
	standin "github.com/kumquatworks/kumquatworks/internal/standin/platform"
)

// maxControlBytesPerSecond is the bandwidth budget for the control plane of one
// balancer, for sent and received bytes together.
const maxControlBytesPerSecond = 2048

// configWith18Targets returns a configuration with 18 targets that share one health
// endpoint.
func configWith18Targets(healthAddr string) objects.Set {
	set := objects.Set{
		Places:   []objects.Place{{Name: "pl-a"}},
		Pools:    []objects.Pool{{Name: "quote", Slots: 2, Connections: 2000}},
		Services: []objects.Service{{Name: "quote-desk", Address: netip.MustParseAddr("10.0.0.1"), Port: 443, Protocol: objects.ProtocolTCP, Pool: "quote"}},
	}
	for i := range 18 {
		set.Targets = append(set.Targets, objects.Target{
			Name: fmt.Sprintf("quote-%02d", i), Pool: "quote", Place: "pl-a",
			Address: netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), Port: 9000, Health: healthAddr,
		})
	}
	return set
}

func startHealthServer(t testing.TB) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"healthy":true,"draining":false,"shedding":false,"busy_slots":1,"slots":2,"open_connections":1234}`)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func startFleet(t testing.TB, size int, store platform.Store) []*node {
	nodes := []*node{startNode(t, "vm-000", store)}
	for i := 1; i < size; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("vm-%03d", i), store, nodes[0].Address()))
	}
	for _, n := range nodes {
		waitFor(t, "view of all members", func() bool { return n.liveCount() == size })
		waitFor(t, "generation 1", func() bool { return n.generation() == 1 })
	}
	return nodes
}

// startPlatform runs the platform stand-in with a published configuration of 18 targets
// and counts the bytes of its connections in c.
func startPlatform(t testing.TB, size int, c *counters) platform.Store {
	var vms []platform.VM
	for i := range size {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(40000+i))
		vms = append(vms, platform.VM{Name: fmt.Sprintf("vm-%03d", i), Place: "pl-a", DataAddress: addr, ControlAddress: addr})
	}
	server := httptest.NewUnstartedServer(standin.NewServer(time.Now, vms))
	server.Listener = &countingListener{server.Listener, c}
	server.Start()
	t.Cleanup(server.Close)
	client := platform.NewClient(server.URL)
	raw := objects.Canonical(configWith18Targets(startHealthServer(t)))
	digest := objects.Digest(raw)
	records, chunkCount := publish.SnapshotRecords(raw, digest)
	records[publish.HeadKey] = publish.EncodeHead(objects.Head{Generation: 1, Digest: digest, ChunkCount: chunkCount})
	for key, value := range records {
		outcome, _, err := client.CompareAndSwap(context.Background(), key, value, 0)
		assert.NilError(t, err)
		assert.Equal(t, outcome, platform.WriteDone)
	}
	return client
}

// BenchmarkControlBytes measures the bytes per second and balancer at the sockets of 7
// control planes with 18 targets and a platform over 30 s. It fails above the budget.
func BenchmarkControlBytes(b *testing.B) {
	for b.Loop() {
		platformCounters := newCounters()
		nodes := startFleet(b, 7, startPlatform(b, 7, platformCounters))
		time.Sleep(12 * time.Second) // skips the first exchanges and reports
		before, platformBefore := sumCounters(nodes), platformCounters.snapshot()
		startTime := time.Now()
		time.Sleep(30 * time.Second)
		seconds := time.Since(startTime).Seconds() * float64(len(nodes))
		after := sumCounters(nodes)
		rate := func(name string) float64 { return float64(after[name]-before[name]) / seconds }
		platformAfter := platformCounters.snapshot()
		platformRate := float64(platformAfter[CounterBytesSent]+platformAfter[CounterBytesReceived]-platformBefore[CounterBytesSent]-platformBefore[CounterBytesReceived]) / seconds
		totalRate := rate(CounterBytesSent) + rate(CounterBytesReceived) + platformRate
		b.ReportMetric(totalRate, "B/s")
		b.ReportMetric(platformRate, "platform-B/s")
		b.ReportMetric(rate(counterProbeSent)+rate(counterProbeReceived), "probe-B/s")
		b.ReportMetric(rate(counterTwirpSent)+rate(counterTwirpReceived), "twirp-B/s")
		b.ReportMetric(rate(counterHealthSent)+rate(counterHealthReceived), "health-B/s")
		assert.Assert(b, totalRate <= maxControlBytesPerSecond, "%.0f bytes per second", totalRate)
	}
}

func sumCounters(nodes []*node) map[string]uint64 {
	sum := map[string]uint64{}
	for _, n := range nodes {
		for name, total := range n.Counters() {
			sum[name] += total
		}
	}
	return sum
}

// Guards against protocol overheads above those that the byte count tests of package
// agent in fake time assume: 650 bytes per exchange in addition to the messages, which take
// at most 130 bytes here, and 260 bytes per health check of a target.
func TestMessageOverheadsStayWithinAssumedBytes(t *testing.T) {
	store := newMemoryStore()
	store.publish(1, configWith18Targets("")) // without health endpoints there are no reports, whose size is not overhead
	nodes := startFleet(t, 2, store)
	before := sumCounters(nodes)
	for range 10 {
		assert.NilError(t, nodes[0].Refresh(context.Background()))
	}
	after := sumCounters(nodes)
	perExchange := (after[counterTwirpSent] - before[counterTwirpSent] + after[counterTwirpReceived] - before[counterTwirpReceived]) / 2 / (after[counterExchanges] - before[counterExchanges])
	assert.Assert(t, perExchange <= 650+130, "%d bytes per exchange", perExchange)
	c := newCounters()
	p := &Plane{healthHTTPClient: newHealthHTTPClient(c)}
	healthAddr := startHealthServer(t)
	for range 10 {
		assert.Assert(t, p.queryHealth(context.Background(), healthAddr).OK)
	}
	sums := c.snapshot()
	perCheck := (sums[counterHealthSent] + sums[counterHealthReceived]) / 10
	assert.Assert(t, perCheck <= 260, "%d bytes per health check", perCheck)
}
