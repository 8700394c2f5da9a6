package coordination

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// plannedChanges are the changes that operators make on purpose.
var plannedChanges = map[string]func(f *fleet){
	"balancer leaves":   func(f *fleet) { f.leave(f.spray[f.rng.IntN(len(f.spray))]) },
	"balancer joins":    func(f *fleet) { f.addNode(); f.setView() },
	"balancer replaced": func(f *fleet) { f.addNode(); f.leave(f.spray[f.rng.IntN(6)]) },
	"target added": func(f *fleet) {
		set := clone(f.set)
		set.Targets = append(set.Targets, newTarget(set, "pool-0", 0), newTarget(set, "pool-1", 1))
		set.Targets[len(set.Targets)-1].Name = "target-last"
		set.Targets[len(set.Targets)-1].Address = set.Targets[len(set.Targets)-1].Address.Next()
		f.publish(set)
	},
	"targets drained": func(f *fleet) {
		set := clone(f.set)
		set.Targets[f.rng.IntN(14)].Drain = true
		set.Targets[14+f.rng.IntN(14)].Drain = true
		f.publish(set)
	},
	"drained target removed": func(f *fleet) {
		set := clone(f.set)
		set.Targets = set.Targets[1:]
		f.publish(set)
	},
	"weight changed": func(f *fleet) {
		set := clone(f.set)
		set.Targets[f.rng.IntN(len(set.Targets))].Weight = 20
		f.publish(set)
	},
	"service published": func(f *fleet) { f.publish(clone(f.set)) },
}

// leave takes a balancer out as planned: it hands its flows over, forwards for
// a while, and ends.
func (f *fleet) leave(vm string) {
	f.setLeaving(vm)
	f.setView()
	f.handOff()
	f.advance(2 * time.Second)
	f.kill(vm)
	f.setView()
}

// Guards P1: a planned change breaks no established flow, idle or not.
func TestPlannedChangeBreaksNoFlow(t *testing.T) {
	for name, change := range plannedChanges {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 2, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 7, twoServices(), Options{})
				all := f.establish(2000)
				f.checkChange(all, 2, change)
			})
		})
	}
}

// checkChange applies changes while half of the flows carry packets.
func (f *fleet) checkChange(all []*fakeCaller, body int, changes ...func(f *fleet)) {
	busy := all[:len(all)/2]
	for _, c := range busy {
		f.after(time.Duration(f.rng.IntN(4000))*time.Millisecond, func() { c.sendUntilAnswered(body) })
	}
	f.advance(time.Second)
	for _, change := range changes {
		change(f)
	}
	f.advance(4 * time.Second)
	f.handOff()
	assert.Equal(f.t, f.countBroken(all, body+1), 0)
	assert.Equal(f.t, f.crossings, 0)
}

// Guards P1 for two changes at once, in each order, followed by a third after a pause.
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
			eachSeed(t, 2, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 7, twoServices(), Options{})
				all := f.establish(2000)
				f.checkChange(all, 2, plannedChanges[pair[0]], plannedChanges[pair[1]])
				f.checkChange(all, 4, plannedChanges["weight changed"])
			})
		})
	}
}

// Guards against a binding that names a target which a new configuration gives to another service.
func TestMovedTargetGetsNoPacketOfFormerService(t *testing.T) {
	f := newFleet(t, 1, 3, twoServices(), Options{})
	f.establish(200)
	set := clone(f.set)
	set.Targets[0].Pool = "pool-1" // the transport differs, so both services are TCP from here on
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
	assert.Equal(t, f.crossings, 0)
}
