package agent

import (
	"fmt"
	"testing"
	"time"
)

// maxAgreementTime limits the wait for views to agree.
const maxAgreementTime = 5 * time.Minute

// BenchmarkFailureDomain measures in fake time how long the views take to agree
// after a network partition of two halves, after it heals a minute later, and
// after a fifth of the balancers died at once.
func BenchmarkFailureDomain(b *testing.B) {
	for _, size := range []int{10, 50, 100, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measureFailureDomain(b, size)
			}
		})
	}
}

func measureFailureDomain(b *testing.B, size int) {
	c := newCluster(b, size, 1)
	c.platform.publish(fleetSet(18))
	c.runUntilSettled()
	firstHalf := map[*node]bool{}
	for _, n := range c.nodes[:size/2] {
		firstHalf[n] = true
	}
	inFirstHalf := func(n *node) bool { return firstHalf[n] }
	c.linkDown = func(x, y *node) bool { return inFirstHalf(x) != inFirstHalf(y) }
	b.ReportMetric(c.runUntil(maxAgreementTime, func() bool { return c.sidesAgree(inFirstHalf) }).Seconds(), "split-s")
	c.run(time.Minute)
	c.linkDown = func(*node, *node) bool { return false }
	heal := c.startMeasurement()
	b.ReportMetric(c.runUntil(maxAgreementTime, c.viewsAgree).Seconds(), "heal-s")
	b.ReportMetric(float64(c.totalBytes()-heal.startBytes)/float64(size), "heal-B/node")
	c.run(time.Minute)
	for _, n := range c.nodes[size-size/5:] {
		n.dead = true
	}
	dead := c.startMeasurement()
	b.ReportMetric(c.runUntil(maxAgreementTime, c.viewsAgree).Seconds(), "dead-s")
	b.ReportMetric(float64(c.totalBytes()-dead.startBytes)/float64(size), "dead-B/node")
}

// sidesAgree reports whether every balancer's view has the size of its own side.
func (c *cluster) sidesAgree(side func(*node) bool) bool {
	sizes := map[bool]int{}
	for _, n := range c.nodes {
		sizes[side(n)]++
	}
	for _, n := range c.nodes {
		if len(n.view) != sizes[side(n)] {
			return false
		}
	}
	return true
}
