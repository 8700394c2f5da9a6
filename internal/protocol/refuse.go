package protocol

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"
)

// maxQuotedBytes keeps an ICMP message within the 576 bytes that every IPv4
// host accepts (RFC 1812).
const maxQuotedBytes = 576 - ipv4HeaderBytes - icmpHeaderBytes

// BuildRefusal returns the answer that refuses an opener: a TCP RST, or for UDP
// an ICMP port unreachable message that quotes the packet. inner and p are the
// opener and its view.
func BuildRefusal(inner []byte, p Packet) []byte {
	if p.Transport == TransportTCP {
		return BuildTCP(p.Destination, p.Source, Segment{Ack: p.Tag + 1, RST: true, ACK: true})
	}
	return BuildUnreachable(inner, p)
}

// BuildUnreachable returns an ICMP port unreachable message from the
// destination of a packet to its source that quotes the packet.
func BuildUnreachable(inner []byte, p Packet) []byte {
	ip := newIPv4Header(p.Destination, p.Source, layers.IPProtocolICMPv4)
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(icmpTypeDestinationUnreachable, icmpCodePortUnreachable)}
	return serialize(ip, icmp, nil, inner[:min(len(inner), maxQuotedBytes)])
}

// BuildCancel returns a TCP RST from the caller of a flow to a target that holds
// a half-open connection of it. inner and p are a packet of the flow: from the
// caller, from that target, or the answer of another target to the same opener,
// which acknowledges the same sequence number. The sequence number is the next one that the
// target expects, because it ignores any other. It reports false where no reset
// can be formed: QUIC resets are authenticated by the target.
func BuildHalfOpenReset(inner []byte, p Packet, target Endpoint) ([]byte, bool) {
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
