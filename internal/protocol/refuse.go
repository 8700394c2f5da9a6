package protocol

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"
)

// maxQuotedBytes keeps an ICMP message within the 576 bytes that every IPv4
// host accepts (RFC 1812).
const maxQuotedBytes = 576 - ipv4HeaderBytes - icmpHeaderBytes

// BuildRefusal returns the packet that refuses an opener: a TCP RST, or for UDP an
// ICMP port unreachable message that quotes the opener. inner is the opener and p its
// decoded form.
func BuildRefusal(inner []byte, p Packet) []byte {
	if p.Transport == TransportTCP {
		return BuildTCP(p.Destination, p.Source, Segment{Ack: p.Tag + 1, RST: true, ACK: true})
	}
	return BuildUnreachable(inner, p)
}

// BuildUnreachable returns an ICMP port unreachable message that quotes a packet, from
// the destination of the packet to its source.
func BuildUnreachable(inner []byte, p Packet) []byte {
	ip := newIPv4Header(p.Destination, p.Source, layers.IPProtocolICMPv4)
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(icmpTypeDestinationUnreachable, icmpCodePortUnreachable)}
	return serialize(ip, icmp, nil, inner[:min(len(inner), maxQuotedBytes)])
}

// BuildTargetReset returns a TCP RST that resets the half-open connection of a flow at a
// target. The source of the RST is the caller of the flow. inner is a packet of the flow
// and p its decoded form. It is a packet of the caller or of that target, or a SYN-ACK of
// another target to the same opener, which acknowledges the same sequence number. The
// sequence number of the RST is the next one that the target expects, because the target
// ignores a reset with any other. BuildTargetReset reports false unless inner is a TCP
// segment: a QUIC stateless reset needs a token that only the target has.
func BuildTargetReset(inner []byte, p Packet, target Endpoint) ([]byte, bool) {
	if p.Transport != TransportTCP || inner[ipv4ProtocolOffset] != TransportTCP {
		return nil, false
	}
	segment := ipv4Payload(inner)
	seq := binary.BigEndian.Uint32(segment[tcpSeqOffset:])
	caller := p.Source
	switch {
	case p.Source == target, p.Kind == KindSYNACK:
		seq = binary.BigEndian.Uint32(segment[tcpAckOffset:])
		caller = p.Destination
	case p.Kind == KindOpener:
		seq++
	}
	return BuildTCP(caller, target, Segment{Seq: seq, RST: true}), true
}
