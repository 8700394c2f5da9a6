package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/gossip"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// updateBudget bounds the member updates of one probe, in bytes.
const updateBudget = 400

// Outgoing is a message to send.
type Outgoing struct {
	To    netip.AddrPort
	Probe *wire.Probe
}

// pending is a direct probe that waits for its ack.
type pending struct {
	vm       string
	sent     time.Time
	indirect bool
}

// relayed is an indirect probe that this balancer makes for another.
type relayed struct {
	sequence uint64
	origin   netip.AddrPort
	subject  string
	sent     time.Time
}

// Machine is the failure detector of one balancer. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	self    *member
	members map[string]*member // without self
	updates *gossip.Queue[*wire.Member]

	sequence   uint64
	pending    map[uint64]*pending
	relays     map[uint64]*relayed
	candidates map[string]netip.AddrPort // listed VMs that are not members

	lastTick time.Time
	lastSlot int64
	shift    int64 // added to the slots of the own clock to follow other balancers
	urgent   bool
	suspects map[string]*member
	pushTo   map[string]bool // members that must hear of an update about themselves
	order    []string        // live members with self, ordered by name
	changed  bool            // the view changed since ViewChanged
	froze    bool
	removed  bool             // others declared this balancer left
	healed   []netip.AddrPort // members that came back from the dead
	counts   Counts
}

// Counts are running totals for the metrics.
type Counts struct {
	Suspicions  uint64
	Deaths      uint64
	Refutations uint64
	Freezes     uint64
}

// New returns a detector whose view holds this balancer alone.
func New(cfg Config, now time.Time) *Machine {
	cfg.setDefaults()
	m := &Machine{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0x6d656d62)),
		members:    map[string]*member{},
		updates:    gossip.NewQueue[*wire.Member](),
		pending:    map[uint64]*pending{},
		relays:     map[uint64]*relayed{},
		candidates: map[string]netip.AddrPort{},
		suspects:   map[string]*member{},
		pushTo:     map[string]bool{},
		changed:    true,
	}
	m.self = &member{
		vm: cfg.VM, place: cfg.Place, data: cfg.Data, control: cfg.Control,
		incarnation: cfg.Incarnation, state: alive, changed: now,
	}
	m.order = []string{cfg.VM}
	m.sequence = m.rng.Uint64() >> 40 // short on the wire, and unlike an earlier process's
	m.announce(m.self)
	return m
}

// announce queues the current state of a member for all others.
func (m *Machine) announce(x *member) {
	m.updates.Put(x.vm, x.update())
	m.urgent = true
}

// SetGeneration records the generation in force at this balancer.
func (m *Machine) SetGeneration(generation uint64) { m.self.generation = generation }

// ViewChanged reports whether the view changed since the last call.
func (m *Machine) ViewChanged() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Froze reports whether a freeze was seen since the last call.
func (m *Machine) Froze() bool {
	froze := m.froze
	m.froze = false
	return froze
}

// Healed returns control addresses of members that came back since the last
// call. An exchange with them merges views after a partition.
func (m *Machine) Healed() []netip.AddrPort {
	healed := m.healed
	m.healed = nil
	return healed
}

// Removed reports whether the others declared that this balancer left,
// because the VM list lacks it.
func (m *Machine) Removed() bool { return m.removed }

// Counts returns the running totals.
func (m *Machine) Counts() Counts { return m.counts }

// View returns the live members, this balancer included, ordered by VM name.
func (m *Machine) View() coordination.View {
	var view coordination.View
	for _, vm := range m.order {
		x := m.lookup(vm)
		view.Members = append(view.Members, coordination.Member{
			VM: x.vm, Place: x.place, DataAddress: x.data, Leaving: x.leaving,
		})
	}
	return view
}

// Live returns the number of live members, this balancer included.
func (m *Machine) Live() int { return len(m.order) }

// Members returns all known members, this balancer included, ordered by name.
func (m *Machine) Members() []*wire.Member {
	list := []*wire.Member{m.self.full()}
	for _, x := range m.members {
		list = append(list, x.full())
	}
	slices.SortFunc(list, func(a, b *wire.Member) int { return strings.Compare(a.Vm, b.Vm) })
	return list
}

// StatusMembers returns Members with the time since this balancer last heard of each.
func (m *Machine) StatusMembers(now time.Time) []*wire.Member {
	list := m.Members()
	for _, u := range list {
		if x := m.members[u.Vm]; x != nil {
			u.HeardAgeSeconds = now.Sub(x.heard).Seconds()
		}
	}
	return list
}

// Control returns the control address of a live member other than this balancer.
func (m *Machine) Control(vm string) (netip.AddrPort, bool) {
	x := m.members[vm]
	if x == nil || !x.live() {
		return netip.AddrPort{}, false
	}
	return x.control, true
}

// RandomPeer returns a random live member other than this balancer.
func (m *Machine) RandomPeer() (vm string, control netip.AddrPort, ok bool) {
	for _, x := range m.sample(1, "") {
		return x.vm, x.control, true
	}
	return "", netip.AddrPort{}, false
}

// RandomPeers returns the control addresses of up to n random live members.
func (m *Machine) RandomPeers(n int) []netip.AddrPort {
	var list []netip.AddrPort
	for _, x := range m.sample(n, "") {
		list = append(list, x.control)
	}
	return list
}

// RandomContact returns an address at which no live member is known: a seed, a
// listed VM or a dead member.
func (m *Machine) RandomContact() (netip.AddrPort, bool) {
	targets := m.healTargets()
	if len(targets) == 0 {
		return netip.AddrPort{}, false
	}
	return targets[m.rng.IntN(len(targets))].addr, true
}

func (m *Machine) lookup(vm string) *member {
	if vm == m.self.vm {
		return m.self
	}
	return m.members[vm]
}

// sample returns up to n random live members other than this balancer and exclude.
func (m *Machine) sample(n int, exclude string) []*member {
	var list []*member
	left := len(m.order)
	taken := map[int]bool{}
	for len(list) < n && left > 0 {
		i := m.rng.IntN(len(m.order))
		if taken[i] {
			continue
		}
		taken[i] = true
		left--
		if vm := m.order[i]; vm != m.self.vm && vm != exclude {
			list = append(list, m.members[vm])
		}
	}
	return list
}

// enter adds a member to the order of live members.
func (m *Machine) enter(vm string) {
	if i, found := slices.BinarySearch(m.order, vm); !found {
		m.order = slices.Insert(m.order, i, vm)
		m.changed = true
	}
}

// exit removes a member from the order of live members.
func (m *Machine) exit(vm string) {
	if i, found := slices.BinarySearch(m.order, vm); found {
		m.order = slices.Delete(m.order, i, i+1)
		m.changed = true
	}
}

// sortedKeys returns the keys in order, so that a seed fixes every choice.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
