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

// Tick advances the detector. Call it about every 50 ms.
func (m *Machine) Tick(now time.Time) []Outgoing {
	m.checkFreeze(now)
	m.lastTick = now
	out := m.expirePending(now)
	m.expireSuspicions(now)
	if slot := m.slot(now); slot != m.lastSlot {
		m.lastSlot = slot
		m.forget(now)
		out = append(out, m.probeSlot(now, slot)...)
	}
	return append(out, m.pushUrgent(now)...)
}

// slot numbers the probe intervals by wall clock, corrected to follow the
// others, so that balancers probe different members at a time. The phase
// spreads the packets.
func (m *Machine) slot(now time.Time) int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.self.vm))
	phase := int64(h.Sum32()) % int64(m.cfg.ProbeInterval)
	return (now.UnixNano()+phase)/int64(m.cfg.ProbeInterval) + m.shift
}

// checkFreeze drops what timed out only because this balancer did not run.
func (m *Machine) checkFreeze(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) <= m.cfg.FreezeGap {
		return
	}
	m.froze = true
	m.counts.Freezes++
	clear(m.pending)
	clear(m.relays)
	for _, x := range m.suspects {
		x.deadline = now.Add(m.cfg.Suspicion)
	}
}

// expirePending asks for indirect probes and suspects members without an answer.
func (m *Machine) expirePending(now time.Time) []Outgoing {
	var out []Outgoing
	for _, seq := range sortedKeys(m.pending) {
		p := m.pending[seq]
		x := m.members[p.vm]
		age := now.Sub(p.sent)
		switch {
		case x == nil:
			delete(m.pending, seq)
		case age >= m.cfg.ProbeTimeout:
			delete(m.pending, seq)
			m.suspect(now, x)
		case age >= m.cfg.AckTimeout && !p.indirect:
			p.indirect = true
			out = append(out, m.askHelpers(now, x, seq)...)
		}
	}
	for seq, r := range m.relays {
		if now.Sub(r.sent) > m.cfg.ProbeInterval {
			delete(m.relays, seq)
		}
	}
	return out
}

func (m *Machine) askHelpers(now time.Time, x *member, seq uint64) []Outgoing {
	out := []Outgoing{m.message(now, x.control, kindPing, seq, x)}
	for _, helper := range m.sample(m.cfg.Helpers, x.vm) {
		probe := m.message(now, helper.control, kindIndirect, seq, helper)
		probe.Probe.Subject = x.vm
		out = append(out, probe)
	}
	return out
}

func (m *Machine) suspect(now time.Time, x *member) {
	if x.state != alive {
		return
	}
	m.enterState(now, x, suspect)
	m.announce(x)
}

func (m *Machine) expireSuspicions(now time.Time) {
	for _, vm := range sortedKeys(m.suspects) {
		x := m.suspects[vm]
		if !now.Before(x.deadline) {
			m.enterState(now, x, dead)
			m.announce(x)
		}
	}
}

// probeSlot probes the next member, and now and then one that is not live.
func (m *Machine) probeSlot(now time.Time, slot int64) []Outgoing {
	var out []Outgoing
	if x := m.next(slot); x != nil {
		out = append(out, m.ping(now, x))
	}
	if slot%int64(m.cfg.HealEvery) == 0 || len(m.order) == 1 {
		out = append(out, m.heal(now)...)
	}
	return out
}

// next returns the member at the distance that the slot names. Balancers with
// the same slot probe different members, and each probes all others in turn.
func (m *Machine) next(slot int64) *member {
	n := len(m.order)
	if n < 2 {
		return nil
	}
	own, _ := slices.BinarySearch(m.order, m.self.vm)
	distance := 1 + int(slot%int64(n-1))
	return m.members[m.order[(own+distance)%n]]
}

func (m *Machine) ping(now time.Time, x *member) Outgoing {
	m.sequence++
	m.pending[m.sequence] = &pending{vm: x.vm, sent: now}
	out := m.message(now, x.control, kindPing, m.sequence, x)
	out.Probe.Slot = uint32(uint16(m.lastSlot))
	return out
}

// followSlot moves the own slots forward to those of a balancer that is ahead.
// Phases make up to one slot of difference; following that would let the
// slots of all balancers run away.
func (m *Machine) followSlot(p *wire.Probe) {
	ahead := int16(uint16(p.Slot) - uint16(m.lastSlot))
	if p.Slot > 0 && ahead > 1 {
		m.shift += int64(ahead) - 1
	}
}

// heal probes one address where no live member is known: a dead member, a
// seed or a VM of the list. An answer merges partitions.
func (m *Machine) heal(now time.Time) []Outgoing {
	targets := m.healTargets()
	if len(targets) == 0 {
		return nil
	}
	to := targets[m.rng.IntN(len(targets))]
	m.sequence++
	out := m.message(now, to.addr, kindPing, m.sequence, to.member)
	out.Probe.Updates = append(out.Probe.Updates, m.self.update())
	return []Outgoing{out}
}

type healTarget struct {
	addr   netip.AddrPort
	member *member
}

func (m *Machine) healTargets() []healTarget {
	known := map[netip.AddrPort]bool{m.self.control: true}
	var targets []healTarget
	for _, x := range m.members {
		if x.state != left || x.removed && x.listed {
			if !x.live() {
				targets = append(targets, healTarget{x.control, x})
			}
			known[x.control] = true
		}
	}
	for _, addr := range m.cfg.Seeds {
		if !known[addr] {
			targets = append(targets, healTarget{addr: addr})
		}
	}
	for _, addr := range m.candidates {
		if !known[addr] {
			targets = append(targets, healTarget{addr: addr})
		}
	}
	sortHealTargets(targets)
	return targets
}

// message builds a probe with piggybacked updates. What this balancer believes
// about an addressee that it does not hold for alive always goes along, so
// that the addressee can refute.
func (m *Machine) message(now time.Time, to netip.AddrPort, kind wire.ProbeKind, seq uint64, x *member) Outgoing {
	probe := &wire.Probe{Kind: kind, Sequence: seq, Source: m.self.vm}
	probe.Updates = m.updates.Take(now, updateBudget, gossip.SendLimit(len(m.order)))
	if x != nil && x.state != alive {
		probe.Updates = append(probe.Updates, x.update())
	}
	return Outgoing{To: to, Probe: probe}
}

// pushUrgent sends news at once instead of waiting for the next probe.
func (m *Machine) pushUrgent(now time.Time) []Outgoing {
	if !m.urgent {
		return nil
	}
	m.urgent = false
	targets := m.sample(m.cfg.Fanout, "")
	for _, x := range targets {
		delete(m.pushTo, x.vm)
	}
	for _, vm := range sortedKeys(m.pushTo) {
		if x := m.members[vm]; x != nil && x.live() {
			targets = append(targets, x)
		}
	}
	clear(m.pushTo)
	return m.push(now, targets)
}

// push sends the same updates to several members.
func (m *Machine) push(now time.Time, targets []*member) []Outgoing {
	if len(targets) == 0 {
		return nil
	}
	updates := m.updates.Take(now, updateBudget, gossip.SendLimit(len(m.order)))
	var out []Outgoing
	for _, x := range targets {
		probe := &wire.Probe{Kind: kindPush, Source: m.self.vm, Updates: updates}
		out = append(out, Outgoing{To: x.control, Probe: probe})
	}
	return out
}

// Urgent asks for a push at the next tick, for news that others piggyback.
func (m *Machine) Urgent() { m.urgent = true }
