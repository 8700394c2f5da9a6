package agent

import (
	"fmt"
	"testing"
	"time"
)

// domainLimit bounds the wait for views to agree.
const domainLimit = 5 * time.Minute

// BenchmarkFailureDomain measures in fake time how long views need to agree
// after a fifth of the balancers died at once, after two halves lost each other
// for a minute, and after they see each other again.
func BenchmarkFailureDomain(b *testing.B) {
	for _, size := range []int{10, 50, 100, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measureDomain(b, size)
			}
		})
	}
}

func measureDomain(b *testing.B, size int) {
	c := newCluster(b, size, 1)
	c.platform.publish(fleetSet(18))
	c.settle()
	first := map[*node]bool{}
	for _, n := range c.nodes[:size/2] {
		first[n] = true
	}
	half := func(n *node) bool { return first[n] }
	c.cut = func(x, y *node) bool { return half(x) != half(y) }
	b.ReportMetric(c.until(domainLimit, func() bool { return c.sidesAgree(half) }).Seconds(), "split-s")
	c.run(time.Minute)
	c.cut = func(*node, *node) bool { return false }
	heal := c.measure()
	b.ReportMetric(c.until(domainLimit, c.agree).Seconds(), "heal-s")
	b.ReportMetric(float64(c.bytes()-heal.bytes)/float64(size), "heal-B/node")
	c.run(time.Minute)
	for _, n := range c.nodes[size-size/5:] {
		n.dead = true
	}
	dead := c.measure()
	b.ReportMetric(c.until(domainLimit, c.agree).Seconds(), "dead-s")
	b.ReportMetric(float64(c.bytes()-dead.bytes)/float64(size), "dead-B/node")
}

// sidesAgree reports whether every balancer's view is its own side.
func (c *cluster) sidesAgree(side func(*node) bool) bool {
	count := map[bool]int{}
	for _, n := range c.nodes {
		count[side(n)]++
	}
	for _, n := range c.nodes {
		if len(n.view) != count[side(n)] {
			return false
		}
	}
	return true
}
