// Package membership decides which balancers are alive. It is a SWIM-like failure
// detector without I/O and clock: the current time and received messages are
// arguments, and messages to send are return values.
package membership

import (
	"cmp"
	"net/netip"
	"time"
)

// Config holds the identity of this balancer and the parameters of a Detector.
// Unset parameters get defaults.
type Config struct {
	VM          string
	Place       string
	DataAddr    netip.AddrPort
	ControlAddr netip.AddrPort
	// SeedAddrs are control addresses that are probed until a member is known at them.
	SeedAddrs []netip.AddrPort
	// Incarnation is the initial incarnation number. It must exceed every number
	// that an earlier process on the same VM used. The Unix time in seconds at
	// process start is suitable.
	Incarnation uint64
	// RandomSeed seeds the random number generator.
	RandomSeed uint64

	// ProbeInterval is the time between two direct probes.
	ProbeInterval time.Duration
	// AckTimeout is the time to wait for an ack before requesting indirect probes.
	AckTimeout time.Duration
	// ProbeTimeout is the time to wait for a direct or indirect ack before
	// suspecting the member.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time in which a suspected member can refute the
	// suspicion before it is declared dead.
	SuspicionTimeout time.Duration
	// FreezeThreshold is the time between two ticks above which the detector
	// concludes that this process was suspended.
	FreezeThreshold time.Duration
	// MaxListStaleness is how far the VM list may lag behind the actual set of VMs. A
	// member that is missing from the list for this time is declared left.
	MaxListStaleness time.Duration
	// DeadRetention is how long a dead member is kept and probed.
	DeadRetention time.Duration
	// LeftRetention is how long a member that left is kept.
	LeftRetention time.Duration
	// IndirectProbers is the number of members that are asked for an indirect probe.
	IndirectProbers int
	// PushFanout is the number of random members that urgent updates are pushed to.
	PushFanout int
	// ReconnectProbeIntervals is the number of probe intervals between two probes of
	// addresses without a live member, such as those of dead members and seeds.
	ReconnectProbeIntervals int
}

// Defaults of the detector. If clocks are synchronized, a member that stops is
// probed within 0.5 s, suspected 0.45 s later and declared dead 1.2 s after that.
// Detection must take at most 3 s, so one probe interval remains as margin.
const (
	defaultProbeInterval           = 500 * time.Millisecond
	defaultAckTimeout              = 150 * time.Millisecond
	defaultProbeTimeout            = 400 * time.Millisecond
	defaultSuspicionTimeout        = time.Second
	defaultFreezeThreshold         = time.Second
	defaultMaxListStaleness        = 30 * time.Second
	defaultDeadRetention           = 24 * time.Hour
	defaultLeftRetention           = 10 * time.Minute
	defaultIndirectProbers         = 3
	defaultPushFanout              = 4
	defaultReconnectProbeIntervals = 4
)

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.AckTimeout = cmp.Or(c.AckTimeout, defaultAckTimeout)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, defaultSuspicionTimeout)
	c.FreezeThreshold = cmp.Or(c.FreezeThreshold, defaultFreezeThreshold)
	c.MaxListStaleness = cmp.Or(c.MaxListStaleness, defaultMaxListStaleness)
	c.DeadRetention = cmp.Or(c.DeadRetention, defaultDeadRetention)
	c.LeftRetention = cmp.Or(c.LeftRetention, defaultLeftRetention)
	c.IndirectProbers = cmp.Or(c.IndirectProbers, defaultIndirectProbers)
	c.PushFanout = cmp.Or(c.PushFanout, defaultPushFanout)
	c.ReconnectProbeIntervals = cmp.Or(c.ReconnectProbeIntervals, defaultReconnectProbeIntervals)
	c.Incarnation = cmp.Or(c.Incarnation, 1)
}
