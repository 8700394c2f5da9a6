package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Guards P6: a target that leaves, by configuration or by its own signal, gets no
// new flow from a balancer that knows of it. Balancers learn of it at times of
// their own, while openers are lost, repeated and retried.
func TestLeavingTargetGetsNoNewFlow(t *testing.T) {
	eachSeed(t, 4, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 7, twoServices(), Options{})
		f.unreliable()
		f.loss = 0.05
		for _, target := range f.targets {
			target.unansweredShare = 0.1
		}
		known, late, admitted := make(map[string]bool), 0, 0
		leaving := map[protocol.Endpoint]bool{
			endpointOf(f.set.Targets[0]): true, endpointOf(f.set.Targets[14]): true, endpointOf(f.set.Targets[15]): true,
		}
		f.onForward = func(vm string, d Decision, m message) {
			if m.packet.Kind != protocol.KindOpener || f.connected(d.Endpoint, m) {
				return
			}
			admitted++
			if known[vm] && leaving[d.Endpoint] {
				late++
			}
		}
		// Openers are repeated before the open timeout of 1 s.
		f.startSessions(300, 300*time.Millisecond, func(s *session) { s.openerCopies, s.retransmitInterval = 8, 400*time.Millisecond })
		f.advance(4 * time.Second)
		set := clone(f.set)
		set.Targets[0].Drain, set.Targets[14].Drain = true, true
		table := f.newTable(set)
		f.prepare(set, table)
		for _, m := range f.members {
			f.after(time.Duration(f.rng.Int64N(int64(3*time.Second))), func() {
				f.adopt(m.VM, table)
				f.nodes[m.VM].SetReports(f.now, []TargetReport{{Target: set.Targets[15].Name, Healthy: true, Draining: true}})
				known[m.VM] = true
			})
		}
		f.advance(4 * time.Second)
		f.splitViews(3 * time.Second)
		f.advance(8 * time.Second)
		assert.Assert(t, admitted > 3000)
		assert.Equal(t, late, 0)
	})
}

// connected reports whether a target has the connection of an opener already.
func (f *fleet) connected(target protocol.Endpoint, m message) bool {
	c := connectionOf(m)
	conn := f.targets[target].conns[c.flow].findConn(func(x *fakeConn) bool { return x.openerTag == c.tag })
	return conn != nil && conn.openerTag == c.tag
}
