package membership

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// SetVMs applies a VM list that was read from the platform. The list supplies VMs to
// probe and marks VMs as leaving; it never makes a dead member live. A member that
// disappears from the list is declared left after MaxListStaleness.
func (d *Detector) SetVMs(now time.Time, list []platform.VM) {
	listed := map[string]platform.VM{}
	for _, vm := range list {
		listed[vm.Name] = vm
	}
	clear(d.joinCandidates)
	for _, vm := range list {
		d.handleListed(vm)
	}
	for _, name := range sortedKeys(d.members) {
		if _, ok := listed[name]; !ok {
			d.handleMissing(now, d.members[name])
		}
	}
}

// handleListed processes a VM that is in the list.
func (d *Detector) handleListed(vm platform.VM) {
	if vm.Name == d.self.vm {
		d.handleSelfLeaving(vm)
		return
	}
	m := d.members[vm.Name]
	if m == nil {
		if !vm.Leaving && vm.ControlAddress.IsValid() {
			d.joinCandidates[vm.Name] = vm.ControlAddress
		}
		return
	}
	m.listed = true
	m.missingSince = time.Time{}
	if vm.Leaving && !m.leaving && m.live() {
		m.leaving = true
		d.viewChanged = true
		d.updateQueue.Put(m.vm, &wire.Member{Vm: m.vm, Incarnation: m.incarnation, State: leaving})
		d.pushNeeded = true
	}
}

func (d *Detector) handleSelfLeaving(vm platform.VM) {
	if vm.Leaving && !d.self.leaving {
		d.AnnounceLeaving()
	}
}

// handleMissing processes a member that is missing from the list. Members that were
// never listed are not affected.
func (d *Detector) handleMissing(now time.Time, m *member) {
	if !m.listed && m.missingSince.IsZero() {
		return
	}
	if m.missingSince.IsZero() {
		m.missingSince = now
	}
	m.listed = false
	if now.Sub(m.missingSince) < d.cfg.MaxListStaleness || m.state == left {
		return
	}
	m.removed = true
	d.enterState(now, m, left)
	d.announce(m)
}

// evictExpired removes members that have been dead or left for longer than their
// retention.
func (d *Detector) evictExpired(now time.Time) {
	for vm, m := range d.members {
		retention := d.cfg.DeadRetention
		if m.state == left {
			retention = d.cfg.LeftRetention
		}
		if !m.live() && now.Sub(m.stateChangedAt) > retention {
			delete(d.members, vm)
		}
	}
}
