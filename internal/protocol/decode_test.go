package protocol

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	caller   = Endpoint{IP: [4]byte{192, 0, 2, 7}, Port: 40001}
	service  = Endpoint{IP: [4]byte{203, 0, 113, 1}, Port: 443}
	target   = Endpoint{IP: [4]byte{10, 1, 2, 3}, Port: 8443}
	relayKey = []byte("0123456789abcdef")
)

// buildLongHeaderPacket builds a QUIC long-header packet with payloadBytes bytes of
// payload. The bytes of its destination connection ID are all destinationByte, those of
// its source connection ID sourceByte. An Initial is encrypted if it is long enough.
func buildLongHeaderPacket(version uint32, typeBits byte, destinationByte, sourceByte byte, payloadBytes int) []byte {
	p := []byte{quicLongHeaderBit | quicFixedBit | typeBits<<4}
	p = binary.BigEndian.AppendUint32(p, version)
	p = append(append(p, 8), bytes.Repeat([]byte{destinationByte}, 8)...)
	p = append(append(p, 5), bytes.Repeat([]byte{sourceByte}, 5)...)
	initial := version == quicVersion1 && typeBits == 0 || version == quicVersion2 && typeBits == 1
	if initial {
		p = append(p, 2, 0xaa, 0xbb) // token
	}
	p = binary.BigEndian.AppendUint16(p, 0x4000|uint16(payloadBytes))
	if initial && payloadBytes > 1+quicSampleBytes+quicMaxPacketNumberBytes {
		return sealInitial(version, p, bytes.Repeat([]byte{destinationByte}, 8), payloadBytes)
	}
	return append(p, bytes.Repeat([]byte{0x5a}, payloadBytes)...)
}

// sealInitial appends a packet number and an encrypted payload to the header of an
// Initial, and applies header protection. The keys are derived from keyConnID.
func sealInitial(version uint32, header, keyConnID []byte, payloadBytes int) []byte {
	salt, prefix := quicSaltV1, "quic"
	if version == quicVersion2 {
		salt, prefix = quicSaltV2, "quicv2"
	}
	secret, err := hkdf.Extract(sha256.New, keyConnID, salt)
	if err != nil {
		panic(err)
	}
	clientSecret := hkdfExpandLabel(secret, "client in", sha256.Size)
	block, err := aes.NewCipher(hkdfExpandLabel(clientSecret, prefix+" key", quicKeyBytes))
	if err != nil {
		panic(err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	packetNumberOffset := len(header)
	p := append(bytes.Clone(header), 0) // packet number 0 in one byte
	plaintext := bytes.Repeat([]byte{0x5a}, payloadBytes-1-aead.Overhead())
	p = aead.Seal(p, hkdfExpandLabel(clientSecret, prefix+" iv", quicIVBytes), plaintext, bytes.Clone(p))
	headerCipher, err := aes.NewCipher(hkdfExpandLabel(clientSecret, prefix+" hp", quicKeyBytes))
	if err != nil {
		panic(err)
	}
	var mask [quicSampleBytes]byte
	headerCipher.Encrypt(mask[:], p[packetNumberOffset+quicMaxPacketNumberBytes:][:quicSampleBytes])
	p[0] ^= mask[0] & 0x0f
	p[packetNumberOffset] ^= mask[1]
	return p
}

// Guards against classifying a later Initial of a connection as the opener of another
// one. A later Initial is addressed to a connection ID that the target chose, but its
// keys are derived from the connection's first destination ID.
func TestLaterInitialIsNotAnOpener(t *testing.T) {
	for _, version := range []uint32{quicVersion1, quicVersion2} {
		typeBits := byte(0)
		if version == quicVersion2 {
			typeBits = 1
		}
		firstInitial := buildLongHeaderPacket(version, typeBits, 0xd1, 0x51, 100)
		header := firstInitial[:len(firstInitial)-100]
		laterInitial := sealInitial(version, append([]byte{quicLongHeaderBit | quicFixedBit | typeBits<<4}, header[1:]...), bytes.Repeat([]byte{0xd2}, 8), 100)
		for payload, want := range map[string]Kind{string(firstInitial): KindOpener, string(laterInitial): KindHandshake} {
			p, err := NewDecoder().Decode(BuildUDP(caller, service, []byte(payload)))
			assert.NilError(t, err)
			assert.Equal(t, p.Kind, want)
			assert.Equal(t, p.LaterInitialsOnly, want == KindHandshake)
		}
	}
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// Guards against a wrong kind or tag, which would cause a flow to be admitted, refused
// or bound wrongly.
func TestDecodeKindsAndTags(t *testing.T) {
	v1Initial := buildLongHeaderPacket(quicVersion1, 0, 0xd1, 0x51, 100)
	v1ZeroRTT := buildLongHeaderPacket(quicVersion1, 1, 0xd1, 0x51, 60)
	v1Handshake := buildLongHeaderPacket(quicVersion1, 2, 0xd1, 0x51, 30)
	quic := func(kind Kind, zeroRTT bool, payload ...[]byte) (Packet, []byte) {
		data := join(payload...)
		return Packet{Transport: TransportUDP, Kind: kind, Tag: 0xd1d1d1d1, HasTag: true, SourceTag: 0x51515151, HasZeroRTT: zeroRTT, ZeroRTTOnly: zeroRTT && kind == KindHandshake && len(payload) == 1, PayloadBytes: len(data)}, BuildUDP(caller, service, data)
	}
	tcp := func(want Packet, s Segment) (Packet, []byte) {
		want.Transport = TransportTCP
		want.PayloadBytes = len(s.Payload)
		return want, BuildTCP(caller, service, s)
	}
	udp := func(want Packet, payload []byte) (Packet, []byte) {
		want.Transport, want.PayloadBytes = TransportUDP, len(payload)
		return want, BuildUDP(caller, service, payload)
	}
	type testCase struct {
		want  Packet
		inner []byte
	}
	newCase := func(p Packet, b []byte) testCase { return testCase{p, b} }
	cases := map[string]testCase{
		"syn":                newCase(tcp(Packet{Kind: KindOpener, Tag: 77, HasTag: true}, Segment{Seq: 77, SYN: true})),
		"syn with data":      newCase(tcp(Packet{Kind: KindOpener, Tag: 77, HasTag: true, HasSYNData: true}, Segment{Seq: 77, SYN: true, Payload: []byte("x")})),
		"syn-ack":            newCase(tcp(Packet{Kind: KindSYNACK, Tag: 501, HasTag: true, SourceTag: 77}, Segment{Seq: 500, Ack: 78, SYN: true, ACK: true})),
		"ack":                newCase(tcp(Packet{Kind: KindData, Tag: 501, HasTag: true, SourceTag: 78}, Segment{Seq: 78, Ack: 501, ACK: true, Payload: []byte("hi")})),
		"fin":                newCase(tcp(Packet{Kind: KindFIN, Tag: 9, HasTag: true}, Segment{Ack: 9, FIN: true, ACK: true})),
		"rst without ack":    newCase(tcp(Packet{Kind: KindReset, SourceTag: 4}, Segment{Seq: 4, RST: true})),
		"v1 initial":         newCase(quic(KindOpener, false, v1Initial)),
		"v1 0-rtt":           newCase(quic(KindHandshake, true, v1ZeroRTT)),
		"v1 handshake":       newCase(quic(KindHandshake, false, v1Handshake)),
		"v1 retry":           newCase(quic(KindHandshake, false, buildLongHeaderPacket(quicVersion1, 3, 0xd1, 0x51, 40))),
		"v2 initial":         newCase(quic(KindOpener, false, buildLongHeaderPacket(quicVersion2, 1, 0xd1, 0x51, 40))),
		"v2 0-rtt":           newCase(quic(KindHandshake, true, buildLongHeaderPacket(quicVersion2, 2, 0xd1, 0x51, 40))),
		"v2 handshake":       newCase(quic(KindHandshake, false, buildLongHeaderPacket(quicVersion2, 3, 0xd1, 0x51, 40))),
		"v2 retry":           newCase(quic(KindHandshake, false, buildLongHeaderPacket(quicVersion2, 0, 0xd1, 0x51, 40))),
		"initial, 0-rtt":     newCase(quic(KindOpener, true, v1Initial, v1ZeroRTT)),
		"0-rtt, initial":     newCase(quic(KindOpener, true, v1ZeroRTT, v1Initial)),
		"handshake, 0-rtt":   newCase(quic(KindHandshake, true, v1Handshake, v1ZeroRTT)),
		"handshake, short":   newCase(quic(KindHandshake, false, v1Handshake, []byte("\x41abcd"))),
		"initial, padding":   newCase(quic(KindOpener, false, v1Initial, make([]byte, 1000))),
		"initial, handshake": newCase(quic(KindHandshake, false, v1Initial, v1Handshake)),
		"initial, short":     newCase(quic(KindHandshake, false, v1Initial, []byte("\x41abcd"))),
		"short header":       newCase(udp(Packet{Kind: KindData, Tag: 0x01020304, HasTag: true}, []byte{0x43, 1, 2, 3, 4, 5})),
		"other udp":          newCase(udp(Packet{Kind: KindPlainUDP}, []byte("\x01text"))),
		"empty udp":          newCase(udp(Packet{Kind: KindPlainUDP}, nil)),
		"unknown version":    newCase(udp(Packet{Kind: KindPlainUDP}, buildLongHeaderPacket(0x0a0a0a0a, 0, 0xd1, 0x51, 100))),
		"truncated initial":  newCase(udp(Packet{Kind: KindPlainUDP}, v1Initial[:50])),
	}
	d := NewDecoder()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.want.Source, c.want.Destination = caller, service
			got, err := d.Decode(c.inner)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against a malformed packet that is forwarded or makes the process panic, and
// against decoder state that affects the next packet.
func TestDecodeRejectsMalformedPackets(t *testing.T) {
	valid := BuildTCP(caller, service, Segment{Seq: 1, SYN: true})
	withBytes := func(offset int, values ...byte) []byte {
		b := bytes.Clone(valid)
		copy(b[offset:], values)
		return b
	}
	cases := map[string]struct {
		inner []byte
		want  DropError
	}{
		"empty":            {nil, ErrIPv4Header},
		"version 6":        {withBytes(0, 0x65), ErrIPv4Header},
		"header too long":  {withBytes(0, 0x4f), ErrIPv4Header},
		"length too long":  {withBytes(2, 0xff, 0xff), ErrIPv4Header},
		"length zero":      {withBytes(2, 0, 0), ErrIPv4Header},
		"length too short": {withBytes(2, 0, 19), ErrIPv4Header},
		"first fragment":   {withBytes(6, 0x20, 0), ErrFragment},
		"later fragment":   {withBytes(6, 0, 9), ErrFragment},
		"sctp":             {withBytes(9, 132), ErrTransport},
		"short tcp":        {withBytes(2, 0, 30), ErrTransportHeader},
		"tcp offset":       {withBytes(32, 0x10), ErrTransportHeader},
		"syn with fin":     {withBytes(33, 0x03), ErrTCPFlags},
		"syn with rst":     {withBytes(33, 0x06), ErrTCPFlags},
		"icmp echo":        {withBytes(9, 1, 0, 0), ErrICMP},
		"udp length short": {withBytes(9, 17), ErrTransportHeader},
	}
	d := NewDecoder()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := d.Decode(c.inner)
			assert.ErrorIs(t, err, c.want)
			p, err := d.Decode(valid)
			assert.NilError(t, err)
			assert.Equal(t, p.Kind, KindOpener)
		})
	}
}

// Guards against accepting relayed packets that were forged or that exceed the hop limit.
func TestGREEncodingAndRelayHash(t *testing.T) {
	inner := BuildUDP(caller, service, []byte("payload"))
	got, hops, relayed, err := DecodeGRE(AppendGRE(nil, inner), relayKey)
	assert.NilError(t, err)
	assert.Assert(t, !relayed && hops == 0 && bytes.Equal(got, inner))

	for hop := uint8(1); hop <= MaxRelayHops; hop++ {
		datagram := AppendRelay([]byte{}, inner, hop, relayKey)
		got, hops, relayed, err = DecodeGRE(datagram, relayKey)
		assert.NilError(t, err)
		assert.Assert(t, relayed && hops == hop && bytes.Equal(got, inner))
		for i := range datagram {
			changed := bytes.Clone(datagram)
			changed[i] ^= 0x40
			_, _, _, err = DecodeGRE(changed, relayKey)
			assert.Assert(t, err != nil, "byte %d", i)
		}
		_, _, _, err = DecodeGRE(datagram, []byte("another key 0000"))
		assert.ErrorIs(t, err, ErrRelayHash)
	}
	_, _, _, err = DecodeGRE(AppendRelay(nil, inner, 3, relayKey), relayKey)
	assert.ErrorIs(t, err, ErrRelayHops)
	assert.Assert(t, IsKeepalive(AppendKeepalive(nil)))
	_, _, _, err = DecodeGRE(AppendKeepalive(nil), relayKey)
	assert.ErrorIs(t, err, ErrGREHeader)
	_, _, _, err = DecodeGRE([]byte{0, 0, 8}, relayKey)
	assert.ErrorIs(t, err, ErrGREHeader)
	_, _, _, err = DecodeGRE([]byte{0, 0, 0x86, 0xdd, 0x60}, relayKey)
	assert.ErrorIs(t, err, ErrGREHeader)
}
