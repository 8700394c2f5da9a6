package protocol

// DropError is the reason why a packet is dropped. Its text is the name of a
// counter, so it has no variable part.
type DropError string

// Error returns the name of the reason.
func (e DropError) Error() string { return string(e) }

// Reasons for which decoding rejects a packet.
const (
	// ErrGREHeader: the GRE header is truncated, has options other than a key, or its protocol type is not IPv4.
	ErrGREHeader DropError = "gre-header"
	// ErrRelayHops: the hop count of a relayed packet is not between 1 and MaxRelayHops.
	ErrRelayHops DropError = "relay-hops"
	// ErrRelayHash: the hash of a relayed packet does not match its content and key.
	ErrRelayHash DropError = "relay-hash"
	// ErrIPv4Header: the inner packet is not IPv4, or its header or length is malformed.
	ErrIPv4Header DropError = "ipv4-header"
	// ErrFragment: the inner packet is an IPv4 fragment.
	ErrFragment DropError = "ipv4-fragment"
	// ErrTransport: the inner packet is neither TCP, UDP nor ICMP.
	ErrTransport DropError = "transport-unsupported"
	// ErrTransportHeader: the TCP, UDP or ICMP header is malformed.
	ErrTransportHeader DropError = "transport-header"
	// ErrTCPFlags: the TCP segment combines SYN with FIN or RST.
	ErrTCPFlags DropError = "tcp-flags"
	// ErrICMP: the ICMP message is not a port unreachable message about a TCP or UDP packet.
	ErrICMP DropError = "icmp-unsupported"
	// ErrZeroRTTOnly: the UDP datagram contains only QUIC 0-RTT packets.
	ErrZeroRTTOnly DropError = "quic-0rtt-only"
)
