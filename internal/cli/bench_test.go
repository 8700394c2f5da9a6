package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
	standplatform "github.com/kumquatworks/kumquatworks/internal/standin/platform"
)

// benchTargetCounts are the numbers of targets in the benchmarks. The last is the number that
// the system is designed for.
var benchTargetCounts = []int{500, 2000, 5000}

// newBenchSet returns a configuration with n targets. The ratio of services to targets is
// the one that the system is designed for, 1100 to 5000.
func newBenchSet(n int) objects.Set {
	var set objects.Set
	for i := range 5 {
		set.Places = append(set.Places, objects.Place{Name: fmt.Sprintf("pl-%c", 'a'+i)})
	}
	services := n * 1100 / 5000
	for i := range services {
		pool := fmt.Sprintf("pool-%04d", i)
		set.Pools = append(set.Pools, objects.Pool{Name: pool, Slots: 2, Connections: 2000})
		set.Services = append(set.Services, objects.Service{Name: fmt.Sprintf("service-%04d", i), Address: netip.MustParseAddr(fmt.Sprintf("10.1.%d.%d", i/200, i%200+1)), Port: 443, Protocol: objects.ProtocolQUIC, Pool: pool})
	}
	for i := range n {
		set.Targets = append(set.Targets, objects.Target{
			Name: fmt.Sprintf("target-%05d", i), Pool: set.Pools[i%services].Name, Place: set.Places[i%5].Name,
			Address: netip.MustParseAddr(fmt.Sprintf("10.2.%d.%d", i/200, i%200+1)), Port: 8443,
		})
	}
	return objects.WithDefaults(set)
}

func forEachTargetCount(b *testing.B, run func(*testing.B, objects.Set)) {
	for _, n := range benchTargetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) { run(b, newBenchSet(n)) })
	}
}

// withDrainedTarget returns a copy of the set in which one target drains.
func withDrainedTarget(set objects.Set) objects.Set {
	set.Targets = append([]objects.Target(nil), set.Targets...)
	set.Targets[len(set.Targets)/2].Drain = true
	return set
}

// BenchmarkCheck measures the check command on one file.
func BenchmarkCheck(b *testing.B) {
	forEachTargetCount(b, func(b *testing.B, set objects.Set) {
		file := filepath.Join(b.TempDir(), "all.json")
		assert.NilError(b, os.WriteFile(file, objects.Canonical(set), 0o600))
		for b.Loop() {
			var out bytes.Buffer
			assert.Equal(b, Main([]string{"check", file}, &out, &out), ExitSuccess, out.String())
		}
		b.ReportMetric(float64(len(objects.Canonical(set))), "file-bytes")
	})
}

// BenchmarkDiff measures the description of the changes between two configurations that
// differ in one drained target.
func BenchmarkDiff(b *testing.B) {
	forEachTargetCount(b, func(b *testing.B, set objects.Set) {
		after := withDrainedTarget(set)
		for b.Loop() {
			assert.Equal(b, len(objects.Changes(set, after)), 1)
		}
	})
}

// countingPlatform counts the requests to the platform and the bytes of their bodies.
type countingPlatform struct {
	next                   http.Handler
	requests, requestBytes float64
}

func (c *countingPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.requests++
	c.requestBytes += float64(max(r.ContentLength, 0))
	c.next.ServeHTTP(w, r)
}

// BenchmarkPublish measures a first publish, and the publish of one drained target, to the
// platform stand-in.
func BenchmarkPublish(b *testing.B) {
	for _, kind := range []string{"first", "drain"} {
		b.Run(kind, func(b *testing.B) {
			forEachTargetCount(b, func(b *testing.B, set objects.Set) {
				counting := &countingPlatform{}
				for b.Loop() {
					b.StopTimer()
					counting.next = standplatform.NewServer(time.Now, nil)
					server := httptest.NewServer(counting)
					store := platform.NewClient(server.URL)
					published := set
					if kind == "drain" {
						mustPublish(b, store, set)
						published = withDrainedTarget(set)
					}
					counting.requests, counting.requestBytes = 0, 0
					b.StartTimer()
					mustPublish(b, store, published)
					b.StopTimer()
					server.Close()
					b.StartTimer()
				}
				b.ReportMetric(counting.requests, "calls")
				b.ReportMetric(counting.requestBytes, "written-bytes")
			})
		})
	}
}

func mustPublish(b *testing.B, store platform.Store, set objects.Set) {
	p := publish.New(store)
	plan, err := p.Plan(context.Background(), publish.Request{Set: set, Operator: "bench"}, publish.Fleet{})
	assert.NilError(b, err)
	assert.Equal(b, p.Commit(context.Background(), plan).Outcome, publish.OutcomeAccepted)
}

// BenchmarkStatus measures the size of one balancer's status response and the report on a
// fleet of seven.
func BenchmarkStatus(b *testing.B) {
	forEachTargetCount(b, func(b *testing.B, set objects.Set) {
		first, peers := newBenchResponses(set)
		var text, raw bytes.Buffer
		for b.Loop() {
			text.Reset()
			raw.Reset()
			report := newFleetReport(first, peers)
			assert.NilError(b, report.print(&text, false, false))
			assert.NilError(b, json.NewEncoder(&raw).Encode(report))
		}
		b.ReportMetric(float64(proto.Size(first)), "answer-bytes")
		b.ReportMetric(float64(text.Len()), "text-bytes")
		b.ReportMetric(float64(raw.Len()), "json-bytes")
	})
}

func newBenchResponses(set objects.Set) (*wire.StatusResponse, peerResponses) {
	peers := peerResponses{responses: map[string]*wire.StatusResponse{}}
	var members []*wire.Member
	for i := range 7 {
		vm := fmt.Sprintf("vm-%d", i)
		members = append(members, &wire.Member{Vm: vm, Place: "pl-a", Data: "10.0.0.1:4754", Control: "10.0.0.1:7600", State: wire.MemberState_MEMBER_STATE_ALIVE, Generation: 1})
		response := &wire.StatusResponse{Vm: vm, Generation: 1, Digest: bytes.Repeat([]byte{1}, 32)}
		for _, t := range set.Targets {
			response.Targets = append(response.Targets, &wire.TargetStatus{Target: t.Name, Pool: t.Pool, Service: strings.Replace(t.Pool, "pool", "service", 1), State: "serving", AgeSeconds: 1.5})
		}
		peers.responses[vm] = response
	}
	first := peers.responses["vm-0"]
	first.Members = members
	return first, peers
}
