package coordination

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// plannedChanges are the changes that operators make during normal operation.
var plannedChanges = map[string]func(f *fleet){
	"balancer leaves":   func(f *fleet) { f.removeGracefully(f.nextHops[f.rng.IntN(len(f.nextHops))]) },
	"balancer joins":    func(f *fleet) { f.startBalancer(); f.setAllViews() },
	"balancer replaced": func(f *fleet) { f.startBalancer(); f.removeGracefully(f.nextHops[f.rng.IntN(6)]) },
	"target added": func(f *fleet) {
		set := cloneSet(f.set)
		set.Targets = append(set.Targets, newTarget(set, "pool-0", 0), newTarget(set, "pool-1", 1))
		set.Targets[len(set.Targets)-1].Name = "target-last"
		set.Targets[len(set.Targets)-1].Address = set.Targets[len(set.Targets)-1].Address.Next()
		f.publish(set)
	},
	"targets drained": func(f *fleet) {
		set := cloneSet(f.set)
		set.Targets[f.rng.IntN(14)].Drain = true
		set.Targets[14+f.rng.IntN(14)].Drain = true
		f.publish(set)
	},
	"drained target removed": func(f *fleet) {
		set := cloneSet(f.set)
		set.Targets = set.Targets[1:]
		f.publish(set)
	},
	"weight changed": func(f *fleet) {
		set := cloneSet(f.set)
		set.Targets[f.rng.IntN(len(set.Targets))].Weight = 20
		f.publish(set)
	},
	"service published": func(f *fleet) { f.publish(cloneSet(f.set)) },
}

// removeGracefully takes a balancer out of service: it hands its flows over, still
// forwards packets for 2 s, and stops.
func (f *fleet) removeGracefully(vm string) {
	f.markLeaving(vm)
	f.setAllViews()
	f.deliverHandoffs()
	f.advance(2 * time.Second)
	f.kill(vm)
	f.setAllViews()
}

// Checks that a planned change breaks no established flow, idle or not (property P1).
func TestPlannedChangeBreaksNoFlow(t *testing.T) {
	for name, change := range plannedChanges {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 2, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 7, twoServices(), Options{})
				all := f.establish(2000)
				f.checkNoFlowBreaks(all, 2, change)
			})
		})
	}
}

// checkNoFlowBreaks applies changes while half of the flows carry packets, and
// checks that no flow breaks and no packet reaches a target of another service.
func (f *fleet) checkNoFlowBreaks(all []*fakeCaller, requestID int, changes ...func(f *fleet)) {
	busy := all[:len(all)/2]
	for _, c := range busy {
		f.schedule(time.Duration(f.rng.IntN(4000))*time.Millisecond, func() { c.sendUntilAnswered(requestID) })
	}
	f.advance(time.Second)
	for _, change := range changes {
		change(f)
	}
	f.advance(4 * time.Second)
	f.deliverHandoffs()
	assert.Equal(f.t, f.countBroken(all, requestID+1), 0)
	assert.Equal(f.t, f.crossServicePackets, 0)
}

// Checks that two planned changes, one directly after the other, and a third after
// a pause break no established flow (property P1).
func TestTwoPlannedChangesBreakNoFlow(t *testing.T) {
	pairs := [][2]string{
		{"balancer leaves", "targets drained"},
		{"balancer leaves", "balancer leaves"},
		{"balancer joins", "target added"},
		{"balancer replaced", "weight changed"},
		{"balancer replaced", "balancer replaced"},
		{"targets drained", "drained target removed"},
		{"target added", "balancer leaves"},
	}
	for _, pair := range pairs {
		t.Run(pair[0]+" and "+pair[1], func(t *testing.T) {
			forEachSeed(t, 2, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 7, twoServices(), Options{})
				all := f.establish(2000)
				f.checkNoFlowBreaks(all, 2, plannedChanges[pair[0]], plannedChanges[pair[1]])
				f.checkNoFlowBreaks(all, 4, plannedChanges["weight changed"])
			})
		})
	}
}

// Guards against a binding that still leads to a target after a new configuration
// has assigned the target to another service.
func TestMovedTargetGetsNoPacketOfFormerService(t *testing.T) {
	f := newFleet(t, 1, 3, twoServices(), Options{})
	f.establish(200)
	set := cloneSet(f.set)
	set.Targets[0].Pool = "pool-1" // pool-1 was QUIC; the target must keep its transport, so its new service becomes TCP
	set.Services[1].Protocol = objects.ProtocolTCP
	for _, target := range f.targets {
		if target.endpoint.AddrPort().Addr() == set.Targets[0].Address {
			target.service = protocol.NewEndpoint(netip.AddrPortFrom(set.Services[1].Address, 443))
		}
	}
	f.publish(set)
	for _, c := range f.callers {
		c.sendUntilAnswered(2)
	}
	f.advance(5 * time.Second)
	assert.Equal(t, f.crossServicePackets, 0)
}
