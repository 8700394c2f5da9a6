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
	caller  = Endpoint{IP: [4]byte{192, 0, 2, 7}, Port: 40001}
	service = Endpoint{IP: [4]byte{203, 0, 113, 1}, Port: 443}
	target  = Endpoint{IP: [4]byte{10, 1, 2, 3}, Port: 8443}
	key     = []byte("0123456789abcdef")
)

// quicLong builds a long-header packet of payload bytes whose connection IDs
// are filled with the bytes d and s.
func quicLong(version uint32, typeBits byte, d, s byte, payload int) []byte {
	p := []byte{quicLongHeader | quicFixedBit | typeBits<<4}
	p = binary.BigEndian.AppendUint32(p, version)
	p = append(append(p, 8), bytes.Repeat([]byte{d}, 8)...)
	p = append(append(p, 5), bytes.Repeat([]byte{s}, 5)...)
	initial := version == quicVersion1 && typeBits == 0 || version == quicVersion2 && typeBits == 1
	if initial {
		p = append(p, 2, 0xaa, 0xbb) // token
	}
	p = binary.BigEndian.AppendUint16(p, 0x4000|uint16(payload))
	if initial && payload > 1+quicSample+quicMaxNumber {
		return sealInitial(version, p, bytes.Repeat([]byte{d}, 8), payload)
	}
	return append(p, bytes.Repeat([]byte{0x5a}, payload)...)
}

// sealInitial appends packet number and payload to the head of an Initial and
// protects them with the keys that follow from a connection ID.
func sealInitial(version uint32, head, keyID []byte, payload int) []byte {
	salt, prefix := quicSaltV1, "quic"
	if version == quicVersion2 {
		salt, prefix = quicSaltV2, "quicv2"
	}
	secret, err := hkdf.Extract(sha256.New, keyID, salt)
	if err != nil {
		panic(err)
	}
	client := expandLabel(secret, "client in", sha256.Size)
	block, err := aes.NewCipher(expandLabel(client, prefix+" key", quicKeyBytes))
	if err != nil {
		panic(err)
	}
	seal, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	numberAt := len(head)
	p := append(bytes.Clone(head), 0) // packet number 0 in one byte
	plain := bytes.Repeat([]byte{0x5a}, payload-1-seal.Overhead())
	p = seal.Seal(p, expandLabel(client, prefix+" iv", quicIVBytes), plain, bytes.Clone(p))
	protect, err := aes.NewCipher(expandLabel(client, prefix+" hp", quicKeyBytes))
	if err != nil {
		panic(err)
	}
	var mask [quicSample]byte
	protect.Encrypt(mask[:], p[numberAt+quicMaxNumber:][:quicSample])
	p[0] ^= mask[0] & 0x0f
	p[numberAt] ^= mask[1]
	return p
}

// Guards against an Initial to an ID that the target chose, with the keys of the
// connection's first ID, that counts as the opener of another connection.
func TestLaterInitialIsNoOpener(t *testing.T) {
	for _, version := range []uint32{quicVersion1, quicVersion2} {
		typeBits := byte(0)
		if version == quicVersion2 {
			typeBits = 1
		}
		whole := quicLong(version, typeBits, 0xd1, 0x51, 100)
		head := whole[:len(whole)-100]
		later := sealInitial(version, append([]byte{quicLongHeader | quicFixedBit | typeBits<<4}, head[1:]...), bytes.Repeat([]byte{0xd2}, 8), 100)
		for payload, want := range map[string]Kind{string(whole): KindOpener, string(later): KindHandshake} {
			p, err := NewDecoder().Decode(BuildUDP(caller, service, []byte(payload)))
			assert.NilError(t, err)
			assert.Equal(t, p.Kind, want)
			assert.Equal(t, p.LaterInitial, want == KindHandshake)
		}
	}
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// Guards against a wrong kind or tag, which would admit, refuse or bind a flow wrongly.
func TestDecodeTable(t *testing.T) {
	v1Initial := quicLong(quicVersion1, 0, 0xd1, 0x51, 100)
	v1ZeroRTT := quicLong(quicVersion1, 1, 0xd1, 0x51, 60)
	v1Handshake := quicLong(quicVersion1, 2, 0xd1, 0x51, 30)
	quic := func(kind Kind, zero bool, payload ...[]byte) (Packet, []byte) {
		data := join(payload...)
		return Packet{Transport: TransportUDP, Kind: kind, Tag: 0xd1d1d1d1, HasTag: true, SourceTag: 0x51515151, ZeroRTT: zero, ZeroRTTOnly: zero && kind == KindHandshake && len(payload) == 1, PayloadBytes: len(data)}, BuildUDP(caller, service, data)
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
	type result struct {
		want  Packet
		inner []byte
	}
	of := func(p Packet, b []byte) result { return result{p, b} }
	cases := map[string]result{
		"syn":                of(tcp(Packet{Kind: KindOpener, Tag: 77, HasTag: true}, Segment{Seq: 77, SYN: true})),
		"syn with data":      of(tcp(Packet{Kind: KindOpener, Tag: 77, HasTag: true, SynData: true}, Segment{Seq: 77, SYN: true, Payload: []byte("x")})),
		"syn-ack":            of(tcp(Packet{Kind: KindOpenerAnswer, Tag: 501, HasTag: true, SourceTag: 77}, Segment{Seq: 500, Ack: 78, SYN: true, ACK: true})),
		"ack":                of(tcp(Packet{Kind: KindData, Tag: 501, HasTag: true, SourceTag: 78}, Segment{Seq: 78, Ack: 501, ACK: true, Payload: []byte("hi")})),
		"fin":                of(tcp(Packet{Kind: KindFin, Tag: 9, HasTag: true}, Segment{Ack: 9, FIN: true, ACK: true})),
		"rst without ack":    of(tcp(Packet{Kind: KindReset, SourceTag: 4}, Segment{Seq: 4, RST: true})),
		"v1 initial":         of(quic(KindOpener, false, v1Initial)),
		"v1 0-rtt":           of(quic(KindHandshake, true, v1ZeroRTT)),
		"v1 handshake":       of(quic(KindHandshake, false, v1Handshake)),
		"v1 retry":           of(quic(KindHandshake, false, quicLong(quicVersion1, 3, 0xd1, 0x51, 40))),
		"v2 initial":         of(quic(KindOpener, false, quicLong(quicVersion2, 1, 0xd1, 0x51, 40))),
		"v2 0-rtt":           of(quic(KindHandshake, true, quicLong(quicVersion2, 2, 0xd1, 0x51, 40))),
		"v2 handshake":       of(quic(KindHandshake, false, quicLong(quicVersion2, 3, 0xd1, 0x51, 40))),
		"v2 retry":           of(quic(KindHandshake, false, quicLong(quicVersion2, 0, 0xd1, 0x51, 40))),
		"initial, 0-rtt":     of(quic(KindOpener, true, v1Initial, v1ZeroRTT)),
		"0-rtt, initial":     of(quic(KindOpener, true, v1ZeroRTT, v1Initial)),
		"handshake, 0-rtt":   of(quic(KindHandshake, true, v1Handshake, v1ZeroRTT)),
		"handshake, short":   of(quic(KindHandshake, false, v1Handshake, []byte("\x41abcd"))),
		"initial, padding":   of(quic(KindOpener, false, v1Initial, make([]byte, 1000))),
		"initial, handshake": of(quic(KindHandshake, false, v1Initial, v1Handshake)),
		"initial, short":     of(quic(KindHandshake, false, v1Initial, []byte("\x41abcd"))),
		"short header":       of(udp(Packet{Kind: KindData, Tag: 0x01020304, HasTag: true}, []byte{0x43, 1, 2, 3, 4, 5})),
		"other udp":          of(udp(Packet{Kind: KindDatagram}, []byte("\x01text"))),
		"empty udp":          of(udp(Packet{Kind: KindDatagram}, nil)),
		"unknown version":    of(udp(Packet{Kind: KindDatagram}, quicLong(0x0a0a0a0a, 0, 0xd1, 0x51, 100))),
		"truncated initial":  of(udp(Packet{Kind: KindDatagram}, v1Initial[:50])),
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

// Guards against a malformed packet that is forwarded or stops the process.
func TestDecodeRefuses(t *testing.T) {
	good := BuildTCP(caller, service, Segment{Seq: 1, SYN: true})
	change := func(at int, to ...byte) []byte {
		b := bytes.Clone(good)
		copy(b[at:], to)
		return b
	}
	cases := map[string]struct {
		inner []byte
		want  DropError
	}{
		"empty":            {nil, ErrIPv4Header},
		"version 6":        {change(0, 0x65), ErrIPv4Header},
		"header too long":  {change(0, 0x4f), ErrIPv4Header},
		"length too long":  {change(2, 0xff, 0xff), ErrIPv4Header},
		"length zero":      {change(2, 0, 0), ErrIPv4Header},
		"length too short": {change(2, 0, 19), ErrIPv4Header},
		"first fragment":   {change(6, 0x20, 0), ErrFragment},
		"later fragment":   {change(6, 0, 9), ErrFragment},
		"sctp":             {change(9, 132), ErrTransport},
		"short tcp":        {change(2, 0, 30), ErrTransportHeader},
		"tcp offset":       {change(32, 0x10), ErrTransportHeader},
		"syn with fin":     {change(33, 0x03), ErrTCPFlags},
		"syn with rst":     {change(33, 0x06), ErrTCPFlags},
		"icmp echo":        {change(9, 1, 0, 0), ErrICMP},
		"udp length short": {change(9, 17), ErrTransportHeader},
	}
	d := NewDecoder()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := d.Decode(c.inner)
			assert.ErrorIs(t, err, c.want)
			p, err := d.Decode(good)
			assert.NilError(t, err)
			assert.Equal(t, p.Kind, KindOpener)
		})
	}
}

// Guards against relayed packets that a stranger forged or that took too many hops.
func TestGRE(t *testing.T) {
	inner := BuildUDP(caller, service, []byte("payload"))
	got, hops, relayed, err := DecodeGRE(AppendGRE(nil, inner), key)
	assert.NilError(t, err)
	assert.Assert(t, !relayed && hops == 0 && bytes.Equal(got, inner))

	for hop := uint8(1); hop <= MaxHops; hop++ {
		datagram := AppendRelay([]byte{}, inner, hop, key)
		got, hops, relayed, err = DecodeGRE(datagram, key)
		assert.NilError(t, err)
		assert.Assert(t, relayed && hops == hop && bytes.Equal(got, inner))
		for i := range datagram {
			changed := bytes.Clone(datagram)
			changed[i] ^= 0x40
			_, _, _, err = DecodeGRE(changed, key)
			assert.Assert(t, err != nil, "byte %d", i)
		}
		_, _, _, err = DecodeGRE(datagram, []byte("another key 0000"))
		assert.ErrorIs(t, err, ErrRelayHash)
	}
	_, _, _, err = DecodeGRE(AppendRelay(nil, inner, 3, key), key)
	assert.ErrorIs(t, err, ErrRelayHops)
	assert.Assert(t, IsKeepalive(AppendKeepalive(nil)))
	_, _, _, err = DecodeGRE(AppendKeepalive(nil), key)
	assert.ErrorIs(t, err, ErrGREHeader)
	_, _, _, err = DecodeGRE([]byte{0, 0, 8}, key)
	assert.ErrorIs(t, err, ErrGREHeader)
	_, _, _, err = DecodeGRE([]byte{0, 0, 0x86, 0xdd, 0x60}, key)
	assert.ErrorIs(t, err, ErrGREHeader)
}
