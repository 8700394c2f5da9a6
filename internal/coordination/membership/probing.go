package membership

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination/gossip"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

const (
	kindPing     = wire.ProbeKind_PROBE_KIND_PING
	kindAck      = wire.ProbeKind_PROBE_KIND_ACK
	kindIndirect = wire.ProbeKind_PROBE_KIND_INDIRECT_PING
	kindPush     = wire.ProbeKind_PROBE_KIND_PUSH
)

// Tick runs everything that is due and returns the messages to send. It has to be
// called about every 50 ms.
func (d *Detector) Tick(now time.Time) []Outgoing {
	d.detectFreeze(now)
	d.lastTick = now
	out := d.expirePending(now)
	d.expireSuspicions(now)
	if slot := d.slot(now); slot != d.lastSlot {
		d.lastSlot = slot
		d.evictExpired(now)
		out = append(out, d.probeForSlot(now, slot)...)
	}
	return append(out, d.pushUrgent(now)...)
}

// slot returns the number of the current probe interval. It follows the wall
// clock, plus an offset that keeps it in step with other balancers, so that
// balancers probe different members at the same time. A per-VM phase spreads the
// packets over the interval.
func (d *Detector) slot(now time.Time) int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(d.self.vm))
	phase := int64(h.Sum32()) % int64(d.cfg.ProbeInterval)
	return (now.UnixNano()+phase)/int64(d.cfg.ProbeInterval) + d.slotOffset
}

// detectFreeze checks whether this process was suspended since the last tick. If
// so, it discards outstanding probes and restarts suspicion timeouts, which would
// otherwise expire only because this balancer did not process answers.
func (d *Detector) detectFreeze(now time.Time) {
	if d.lastTick.IsZero() || now.Sub(d.lastTick) <= d.cfg.FreezeThreshold {
		return
	}
	d.freezeDetected = true
	d.counts.Freezes++
	clear(d.pending)
	clear(d.relayedProbes)
	for _, m := range d.suspects {
		m.suspicionDeadline = now.Add(d.cfg.SuspicionTimeout)
	}
}

// expirePending requests indirect probes for members that did not answer within
// AckTimeout, and suspects those without any ack within ProbeTimeout.
func (d *Detector) expirePending(now time.Time) []Outgoing {
	var out []Outgoing
	for _, seq := range sortedKeys(d.pending) {
		p := d.pending[seq]
		m := d.members[p.vm]
		age := now.Sub(p.sent)
		switch {
		case m == nil:
			delete(d.pending, seq)
		case age >= d.cfg.ProbeTimeout:
			delete(d.pending, seq)
			d.markSuspect(now, m)
		case age >= d.cfg.AckTimeout && !p.indirectRequested:
			p.indirectRequested = true
			out = append(out, d.requestIndirectProbes(now, m, seq)...)
		}
	}
	for seq, r := range d.relayedProbes {
		if now.Sub(r.sent) > d.cfg.ProbeInterval {
			delete(d.relayedProbes, seq)
		}
	}
	return out
}

// requestIndirectProbes repeats the direct probe of a member and asks random other
// members to probe it.
func (d *Detector) requestIndirectProbes(now time.Time, m *member, seq uint64) []Outgoing {
	out := []Outgoing{d.newMessage(now, m.controlAddr, kindPing, seq, m)}
	for _, prober := range d.randomLiveMembers(d.cfg.IndirectProbers, m.vm) {
		request := d.newMessage(now, prober.controlAddr, kindIndirect, seq, prober)
		request.Probe.Subject = m.vm
		out = append(out, request)
	}
	return out
}

func (d *Detector) markSuspect(now time.Time, m *member) {
	if m.state != alive {
		return
	}
	d.enterState(now, m, suspect)
	d.announce(m)
}

func (d *Detector) expireSuspicions(now time.Time) {
	for _, vm := range sortedKeys(d.suspects) {
		m := d.suspects[vm]
		if !now.Before(m.suspicionDeadline) {
			d.enterState(now, m, dead)
			d.announce(m)
		}
	}
}

// probeForSlot probes the member assigned to the slot and, at a lower rate, an
// address without a live member.
func (d *Detector) probeForSlot(now time.Time, slot int64) []Outgoing {
	var out []Outgoing
	if m := d.memberForSlot(slot); m != nil {
		out = append(out, d.ping(now, m))
	}
	if slot%int64(d.cfg.ReconnectProbeIntervals) == 0 || len(d.liveVMs) == 1 {
		out = append(out, d.reconnect(now)...)
	}
	return out
}

// memberForSlot returns the member to probe in a slot. The slot number sets the
// distance from this balancer in the sorted list of live members. Balancers in the
// same slot therefore probe different members, and each probes all others in turn.
func (d *Detector) memberForSlot(slot int64) *member {
	n := len(d.liveVMs)
	if n < 2 {
		return nil
	}
	own, _ := slices.BinarySearch(d.liveVMs, d.self.vm)
	distance := 1 + int(slot%int64(n-1))
	return d.members[d.liveVMs[(own+distance)%n]]
}

func (d *Detector) ping(now time.Time, m *member) Outgoing {
	d.sequence++
	d.pending[d.sequence] = &pendingProbe{vm: m.vm, sent: now}
	out := d.newMessage(now, m.controlAddr, kindPing, d.sequence, m)
	out.Probe.Slot = uint32(uint16(d.lastSlot))
	return out
}

// advanceSlot moves the local slot number forward if the sender of a probe is
// ahead. It leaves a difference of one slot, which the phases alone can cause:
// balancers that corrected it would keep advancing each other.
func (d *Detector) advanceSlot(p *wire.Probe) {
	ahead := int16(uint16(p.Slot) - uint16(d.lastSlot))
	if p.Slot > 0 && ahead > 1 {
		d.slotOffset += int64(ahead) - 1
	}
}

// reconnect probes one random address at which no live member is known: that of a
// dead member, a seed or a listed VM. If it answers, separated partitions merge.
func (d *Detector) reconnect(now time.Time) []Outgoing {
	targets := d.reconnectTargets()
	if len(targets) == 0 {
		return nil
	}
	to := targets[d.rng.IntN(len(targets))]
	d.sequence++
	out := d.newMessage(now, to.addr, kindPing, d.sequence, to.member)
	out.Probe.Updates = append(out.Probe.Updates, d.self.wireUpdate())
	return []Outgoing{out}
}

// reconnectTarget is an address at which no live member is known.
type reconnectTarget struct {
	addr   netip.AddrPort
	member *member // nil for a seed or a listed VM
}

// reconnectTargets returns the control addresses of dead members, of removed
// members that the VM list contains again, of seeds and of listed VMs that are not
// members, sorted by address.
func (d *Detector) reconnectTargets() []reconnectTarget {
	known := map[netip.AddrPort]bool{d.self.controlAddr: true}
	var targets []reconnectTarget
	for _, m := range d.members {
		if m.state != left || m.removed && m.listed {
			if !m.live() {
				targets = append(targets, reconnectTarget{m.controlAddr, m})
			}
			known[m.controlAddr] = true
		}
	}
	for _, addr := range d.cfg.SeedAddrs {
		if !known[addr] {
			targets = append(targets, reconnectTarget{addr: addr})
		}
	}
	for _, addr := range d.joinCandidates {
		if !known[addr] {
			targets = append(targets, reconnectTarget{addr: addr})
		}
	}
	sortReconnectTargets(targets)
	return targets
}

// newMessage builds a message with piggybacked updates. If the recipient's state
// is not alive in the local view, the message always includes that state, so that
// the recipient can refute it.
func (d *Detector) newMessage(now time.Time, to netip.AddrPort, kind wire.ProbeKind, seq uint64, m *member) Outgoing {
	probe := &wire.Probe{Kind: kind, Sequence: seq, Source: d.self.vm}
	probe.Updates = d.updateQueue.NextUpdates(now, maxUpdateBytes, gossip.SendLimit(len(d.liveVMs)))
	if m != nil && m.state != alive {
		probe.Updates = append(probe.Updates, m.wireUpdate())
	}
	return Outgoing{To: to, Probe: probe}
}

// pushUrgent sends updates at once, if a push was requested, instead of waiting for
// the next probe. Besides random members it sends to those that the updates concern.
func (d *Detector) pushUrgent(now time.Time) []Outgoing {
	if !d.pushNeeded {
		return nil
	}
	d.pushNeeded = false
	targets := d.randomLiveMembers(d.cfg.PushFanout, "")
	for _, m := range targets {
		delete(d.pushRecipients, m.vm)
	}
	for _, vm := range sortedKeys(d.pushRecipients) {
		if m := d.members[vm]; m != nil && m.live() {
			targets = append(targets, m)
		}
	}
	clear(d.pushRecipients)
	return d.push(now, targets)
}

// push returns messages with the same updates for several members.
func (d *Detector) push(now time.Time, targets []*member) []Outgoing {
	if len(targets) == 0 {
		return nil
	}
	updates := d.updateQueue.NextUpdates(now, maxUpdateBytes, gossip.SendLimit(len(d.liveVMs)))
	var out []Outgoing
	for _, m := range targets {
		probe := &wire.Probe{Kind: kindPush, Source: d.self.vm, Updates: updates}
		out = append(out, Outgoing{To: m.controlAddr, Probe: probe})
	}
	return out
}

// RequestPush makes the next tick push messages. It is for urgent
// data of other packages that is piggybacked on the detector's messages.
func (d *Detector) RequestPush() { d.pushNeeded = true }
