package protocol

import (
	"bytes"
	"encoding/binary"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// assertChecksumsValid verifies the IPv4 and transport checksums of a packet by
// computing them in full.
func assertChecksumsValid(t assert.TestingT, inner []byte) {
	assert.Equal(t, fold(sumWords(inner[:20])), uint16(0xffff), "IPv4 header")
	segment := ipv4Payload(inner)
	sum := sumWords(segment)
	transport := inner[ipv4ProtocolOffset]
	if transport != TransportICMP {
		sum += sumWords(inner[12:20]) + uint64(transport) + uint64(len(segment))
	}
	assert.Equal(t, fold(sum), uint16(0xffff), "transport %d", transport)
}

func drawEndpoint(t *rapid.T, name string) Endpoint {
	ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, name)
	return Endpoint{IP: [4]byte(ip), Port: rapid.Uint16().Draw(t, name+" port")}
}

// Guards against a rewritten packet that the receiver discards because of a wrong
// checksum, and against one with a wrong endpoint.
func TestRewriteKeepsChecksumsValid(t *testing.T) {
	d := NewDecoder()
	rapid.Check(t, func(t *rapid.T) {
		src, dst, to := drawEndpoint(t, "source"), drawEndpoint(t, "destination"), drawEndpoint(t, "to")
		payload := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "payload")
		var inner []byte
		switch rapid.IntRange(0, 2).Draw(t, "form") {
		case 0:
			inner = BuildTCP(src, dst, Segment{Seq: 1, ACK: true, Payload: payload})
		case 1:
			inner = BuildUDP(src, dst, payload)
		case 2:
			quoted := BuildUDP(dst, src, payload)
			p, err := d.Decode(quoted)
			assert.NilError(t, err)
			inner = BuildUnreachable(quoted, p)
		}
		before, err := d.Decode(inner)
		assert.NilError(t, err)
		want := before
		if rapid.Bool().Draw(t, "rewrite source") {
			RewriteSource(inner, to)
			want.Source = to
		} else {
			RewriteDestination(inner, to)
			want.Destination = to
		}
		assertChecksumsValid(t, inner)
		after, err := d.Decode(inner)
		assert.NilError(t, err)
		assert.DeepEqual(t, after, want)
	})
}

// Guards against updating a UDP checksum that the sender did not compute (zero): the
// result would be invalid, and the receiver would discard the packet.
func TestAbsentUDPChecksumStaysZero(t *testing.T) {
	inner := BuildUDP(caller, service, []byte("data"))
	field := inner[20+udpChecksumOffset:][:2]
	clear(field)
	RewriteDestination(inner, target)
	assert.DeepEqual(t, field, []byte{0, 0})
}

// Guards against 0-RTT packets that remain in a datagram, so that their requests could
// reach two targets, and against damage to the other packets of the datagram.
func TestStripZeroRTT(t *testing.T) {
	initial := buildLongHeaderPacket(quicVersion1, 0, 0xd1, 0x51, 700)
	zeroRTT := buildLongHeaderPacket(quicVersion1, 1, 0xd1, 0x51, 301)
	handshake := buildLongHeaderPacket(quicVersion1, 2, 0xd1, 0x51, 90)
	short := []byte("\x41abcdefgh")
	padding := make([]byte, 200)
	cases := map[string]struct {
		payload, kept []byte
	}{
		"last":          {join(initial, zeroRTT), initial},
		"first":         {join(zeroRTT, initial), initial},
		"between":       {join(initial, zeroRTT, handshake, short), join(initial, handshake, short)},
		"two, padded":   {join(zeroRTT, initial, zeroRTT, padding), initial},
		"none":          {join(initial, handshake, padding), join(initial, handshake)},
		"v2":            {join(buildLongHeaderPacket(quicVersion2, 1, 1, 2, 500), buildLongHeaderPacket(quicVersion2, 2, 1, 2, 99)), buildLongHeaderPacket(quicVersion2, 1, 1, 2, 500)},
		"zero checksum": {join(zeroRTT, initial), initial},
	}
	d := NewDecoder()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inner := BuildUDP(caller, service, c.payload)
			if name == "zero checksum" {
				clear(inner[20+udpChecksumOffset:][:2])
			}
			assert.NilError(t, StripZeroRTT(inner))
			want := append(bytes.Clone(c.kept), make([]byte, len(c.payload)-len(c.kept))...)
			assert.Assert(t, bytes.Equal(inner[28:], want))
			p, err := d.Decode(inner)
			assert.NilError(t, err)
			wantKind := KindOpener
			if bytes.Contains(c.kept, handshake) {
				wantKind = KindHandshake
			}
			assert.Assert(t, !p.HasZeroRTT && p.Kind == wantKind)
			if name == "zero checksum" {
				assert.Equal(t, binary.BigEndian.Uint16(inner[20+udpChecksumOffset:]), uint16(0))
				return
			}
			assertChecksumsValid(t, inner)
		})
	}
	assert.ErrorIs(t, StripZeroRTT(BuildUDP(caller, service, zeroRTT)), ErrZeroRTTOnly)
	assert.ErrorIs(t, StripZeroRTT(BuildUDP(caller, service, join(zeroRTT, padding))), ErrZeroRTTOnly)
}

// Guards against a refusal that the caller ignores because its endpoints or its
// acknowledgement number do not match the opener.
func TestRefusalMatchesOpener(t *testing.T) {
	d := NewDecoder()
	syn := BuildTCP(caller, service, Segment{Seq: 0xffffffff, SYN: true})
	p, err := d.Decode(syn)
	assert.NilError(t, err)
	refusal := BuildRefusal(syn, p)
	assertChecksumsValid(t, refusal)
	got, err := d.Decode(refusal)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Packet{Source: service, Destination: caller, Transport: TransportTCP, Kind: KindReset, HasTag: true})

	initial := BuildUDP(caller, service, buildLongHeaderPacket(quicVersion1, 0, 1, 2, 1200))
	p, err = d.Decode(initial)
	assert.NilError(t, err)
	refusal = BuildRefusal(initial, p)
	assertChecksumsValid(t, refusal)
	assert.Assert(t, len(refusal) <= 576)
	got, err = d.Decode(refusal)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Packet{Source: service, Destination: caller, Transport: TransportUDP, Kind: KindUnreachable})
}

// Guards against a reset that the target of a half-open connection ignores because of
// its sequence number.
func TestTargetResetSequenceNumber(t *testing.T) {
	d := NewDecoder()
	cases := map[string][]byte{
		"opener": BuildTCP(caller, service, Segment{Seq: 77, SYN: true}),
		"answer": BuildTCP(target, caller, Segment{Seq: 500, Ack: 78, SYN: true, ACK: true}),
		"rival":  BuildTCP(Endpoint{IP: [4]byte{10, 7, 7, 7}, Port: 1}, caller, Segment{Seq: 900, Ack: 78, SYN: true, ACK: true}),
		"data":   BuildTCP(caller, service, Segment{Seq: 78, Ack: 9, ACK: true}),
	}
	for name, inner := range cases {
		t.Run(name, func(t *testing.T) {
			p, err := d.Decode(inner)
			assert.NilError(t, err)
			reset, ok := BuildTargetReset(inner, p, target)
			assert.Assert(t, ok)
			assertChecksumsValid(t, reset)
			got, err := d.Decode(reset)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, Packet{Source: caller, Destination: target, Transport: TransportTCP, Kind: KindReset, SourceTag: 78})
			assert.Equal(t, binary.BigEndian.Uint32(reset[20+tcpSeqOffset:]), uint32(78))
		})
	}
	_, ok := BuildTargetReset(BuildUDP(caller, service, nil), Packet{Transport: TransportUDP}, target)
	assert.Assert(t, !ok)
}
