package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

const (
	alive   = wire.MemberState_MEMBER_STATE_ALIVE
	suspect = wire.MemberState_MEMBER_STATE_SUSPECT
	dead    = wire.MemberState_MEMBER_STATE_DEAD
	leaving = wire.MemberState_MEMBER_STATE_LEAVING
	left    = wire.MemberState_MEMBER_STATE_LEFT
)

// member is what this balancer knows about one VM. state is alive, suspect,
// dead or left; leaving is kept apart because a leaving member can be suspected.
type member struct {
	vm          string
	place       string
	dataAddr    netip.AddrPort
	controlAddr netip.AddrPort
	incarnation uint64
	state       wire.MemberState
	leaving     bool
	generation  uint64

	stateChangedAt    time.Time // when state changed
	lastHeard         time.Time // last message from it or news about it
	suspicionDeadline time.Time // end of the suspicion

	listed       bool      // the last VM list has it
	missingSince time.Time // first VM list without it after one with it
	removed      bool      // declared left because the VM list lacks it
}

func (m *member) live() bool { return m.state == alive || m.state == suspect }

// severity orders the states that one incarnation can pass through.
func statePrecedence(s wire.MemberState) int {
	switch s {
	case suspect:
		return 1
	case dead:
		return 2
	case left:
		return 3
	}
	return 0
}

// update returns the wire form. Addresses are needed only for a live member.
func (m *member) wireUpdate() *wire.Member {
	u := &wire.Member{Vm: m.vm, Incarnation: m.incarnation, State: m.state}
	if m.state == alive && m.leaving {
		u.State = leaving
	}
	if m.state == alive {
		m.addIdentity(u)
	}
	return u
}

// full returns the wire form with addresses and generation.
func (m *member) fullWireUpdate() *wire.Member {
	u := m.wireUpdate()
	m.addIdentity(u)
	u.Generation = m.generation
	return u
}

func (m *member) addIdentity(u *wire.Member) {
	u.Place = m.place
	u.Data = m.dataAddr.String()
	u.Control = m.controlAddr.String()
}

// setIdentity takes place and addresses from an update that has them.
func (m *member) setIdentity(u *wire.Member) bool {
	if u.Control == "" {
		return m.controlAddr.IsValid()
	}
	control, err := netip.ParseAddrPort(u.Control)
	if err != nil {
		return false
	}
	data, err := netip.ParseAddrPort(u.Data)
	if err != nil {
		return false
	}
	m.place, m.dataAddr, m.controlAddr = u.Place, data, control
	return true
}

func (m *member) nameHash() uint64 { return xxhash.Sum64String(m.vm) }

// viewHash covers what two views must agree on: incarnation and leaving.
func (m *member) stateHash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(m.vm)
	flag := byte(0)
	if m.leaving {
		flag = 1
	}
	raw := [9]byte{flag}
	for i := range 8 {
		raw[1+i] = byte(m.incarnation >> (8 * i))
	}
	_, _ = h.Write(raw[:])
	return h.Sum64()
}
