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

// quicTypes maps the two type bits of a long header, by version.
var (
	quicTypesV1 = [4]quicPacketType{quicInitial, quicZeroRTT, quicHandshake, quicRetry}
	quicTypesV2 = [4]quicPacketType{quicRetry, quicInitial, quicZeroRTT, quicHandshake}
)

// quicPacket is one long-header packet of a datagram.
type quicPacket struct {
	kind quicPacketType
	// destination and source are the connection IDs.
	destinationID []byte
	sourceID      []byte
	// length is the number of bytes that the packet takes in the datagram, numberAt
	// the offset of its packet number.
	length             int
	packetNumberOffset int
}

// parseQUIC reads the long-header packet at the start of data. It reports false
// for anything else, including versions whose packet types are unknown.
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

func readConnectionID(data []byte) (id, rest []byte, ok bool) {
	if len(data) == 0 || data[0] > quicMaxConnIDBytes || len(data) < 1+int(data[0]) {
		return nil, nil, false
	}
	end := 1 + int(data[0])
	return data[1:end], data[end:], true
}

func skipToken(data []byte) ([]byte, bool) {
	length, size := readVarint(data)
	if size == 0 || length > uint64(len(data)-size) {
		return nil, false
	}
	return data[size+int(length):], true
}

// varint reads a QUIC variable-length integer and its size, or size 0 when data is short.
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

// classifyQUIC fills kind, tags and ZeroRTT from a UDP payload. A datagram is an
// opener when it has an Initial whose keys follow from its own destination, and
// nothing that needs keys of a later stage: callers acknowledge the target's
// Initial, alone or together with Handshake packets, and some use another
// connection ID of the target by then.
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

// classifyShort handles a payload without a long header of a known version. A
// datagram of another protocol that has the bits of a short header counts as
// one; the service decides whether that matters.
func classifyWithoutLongHeader(p *Packet, payload []byte) {
	p.Kind = KindPlainUDP
	if hasShortHeader(payload) {
		p.Kind = KindData
		p.Tag, p.HasTag = tagFromConnID(payload[1:])
	}
}

// isShort reports whether data starts with the bits of a short header.
func hasShortHeader(data []byte) bool {
	return len(data) > tagBytes && data[0]&(quicLongHeaderBit|quicFixedBit) == quicFixedBit
}

func tagFromConnID(connID []byte) (uint32, bool) {
	if len(connID) < tagBytes {
		return 0, false
	}
	return binary.BigEndian.Uint32(connID), true
}
