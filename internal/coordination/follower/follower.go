// Package follower decides which configuration a balancer puts in force. It does no
// I/O and reads no clock: the current time, heads, snapshots and failures are
// arguments, and commands to run are return values.
package follower

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Head identifies one configuration. Digest is its SHA-256 in lower-case
// hexadecimal. A head received in a peer's probe contains only a prefix of it.
type Head struct {
	Generation uint64
	Digest     string
}

// Matches reports whether two heads can identify the same configuration. One digest
// may be a prefix of the other.
func (h Head) Matches(other Head) bool {
	return h.Generation == other.Generation &&
		(strings.HasPrefix(h.Digest, other.Digest) || strings.HasPrefix(other.Digest, h.Digest))
}

// CommandKind is the operation that a command requests.
type CommandKind uint8

// Values of CommandKind.
const (
	// ReadHead reads the head record from the platform.
	ReadHead CommandKind = iota + 1
	// WatchHead waits for a revision of the head record above Revision.
	WatchHead
	// LoadSnapshot reads the snapshot of Head from the platform, where it is stored in
	// ChunkCount chunks.
	LoadSnapshot
	// FetchFromPeer fetches the snapshot of Head from Peer. Unless BaseDigest is empty,
	// the peer may send a delta to the snapshot with that digest.
	FetchFromPeer
	// ReadVMs reads the VM list from the platform.
	ReadVMs
)

// Command is an operation that the follower requests. Which fields are set depends
// on Kind.
type Command struct {
	Kind       CommandKind
	Head       Head
	ChunkCount int
	Peer       string
	BaseDigest string
	Revision   uint64
}

// Result is the outcome of a command. Err is set if there was no usable answer.
type Result struct {
	Command Command
	Err     error
	// Corrupted is set if the platform answered, and Err concerns the stored content.
	Corrupted  bool
	Head       Head // for ReadHead, WatchHead and FetchFromPeer
	ChunkCount int
	Revision   uint64
	Snapshot   []byte // canonical JSON, for LoadSnapshot and FetchFromPeer
	Delta      []byte // replaces Snapshot, for FetchFromPeer
}

// Snapshot is a verified configuration.
type Snapshot struct {
	Head Head
	Set  objects.Set
	// encoded is the JSON whose digest is in Head. Peers are served these bytes,
	// because another version of the program may encode the same set differently.
	encoded []byte
}

// Alarm is a condition that needs an operator's attention.
type Alarm string

// Alarms of the follower.
const (
	// AlarmLowerHead means that the platform returned a generation below the one in force.
	AlarmLowerHead Alarm = "the platform shows a lower generation than the one in force; it is not adopted"
	// AlarmDigestConflict means that two digests were seen for one generation.
	AlarmDigestConflict Alarm = "one generation was seen with two digests; the second is not adopted"
	// AlarmSnapshotRefused means that a snapshot was corrupted or invalid.
	AlarmSnapshotRefused Alarm = "a snapshot was refused as corrupted or invalid; the previous configuration stays in force"
	// AlarmPlatformUnreachable means that this balancer's reads of the platform fail.
	AlarmPlatformUnreachable Alarm = "the platform does not answer; the configuration in force stays"
	// AlarmNoConfiguration means that no configuration was found since the start.
	AlarmNoConfiguration Alarm = "no configuration found at the platform or at peers"
)

// Follower tracks the configuration of one balancer. It is not safe for concurrent use.
type Follower struct {
	cfg      Config
	rng      *rand.Rand
	view     coordination.View
	isReader bool

	current            Snapshot
	history            []Snapshot        // earlier snapshots as bases of deltas, newest first
	deltasByBase       map[string][]byte // encoded deltas to current, by digest of the base
	announced          announcedHead
	unloadedHead       Head // head at the platform above the one in force, to be loaded
	unloadedChunkCount int
	refusedDigests     map[string]bool // digests of invalid snapshots

	headRead           commandState
	headWatch          commandState
	snapshotLoad       commandState
	vmListRead         commandState
	peerFetch          commandState
	platformFailures   int       // consecutive
	platformRetryAt    time.Time // earliest next platform call
	lastPlatformAnswer time.Time
	headRevision       uint64
	headRevisionKnown  bool // a read or watch of the head succeeded
	alarms             map[Alarm]bool
	counts             Counts
}

// Counts are cumulative counters for metrics.
type Counts struct {
	Adoptions     uint64
	Refusals      uint64
	LowerHeads    uint64
	PlatformCalls uint64
	PeerFetches   uint64
}

// New returns a follower without a configuration.
func New(cfg Config) *Follower {
	cfg.setDefaults()
	return &Follower{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.RandomSeed, 0x666f6c6c)),
		deltasByBase:   map[string][]byte{},
		refusedDigests: map[string]bool{},
		alarms:         map[Alarm]bool{AlarmNoConfiguration: true},
	}
}

// InForce returns the head of the configuration in force.
func (f *Follower) InForce() Head { return f.current.Head }

// IsReader reports whether this balancer reads and watches the platform regularly.
func (f *Follower) IsReader() bool { return f.isReader }

// Counts returns the cumulative counters.
func (f *Follower) Counts() Counts { return f.counts }

// PlatformStatus reports whether the platform answers, and the time of its last
// answer.
func (f *Follower) PlatformStatus() (reachable bool, answered time.Time) {
	return f.platformFailures == 0 && !f.lastPlatformAnswer.IsZero(), f.lastPlatformAnswer
}

// Alarms returns the active alarms in a fixed order.
func (f *Follower) Alarms() []Alarm {
	var list []Alarm
	for _, a := range []Alarm{AlarmNoConfiguration, AlarmSnapshotRefused, AlarmDigestConflict, AlarmLowerHead, AlarmPlatformUnreachable} {
		if f.alarms[a] {
			list = append(list, a)
		}
	}
	return list
}

func (f *Follower) raiseAlarm(a Alarm) { f.alarms[a] = true }

func (f *Follower) clearAlarm(a Alarm) { delete(f.alarms, a) }

// SetView replaces the membership view from which the readers are selected.
func (f *Follower) SetView(view coordination.View) {
	f.view = view
	f.isReader = f.selectedAsReader()
}

// selectedAsReader reports whether this balancer is among the ReadersPerPlace members
// of its place with the highest rendezvous hash weights.
func (f *Follower) selectedAsReader() bool {
	ownWeight := readerWeight(f.cfg.Place, f.cfg.VM)
	higherRanked := 0
	for _, m := range f.view.Members {
		if m.Place == f.cfg.Place && m.VM != f.cfg.VM && !m.Leaving && readerWeight(m.Place, m.VM) > ownWeight {
			higherRanked++
		}
	}
	return higherRanked < f.cfg.ReadersPerPlace
}

func readerWeight(place, vm string) uint64 {
	return xxhash.Sum64String("reader/" + place + "/" + vm)
}
