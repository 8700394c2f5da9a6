// Package coordination decides what happens to each packet and which balancer is
// responsible for a flow. It does no I/O and reads no clock: time, views and
// service tables are passed in.
package coordination

import (
	"net/netip"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Action is what the transport layer does with a packet.
type Action uint8

// Actions for a packet.
const (
	// ActionDrop discards the packet.
	ActionDrop Action = iota
	// ActionForward rewrites the destination to Endpoint and sends the packet to the fabric.
	ActionForward
	// ActionReturn rewrites the source to Endpoint and sends the packet to the fabric.
	ActionReturn
	// ActionRelay sends the packet unchanged to the balancer at Peer and increments its hop count.
	ActionRelay
	// ActionRefuse answers the caller with a TCP RST or an ICMP port unreachable.
	ActionRefuse
)

// Reason is the cause of a decision. Each reason has a counter.
type Reason string

// Decision says what to do with one packet.
type Decision struct {
	Action   Action
	Endpoint protocol.Endpoint
	Peer     netip.AddrPort
	Reason   Reason
	// ResetTarget, unless zero, is a target with a half-open connection of this
	// flow that is no longer used. It is sent a reset.
	ResetTarget protocol.Endpoint
	// StripZeroRTT requires that QUIC 0-RTT packets are removed before forwarding.
	StripZeroRTT bool
	// ByOwner is set when this balancer decided as owner of the flow.
	ByOwner bool
}

// Ingress is one decoded packet and the path by which it arrived.
type Ingress struct {
	Packet protocol.Packet
	// Hops is the number of relays that the packet has passed; 0 for a packet from the fabric.
	Hops uint8
	// From is the data address of the relaying balancer; not valid for a packet from the fabric.
	From netip.AddrPort
}

// Member is one balancer in a view.
type Member struct {
	VM          string
	Place       string
	DataAddress netip.AddrPort
	// Leaving is set for a member that still forwards packets but owns no shards.
	Leaving bool
}

// View is the list of live members, ordered by VM name. It determines the owners of the flows.
type View struct {
	Members []Member
}
