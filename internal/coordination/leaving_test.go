package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Checks that a target that drains, by configuration or by its own report, gets no
// new flow from a balancer that has been informed (property P6). Balancers are
// informed at different times, while openers are lost, retransmitted and retried.
func TestLeavingTargetGetsNoNewFlow(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 7, twoServices(), Options{})
		f.makeUnreliable()
		f.lossRate = 0.05
		for _, target := range f.targets {
			target.unansweredShare = 0.1
		}
		informed, forwardedToLeaving, admitted := make(map[string]bool), 0, 0
		leaving := map[protocol.Endpoint]bool{
			endpointOf(f.set.Targets[0]): true, endpointOf(f.set.Targets[14]): true, endpointOf(f.set.Targets[15]): true,
		}
		f.onForward = func(vm string, d Decision, m message) {
			if m.packet.Kind != protocol.KindOpener || f.hasConnection(d.Endpoint, m) {
				return
			}
			admitted++
			if informed[vm] && leaving[d.Endpoint] {
				forwardedToLeaving++
			}
		}
		// Openers are retransmitted before the open timeout of 1 s.
		f.startSessions(300, 300*time.Millisecond, func(s *session) { s.openerCopies, s.retransmitInterval = 8, 400*time.Millisecond })
		f.advance(4 * time.Second)
		set := cloneSet(f.set)
		set.Targets[0].Drain, set.Targets[14].Drain = true, true
		table := f.newTable(set)
		f.registerTable(set, table)
		for _, m := range f.members {
			f.schedule(time.Duration(f.rng.Int64N(int64(3*time.Second))), func() {
				f.adoptTable(m.VM, table)
				f.dispatchers[m.VM].SetReports(f.now, []TargetReport{{Target: set.Targets[15].Name, Healthy: true, Draining: true}})
				informed[m.VM] = true
			})
		}
		f.advance(4 * time.Second)
		f.splitViews(3 * time.Second)
		f.advance(8 * time.Second)
		assert.Assert(t, admitted > 3000)
		assert.Equal(t, forwardedToLeaving, 0)
	})
}

// hasConnection reports whether a target already has the connection of an opener.
func (f *fleet) hasConnection(target protocol.Endpoint, m message) bool {
	c := connectionOf(m)
	conn := f.targets[target].conns[c.flow].findConn(func(x *fakeConn) bool { return x.openerTag == c.tag })
	return conn != nil && conn.openerTag == c.tag
}
