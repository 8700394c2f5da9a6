package fabric

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// attachFirstByte is the first byte of a registration in JSON. No GRE header begins
	// with it.
	attachFirstByte = '{'
	// attachRetryInterval is the time between two transmissions of a registration until the
	// fabric acknowledges it.
	attachRetryInterval = 100 * time.Millisecond
	udpHeaderBytes      = 8
)

// attachRequest registers inner addresses. The fabric delivers packets for these addresses
// to the socket that sent the request.
type attachRequest struct {
	Addresses []netip.Addr `json:"attach"`
	Place     string       `json:"place"`
}

// Attachment connects the inner addresses of callers or targets to the fabric through one
// UDP socket.
type Attachment struct {
	udpConn         *net.UDPConn
	acknowledged    chan struct{}
	acknowledgeOnce sync.Once

	mu     sync.Mutex
	conns  map[protocol.Endpoint]*Conn
	counts AttachmentCounts
}

// AttachmentCounts counts the packets that an attachment dropped, by reason.
type AttachmentCounts struct {
	Malformed   uint64 `json:"malformed"`
	BadChecksum uint64 `json:"bad_checksum"`
	NoConn      uint64 `json:"no_conn"`
	Overflow    uint64 `json:"overflow"`
}

// Attach registers inner addresses with the fabric and waits for the acknowledgement. place
// is the place of the addresses, to which partitions can refer.
func Attach(ctx context.Context, fabricAddress, place string, addresses []netip.Addr) (*Attachment, error) {
	remote, err := net.ResolveUDPAddr("udp4", fabricAddress)
	if err != nil {
		return nil, errors.Wrap(err, "resolve fabric address")
	}
	udpConn, err := net.DialUDP("udp4", nil, remote)
	if err != nil {
		return nil, errors.Wrap(err, "open UDP socket to fabric")
	}
	_ = udpConn.SetReadBuffer(socketBufferBytes) // best effort: the system may limit the size
	a := &Attachment{udpConn: udpConn, acknowledged: make(chan struct{}), conns: map[protocol.Endpoint]*Conn{}}
	go a.receiveLoop()
	if err := a.register(ctx, attachRequest{Addresses: addresses, Place: place}); err != nil {
		udpConn.Close()
		return nil, err
	}
	return a, nil
}

// register sends the request repeatedly until the fabric acknowledges it or ctx is done.
func (a *Attachment) register(ctx context.Context, request attachRequest) error {
	datagram, err := json.Marshal(request)
	if err != nil {
		return errors.WithStack(err)
	}
	for {
		_, _ = a.udpConn.Write(datagram) // a lost datagram is retransmitted
		select {
		case <-a.acknowledged:
			return nil
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "fabric did not acknowledge the registration of inner addresses")
		case <-time.After(attachRetryInterval):
		}
	}
}

// Listen opens an inner UDP endpoint. The address of local must have been registered by
// Attach.
func (a *Attachment) Listen(local protocol.Endpoint) (*Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns[local] != nil {
		return nil, errors.Errorf("inner endpoint %s is already in use", local)
	}
	c := newConn(a, local)
	a.conns[local] = c
	return c, nil
}

// Close closes the UDP socket. The inner endpoints receive no more packets.
func (a *Attachment) Close() error { return a.udpConn.Close() }

// Counts returns the counts since the start.
func (a *Attachment) Counts() AttachmentCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

func (a *Attachment) removeConn(local protocol.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, local)
}

// send encapsulates a UDP packet and sends it to the fabric.
func (a *Attachment) send(local, remote protocol.Endpoint, payload []byte) error {
	_, err := a.udpConn.Write(protocol.AppendGRE(nil, protocol.BuildUDP(local, remote, payload)))
	return err
}

// receiveLoop receives datagrams from the fabric until the socket is closed.
func (a *Attachment) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	decoder := protocol.NewDecoder()
	for {
		n, err := a.udpConn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue // an ICMP error, for example, if the fabric has not started yet
		}
		if buffer[0] == attachFirstByte {
			a.acknowledgeOnce.Do(func() { close(a.acknowledged) })
			continue
		}
		a.handleDatagram(decoder, buffer[:n])
	}
}

// handleDatagram decapsulates a packet and queues it at the inner endpoint that is its
// destination.
func (a *Attachment) handleDatagram(decoder *protocol.Decoder, datagram []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inner, _, relayed, err := protocol.DecodeGRE(datagram, make([]byte, protocol.RelayKeyBytes))
	if err != nil || relayed {
		a.counts.Malformed++
		return
	}
	packet, err := decoder.Decode(inner)
	if err != nil || (packet.Transport != protocol.TransportUDP) {
		a.counts.Malformed++
		return
	}
	if !checksumsValid(inner) {
		a.counts.BadChecksum++
		return
	}
	conn := a.conns[packet.Destination]
	if conn == nil {
		a.counts.NoConn++
		return
	}
	if packet.Kind == protocol.KindUnreachable {
		conn.handleUnreachable()
		return
	}
	if !conn.enqueue(packet.Source, append([]byte(nil), udpPayload(inner)...)) {
		a.counts.Overflow++
	}
}

// udpPayload returns the UDP payload of an IPv4 packet that was decoded successfully.
func udpPayload(inner []byte) []byte {
	header := int(inner[0]&0x0f) * 4
	length := int(binary.BigEndian.Uint16(inner[header+4:]))
	return inner[header+udpHeaderBytes : header+length]
}

// checksumsValid reports whether all checksums of a packet are valid. A mismatch means that a
// balancer rewrote the packet without updating the checksums.
func checksumsValid(inner []byte) bool {
	packet := gopacket.NewPacket(inner, layers.LayerTypeIPv4, gopacket.NoCopy)
	if udp, ok := packet.TransportLayer().(*layers.UDP); ok {
		_ = udp.SetNetworkLayerForChecksum(packet.NetworkLayer()) // does not fail for IPv4
	}
	err, mismatches := packet.VerifyChecksums()
	return err == nil && len(mismatches) == 0
}
