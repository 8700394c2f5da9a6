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

// bytesPerSecondBound is the control budget of one balancer, sent and received.
const bytesPerSecondBound = 2048

// quoteDesk returns the configuration of 18 targets with health endpoints at one server.
func quoteDesk(endpoint string) objects.Set {
	set := objects.Set{
		Places:   []objects.Place{{Name: "pl-a"}},
		Pools:    []objects.Pool{{Name: "quote", Slots: 2, Connections: 2000}},
		Services: []objects.Service{{Name: "quote-desk", Address: netip.MustParseAddr("10.0.0.1"), Port: 443, Protocol: objects.ProtocolTCP, Pool: "quote"}},
	}
	for i := range 18 {
		set.Targets = append(set.Targets, objects.Target{
			Name: fmt.Sprintf("quote-%02d", i), Pool: "quote", Place: "pl-a",
			Address: netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), Port: 9000, Health: endpoint,
		})
	}
	return set
}

func healthServer(t testing.TB) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"healthy":true,"draining":false,"shedding":false,"busy_slots":1,"slots":2,"open_connections":1234}`)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func startFleet(t testing.TB, size int, store platform.Store) []*node {
	nodes := []*node{start(t, "vm-000", store)}
	for i := 1; i < size; i++ {
		nodes = append(nodes, start(t, fmt.Sprintf("vm-%03d", i), store, nodes[0].Address()))
	}
	for _, n := range nodes {
		waitFor(t, "full view", func() bool { return n.live() == size })
		waitFor(t, "generation 1", func() bool { return n.generation() == 1 })
	}
	return nodes
}

// startPlatform runs the platform stand-in with a configuration of 18 targets
// in force and counts the bytes of its connections.
func startPlatform(t testing.TB, size int, c *counters) platform.Store {
	var vms []platform.VM
	for i := range size {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(40000+i))
		vms = append(vms, platform.VM{Name: fmt.Sprintf("vm-%03d", i), Place: "pl-a", DataAddress: addr, ControlAddress: addr})
	}
	server := httptest.NewUnstartedServer(standin.NewServer(time.Now, vms))
	server.Listener = &countedListener{server.Listener, c}
	server.Start()
	t.Cleanup(server.Close)
	client := platform.NewClient(server.URL)
	raw := objects.Canonical(quoteDesk(healthServer(t)))
	digest := objects.Digest(raw)
	records, parts := publish.SnapshotRecords(raw, digest)
	records[publish.HeadKey] = publish.EncodeHead(objects.Head{Generation: 1, Digest: digest, Parts: parts})
	for key, value := range records {
		outcome, _, err := client.CompareAndSwap(context.Background(), key, value, 0)
		assert.NilError(t, err)
		assert.Equal(t, outcome, platform.WriteDone)
	}
	return client
}

// BenchmarkControlBytes counts the bytes at the sockets of 7 planes with 18
// targets and a platform over 30 s, and fails above the budget.
func BenchmarkControlBytes(b *testing.B) {
	for b.Loop() {
		calls := newCounters()
		nodes := startFleet(b, 7, startPlatform(b, 7, calls))
		time.Sleep(12 * time.Second) // first exchanges and reports
		before, callsBefore := totals(nodes), calls.snapshot()
		began := time.Now()
		time.Sleep(30 * time.Second)
		seconds := time.Since(began).Seconds() * float64(len(nodes))
		after := totals(nodes)
		rate := func(name string) float64 { return float64(after[name]-before[name]) / seconds }
		callsAfter := calls.snapshot()
		platformRate := float64(callsAfter[CounterBytesSent]+callsAfter[CounterBytesReceived]-callsBefore[CounterBytesSent]-callsBefore[CounterBytesReceived]) / seconds
		all := rate(CounterBytesSent) + rate(CounterBytesReceived) + platformRate
		b.ReportMetric(all, "B/s")
		b.ReportMetric(platformRate, "platform-B/s")
		b.ReportMetric(rate(counterProbeSent)+rate(counterProbeReceived), "probe-B/s")
		b.ReportMetric(rate(counterTwirpSent)+rate(counterTwirpReceived), "twirp-B/s")
		b.ReportMetric(rate(counterHealthSent)+rate(counterHealthReceived), "health-B/s")
		assert.Assert(b, all <= bytesPerSecondBound, "%.0f bytes per second", all)
	}
}

func totals(nodes []*node) map[string]uint64 {
	sum := map[string]uint64{}
	for _, n := range nodes {
		for name, total := range n.Counters() {
			sum[name] += total
		}
	}
	return sum
}

// Guards against message overheads above those that the fake-time byte counts
// of the agent assume: 650 bytes per exchange besides the messages, which take
// at most 130 bytes here, and 260 bytes per probe of a target.
func TestOverheadsMatchTheModel(t *testing.T) {
	store := newMemoryStore()
	store.publish(1, quoteDesk("")) // without reports, whose size is not part of the overhead
	nodes := startFleet(t, 2, store)
	before := totals(nodes)
	for range 10 {
		assert.NilError(t, nodes[0].Refresh(context.Background()))
	}
	after := totals(nodes)
	perExchange := (after[counterTwirpSent] - before[counterTwirpSent] + after[counterTwirpReceived] - before[counterTwirpReceived]) / 2 / (after[counterExchanges] - before[counterExchanges])
	assert.Assert(t, perExchange <= 650+130, "%d bytes per exchange", perExchange)
	c := newCounters()
	p := &Plane{targets: newTargetClient(c)}
	endpoint := healthServer(t)
	for range 10 {
		assert.Assert(t, p.askTarget(context.Background(), endpoint).OK)
	}
	sums := c.snapshot()
	perCheck := (sums[counterHealthSent] + sums[counterHealthReceived]) / 10
	assert.Assert(t, perCheck <= 260, "%d bytes per check", perCheck)
}
