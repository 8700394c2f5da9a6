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
const maxUpdateBytes = 400

// Outgoing is a message to send.
type Outgoing struct {
	To    netip.AddrPort
	Probe *wire.Probe
}

// pending is a direct probe that waits for its ack.
type pendingProbe struct {
	vm                string
	sent              time.Time
	indirectRequested bool
}

// relayed is an indirect probe that this balancer makes for another.
type relayedProbe struct {
	sequence uint64
	origin   netip.AddrPort
	subject  string
	sent     time.Time
}

// Machine is the failure detector of one balancer. It is not safe for
// concurrent use.
type Detector struct {
	cfg         Config
	rng         *rand.Rand
	self        *member
	members     map[string]*member // without self
	updateQueue *gossip.Queue[*wire.Member]

	sequence       uint64
	pending        map[uint64]*pendingProbe
	relayedProbes  map[uint64]*relayedProbe
	joinCandidates map[string]netip.AddrPort // listed VMs that are not members

	lastTick       time.Time
	lastSlot       int64
	slotOffset     int64 // added to the slots of the own clock to follow other balancers
	pushNeeded     bool
	suspects       map[string]*member
	pushRecipients map[string]bool // members that must hear of an update about themselves
	liveVMs        []string        // live members with self, ordered by name
	viewChanged    bool            // the view changed since ViewChanged
	freezeDetected bool
	removed        bool             // others declared this balancer left
	rejoined       []netip.AddrPort // members that came back from the dead
	counts         Counts
}

// Counts are running totals for the metrics.
type Counts struct {
	Suspicions  uint64
	Deaths      uint64
	Refutations uint64
	Freezes     uint64
}

// New returns a detector whose view holds this balancer alone.
func New(cfg Config, now time.Time) *Detector {
	cfg.setDefaults()
	d := &Detector{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.RandomSeed, 0x6d656d62)),
		members:        map[string]*member{},
		updateQueue:    gossip.NewQueue[*wire.Member](),
		pending:        map[uint64]*pendingProbe{},
		relayedProbes:  map[uint64]*relayedProbe{},
		joinCandidates: map[string]netip.AddrPort{},
		suspects:       map[string]*member{},
		pushRecipients: map[string]bool{},
		viewChanged:    true,
	}
	d.self = &member{
		vm: cfg.VM, place: cfg.Place, dataAddr: cfg.DataAddr, controlAddr: cfg.ControlAddr,
		incarnation: cfg.Incarnation, state: alive, stateChangedAt: now,
	}
	d.liveVMs = []string{cfg.VM}
	d.sequence = d.rng.Uint64() >> 40 // short on the wire, and unlike an earlier process's
	d.announce(d.self)
	return d
}

// announce queues the current state of a member for all others.
func (d *Detector) announce(m *member) {
	d.updateQueue.Put(m.vm, m.wireUpdate())
	d.pushNeeded = true
}

// SetGeneration records the generation in force at this balancer.
func (d *Detector) SetGeneration(generation uint64) { d.self.generation = generation }

// ViewChanged reports whether the view changed since the last call.
func (d *Detector) ConsumeViewChanged() bool {
	changed := d.viewChanged
	d.viewChanged = false
	return changed
}

// Froze reports whether a freeze was seen since the last call.
func (d *Detector) ConsumeFreezeDetected() bool {
	detected := d.freezeDetected
	d.freezeDetected = false
	return detected
}

// Healed returns control addresses of members that came back since the last
// call. An exchange with them merges views after a partition.
func (d *Detector) ConsumeRejoined() []netip.AddrPort {
	rejoined := d.rejoined
	d.rejoined = nil
	return rejoined
}

// Removed reports whether the others declared that this balancer left,
// because the VM list lacks it.
func (d *Detector) Removed() bool { return d.removed }

// Counts returns the running totals.
func (d *Detector) Counts() Counts { return d.counts }

// View returns the live members, this balancer included, ordered by VM name.
func (d *Detector) View() coordination.View {
	var view coordination.View
	for _, vm := range d.liveVMs {
		m := d.lookup(vm)
		view.Members = append(view.Members, coordination.Member{
			VM: m.vm, Place: m.place, Data: m.dataAddr, Leaving: m.leaving,
		})
	}
	return view
}

// Live returns the number of live members, this balancer included.
func (d *Detector) LiveCount() int { return len(d.liveVMs) }

// Members returns all known members, this balancer included, ordered by name.
func (d *Detector) Members() []*wire.Member {
	list := []*wire.Member{d.self.fullWireUpdate()}
	for _, m := range d.members {
		list = append(list, m.fullWireUpdate())
	}
	slices.SortFunc(list, func(a, b *wire.Member) int { return strings.Compare(a.Vm, b.Vm) })
	return list
}

// StatusMembers returns Members with the time since this balancer last heard of each.
func (d *Detector) StatusMembers(now time.Time) []*wire.Member {
	list := d.Members()
	for _, u := range list {
		if m := d.members[u.Vm]; m != nil {
			u.HeardAgeSeconds = now.Sub(m.lastHeard).Seconds()
		}
	}
	return list
}

// Control returns the control address of a live member other than this balancer.
func (d *Detector) ControlAddr(vm string) (netip.AddrPort, bool) {
	m := d.members[vm]
	if m == nil || !m.live() {
		return netip.AddrPort{}, false
	}
	return m.controlAddr, true
}

// RandomPeer returns a random live member other than this balancer.
func (d *Detector) RandomPeer() (vm string, control netip.AddrPort, ok bool) {
	for _, m := range d.randomLiveMembers(1, "") {
		return m.vm, m.controlAddr, true
	}
	return "", netip.AddrPort{}, false
}

// RandomPeers returns the control addresses of up to n random live members.
func (d *Detector) RandomPeers(n int) []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range d.randomLiveMembers(n, "") {
		list = append(list, m.controlAddr)
	}
	return list
}

// RandomContact returns an address at which no live member is known: a seed, a
// listed VM or a dead member.
func (d *Detector) RandomReconnectAddr() (netip.AddrPort, bool) {
	targets := d.reconnectTargets()
	if len(targets) == 0 {
		return netip.AddrPort{}, false
	}
	return targets[d.rng.IntN(len(targets))].addr, true
}

func (d *Detector) lookup(vm string) *member {
	if vm == d.self.vm {
		return d.self
	}
	return d.members[vm]
}

// sample returns up to n random live members other than this balancer and exclude.
func (d *Detector) randomLiveMembers(n int, exclude string) []*member {
	var list []*member
	remaining := len(d.liveVMs)
	drawn := map[int]bool{}
	for len(list) < n && remaining > 0 {
		i := d.rng.IntN(len(d.liveVMs))
		if drawn[i] {
			continue
		}
		drawn[i] = true
		remaining--
		if vm := d.liveVMs[i]; vm != d.self.vm && vm != exclude {
			list = append(list, d.members[vm])
		}
	}
	return list
}

// enter adds a member to the order of live members.
func (d *Detector) addLive(vm string) {
	if i, found := slices.BinarySearch(d.liveVMs, vm); !found {
		d.liveVMs = slices.Insert(d.liveVMs, i, vm)
		d.viewChanged = true
	}
}

// exit removes a member from the order of live members.
func (d *Detector) removeLive(vm string) {
	if i, found := slices.BinarySearch(d.liveVMs, vm); found {
		d.liveVMs = slices.Delete(d.liveVMs, i, i+1)
		d.viewChanged = true
	}
}

// sortedKeys returns the keys in order, so that a seed fixes every choice.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
