// Package objects holds the operators' configuration objects: places, services,
// target pools and targets. Objects refer to each other by name.
package objects

import (
	"net/netip"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Protocol is the transport that callers use towards a service.
type Protocol string

// Protocols of a service.
const (
	ProtocolTCP  Protocol = "tcp"
	ProtocolUDP  Protocol = "udp"
	ProtocolQUIC Protocol = "quic"
)

// Transport returns the IP protocol number.
func (p Protocol) Transport() uint8 {
	if p == ProtocolTCP {
		return protocol.TransportTCP
	}
	return protocol.TransportUDP
}

// Preference is what a service favours when the two conflict.
type Preference string

// Preferences of a service.
const (
	// PreferenceAffinity keeps flows at the choice that the table alone names.
	PreferenceAffinity Preference = "affinity"
	// PreferenceEvenness spreads open flows as evenly as possible.
	PreferenceEvenness Preference = "evenness"
)

// Weight is the priority of a service's traffic.
type Priority string

// Weights of a service.
const (
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// Place is a failure domain.
type Place struct {
	Name string `json:"name"`
}

// Service is an address and port that callers use.
type Service struct {
	Name       string     `json:"name"`
	Address    netip.Addr `json:"address"`
	Port       uint16     `json:"port"`
	Protocol   Protocol   `json:"protocol"`
	Pool       string     `json:"pool"`
	Priority   Priority   `json:"weight,omitempty"`
	Preference Preference `json:"preference,omitempty"`
	// Idempotent states that repeating a request does no harm.
	Idempotent bool `json:"idempotent,omitempty"`
	// OpenTimeoutMS is how long a target may leave an opener unanswered.
	OpenTimeoutMS uint32 `json:"open_timeout_ms,omitempty"`
}

// Pool is a named group of targets with common limits.
type Pool struct {
	Name string `json:"name"`
	// Slots is the number of requests that one target runs at once.
	Slots uint32 `json:"slots"`
	// Connections is the number of open flows that one target takes.
	Connections uint32 `json:"connections"`
	// RampSeconds is how long a target that starts takes to reach its full share.
	RampSeconds uint32 `json:"ramp_seconds,omitempty"`
}

// Target is one back end.
type Target struct {
	Name    string     `json:"name"`
	Pool    string     `json:"pool"`
	Place   string     `json:"place"`
	Address netip.Addr `json:"address"`
	Port    uint16     `json:"port"`
	// Weight scales the target's share of new flows; 100 is the usual share.
	Weight uint32 `json:"weight,omitempty"`
	// Drain stops new flows to the target.
	Drain bool `json:"drain,omitempty"`
	// Health is the address:port of the target's HTTP health and load endpoint; optional.
	Health string `json:"health,omitempty"`
}

// Set is one whole configuration.
type Set struct {
	Places   []Place   `json:"places,omitempty"`
	Services []Service `json:"services,omitempty"`
	Pools    []Pool    `json:"pools,omitempty"`
	Targets  []Target  `json:"targets,omitempty"`
}
