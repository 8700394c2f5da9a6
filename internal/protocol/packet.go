// Package protocol implements the packet formats that a balancer reads and writes:
// classification and rewriting of inner IPv4 packets, the packets that refuse or
// reset a connection, the GRE-in-UDP encapsulation and the authentication of relayed
// packets.
package protocol

import (
	"encoding/binary"
	"net/netip"
	"strconv"
)

// IP protocol numbers of the transports that a balancer handles.
const (
	TransportICMP uint8 = 1
	TransportTCP  uint8 = 6
	TransportUDP  uint8 = 17
)

// Endpoint is an IPv4 address and port in a compact, comparable form.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// NewEndpoint converts an address and port. The address must be IPv4 or an
// IPv4-mapped IPv6 address.
func NewEndpoint(ap netip.AddrPort) Endpoint {
	return Endpoint{IP: ap.Addr().Unmap().As4(), Port: ap.Port()}
}

// AddrPort converts the endpoint to a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsZero reports whether the endpoint is unset.
func (e Endpoint) IsZero() bool { return e == Endpoint{} }

// String returns the endpoint as address:port.
func (e Endpoint) String() string {
	return netip.AddrFrom4(e.IP).String() + ":" + strconv.Itoa(int(e.Port))
}

// FlowKey identifies a flow by the caller's endpoint, the service's endpoint and the
// transport (the 5-tuple). Both directions of a flow have the same key.
type FlowKey struct {
	Caller    Endpoint
	Service   Endpoint
	Transport uint8
}

// Bytes returns a fixed encoding of the key for hashing.
func (k FlowKey) Bytes() [13]byte {
	var b [13]byte
	copy(b[0:4], k.Caller.IP[:])
	binary.BigEndian.PutUint16(b[4:6], k.Caller.Port)
	copy(b[6:10], k.Service.IP[:])
	binary.BigEndian.PutUint16(b[10:12], k.Service.Port)
	b[12] = k.Transport
	return b
}

// Kind classifies a packet by its role in the lifetime of a flow.
type Kind uint8

// Kinds of packets. The kind of a TCP segment is determined by its flags, that of a
// QUIC packet by its header form and long packet type.
const (
	// KindData is any packet that has no other kind, including a QUIC short-header packet.
	KindData Kind = iota
	// KindOpener is a TCP SYN without ACK, or a UDP datagram with a QUIC Initial that
	// opens a connection and without Handshake or short-header packets.
	KindOpener
	// KindSYNACK is a TCP SYN-ACK.
	KindSYNACK
	// KindHandshake is any other UDP datagram that starts with a QUIC long-header packet.
	KindHandshake
	// KindFIN is a TCP segment with FIN.
	KindFIN
	// KindReset is a TCP segment with RST.
	KindReset
	// KindPlainUDP is a UDP packet without a QUIC header.
	KindPlainUDP
	// KindUnreachable is an ICMP port unreachable message about a flow.
	KindUnreachable
)

// Packet holds the fields of one inner IPv4 packet that a balancer needs to handle it.
type Packet struct {
	Source      Endpoint
	Destination Endpoint
	Transport   uint8
	Kind        Kind

	// Tag identifies one connection among those that reuse a flow key.
	// In a SYN it is the initial sequence number, in a SYN-ACK the initial sequence
	// number plus one, and in any other TCP segment the acknowledgement number, if
	// there is one. In a QUIC packet it is the first four bytes of the destination
	// connection ID. In a QUIC long-header packet of a target, the tag that the target
	// chose for the connection is in SourceTag.
	Tag uint32
	// HasTag is set if the packet has a Tag.
	HasTag bool
	// SourceTag is the first four bytes of the source connection ID of a QUIC
	// long-header packet, the acknowledged initial sequence number of a TCP
	// SYN-ACK (acknowledgement number minus one), the sequence number of a TCP
	// segment without SYN, or 0.
	SourceTag uint32

	// HasSYNData is set for a TCP SYN with payload.
	HasSYNData bool
	// HasZeroRTT is set if the datagram contains a QUIC 0-RTT packet, alone or coalesced.
	HasZeroRTT bool
	// ZeroRTTOnly is set if the datagram contains only QUIC 0-RTT packets.
	ZeroRTTOnly bool
	// LaterInitialsOnly is set if the datagram contains QUIC Initials, none of which
	// opens a connection, and no Handshake or short-header packet. The datagram belongs
	// to a connection whose target has already answered.
	LaterInitialsOnly bool
	// PayloadBytes is the length of the transport payload in bytes.
	PayloadBytes int
}
