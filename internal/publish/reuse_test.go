package publish

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// modelBalancer models the actual state of a balancer and the state that the fleet knows.
type modelBalancer struct {
	generation         uint64 // of the configuration in use
	reportedGeneration uint64
	partitioned        bool // still forwards, but neither receives configurations nor reports
	listed             bool
	lastHeard          time.Duration
	unlistedAt         time.Duration // time of removal from the VM list
}

// maxListLag is the maximum lag of the VM list.
const maxListLag = 30 * time.Second

// left reports whether the fleet has declared the balancer left, because it is missing from
// the VM list.
func (b *modelBalancer) left(now time.Duration) bool {
	return b.partitioned && !b.listed && now-b.unlistedAt >= maxListLag
}

// mayForward reports whether the balancer may still forward packets.
func (b *modelBalancer) mayForward(now time.Duration) bool {
	return b.listed || now-b.unlistedAt < maxListLag || now-b.lastHeard < SilenceTimeout
}

type reuseModel struct {
	now       time.Duration
	balancers []*modelBalancer
	sets      []objects.Set // by generation
}

func (m *reuseModel) fleet() Fleet {
	f := Fleet{Available: true}
	for i, b := range m.balancers {
		vm := fmt.Sprintf("m%d", i)
		f.Members = append(f.Members, Member{VM: vm, Live: !b.partitioned, Left: b.left(m.now), Generation: b.reportedGeneration, HeardAge: m.now - b.lastHeard})
		if b.listed {
			f.VMs = append(f.VMs, platform.VM{Name: vm})
		}
	}
	return f
}

// misroutedAddresses describes the addresses to which a balancer that may still forward sends
// packets of another service than the newest generation assigns.
func (m *reuseModel) misroutedAddresses() []string {
	var misrouted []string
	newest := servicesByAddress(m.sets[len(m.sets)-1])
	for i, b := range m.balancers {
		if !b.mayForward(m.now) {
			continue
		}
		for address, service := range servicesByAddress(m.sets[b.generation]) {
			if current, used := newest[address]; used && current.Name != service.Name {
				misrouted = append(misrouted, fmt.Sprintf("m%d with generation %d forwards packets of %s to %s, which now belongs to %s", i, b.generation, service.Name, address, current.Name))
			}
		}
	}
	return misrouted
}

// step simulates one event: a balancer applies the newest generation, is partitioned, is
// reachable again or leaves the VM list, or time passes.
func (m *reuseModel) step(t *rapid.T) {
	b := m.balancers[rapid.IntRange(0, len(m.balancers)-1).Draw(t, "balancer")]
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		if !b.partitioned {
			b.generation = uint64(len(m.sets) - 1)
		}
	case 1:
		b.partitioned = true
	case 2:
		if b.mayForward(m.now) && b.listed {
			b.partitioned = false
		}
	case 3:
		if b.partitioned && b.listed {
			b.listed, b.unlistedAt = false, m.now
		}
	case 4:
		m.now += time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second
	}
	for _, b := range m.balancers {
		if !b.partitioned {
			b.reportedGeneration, b.lastHeard = b.generation, m.now
		}
	}
}

// Guards against an accepted publish that assigns a target address to a service while a
// balancer that may still run forwards packets of another service to it.
func TestAddressReuseNeverMisroutes(t *testing.T) {
	publishesWithTargets := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPublisher(newFakeStore())
		m := &reuseModel{sets: []objects.Set{{}}}
		for range 3 {
			m.balancers = append(m.balancers, &modelBalancer{listed: true})
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "event first") {
				m.step(t)
			}
			var targets []string
			for address := 1; address <= 2; address++ {
				if pool := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "pool"); pool != "" {
					targets = append(targets, fmt.Sprintf("%s:%d", pool, address))
				}
			}
			plan, err := p.Plan(ctx, Request{Set: twoServices(targets...), Operator: "ann"}, m.fleet())
			assert.NilError(t, err)
			if r := p.Commit(ctx, plan); r.Outcome != OutcomeAccepted || r.AlreadyPublished {
				continue
			}
			m.sets = append(m.sets, plan.after)
			assert.Equal(t, len(m.misroutedAddresses()), 0, "%v", m.misroutedAddresses())
			if len(targets) > 0 {
				publishesWithTargets++
			}
		}
	})
	assert.Assert(t, publishesWithTargets > 100, "only %d publishes with targets were accepted; expected more than 100", publishesWithTargets)
}
