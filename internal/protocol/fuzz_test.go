package protocol

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// seedPackets returns packets of different kinds as the seed corpus of the fuzz tests.
func seedPackets() [][]byte {
	initial := buildLongHeaderPacket(quicVersion1, 0, 1, 2, 40)
	zeroRTT := buildLongHeaderPacket(quicVersion1, 1, 1, 2, 9)
	opener := BuildUDP(caller, service, join(initial, zeroRTT))
	p, err := NewDecoder().Decode(opener)
	if err != nil {
		panic(err)
	}
	return [][]byte{
		opener,
		BuildUDP(caller, service, []byte("\x40abcdef")),
		BuildTCP(caller, service, Segment{Seq: 1, SYN: true}),
		BuildTCP(target, caller, Segment{Seq: 1, Ack: 2, SYN: true, ACK: true}),
		BuildUnreachable(opener, p),
		{0x46, 0, 0, 24, 0, 0, 0, 0, 9, 17, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 1, 1, 1, 1},
	}
}

// Guards against a packet that makes the process panic while it is decoded, rewritten,
// stripped of 0-RTT, refused or answered by a reset, and against a rewrite that changes
// anything but the endpoint.
func FuzzDecode(f *testing.F) {
	for _, s := range seedPackets() {
		f.Add(s)
	}
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, inner []byte) {
		p, err := d.Decode(inner)
		if err != nil {
			return
		}
		if p.Kind == KindOpener {
			BuildRefusal(inner, p)
		}
		BuildTargetReset(inner, p, target)
		RewriteDestination(inner, target)
		got, err := d.Decode(inner)
		assert.NilError(t, err)
		want := p
		want.Destination = target
		assert.DeepEqual(t, got, want)
		if p.HasZeroRTT && StripZeroRTT(inner) == nil {
			got, err = d.Decode(inner)
			assert.NilError(t, err)
			assert.Assert(t, !got.HasZeroRTT)
		}
	})
}

// Guards against a datagram that makes the process panic, and against accepting a
// relayed packet whose content differs from what was hashed.
func FuzzDecodeGRE(f *testing.F) {
	for _, s := range seedPackets() {
		f.Add(AppendGRE(nil, s))
		f.Add(AppendRelay(nil, s, 1, relayKey))
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		inner, hops, relayed, err := DecodeGRE(datagram, relayKey)
		if err != nil {
			return
		}
		encoded := AppendGRE(nil, inner)
		if relayed {
			encoded = AppendRelay(nil, inner, hops, relayKey)
		}
		assert.Assert(t, bytes.Equal(encoded, datagram))
	})
}
