package membership

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// SetVMs takes a VM list that was read from the platform. The list names VMs
// to probe and VMs that leave; it never makes a dead member live. A member
// that it no longer has is declared left after the list's staleness bound.
func (m *Machine) SetVMs(now time.Time, list []platform.VM) {
	listed := map[string]platform.VM{}
	for _, vm := range list {
		listed[vm.Name] = vm
	}
	clear(m.candidates)
	for _, vm := range list {
		m.noteListed(vm)
	}
	for _, name := range sortedKeys(m.members) {
		if _, ok := listed[name]; !ok {
			m.noteMissing(now, m.members[name])
		}
	}
}

func (m *Machine) noteListed(vm platform.VM) {
	if vm.Name == m.self.vm {
		m.noteSelfLeaving(vm)
		return
	}
	x := m.members[vm.Name]
	if x == nil {
		if !vm.Leaving && vm.Control.IsValid() {
			m.candidates[vm.Name] = vm.Control
		}
		return
	}
	x.listed = true
	x.missingSince = time.Time{}
	if vm.Leaving && !x.leaving && x.live() {
		x.leaving = true
		m.changed = true
		m.updates.Put(x.vm, &wire.Member{Vm: x.vm, Incarnation: x.incarnation, State: leaving})
		m.urgent = true
	}
}

func (m *Machine) noteSelfLeaving(vm platform.VM) {
	if vm.Leaving && !m.self.leaving {
		m.Leave()
	}
}

// noteMissing counts the time since the list lost a member that it had.
func (m *Machine) noteMissing(now time.Time, x *member) {
	if !x.listed && x.missingSince.IsZero() {
		return
	}
	if x.missingSince.IsZero() {
		x.missingSince = now
	}
	x.listed = false
	if now.Sub(x.missingSince) < m.cfg.ListStaleness || x.state == left {
		return
	}
	x.removed = true
	m.enterState(now, x, left)
	m.announce(x)
}

// forget drops members that have been dead or left for their retention.
func (m *Machine) forget(now time.Time) {
	for vm, x := range m.members {
		retention := m.cfg.DeadRetention
		if x.state == left {
			retention = m.cfg.LeftRetention
		}
		if !x.live() && now.Sub(x.changed) > retention {
			delete(m.members, vm)
		}
	}
}
