// Package membership decides which balancers are alive. It is a SWIM-like
// failure detector as a pure state machine: time and messages are passed in,
// messages to send come out.
package membership

import (
	"cmp"
	"net/netip"
	"time"
)

// Config holds the identity of this balancer and the parameters of the detector.
type Config struct {
	VM          string
	Place       string
	DataAddr    netip.AddrPort
	ControlAddr netip.AddrPort
	// Seeds are control addresses that are probed until a member is known there.
	SeedAddrs []netip.AddrPort
	// Incarnation is the first incarnation number. It must exceed the one of an
	// earlier process on the same VM; Unix seconds at start serve well.
	Incarnation uint64
	// Seed seeds the random choices.
	RandomSeed uint64

	// ProbeInterval is the time between two direct probes.
	ProbeInterval time.Duration
	// AckTimeout is the wait for an ack before other members are asked to probe.
	AckTimeout time.Duration
	// ProbeTimeout is the wait for any ack before the member is suspected.
	ProbeTimeout time.Duration
	// Suspicion is the time that a suspected member has to refute.
	SuspicionTimeout time.Duration
	// FreezeGap is the gap between two ticks after which this balancer assumes that it was frozen.
	FreezeThreshold time.Duration
	// ListStaleness is how long the VM list may lag behind reality.
	MaxListStaleness time.Duration
	// DeadRetention is how long a dead member is remembered and probed.
	DeadRetention time.Duration
	// LeftRetention is how long a member that left is remembered.
	LeftRetention time.Duration
	// Helpers is the number of members asked for an indirect probe.
	IndirectProbers int
	// Fanout is the number of members that urgent updates are pushed to.
	PushFanout int
	// HealEvery is the number of probe intervals between probes of dead members and seeds.
	ReconnectProbeIntervals int
}

// Defaults of the detector. A member that stops is probed within 0.5 s when
// clocks agree, suspected 0.45 s later and dead after 1.2 s more; that leaves
// one probe interval spare below the bound of 3 s.
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
