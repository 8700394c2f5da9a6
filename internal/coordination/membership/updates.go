package membership

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Merge applies members learned from an exchange.
func (m *Machine) Merge(now time.Time, members []*wire.Member) {
	for _, u := range members {
		m.apply(now, u)
	}
}

// apply merges one update and queues it again if it was news.
func (m *Machine) apply(now time.Time, u *wire.Member) {
	if u.GetVm() == "" {
		return
	}
	if u.Vm == m.self.vm {
		m.applySelf(u)
		return
	}
	x := m.members[u.Vm]
	if x == nil {
		m.add(now, u)
		return
	}
	if u.Incarnation < x.incarnation {
		return
	}
	if severity(u.State) == 0 {
		x.heard = now
	}
	newer := u.Incarnation > x.incarnation
	m.applyGeneration(x, u, newer)
	if newer {
		m.applyNewer(now, x, u)
		return
	}
	m.applyEqual(now, x, u)
}

func (m *Machine) applyGeneration(x *member, u *wire.Member, newer bool) {
	if newer && u.Control != "" || u.Generation > x.generation {
		x.generation = u.Generation
	}
}

// add creates a member that was unknown. Without addresses, or dead or left,
// there is nothing to keep.
func (m *Machine) add(now time.Time, u *wire.Member) {
	x := &member{vm: u.Vm, incarnation: u.Incarnation, generation: u.Generation, changed: now, heard: now}
	if !x.setIdentity(u) || severity(u.State) >= severity(dead) {
		return
	}
	alone := len(m.order) == 1 // a balancer that joins tells nobody what it is told
	m.members[x.vm] = x
	_, x.listed = m.candidates[x.vm]
	delete(m.candidates, x.vm)
	m.enterState(now, x, u.State)
	if !alone {
		m.updates.PutRoutine(x.vm, x.update())
	}
}

// applyNewer takes over a higher incarnation, which overrides every state.
func (m *Machine) applyNewer(now time.Time, x *member, u *wire.Member) {
	if !x.setIdentity(u) {
		return
	}
	if x.leaving != (u.State == leaving) {
		m.changed = true
	}
	x.incarnation = u.Incarnation
	x.leaving = u.State == leaving
	x.removed = false
	if severity(u.State) == 0 && x.state == suspect {
		m.counts.Refutations++
	}
	if u.State == dead && x.live() {
		x.state = alive
		m.doubt(now, x)
		return
	}
	m.enterState(now, x, u.State)
	m.announce(x)
}

// applyEqual takes over a more severe state of the same incarnation.
func (m *Machine) applyEqual(now time.Time, x *member, u *wire.Member) {
	if u.State == leaving && !x.leaving {
		x.leaving = true
		m.changed = true
		m.announce(x)
		return
	}
	if severity(u.State) <= severity(x.state) {
		return
	}
	if u.State == dead {
		m.doubt(now, x)
		return
	}
	m.enterState(now, x, u.State)
	m.announce(x)
}

// doubt treats the death that another balancer declared as a suspicion. After
// a partition the other side still calls live members dead, and they must get
// the time to refute. Half of the usual time is enough, as the declaring
// balancer waited before.
func (m *Machine) doubt(now time.Time, x *member) {
	if x.state == suspect {
		return
	}
	m.enterState(now, x, suspect)
	x.deadline = now.Add(m.cfg.Suspicion / 2)
	m.announce(x)
}

// enterState moves a member into a state.
func (m *Machine) enterState(now time.Time, x *member, state wire.MemberState) {
	if state == leaving || state == wire.MemberState_MEMBER_STATE_UNSPECIFIED {
		x.leaving = x.leaving || state == leaving
		state = alive
	}
	wasDead := x.state == dead
	x.state = state
	x.changed = now
	delete(m.suspects, x.vm)
	switch state {
	case alive:
		if wasDead {
			m.healed = append(m.healed, x.control)
		}
		m.enter(x.vm)
	case suspect:
		m.suspects[x.vm] = x
		x.deadline = now.Add(m.cfg.Suspicion)
		m.counts.Suspicions++
		m.pushTo[x.vm] = true
		m.enter(x.vm)
	case dead:
		m.counts.Deaths++
		m.exit(x.vm)
	case left:
		m.exit(x.vm)
	}
}

// applySelf refutes what others say about this balancer.
func (m *Machine) applySelf(u *wire.Member) {
	if m.self.state == left {
		return
	}
	if u.State == leaving && u.Incarnation == m.self.incarnation {
		if !m.self.leaving {
			m.self.leaving = true
			m.changed = true
			m.announce(m.self)
		}
		return
	}
	if u.State == left {
		// The VM list lacks this VM. Only the readers of the list can revoke that.
		m.removed = m.removed || u.Incarnation >= m.self.incarnation
		return
	}
	wrong := u.State == suspect || u.State == dead
	if !wrong && u.Incarnation <= m.self.incarnation {
		return
	}
	m.removed = false
	if u.Incarnation >= m.self.incarnation {
		m.self.incarnation = u.Incarnation + 1
	}
	m.announce(m.self)
}

// Leave announces the planned leave of this balancer. It stays a member that
// forwards packets but owns nothing.
func (m *Machine) Leave() {
	if m.self.leaving {
		return
	}
	m.self.leaving = true
	m.self.incarnation++
	m.changed = true
	m.announce(m.self)
}

// Left announces the end of this balancer and returns the last messages to send.
func (m *Machine) Left(now time.Time) []Outgoing {
	m.self.state = left
	m.announce(m.self)
	return m.push(now, m.sample(2*m.cfg.Fanout, ""))
}
