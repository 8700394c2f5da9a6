package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// HandleProbe merges a received message and returns the answers.
func (m *Machine) HandleProbe(now time.Time, from netip.AddrPort, p *wire.Probe) []Outgoing {
	if p.GetSource() == "" || p.Source == m.self.vm || m.self.state == left {
		return nil
	}
	m.Merge(now, p.Updates)
	sender := m.members[p.Source]
	if sender != nil {
		sender.heard = now
		sender.generation = p.GetHead().GetGeneration()
	}
	m.revoke(now, sender)
	switch p.Kind {
	case kindPing:
		m.followSlot(p)
		return []Outgoing{m.ack(now, from, p, sender)}
	case kindIndirect:
		return m.relayPing(now, from, p)
	case kindAck:
		return m.handleAck(now, p)
	}
	return nil
}

// ack answers a ping. A sender that is not known here as alive learns so, and
// announces itself again.
func (m *Machine) ack(now time.Time, to netip.AddrPort, p *wire.Probe, sender *member) Outgoing {
	out := m.message(now, to, kindAck, p.Sequence, sender)
	if sender == nil {
		out.Probe.Updates = append(out.Probe.Updates, &wire.Member{Vm: p.Source, State: dead})
	}
	return out
}

func (m *Machine) relayPing(now time.Time, from netip.AddrPort, p *wire.Probe) []Outgoing {
	x := m.members[p.Subject]
	if x == nil {
		return nil
	}
	m.sequence++
	m.relays[m.sequence] = &relayed{sequence: p.Sequence, origin: from, subject: p.Subject, sent: now}
	return []Outgoing{m.message(now, x.control, kindPing, m.sequence, x)}
}

func (m *Machine) handleAck(now time.Time, p *wire.Probe) []Outgoing {
	if waiting := m.pending[p.Sequence]; waiting != nil && answers(waiting, p) {
		delete(m.pending, p.Sequence)
		return nil
	}
	r := m.relays[p.Sequence]
	if r == nil || r.subject != p.Source {
		return nil
	}
	delete(m.relays, p.Sequence)
	out := m.message(now, r.origin, kindAck, r.sequence, nil)
	out.Probe.Subject = r.subject
	return []Outgoing{out}
}

// answers reports whether an ack speaks for the probed member.
func answers(waiting *pending, p *wire.Probe) bool {
	return p.Source == waiting.vm || p.Subject == waiting.vm
}

// revoke lets a member return that was declared left because the VM list
// lacked it, once the list has it again and it answers.
func (m *Machine) revoke(now time.Time, x *member) {
	if x == nil || x.state != left || !x.removed || !x.listed {
		return
	}
	x.removed = false
	x.incarnation++
	m.enterState(now, x, suspect)
	m.announce(x)
}

func sortHealTargets(targets []healTarget) {
	slices.SortFunc(targets, func(a, b healTarget) int {
		return strings.Compare(a.addr.String(), b.addr.String())
	})
}
