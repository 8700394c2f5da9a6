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

// maxUpdateBytes limits the size of the member updates piggybacked on one message.
const maxUpdateBytes = 400

// Outgoing is a message to send and its destination.
type Outgoing struct {
	To    netip.AddrPort
	Probe *wire.Probe
}

// pendingProbe is a direct probe that has not been acknowledged yet.
type pendingProbe struct {
	vm                string
	sent              time.Time
	indirectRequested bool
}

// relayedProbe is an indirect probe that this balancer performs for another.
type relayedProbe struct {
	sequence uint64         // of the origin's request, repeated in the relayed ack
	origin   netip.AddrPort // balancer that requested the probe
	subject  string         // VM name of the probed member
	sent     time.Time
}

// Detector is the failure detector of one balancer. It is not safe for
// concurrent use.
type Detector struct {
	cfg         Config
	rng         *rand.Rand
	self        *member
	members     map[string]*member // by VM name, without self
	updateQueue *gossip.Queue[*wire.Member]

	sequence       uint64
	pending        map[uint64]*pendingProbe  // by sequence number
	relayedProbes  map[uint64]*relayedProbe  // by sequence number of the own probe
	joinCandidates map[string]netip.AddrPort // listed VMs that are not members, by VM name

	lastTick       time.Time
	lastSlot       int64
	slotOffset     int64 // added to the slot number of the local clock to keep up with other balancers
	pushNeeded     bool
	suspects       map[string]*member
	pushRecipients map[string]bool // members to push to because an update concerns them
	liveVMs        []string        // names of the live members and of this VM, sorted
	viewChanged    bool            // since the last ConsumeViewChanged
	freezeDetected bool
	removed        bool             // others declared that this balancer left
	rejoined       []netip.AddrPort // control addresses of members that were dead and are alive again
	counts         Counts
}

// Counts are cumulative counters for metrics.
type Counts struct {
	Suspicions  uint64
	Deaths      uint64
	Refutations uint64
	Freezes     uint64
}

// New returns a detector whose view contains only this balancer.
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
	d.sequence = d.rng.Uint64() >> 40 // short on the wire, and unlikely to match numbers of an earlier process
	d.announce(d.self)
	return d
}

// announce queues the current state of a member as an urgent update for all others.
func (d *Detector) announce(m *member) {
	d.updateQueue.Put(m.vm, m.wireUpdate())
	d.pushNeeded = true
}

// SetGeneration sets the generation in force at this balancer.
func (d *Detector) SetGeneration(generation uint64) { d.self.generation = generation }

// ConsumeViewChanged reports whether the view changed since the last call, and
// resets the flag.
func (d *Detector) ConsumeViewChanged() bool {
	changed := d.viewChanged
	d.viewChanged = false
	return changed
}

// ConsumeFreezeDetected reports whether a freeze was detected since the last call,
// and resets the flag.
func (d *Detector) ConsumeFreezeDetected() bool {
	detected := d.freezeDetected
	d.freezeDetected = false
	return detected
}

// ConsumeRejoined returns and clears the control addresses of members that were
// dead and became alive again since the last call. An exchange with them merges
// the views after a partition.
func (d *Detector) ConsumeRejoined() []netip.AddrPort {
	rejoined := d.rejoined
	d.rejoined = nil
	return rejoined
}

// Removed reports whether other members declared that this balancer left, because
// it is missing from the VM list.
func (d *Detector) Removed() bool { return d.removed }

// Counts returns the cumulative counters.
func (d *Detector) Counts() Counts { return d.counts }

// View returns the live members including this balancer, ordered by VM name.
func (d *Detector) View() coordination.View {
	var view coordination.View
	for _, vm := range d.liveVMs {
		m := d.lookup(vm)
		view.Members = append(view.Members, coordination.Member{
			VM: m.vm, Place: m.place, DataAddress: m.dataAddr, Leaving: m.leaving,
		})
	}
	return view
}

// LiveCount returns the number of live members including this balancer.
func (d *Detector) LiveCount() int { return len(d.liveVMs) }

// Members returns all known members including this balancer, ordered by VM name.
func (d *Detector) Members() []*wire.Member {
	list := []*wire.Member{d.self.fullWireUpdate()}
	for _, m := range d.members {
		list = append(list, m.fullWireUpdate())
	}
	slices.SortFunc(list, func(a, b *wire.Member) int { return strings.Compare(a.Vm, b.Vm) })
	return list
}

// StatusMembers returns Members with the time since each was last heard from or
// reported alive.
func (d *Detector) StatusMembers(now time.Time) []*wire.Member {
	list := d.Members()
	for _, u := range list {
		if m := d.members[u.Vm]; m != nil {
			u.HeardAgeSeconds = now.Sub(m.lastHeard).Seconds()
		}
	}
	return list
}

// ControlAddr returns the control address of a live member other than this balancer.
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

// RandomReconnectAddr returns a random address at which no live member is known:
// that of a seed, a listed VM or a dead member.
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

// randomLiveMembers returns up to n distinct random live members other than this
// balancer and exclude.
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

// addLive adds a member to the sorted list of live members.
func (d *Detector) addLive(vm string) {
	if i, found := slices.BinarySearch(d.liveVMs, vm); !found {
		d.liveVMs = slices.Insert(d.liveVMs, i, vm)
		d.viewChanged = true
	}
}

// removeLive removes a member from the sorted list of live members.
func (d *Detector) removeLive(vm string) {
	if i, found := slices.BinarySearch(d.liveVMs, vm); found {
		d.liveVMs = slices.Delete(d.liveVMs, i, i+1)
		d.viewChanged = true
	}
}

// sortedKeys returns the keys in sorted order. Iterating over a map directly would
// make runs with the same random seed differ.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
