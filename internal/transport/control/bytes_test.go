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

func startFleet(t testing.TB, size int) []*node {
	store := newMemoryStore()
	store.publish(1, quoteDesk(healthServer(t)))
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

// BenchmarkControlBytes counts the bytes at the sockets of 7 planes with 18
// targets over 30 s, platform calls excepted, and fails above the budget.
func BenchmarkControlBytes(b *testing.B) {
	for b.Loop() {
		nodes := startFleet(b, 7)
		time.Sleep(12 * time.Second) // first exchanges and reports
		before := totals(nodes)
		began := time.Now()
		time.Sleep(30 * time.Second)
		seconds := time.Since(began).Seconds() * float64(len(nodes))
		after := totals(nodes)
		rate := func(name string) float64 { return float64(after[name]-before[name]) / seconds }
		all := rate(CounterBytesSent) + rate(CounterBytesReceived)
		b.ReportMetric(all, "B/s")
		b.ReportMetric(rate(counterProbeSent)+rate(counterProbeReceived), "probe-B/s")
		b.ReportMetric(rate(counterTwirpSent)+rate(counterTwirpReceived), "twirp-B/s")
		b.ReportMetric(rate(counterHealthSent)+rate(counterHealthReceived), "health-B/s")
		b.Logf("%.0f B/s, probes %.0f, twirp %.0f, health %.0f", all, rate(counterProbeSent)+rate(counterProbeReceived), rate(counterTwirpSent)+rate(counterTwirpReceived), rate(counterHealthSent)+rate(counterHealthReceived))
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

// Guards against message overheads above those that the fake-time byte counts assume.
func TestOverheadsMatchTheModel(t *testing.T) {
	nodes := startFleet(t, 2)
	before := totals(nodes)
	for range 10 {
		assert.NilError(t, nodes[0].Refresh(context.Background()))
	}
	after := totals(nodes)
	perExchange := (after[counterTwirpSent] - before[counterTwirpSent] + after[counterTwirpReceived] - before[counterTwirpReceived]) / 2 / (after[counterExchanges] - before[counterExchanges])
	t.Logf("exchange: %d bytes", perExchange)
	c := newCounters()
	p := &Plane{targets: newTargetClient(c)}
	endpoint := healthServer(t)
	for range 10 {
		assert.Assert(t, p.askTarget(context.Background(), endpoint).OK)
	}
	sums := c.snapshot()
	t.Logf("check: %d sent, %d received", sums[counterHealthSent]/10, sums[counterHealthReceived]/10)
}
