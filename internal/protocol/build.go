package protocol

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// defaultTTL is the time to live of the IPv4 packets that this package builds.
const defaultTTL = 64

var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// Segment holds the TCP header fields and the payload of a segment to build.
type Segment struct {
	Seq     uint32
	Ack     uint32
	SYN     bool
	ACK     bool
	FIN     bool
	RST     bool
	PSH     bool
	Payload []byte
}

// BuildUDP returns an IPv4 packet with a UDP datagram and correct checksums.
func BuildUDP(src, dst Endpoint, payload []byte) []byte {
	ip := newIPv4Header(src, dst, layers.IPProtocolUDP)
	udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port), DstPort: layers.UDPPort(dst.Port)}
	return serialize(ip, udp, udp.SetNetworkLayerForChecksum(ip), payload)
}

// BuildTCP returns an IPv4 packet with a TCP segment and correct checksums.
func BuildTCP(src, dst Endpoint, s Segment) []byte {
	ip := newIPv4Header(src, dst, layers.IPProtocolTCP)
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(src.Port), DstPort: layers.TCPPort(dst.Port),
		Seq: s.Seq, Ack: s.Ack,
		SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST, PSH: s.PSH,
		Window: 65535,
	}
	return serialize(ip, tcp, tcp.SetNetworkLayerForChecksum(ip), s.Payload)
}

func newIPv4Header(src, dst Endpoint, protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, IHL: 5, TTL: defaultTTL, Flags: layers.IPv4DontFragment,
		Protocol: protocol, SrcIP: src.IP[:], DstIP: dst.IP[:],
	}
}

// serialize encodes the packet. It panics on an error, because the only cause is a
// payload that does not fit into an IPv4 packet, which is a programming error.
func serialize(ip *layers.IPv4, transport gopacket.SerializableLayer, err error, payload []byte) []byte {
	buf := gopacket.NewSerializeBuffer()
	if err == nil {
		err = gopacket.SerializeLayers(buf, serializeOptions, ip, transport, gopacket.Payload(payload))
	}
	if err != nil {
		panic(err)
	}
	return buf.Bytes()
}
