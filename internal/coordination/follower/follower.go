// Package follower decides which configuration a balancer puts in force. It is
// pure code: heads, snapshots and failures are passed in, commands come out.
package follower

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Head names one configuration. Digest is lower-case hexadecimal SHA-256. A
// head told by a peer's probe holds only the start of the digest.
type Head struct {
	Generation uint64
	Digest     string
}

// Same reports whether two heads can name the same configuration. One digest
// may be the start of the other.
func (h Head) Matches(other Head) bool {
	return h.Generation == other.Generation &&
		(strings.HasPrefix(h.Digest, other.Digest) || strings.HasPrefix(other.Digest, h.Digest))
}

// Kind names what the shell does for a command.
type CommandKind uint8

// Kinds of commands.
const (
	// ReadHead reads the head record from the platform.
	ReadHead CommandKind = iota + 1
	// WatchHead waits for a revision of the head record above Revision.
	WatchHead
	// LoadSnapshot reads the snapshot of Head, which has Parts parts, from the platform.
	LoadSnapshot
	// FetchPeer fetches the snapshot of Head from Peer, as a delta to Base unless that is empty.
	FetchFromPeer
	// ReadVMs reads the VM list from the platform.
	ReadVMs
)

// Command is one request of the follower to its shell.
type Command struct {
	Kind       CommandKind
	Head       Head
	Parts      int
	Peer       string
	BaseDigest string
	Revision   uint64
}

// Result is the answer to a command. Err means that there was no usable answer.
type Result struct {
	Command Command
	Err     error
	// Corrupted tells that Err is about what the platform holds; it does answer.
	Corrupted bool
	Head      Head // of ReadHead, WatchHead and FetchPeer
	Parts     int
	Revision  uint64
	Snapshot  []byte // canonical JSON of LoadSnapshot and FetchPeer
	Delta     []byte // instead of Snapshot, of FetchPeer
}

// Snapshot is a verified configuration.
type Snapshot struct {
	Head Head
	Set  objects.Set
	// raw is the JSON that has the digest of Head. Peers are served these bytes,
	// because another version of the program may encode the same set differently.
	encoded []byte
}

// Alarm tells an operator that something needs attention.
type Alarm string

// Alarms of the follower.
const (
	// AlarmLowerHead: the platform shows a generation below the one in force.
	AlarmLowerHead Alarm = "the platform shows a lower generation than the one in force; it is not adopted"
	// AlarmDigestConflict: one generation was seen with two digests.
	AlarmDigestConflict Alarm = "one generation was seen with two digests; the second is not adopted"
	// AlarmSnapshotRefused: a snapshot was corrupted or invalid.
	AlarmSnapshotRefused Alarm = "a snapshot was refused as corrupted or invalid; the previous configuration stays in force"
	// AlarmPlatformUnreachable: this balancer reads the platform and gets no answer.
	AlarmPlatformUnreachable Alarm = "the platform does not answer; the configuration in force stays"
	// AlarmNoConfiguration: no configuration has been found yet.
	AlarmNoConfiguration Alarm = "no configuration found at the platform or at peers"
)

// Follower decides for one balancer. It is not safe for concurrent use.
type Follower struct {
	cfg      Config
	rng      *rand.Rand
	view     coordination.View
	isReader bool

	current        Snapshot
	history        []Snapshot        // earlier ones as bases of deltas, newest first
	deltasByBase   map[string][]byte // deltas to current by base digest
	announced      announcedHead
	unloadedHead   Head // higher head at the platform, not loaded yet
	unloadedParts  int
	refusedDigests map[string]bool // digests of invalid snapshots

	headRead           commandState
	headWatch          commandState
	snapshotLoad       commandState
	vmListRead         commandState
	peerFetch          commandState
	platformFailures   int
	platformRetryAt    time.Time // no platform call before
	lastPlatformAnswer time.Time // last answer of the platform
	headRevision       uint64
	headRevisionKnown  bool // a read of the head was answered
	alarms             map[Alarm]bool
	counts             Counts
}

// Counts are running totals for the metrics.
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

// Reader reports whether this balancer watches the platform.
func (f *Follower) IsReader() bool { return f.isReader }

// Counts returns the running totals.
func (f *Follower) Counts() Counts { return f.counts }

// Platform reports whether the last platform call was answered, and when one was.
func (f *Follower) PlatformStatus() (reachable bool, answered time.Time) {
	return f.platformFailures == 0 && !f.lastPlatformAnswer.IsZero(), f.lastPlatformAnswer
}

// Alarms returns the alarms that are raised, in a fixed order.
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

// SetView tells the live members, from which the readers are chosen.
func (f *Follower) SetView(view coordination.View) {
	f.view = view
	f.isReader = f.selectedAsReader()
}

// chosen reports whether this balancer is among the first of its place in rendezvous order.
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
