package protocol

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"

	"github.com/dchest/siphash"
)

// Sizes and limits of the GRE-in-UDP encapsulation (RFC 8086).
const (
	// GREHeaderBytes is the length of the GRE header without a key field.
	GREHeaderBytes = 4
	// RelayHeaderBytes is the length of the GRE header with a key field, as on relayed packets.
	RelayHeaderBytes = 8
	// MaxRelayHops is the maximum number of times that a packet may be relayed.
	MaxRelayHops = 2
	// RelayKeyBytes is the length of a SipHash-2-4 key.
	RelayKeyBytes = 16
)

const (
	greFlagKeyPresent = 0x20
	greProtocolIPv4   = 0x0800
	relayHopShift     = 30
	relayHashMask     = 1<<relayHopShift - 1
)

// DeriveRelayKey derives the key that authenticates relayed packets from the fleet
// key, so that the fleet key itself is used only to authenticate control messages.
func DeriveRelayKey(fleetKey []byte) ([]byte, error) {
	return hkdf.Key(sha256.New, fleetKey, nil, "kumquatworks relay", RelayKeyBytes)
}

// AppendGRE appends a GRE header without a key and inner to dst, in the form that the
// fabric sends and receives.
func AppendGRE(dst, inner []byte) []byte {
	dst = append(dst, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, greProtocolIPv4)
	return append(dst, inner...)
}

// AppendKeepalive appends a keepalive to dst: a GRE header without a key, with protocol
// type 0 and without an inner packet. The fabric sends it to a balancer, which echoes
// it as long as it accepts packets.
func AppendKeepalive(dst []byte) []byte { return append(dst, 0, 0, 0, 0) }

// IsKeepalive reports whether a datagram is a keepalive.
func IsKeepalive(datagram []byte) bool {
	return len(datagram) == GREHeaderBytes && binary.BigEndian.Uint32(datagram) == 0
}

// AppendRelay appends a GRE header and inner to dst. The key field of the header holds
// the hop count (1 to MaxRelayHops) and the truncated hash. key comes from DeriveRelayKey.
func AppendRelay(dst, inner []byte, hops uint8, key []byte) []byte {
	dst = append(dst, greFlagKeyPresent, 0)
	dst = binary.BigEndian.AppendUint16(dst, greProtocolIPv4)
	dst = binary.BigEndian.AppendUint32(dst, uint32(hops)<<relayHopShift|relayHash(inner, hops, key))
	return append(dst, inner...)
}

// DecodeGRE returns the inner packet of a datagram as a subslice of datagram. A
// datagram without a GRE key field comes from the fabric and has no hops. One with a
// key field was relayed by a peer, and its hash is verified with key.
func DecodeGRE(datagram []byte, key []byte) (inner []byte, hops uint8, relayed bool, err error) {
	if len(datagram) < GREHeaderBytes {
		return nil, 0, false, ErrGREHeader
	}
	if datagram[1] != 0 || binary.BigEndian.Uint16(datagram[2:]) != greProtocolIPv4 {
		return nil, 0, false, ErrGREHeader
	}
	switch datagram[0] {
	case 0:
		return datagram[GREHeaderBytes:], 0, false, nil
	case greFlagKeyPresent:
		return decodeRelay(datagram, key)
	}
	return nil, 0, false, ErrGREHeader
}

func decodeRelay(datagram, key []byte) (inner []byte, hops uint8, relayed bool, err error) {
	if len(datagram) < RelayHeaderBytes {
		return nil, 0, true, ErrGREHeader
	}
	field := binary.BigEndian.Uint32(datagram[GREHeaderBytes:])
	hops = uint8(field >> relayHopShift)
	inner = datagram[RelayHeaderBytes:]
	if hops == 0 || hops > MaxRelayHops {
		return nil, hops, true, ErrRelayHops
	}
	if field&relayHashMask != relayHash(inner, hops, key) {
		return nil, hops, true, ErrRelayHash
	}
	return inner, hops, true, nil
}

// relayHash returns the truncated SipHash-2-4 of the hop count and the inner packet.
// It hashes the inner packet first, and then the hop count with that digest, so that
// the packet need not be copied.
func relayHash(inner []byte, hops uint8, key []byte) uint32 {
	k0 := binary.LittleEndian.Uint64(key)
	k1 := binary.LittleEndian.Uint64(key[8:])
	var hopsAndDigest [9]byte
	hopsAndDigest[0] = hops
	binary.LittleEndian.PutUint64(hopsAndDigest[1:], siphash.Hash(k0, k1, inner))
	return uint32(siphash.Hash(k0, k1, hopsAndDigest[:])) & relayHashMask
}
