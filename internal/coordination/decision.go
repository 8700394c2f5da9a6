// Package coordination decides what happens to each packet and which balancer
// decides about a flow. It is pure code: time, views and tables are passed in.
package coordination

import (
	"net/netip"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Action is what the transport layer does with a packet.
type Action uint8

// Actions of a decision.
const (
	// ActionDrop discards the packet and counts Reason.
	ActionDrop Action = iota
	// ActionForward rewrites the destination to Endpoint and sends the packet to the fabric.
	ActionForward
	// ActionReturn rewrites the source to Endpoint and sends the packet to the fabric.
	ActionReturn
	// ActionRelay sends the packet unchanged to Peer with one more hop.
	ActionRelay
	// ActionRefuse answers the caller with a TCP RST or an ICMP port unreachable.
	ActionRefuse
)

// Reason names why a decision was taken. Each reason has a counter.
type Reason string

// Decision is the outcome for one packet.
type Decision struct {
	Action   Action
	Endpoint protocol.Endpoint
	Peer     netip.AddrPort
	Reason   Reason
	// Cancel, unless zero, is a target that holds a losing half-open connection
	// of this flow and is sent a reset.
	ResetTarget protocol.Endpoint
	// StripZeroRTT asks for removal of QUIC 0-RTT packets before forwarding.
	StripZeroRTT bool
	// Owner reports that this balancer decided as owner of the flow.
	ByOwner bool
}

// Ingress is one decoded packet with the way it arrived.
type Ingress struct {
	Packet protocol.Packet
	// Hops is the number of relays so far; 0 for a packet from the fabric.
	Hops uint8
	// From is the data address of the relaying balancer; invalid for the fabric.
	From netip.AddrPort
}

// Member is one balancer in the view that decides ownership.
type Member struct {
	VM          string
	Place       string
	DataAddress netip.AddrPort
	// Leaving members forward packets but own no shards.
	Leaving bool
}

// View is the list of live members, ordered by VM name.
type View struct {
	Members []Member
}
