package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/health"
)

// bytesPerSecondBound is the control budget of one balancer, sent and received.
const bytesPerSecondBound = 2048

// busyMinutes runs the changes of two minutes at the design scale: two
// configurations and one restart, with targets that are busy and 1 % loss. It
// returns mean and maximum bytes per second of a balancer, sent and received.
func busyMinutes(c *cluster) (mean, most float64) {
	c.loss = 0.01
	for name := range c.targets {
		c.targets[name] = health.Result{OK: true, Healthy: true, BusySlots: 2, Slots: 2}
	}
	c.run(30 * time.Second)
	for _, n := range c.nodes {
		n.sent, n.received = 0, 0
	}
	c.run(20 * time.Second)
	c.publishNext()
	c.run(20 * time.Second)
	c.nodes[len(c.nodes)-1].dead = true
	c.run(20 * time.Second)
	c.boot(c.nodes[len(c.nodes)-1])
	c.run(20 * time.Second)
	c.publishNext()
	c.run(40 * time.Second)
	for _, n := range c.nodes {
		rate := float64(n.sent+n.received) / 120
		mean += rate / float64(len(c.nodes))
		most = max(most, rate)
	}
	return mean, most
}

// Guards against control traffic above 2 KB/s per balancer, with 18 targets probed.
func TestControlBytesOf7Balancers(t *testing.T) {
	c := healthCluster(t, 7, 18, 1)
	mean, most := busyMinutes(c)
	t.Logf("mean %.0f B/s, most %.0f B/s", mean, most)
	assert.Assert(t, most <= bytesPerSecondBound)
}

// Guards against traffic that grows with the fleet. Targets stay at 18, so the
// probes of targets shrink as a share; they are bounded by their own rate.
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []int{7, 100, 400, 800} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				c := healthCluster(b, size, 18, 1)
				mean, most := busyMinutes(c)
				b.ReportMetric(mean, "B/s")
				b.ReportMetric(most, "most-B/s")
				assert.Assert(b, mean <= bytesPerSecondBound)
			}
		})
	}
}
