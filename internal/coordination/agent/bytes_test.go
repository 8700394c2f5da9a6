package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/health"
)

// maxControlBytesPerSecond is the budget for the control traffic of one balancer, for sent
// and received bytes together.
const maxControlBytesPerSecond = 2048

// runBusyMinutes runs two minutes with two published configurations, one
// restarted balancer, busy targets and 1 % packet loss: the rate of changes that
// the design assumes. It returns the mean and the maximum over the balancers of
// the bytes per second, sent and received.
func runBusyMinutes(c *cluster) (meanRate, maxRate float64) {
	c.lossRate = 0.01
	for name := range c.targets {
		c.targets[name] = health.Result{OK: true, Healthy: true, BusySlots: 2, Slots: 2}
	}
	c.run(30 * time.Second)
	for _, n := range c.nodes {
		n.bytesSent, n.bytesReceived = 0, 0
	}
	c.run(20 * time.Second)
	c.publishNextGeneration()
	c.run(20 * time.Second)
	c.nodes[len(c.nodes)-1].dead = true
	c.run(20 * time.Second)
	c.boot(c.nodes[len(c.nodes)-1])
	c.run(20 * time.Second)
	c.publishNextGeneration()
	c.run(40 * time.Second)
	for _, n := range c.nodes {
		rate := float64(n.bytesSent+n.bytesReceived) / 120
		meanRate += rate / float64(len(c.nodes))
		maxRate = max(maxRate, rate)
	}
	return meanRate, maxRate
}

// Guards against control traffic above 2 KB/s per balancer, with health checks of 18 targets.
func TestControlTrafficOf7BalancersStaysWithinBudget(t *testing.T) {
	c := healthCluster(t, 7, 18, 1)
	meanRate, maxRate := runBusyMinutes(c)
	t.Logf("mean %.0f B/s, maximum %.0f B/s", meanRate, maxRate)
	assert.Assert(t, maxRate <= maxControlBytesPerSecond)
}

// Guards against traffic per balancer that grows with the fleet. The number of
// targets stays at 18, so health checks are a smaller share of the traffic in a
// larger fleet; they have a rate limit of their own.
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []int{7, 100, 400, 800} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				c := healthCluster(b, size, 18, 1)
				meanRate, maxRate := runBusyMinutes(c)
				b.ReportMetric(meanRate, "B/s")
				b.ReportMetric(maxRate, "most-B/s")
				assert.Assert(b, meanRate <= maxControlBytesPerSecond)
			}
		})
	}
}
