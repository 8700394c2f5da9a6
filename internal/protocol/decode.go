package protocol

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// ICMP type and code of a port unreachable message, and lengths in bytes.
const (
	icmpTypeDestinationUnreachable = 3
	icmpCodePortUnreachable        = 3
	icmpHeaderBytes                = 8
	quotedPortBytes                = 4
	ipv4HeaderBytes                = 20
)

// Decoder decodes inner IPv4 packets without allocation. It is not safe for
// concurrent use; each goroutine that reads packets has its own.
type Decoder struct {
	parser  *gopacket.DecodingLayerParser
	decoded []gopacket.LayerType
	ip      layers.IPv4
	tcp     layers.TCP
	udp     layers.UDP
	icmp    layers.ICMPv4
}

// NewDecoder returns a decoder for IPv4 packets with TCP, UDP or ICMP.
func NewDecoder() *Decoder {
	d := &Decoder{decoded: make([]gopacket.LayerType, 0, 4)}
	d.parser = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &d.ip, &d.tcp, &d.udp, &d.icmp)
	d.parser.IgnoreUnsupported = true
	return d
}

// Decode decodes and classifies an inner packet. The error is a DropError.
//
// A QUIC long-header packet does not show its direction. Tag therefore always holds
// the first four bytes of its destination connection ID, and SourceTag those of its
// source connection ID. For an ICMP message, Source and Destination are the endpoints
// of the flow that the message reports on, and Source is the sender of the message.
func (d *Decoder) Decode(inner []byte) (Packet, error) {
	if len(inner) < ipv4HeaderBytes || inner[0]>>4 != 4 {
		return Packet{}, ErrIPv4Header
	}
	// gopacket accepts length 0, which stands for a packet that the network card will
	// segment (TCP segmentation offload).
	totalLength := int(binary.BigEndian.Uint16(inner[ipv4LengthOffset:]))
	if totalLength < ipv4HeaderBytes || totalLength > len(inner) {
		return Packet{}, ErrIPv4Header
	}
	d.ip.FragOffset, d.ip.Flags, d.ip.Protocol = 0, 0, 0
	err := d.parser.DecodeLayers(inner[:totalLength], &d.decoded)
	if len(d.decoded) == 0 {
		return Packet{}, ErrIPv4Header
	}
	if d.ip.FragOffset != 0 || d.ip.Flags&layers.IPv4MoreFragments != 0 {
		return Packet{}, ErrFragment
	}
	if len(d.decoded) < 2 {
		return Packet{}, d.transportError()
	}
	if err != nil || d.parser.Truncated {
		return Packet{}, ErrTransportHeader
	}
	return d.classify()
}

// transportError distinguishes a malformed transport header from an unsupported transport.
func (d *Decoder) transportError() DropError {
	switch uint8(d.ip.Protocol) {
	case TransportTCP, TransportUDP, TransportICMP:
		return ErrTransportHeader
	}
	return ErrTransport
}

func (d *Decoder) classify() (Packet, error) {
	p := Packet{Transport: uint8(d.ip.Protocol)}
	copy(p.Source.IP[:], d.ip.SrcIP)
	copy(p.Destination.IP[:], d.ip.DstIP)
	switch d.decoded[1] {
	case layers.LayerTypeTCP:
		return p, d.classifyTCP(&p)
	case layers.LayerTypeUDP:
		return p, d.classifyUDP(&p)
	case layers.LayerTypeICMPv4:
		return p, d.classifyICMP(&p)
	}
	return Packet{}, ErrTransport
}

func (d *Decoder) classifyTCP(p *Packet) error {
	tcp := &d.tcp
	if tcp.SYN && (tcp.FIN || tcp.RST) {
		return ErrTCPFlags
	}
	p.Source.Port = uint16(tcp.SrcPort)
	p.Destination.Port = uint16(tcp.DstPort)
	p.PayloadBytes = len(tcp.Payload)
	p.Tag, p.HasTag = tcp.Ack, tcp.ACK
	if !tcp.SYN {
		p.SourceTag = tcp.Seq
	}
	switch {
	case tcp.RST:
		p.Kind = KindReset
	case tcp.SYN && tcp.ACK:
		p.Kind = KindSYNACK
		p.Tag = tcp.Seq + 1
		p.SourceTag = tcp.Ack - 1
	case tcp.SYN:
		p.Kind = KindOpener
		p.Tag, p.HasTag = tcp.Seq, true
		p.HasSYNData = len(tcp.Payload) > 0
	case tcp.FIN:
		p.Kind = KindFIN
	}
	return nil
}

func (d *Decoder) classifyUDP(p *Packet) error {
	// gopacket accepts length 0, which stands for an IPv6 jumbogram.
	if d.udp.Length < udpHeaderBytes {
		return ErrTransportHeader
	}
	p.Source.Port = uint16(d.udp.SrcPort)
	p.Destination.Port = uint16(d.udp.DstPort)
	p.PayloadBytes = len(d.udp.Payload)
	classifyQUIC(p, d.udp.Payload)
	return nil
}

// classifyICMP reads the ports of the flow from the packet that the message quotes.
// The source of the quoted packet is the destination of the message.
func (d *Decoder) classifyICMP(p *Packet) error {
	if d.icmp.TypeCode.Type() != icmpTypeDestinationUnreachable || d.icmp.TypeCode.Code() != icmpCodePortUnreachable {
		return ErrICMP
	}
	quoted := d.icmp.Payload
	if len(quoted) < ipv4HeaderBytes || quoted[0]>>4 != 4 {
		return ErrICMP
	}
	headerBytes := int(quoted[0]&0x0f) * 4
	if headerBytes < ipv4HeaderBytes || len(quoted) < headerBytes+quotedPortBytes {
		return ErrICMP
	}
	p.Transport = quoted[9]
	if p.Transport != TransportTCP && p.Transport != TransportUDP {
		return ErrICMP
	}
	if [4]byte(quoted[12:16]) != p.Destination.IP || [4]byte(quoted[16:20]) != p.Source.IP {
		return ErrICMP
	}
	p.Kind = KindUnreachable
	p.Destination.Port = binary.BigEndian.Uint16(quoted[headerBytes:])
	p.Source.Port = binary.BigEndian.Uint16(quoted[headerBytes+2:])
	return nil
}
