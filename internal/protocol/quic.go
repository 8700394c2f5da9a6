package protocol

import "encoding/binary"

// QUIC versions whose packet types are known (RFC 9000, RFC 9369).
const (
	quicVersion1 = 0x00000001
	quicVersion2 = 0x6b3343cf
)

const (
	quicLongHeaderBit  = 0x80
	quicFixedBit       = 0x40
	quicMaxConnIDBytes = 20
	tagBytes           = 4
)

type quicPacketType uint8

const (
	quicInitial quicPacketType = iota
	quicZeroRTT
	quicHandshake
	quicRetry
)

// Packet types by the two type bits of a long header, for each version.
var (
	quicTypesV1 = [4]quicPacketType{quicInitial, quicZeroRTT, quicHandshake, quicRetry}
	quicTypesV2 = [4]quicPacketType{quicRetry, quicInitial, quicZeroRTT, quicHandshake}
)

// quicPacket is one long-header packet of a UDP datagram.
type quicPacket struct {
	kind quicPacketType
	// destinationID and sourceID are the connection IDs.
	destinationID []byte
	sourceID      []byte
	// length is the number of bytes that the packet occupies in the datagram.
	length int
	// packetNumberOffset is the offset of its packet number, unset for a Retry.
	packetNumberOffset int
}

// parseLongHeader parses the QUIC long-header packet at the start of data. It reports
// false for anything else, including QUIC versions whose packet types are unknown.
func parseLongHeader(data []byte) (quicPacket, bool) {
	var p quicPacket
	if len(data) < 7 || data[0]&quicLongHeaderBit == 0 {
		return p, false
	}
	typeBits := data[0] >> 4 & 0x03
	switch binary.BigEndian.Uint32(data[1:]) {
	case quicVersion1:
		p.kind = quicTypesV1[typeBits]
	case quicVersion2:
		p.kind = quicTypesV2[typeBits]
	default:
		return p, false
	}
	rest, ok := data[5:], false
	if p.destinationID, rest, ok = readConnectionID(rest); !ok {
		return p, false
	}
	if p.sourceID, rest, ok = readConnectionID(rest); !ok {
		return p, false
	}
	if p.kind == quicRetry {
		p.length = len(data)
		return p, true
	}
	if p.kind == quicInitial {
		if rest, ok = skipToken(rest); !ok {
			return p, false
		}
	}
	payloadLength, size := readVarint(rest)
	if size == 0 || payloadLength > uint64(len(rest)-size) {
		return p, false
	}
	p.packetNumberOffset = len(data) - len(rest) + size
	p.length = p.packetNumberOffset + int(payloadLength)
	return p, true
}

// readConnectionID reads a connection ID that is preceded by its length in one byte.
func readConnectionID(data []byte) (id, rest []byte, ok bool) {
	if len(data) == 0 || data[0] > quicMaxConnIDBytes || len(data) < 1+int(data[0]) {
		return nil, nil, false
	}
	end := 1 + int(data[0])
	return data[1:end], data[end:], true
}

// skipToken returns the data after the token of an Initial packet.
func skipToken(data []byte) ([]byte, bool) {
	length, size := readVarint(data)
	if size == 0 || length > uint64(len(data)-size) {
		return nil, false
	}
	return data[size+int(length):], true
}

// readVarint decodes a QUIC variable-length integer and returns its encoded size, or
// size 0 if data is truncated.
func readVarint(data []byte) (value uint64, size int) {
	if len(data) == 0 {
		return 0, 0
	}
	size = 1 << (data[0] >> 6)
	if len(data) < size {
		return 0, 0
	}
	value = uint64(data[0] & 0x3f)
	for _, b := range data[1:size] {
		value = value<<8 | uint64(b)
	}
	return value, size
}

// classifyQUIC sets the kind, the tags and the QUIC flags of p from a UDP payload. A
// datagram is an opener if it contains an Initial whose keys are derived from its own
// destination connection ID, and no packet that is protected with handshake or 1-RTT
// keys. An Initial alone does not make an opener: callers also send Initials to
// acknowledge the target's Initial, alone or coalesced with Handshake packets, and some
// already address another connection ID of the target by then.
func classifyQUIC(p *Packet, payload []byte) {
	first, ok := parseLongHeader(payload)
	if !ok {
		classifyWithoutLongHeader(p, payload)
		return
	}
	p.Tag, p.HasTag = tagFromConnID(first.destinationID)
	p.SourceTag, _ = tagFromConnID(first.sourceID)
	hasOpeningInitial, hasInitial, hasLaterPacket := false, false, false
	for next := first; ok; next, ok = parseLongHeader(payload) {
		if next.kind == quicInitial {
			hasInitial = true
			hasOpeningInitial = hasOpeningInitial || opensConnection(payload[:next.length], next.destinationID, next.packetNumberOffset)
		}
		hasLaterPacket = hasLaterPacket || next.kind == quicHandshake
		p.HasZeroRTT = p.HasZeroRTT || next.kind == quicZeroRTT
		payload = payload[next.length:]
	}
	hasLaterPacket = hasLaterPacket || hasShortHeader(payload)
	p.ZeroRTTOnly = p.HasZeroRTT && !hasInitial && !hasLaterPacket
	p.Kind = KindHandshake
	if hasOpeningInitial && !hasLaterPacket {
		p.Kind = KindOpener
	}
	p.LaterInitialsOnly = hasInitial && !hasOpeningInitial && !hasLaterPacket
}

// classifyWithoutLongHeader classifies a payload that does not start with a long header
// of a known version. A datagram of another protocol whose first byte looks like a short
// header is classified as one; whether that matters depends on the protocol of the service.
func classifyWithoutLongHeader(p *Packet, payload []byte) {
	p.Kind = KindPlainUDP
	if hasShortHeader(payload) {
		p.Kind = KindData
		p.Tag, p.HasTag = tagFromConnID(payload[1:])
	}
}

// hasShortHeader reports whether data starts with the fixed bits of a QUIC short header
// and is long enough for a tag.
func hasShortHeader(data []byte) bool {
	return len(data) > tagBytes && data[0]&(quicLongHeaderBit|quicFixedBit) == quicFixedBit
}

// tagFromConnID returns the first four bytes of a connection ID, if it has that many.
func tagFromConnID(connID []byte) (uint32, bool) {
	if len(connID) < tagBytes {
		return 0, false
	}
	return binary.BigEndian.Uint32(connID), true
}
