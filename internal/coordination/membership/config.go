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
	VM      string
	Place   string
	Data    netip.AddrPort
	Control netip.AddrPort
	// Seeds are control addresses that are probed until a member is known there.
	Seeds []netip.AddrPort
	// Incarnation is the first incarnation number. It must exceed the one of an
	// earlier process on the same VM; Unix seconds at start serve well.
	Incarnation uint64
	// Seed seeds the random choices.
	Seed uint64

	// ProbeInterval is the time between two direct probes.
	ProbeInterval time.Duration
	// AckTimeout is the wait for an ack before other members are asked to probe.
	AckTimeout time.Duration
	// ProbeTimeout is the wait for any ack before the member is suspected.
	ProbeTimeout time.Duration
	// Suspicion is the time that a suspected member has to refute.
	Suspicion time.Duration
	// FreezeGap is the gap between two ticks after which this balancer assumes that it was frozen.
	FreezeGap time.Duration
	// ListStaleness is how long the VM list may lag behind reality.
	ListStaleness time.Duration
	// DeadRetention is how long a dead member is remembered and probed.
	DeadRetention time.Duration
	// LeftRetention is how long a member that left is remembered.
	LeftRetention time.Duration
	// Helpers is the number of members asked for an indirect probe.
	Helpers int
	// Fanout is the number of members that urgent updates are pushed to.
	Fanout int
	// HealEvery is the number of probe intervals between probes of dead members and seeds.
	HealEvery int
}

// Defaults of the detector. A member that stops is probed within 0.5 s when
// clocks agree, suspected 0.45 s later and dead after 1.2 s more; that leaves
// one probe interval spare below the bound of 3 s.
const (
	defaultProbeInterval = 500 * time.Millisecond
	defaultAckTimeout    = 150 * time.Millisecond
	defaultProbeTimeout  = 400 * time.Millisecond
	defaultSuspicion     = time.Second
	defaultFreezeGap     = time.Second
	defaultListStaleness = 30 * time.Second
	defaultDeadRetention = 24 * time.Hour
	defaultLeftRetention = 10 * time.Minute
	defaultHelpers       = 3
	defaultFanout        = 4
	defaultHealEvery     = 4
)

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.AckTimeout = cmp.Or(c.AckTimeout, defaultAckTimeout)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.Suspicion = cmp.Or(c.Suspicion, defaultSuspicion)
	c.FreezeGap = cmp.Or(c.FreezeGap, defaultFreezeGap)
	c.ListStaleness = cmp.Or(c.ListStaleness, defaultListStaleness)
	c.DeadRetention = cmp.Or(c.DeadRetention, defaultDeadRetention)
	c.LeftRetention = cmp.Or(c.LeftRetention, defaultLeftRetention)
	c.Helpers = cmp.Or(c.Helpers, defaultHelpers)
	c.Fanout = cmp.Or(c.Fanout, defaultFanout)
	c.HealEvery = cmp.Or(c.HealEvery, defaultHealEvery)
	c.Incarnation = cmp.Or(c.Incarnation, 1)
}
