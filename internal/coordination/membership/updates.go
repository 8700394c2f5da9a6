package membership

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Merge applies member updates received in a message or an exchange.
func (d *Detector) Merge(now time.Time, members []*wire.Member) {
	for _, u := range members {
		d.apply(now, u)
	}
}

// apply merges one update into the view. An update that changes the view is queued
// for the other members.
func (d *Detector) apply(now time.Time, u *wire.Member) {
	if u.GetVm() == "" {
		return
	}
	if u.Vm == d.self.vm {
		d.applySelf(u)
		return
	}
	m := d.members[u.Vm]
	if m == nil {
		d.addMember(now, u)
		return
	}
	if u.Incarnation < m.incarnation {
		return
	}
	if statePrecedence(u.State) == 0 {
		m.lastHeard = now
	}
	higherIncarnation := u.Incarnation > m.incarnation
	d.applyGeneration(m, u, higherIncarnation)
	if higherIncarnation {
		d.applyHigherIncarnation(now, m, u)
		return
	}
	d.applySameIncarnation(now, m, u)
}

// applyGeneration updates the generation that a member has in force. Only an
// update with a higher incarnation and addresses can lower it.
func (d *Detector) applyGeneration(m *member, u *wire.Member, higherIncarnation bool) {
	if higherIncarnation && u.Control != "" || u.Generation > m.generation {
		m.generation = u.Generation
	}
}

// addMember adds a previously unknown member. It ignores members without valid
// addresses and those that are dead or left.
func (d *Detector) addMember(now time.Time, u *wire.Member) {
	m := &member{vm: u.Vm, incarnation: u.Incarnation, generation: u.Generation, stateChangedAt: now, lastHeard: now}
	if !m.setIdentity(u) || statePrecedence(u.State) >= statePrecedence(dead) {
		return
	}
	alone := len(d.liveVMs) == 1 // a joining balancer does not send back the members that it receives
	d.members[m.vm] = m
	_, m.listed = d.joinCandidates[m.vm]
	delete(d.joinCandidates, m.vm)
	d.enterState(now, m, u.State)
	if !alone {
		d.updateQueue.PutRoutine(m.vm, m.wireUpdate())
	}
}

// applyHigherIncarnation applies an update with a higher incarnation, which
// overrides every state of the lower one.
func (d *Detector) applyHigherIncarnation(now time.Time, m *member, u *wire.Member) {
	if !m.setIdentity(u) {
		return
	}
	if m.leaving != (u.State == leaving) {
		d.viewChanged = true
	}
	m.incarnation = u.Incarnation
	m.leaving = u.State == leaving
	m.removed = false
	if statePrecedence(u.State) == 0 && m.state == suspect {
		d.counts.Refutations++
	}
	if u.State == dead && m.live() {
		m.state = alive
		d.suspectDeclaredDead(now, m)
		return
	}
	d.enterState(now, m, u.State)
	d.announce(m)
}

// applySameIncarnation applies an update with the current incarnation if its state
// has precedence over the current one.
func (d *Detector) applySameIncarnation(now time.Time, m *member, u *wire.Member) {
	if u.State == leaving && !m.leaving {
		m.leaving = true
		d.viewChanged = true
		d.announce(m)
		return
	}
	if statePrecedence(u.State) <= statePrecedence(m.state) {
		return
	}
	if u.State == dead {
		d.suspectDeclaredDead(now, m)
		return
	}
	d.enterState(now, m, u.State)
	d.announce(m)
}

// suspectDeclaredDead makes a member that another balancer declared dead a suspect.
// After a partition heals, the other side still reports live members as dead, and
// they need time to refute that. Half of SuspicionTimeout is enough, because the
// declaring balancer has already waited.
func (d *Detector) suspectDeclaredDead(now time.Time, m *member) {
	if m.state == suspect {
		return
	}
	d.enterState(now, m, suspect)
	m.suspicionDeadline = now.Add(d.cfg.SuspicionTimeout / 2)
	d.announce(m)
}

// meanRejoinExchanges is the mean number of members that start an exchange with a
// member that became alive again. If all did, a restarted balancer would have to
// answer the whole fleet.
const meanRejoinExchanges = 3

// enterState sets the state of a member and updates the live members, suspects and
// counters accordingly.
func (d *Detector) enterState(now time.Time, m *member, state wire.MemberState) {
	if state == leaving || state == wire.MemberState_MEMBER_STATE_UNSPECIFIED {
		m.leaving = m.leaving || state == leaving
		state = alive
	}
	wasDead := m.state == dead
	m.state = state
	m.stateChangedAt = now
	delete(d.suspects, m.vm)
	switch state {
	case alive:
		if wasDead && d.rng.IntN(len(d.liveVMs)) < meanRejoinExchanges {
			d.rejoined = append(d.rejoined, m.controlAddr)
		}
		d.addLive(m.vm)
	case suspect:
		d.suspects[m.vm] = m
		m.suspicionDeadline = now.Add(d.cfg.SuspicionTimeout)
		d.counts.Suspicions++
		d.pushRecipients[m.vm] = true
		d.addLive(m.vm)
	case dead:
		d.counts.Deaths++
		d.removeLive(m.vm)
	case left:
		d.removeLive(m.vm)
	}
}

// applySelf processes an update about this balancer. If the update declares it
// suspect or dead, or has a higher incarnation, this balancer announces itself again with
// an incarnation above that of the update.
func (d *Detector) applySelf(u *wire.Member) {
	if d.self.state == left {
		return
	}
	if u.State == leaving && u.Incarnation == d.self.incarnation {
		if !d.self.leaving {
			d.self.leaving = true
			d.viewChanged = true
			d.announce(d.self)
		}
		return
	}
	if u.State == left {
		// This VM is missing from the VM list. Only the balancers that read the
		// list can revoke the removal.
		d.removed = d.removed || u.Incarnation >= d.self.incarnation
		return
	}
	refutable := u.State == suspect || u.State == dead
	if !refutable && u.Incarnation <= d.self.incarnation {
		return
	}
	d.removed = false
	if u.Incarnation >= d.self.incarnation {
		d.self.incarnation = u.Incarnation + 1
	}
	d.announce(d.self)
}

// AnnounceLeaving announces that this balancer will shut down. It remains a member
// that forwards packets but owns no shards.
func (d *Detector) AnnounceLeaving() {
	if d.self.leaving {
		return
	}
	d.self.leaving = true
	d.self.incarnation++
	d.viewChanged = true
	d.announce(d.self)
}

// AnnounceLeft announces that this balancer has left and returns the last messages
// to send.
func (d *Detector) AnnounceLeft(now time.Time) []Outgoing {
	d.self.state = left
	d.announce(d.self)
	return d.push(now, d.randomLiveMembers(2*d.cfg.PushFanout, ""))
}
