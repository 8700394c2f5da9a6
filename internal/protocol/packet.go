// Package protocol holds the packet formats that a balancer reads and writes:
// classification and rewriting of inner IPv4 packets, refusal packets, the
// GRE-in-UDP codec and the authentication of relayed packets.
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

// NewEndpoint converts an IPv4 address and port. The address must be IPv4.
func NewEndpoint(ap netip.AddrPort) Endpoint {
	return Endpoint{IP: ap.Addr().Unmap().As4(), Port: ap.Port()}
}

// AddrPort converts the endpoint to the form of the standard library.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsZero reports whether the endpoint is unset.
func (e Endpoint) IsZero() bool { return e == Endpoint{} }

// String returns the endpoint as address:port.
func (e Endpoint) String() string {
	return netip.AddrFrom4(e.IP).String() + ":" + strconv.Itoa(int(e.Port))
}

// FlowKey identifies a flow: one caller endpoint, one service endpoint and the
// transport. Both directions of a flow have the same key.
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

// Kind classifies a packet by its role in the life of a flow.
type Kind uint8

// Kinds of packets. For TCP they follow from the flags, for QUIC from the
// header form and long packet type.
const (
	// KindData is any packet that has no other kind, including a QUIC short-header packet.
	KindData Kind = iota
	// KindOpener is a TCP SYN without ACK, or a QUIC datagram with an Initial that
	// begins a connection and without Handshake or short-header packets.
	KindOpener
	// KindOpenerAnswer is a TCP SYN-ACK.
	KindSYNACK
	// KindHandshake is any other datagram that begins with a QUIC long-header packet.
	KindHandshake
	// KindFin is a TCP segment with FIN.
	KindFIN
	// KindReset is a TCP segment with RST.
	KindReset
	// KindDatagram is a UDP packet without a QUIC header.
	KindPlainUDP
	// KindUnreachable is an ICMP port unreachable message about a flow.
	KindUnreachable
)

// Packet is the decoded view of one inner IPv4 packet, as read off the wire.
type Packet struct {
	Source      Endpoint
	Destination Endpoint
	Transport   uint8
	Kind        Kind

	// Tag identifies one connection among those that reuse a flow key.
	// Opener: the TCP initial sequence number, or the first four bytes of the
	// QUIC destination connection id. Opener answer and QUIC long-header packet
	// of a target: its initial sequence number plus one, or the first four bytes
	// of its source connection id. Other caller packets: the acknowledgement
	// number, or the first four bytes of the destination connection id.
	Tag uint32
	// HasTag reports whether Tag could be read.
	HasTag bool
	// SourceTag is the first four bytes of the source connection id of a QUIC
	// long-header packet, the acknowledged initial sequence number of a TCP
	// SYN-ACK (acknowledgement number minus one), the sequence number of a TCP
	// segment without SYN, or 0.
	SourceTag uint32

	// SynData reports payload on a TCP SYN.
	HasSYNData bool
	// ZeroRTT reports a QUIC 0-RTT packet in the datagram, alone or coalesced.
	HasZeroRTT bool
	// ZeroRTTOnly reports that the datagram holds nothing but QUIC 0-RTT packets.
	ZeroRTTOnly bool
	// LaterInitial reports a QUIC datagram with Initials only, none of which begins
	// a connection: it belongs to one whose target has answered.
	LaterInitialsOnly bool
	// PayloadBytes is the length of the transport payload in bytes.
	PayloadBytes int
}
