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

// member is the state of one balancer in the local view. state is alive, suspect, dead or left.
// leaving is a separate field because a leaving member can also be suspected.
type member struct {
	vm          string
	place       string
	dataAddr    netip.AddrPort
	controlAddr netip.AddrPort
	incarnation uint64
	state       wire.MemberState
	leaving     bool
	generation  uint64

	stateChangedAt    time.Time // last change of state
	lastHeard         time.Time // last message from it, or update that reports it alive
	suspicionDeadline time.Time // a suspected member is declared dead at this time

	listed       bool      // it is in the latest VM list
	missingSince time.Time // time of the first VM list without it that followed one with it
	removed      bool      // declared left because it is missing from the VM list
}

func (m *member) live() bool { return m.state == alive || m.state == suspect }

// statePrecedence ranks the states of one incarnation. Of two updates for the same
// incarnation, the one with the higher precedence wins.
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

// wireUpdate returns the wire form. Place and addresses are included only for a
// member in state alive.
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

// fullWireUpdate returns the wire form with place, addresses and generation.
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

// setIdentity copies place and addresses from an update that contains them. It
// returns false if the member has no valid addresses afterwards, or the update's
// addresses are invalid.
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

// stateHash hashes the fields on which two views must agree: name, incarnation and
// leaving.
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
