// Package objects defines the configuration objects that operators publish: places,
// services, target pools and targets. Objects refer to each other by name. The package
// parses, validates, compares and encodes them.
package objects

import (
	"net/netip"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Protocol is the transport protocol that callers use to reach a service.
type Protocol string

// Protocols of a service.
const (
	ProtocolTCP  Protocol = "tcp"
	ProtocolUDP  Protocol = "udp"
	ProtocolQUIC Protocol = "quic"
)

// Transport returns the IP protocol number; QUIC runs over UDP.
func (p Protocol) Transport() uint8 {
	if p == ProtocolTCP {
		return protocol.TransportTCP
	}
	return protocol.TransportUDP
}

// Preference is what target selection favours when affinity and an even distribution
// conflict.
type Preference string

// Preferences of a service.
const (
	// PreferenceAffinity keeps flows on their rendezvous target, the one that the flow hash and
	// the configuration determine regardless of load.
	PreferenceAffinity Preference = "affinity"
	// PreferenceEvenness distributes open flows as evenly as possible.
	PreferenceEvenness Preference = "evenness"
)

// Priority is the priority of a service's traffic. Its JSON name is weight.
type Priority string

// Priorities of a service.
const (
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// Place is a failure domain.
type Place struct {
	Name string `json:"name"`
}

// Service is a virtual service: an address and port that callers connect to and the
// pool whose targets serve it.
type Service struct {
	Name       string     `json:"name"`
	Address    netip.Addr `json:"address"`
	Port       uint16     `json:"port"`
	Protocol   Protocol   `json:"protocol"`
	Pool       string     `json:"pool"`
	Priority   Priority   `json:"weight,omitempty"`
	Preference Preference `json:"preference,omitempty"`
	// Idempotent is true if a request may be executed more than once without harm.
	Idempotent bool `json:"idempotent,omitempty"`
	// OpenTimeoutMS is how long a target may leave an opener unanswered before the next
	// target is tried.
	OpenTimeoutMS uint32 `json:"open_timeout_ms,omitempty"`
}

// Pool is a named group of targets with the same limits.
type Pool struct {
	Name string `json:"name"`
	// Slots is the maximum number of requests that one target runs concurrently.
	Slots uint32 `json:"slots"`
	// Connections is the maximum number of open flows of one target.
	Connections uint32 `json:"connections"`
	// RampSeconds is the duration of the slow start: how long a newly started target takes
	// to reach its full share of new flows.
	RampSeconds uint32 `json:"ramp_seconds,omitempty"`
}

// Target is one backend server.
type Target struct {
	Name    string     `json:"name"`
	Pool    string     `json:"pool"`
	Place   string     `json:"place"`
	Address netip.Addr `json:"address"`
	Port    uint16     `json:"port"`
	// Weight scales the target's share of new flows, in percent; 100 is the normal share.
	Weight uint32 `json:"weight,omitempty"`
	// Drain stops new flows to the target; established flows continue.
	Drain bool `json:"drain,omitempty"`
	// Health is the address:port of the target's HTTP health and load endpoint; optional.
	Health string `json:"health,omitempty"`
}

// Set is a complete configuration.
type Set struct {
	Places   []Place   `json:"places,omitempty"`
	Services []Service `json:"services,omitempty"`
	Pools    []Pool    `json:"pools,omitempty"`
	Targets  []Target  `json:"targets,omitempty"`
}
