package protocol

import "encoding/binary"

// Offsets of fields in the IPv4, TCP, UDP and ICMP headers.
const (
	ipv4LengthOffset      = 2
	ipv4ProtocolOffset    = 9
	ipv4ChecksumOffset    = 10
	ipv4SourceOffset      = 12
	ipv4DestinationOffset = 16
	sourcePortOffset      = 0
	destinationPortOffset = 2
	tcpSeqOffset          = 4
	tcpAckOffset          = 8
	tcpChecksumOffset     = 16
	udpLengthOffset       = 4
	udpChecksumOffset     = 6
	udpHeaderBytes        = 8
	icmpChecksumOffset    = 2
)

// endpointOffsets locates one endpoint of a packet: the offset of its address in the
// IPv4 header and of its port in the TCP or UDP header.
type endpointOffsets struct {
	address int
	port    int
}

var (
	sourceOffsets      = endpointOffsets{address: ipv4SourceOffset, port: sourcePortOffset}
	destinationOffsets = endpointOffsets{address: ipv4DestinationOffset, port: destinationPortOffset}
)

// RewriteDestination changes the destination of a packet that Decode accepted, in
// place, and updates its checksums. In an ICMP message it also changes the source of
// the quoted packet.
func RewriteDestination(inner []byte, to Endpoint) {
	rewrite(inner, to, destinationOffsets, sourceOffsets)
}

// RewriteSource changes the source of a packet that Decode accepted, in place, and
// updates its checksums. In an ICMP message it also changes the destination of the
// quoted packet.
func RewriteSource(inner []byte, to Endpoint) {
	rewrite(inner, to, sourceOffsets, destinationOffsets)
}

func rewrite(inner []byte, to Endpoint, outerOffsets, quotedOffsets endpointOffsets) {
	segment := ipv4Payload(inner)
	delta := setAddress(inner, outerOffsets, to)
	switch inner[ipv4ProtocolOffset] {
	case TransportTCP:
		setPort(segment, outerOffsets, to, &delta)
		updateChecksum(segment[tcpChecksumOffset:], delta)
	case TransportUDP:
		setPort(segment, outerOffsets, to, &delta)
		updateUDPChecksum(segment[udpChecksumOffset:], delta)
	case TransportICMP:
		rewriteQuoted(segment, quotedOffsets, to)
	}
}

// ipv4Payload returns the part of a packet after the IPv4 header.
func ipv4Payload(inner []byte) []byte {
	return inner[int(inner[0]&0x0f)*4:]
}

// setAddress changes an address and updates the header checksum. It returns the delta
// for the transport checksum, whose pseudo-header includes the address.
func setAddress(packet []byte, offsets endpointOffsets, to Endpoint) checksumDelta {
	var delta checksumDelta
	field := packet[offsets.address : offsets.address+4]
	delta.replaceIP(field, to.IP[:])
	copy(field, to.IP[:])
	updateChecksum(packet[ipv4ChecksumOffset:], delta)
	return delta
}

// setPort changes a port and adds the change to delta.
func setPort(segment []byte, offsets endpointOffsets, to Endpoint, delta *checksumDelta) {
	field := segment[offsets.port:]
	delta.replaceWord(binary.BigEndian.Uint16(field), to.Port)
	binary.BigEndian.PutUint16(field, to.Port)
}

// rewriteQuoted changes an endpoint of the packet that an ICMP message quotes, and
// updates the checksum of the message. The quoted transport checksum is not updated:
// receivers match on the ports, and the quoted part need not include the checksum.
func rewriteQuoted(message []byte, offsets endpointOffsets, to Endpoint) {
	packet := message[icmpHeaderBytes:]
	before := binary.BigEndian.Uint16(packet[ipv4ChecksumOffset:])
	delta := setAddress(packet, offsets, to)
	delta.replaceWord(before, binary.BigEndian.Uint16(packet[ipv4ChecksumOffset:]))
	setPort(ipv4Payload(packet), offsets, to, &delta)
	updateChecksum(message[icmpChecksumOffset:], delta)
}

// StripZeroRTT removes QUIC 0-RTT packets from a UDP packet that Decode accepted, in
// place. The packets that follow in the datagram move up, and zeros fill its end,
// because a datagram with an Initial must keep its minimum of 1,200 bytes. Receivers
// discard the zeros, which lack the fixed bit of a QUIC packet. StripZeroRTT returns
// ErrZeroRTTOnly if no other packet is left.
func StripZeroRTT(inner []byte) error {
	segment := ipv4Payload(inner)
	payload := segment[udpHeaderBytes:binary.BigEndian.Uint16(segment[udpLengthOffset:])]
	before := sumWords(payload)
	keptBytes, keptPackets := removeZeroRTT(payload)
	if keptPackets == 0 {
		return ErrZeroRTTOnly
	}
	clear(payload[keptBytes:])
	var delta checksumDelta
	delta.replaceWord(fold(before), fold(sumWords(payload)))
	updateUDPChecksum(segment[udpChecksumOffset:], delta)
	return nil
}

// removeZeroRTT moves all but the 0-RTT packets to the start of payload and returns
// their total length and their number. Data after the last long-header packet are
// kept, as they are a short-header packet or padding; padding counts as no packet.
func removeZeroRTT(payload []byte) (keptBytes, keptPackets int) {
	rest := payload
	for {
		p, ok := parseLongHeader(rest)
		if !ok {
			break
		}
		if p.kind != quicZeroRTT {
			keptBytes += copy(payload[keptBytes:], rest[:p.length])
			keptPackets++
		}
		rest = rest[p.length:]
	}
	if hasShortHeader(rest) {
		keptPackets++
	}
	return keptBytes + copy(payload[keptBytes:], rest), keptPackets
}
