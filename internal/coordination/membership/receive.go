package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// HandleProbe processes a received message and returns the messages to send in
// response.
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

// ack answers a ping. A sender that is unknown or not alive in the local view finds
// that state in the ack and announces itself again.
func (d *Detector) ack(now time.Time, to netip.AddrPort, p *wire.Probe, sender *member) Outgoing {
	out := d.newMessage(now, to, kindAck, p.Sequence, sender)
	if sender == nil {
		out.Probe.Updates = append(out.Probe.Updates, &wire.Member{Vm: p.Source, State: dead})
	}
	return out
}

// relayPing probes a member on behalf of the balancer that requested it.
func (d *Detector) relayPing(now time.Time, from netip.AddrPort, p *wire.Probe) []Outgoing {
	m := d.members[p.Subject]
	if m == nil {
		return nil
	}
	d.sequence++
	d.relayedProbes[d.sequence] = &relayedProbe{sequence: p.Sequence, origin: from, subject: p.Subject, sent: now}
	return []Outgoing{d.newMessage(now, m.controlAddr, kindPing, d.sequence, m)}
}

// handleAck completes a pending direct probe, or forwards the ack of a relayed
// probe to the balancer that requested it.
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

// ackMatches reports whether an ack was sent or relayed for the probed member.
func ackMatches(probe *pendingProbe, p *wire.Probe) bool {
	return p.Source == probe.vm || p.Subject == probe.vm
}

// revokeRemoval readmits a member that was declared left because it was missing from
// the VM list, once it is listed again and a message from it arrives. The member
// enters as suspect under a higher incarnation, which it has to refute.
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
