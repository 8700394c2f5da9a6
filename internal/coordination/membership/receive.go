package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// HandleProbe merges a received message and returns the answers.
func (d *Detector) HandleProbe(now time.Time, from netip.AddrPort, p *wire.Probe) []Outgoing {
	if p.GetSource() == "" || p.Source == d.self.vm || d.self.state == left {
		return nil
	}
	d.Merge(now, p.Updates)
	sender := d.members[p.Source]
	if sender != nil {
		sender.lastHeard = now
		sender.generation = p.GetHead().GetGeneration()
	}
	d.revokeRemoval(now, sender)
	switch p.Kind {
	case kindPing:
		d.advanceSlot(p)
		return []Outgoing{d.ack(now, from, p, sender)}
	case kindIndirect:
		return d.relayPing(now, from, p)
	case kindAck:
		return d.handleAck(now, p)
	}
	return nil
}

// ack answers a ping. A sender that is not known here as alive learns so, and
// announces itself again.
func (d *Detector) ack(now time.Time, to netip.AddrPort, p *wire.Probe, sender *member) Outgoing {
	out := d.newMessage(now, to, kindAck, p.Sequence, sender)
	if sender == nil {
		out.Probe.Updates = append(out.Probe.Updates, &wire.Member{Vm: p.Source, State: dead})
	}
	return out
}

func (d *Detector) relayPing(now time.Time, from netip.AddrPort, p *wire.Probe) []Outgoing {
	m := d.members[p.Subject]
	if m == nil {
		return nil
	}
	d.sequence++
	d.relayedProbes[d.sequence] = &relayedProbe{sequence: p.Sequence, origin: from, subject: p.Subject, sent: now}
	return []Outgoing{d.newMessage(now, m.controlAddr, kindPing, d.sequence, m)}
}

func (d *Detector) handleAck(now time.Time, p *wire.Probe) []Outgoing {
	if probe := d.pending[p.Sequence]; probe != nil && ackMatches(probe, p) {
		delete(d.pending, p.Sequence)
		return nil
	}
	r := d.relayedProbes[p.Sequence]
	if r == nil || r.subject != p.Source {
		return nil
	}
	delete(d.relayedProbes, p.Sequence)
	out := d.newMessage(now, r.origin, kindAck, r.sequence, nil)
	out.Probe.Subject = r.subject
	return []Outgoing{out}
}

// answers reports whether an ack speaks for the probed member.
func ackMatches(probe *pendingProbe, p *wire.Probe) bool {
	return p.Source == probe.vm || p.Subject == probe.vm
}

// revoke lets a member return that was declared left because the VM list
// lacked it, once the list has it again and it answers.
func (d *Detector) revokeRemoval(now time.Time, m *member) {
	if m == nil || m.state != left || !m.removed || !m.listed {
		return
	}
	m.removed = false
	m.incarnation++
	d.enterState(now, m, suspect)
	d.announce(m)
}

func sortReconnectTargets(targets []reconnectTarget) {
	slices.SortFunc(targets, func(a, b reconnectTarget) int {
		return strings.Compare(a.addr.String(), b.addr.String())
	})
}
