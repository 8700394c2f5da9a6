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
	// attachMark is the first byte of a registration, which no GRE header has.
	attachFirstByte = '{'
	// attachRetry is the interval of registrations until the fabric acknowledges.
	attachRetryInterval = 100 * time.Millisecond
	udpHeaderBytes      = 8
)

// attachRequest asks the fabric to deliver packets for inner addresses to the sender.
type attachRequest struct {
	Addresses []netip.Addr `json:"attach"`
	Place     string       `json:"place"`
}

// Attachment is the connection of callers or targets to the fabric.
type Attachment struct {
	udpConn         *net.UDPConn
	acknowledged    chan struct{}
	acknowledgeOnce sync.Once

	mu     sync.Mutex
	conns  map[protocol.Endpoint]*Conn
	counts AttachmentCounts
}

// AttachmentCounts are the packets that an attachment could not use.
type AttachmentCounts struct {
	Malformed   uint64 `json:"malformed"`
	BadChecksum uint64 `json:"bad_checksum"`
	NoConn      uint64 `json:"no_conn"`
	Overflow    uint64 `json:"overflow"`
}

// Attach registers inner addresses with the fabric and waits for its acknowledgement.
func Attach(ctx context.Context, fabricAddress, place string, addresses []netip.Addr) (*Attachment, error) {
	remote, err := net.ResolveUDPAddr("udp4", fabricAddress)
	if err != nil {
		return nil, errors.Wrap(err, "fabric address")
	}
	udpConn, err := net.DialUDP("udp4", nil, remote)
	if err != nil {
		return nil, errors.Wrap(err, "attach to fabric")
	}
	_ = udpConn.SetReadBuffer(socketBufferBytes) // the system may allow less
	a := &Attachment{udpConn: udpConn, acknowledged: make(chan struct{}), conns: map[protocol.Endpoint]*Conn{}}
	go a.receiveLoop()
	if err := a.register(ctx, attachRequest{Addresses: addresses, Place: place}); err != nil {
		udpConn.Close()
		return nil, err
	}
	return a, nil
}

func (a *Attachment) register(ctx context.Context, request attachRequest) error {
	datagram, err := json.Marshal(request)
	if err != nil {
		return errors.WithStack(err)
	}
	for {
		_, _ = a.udpConn.Write(datagram) // repeated until acknowledged
		select {
		case <-a.acknowledged:
			return nil
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the fabric does not acknowledge the attachment")
		case <-time.After(attachRetryInterval):
		}
	}
}

// Listen opens an inner UDP endpoint.
func (a *Attachment) Listen(local protocol.Endpoint) (*Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns[local] != nil {
		return nil, errors.Errorf("inner endpoint %s is in use", local)
	}
	c := newConn(a, local)
	a.conns[local] = c
	return c, nil
}

// Close ends the attachment. Its inner endpoints receive no more packets.
func (a *Attachment) Close() error { return a.udpConn.Close() }

// Counts returns the counts so far.
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

func (a *Attachment) send(local, remote protocol.Endpoint, payload []byte) error {
	_, err := a.udpConn.Write(protocol.AppendGRE(nil, protocol.BuildUDP(local, remote, payload)))
	return err
}

func (a *Attachment) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	decoder := protocol.NewDecoder()
	for {
		n, err := a.udpConn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue // the fabric may not be up yet
		}
		if buffer[0] == attachFirstByte {
			a.acknowledgeOnce.Do(func() { close(a.acknowledged) })
			continue
		}
		a.handleDatagram(decoder, buffer[:n])
	}
}

// handle passes a packet to the inner endpoint that it is for.
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

// udpPayload returns the payload of a decoded IPv4 packet with UDP.
func udpPayload(inner []byte) []byte {
	header := int(inner[0]&0x0f) * 4
	length := int(binary.BigEndian.Uint16(inner[header+4:]))
	return inner[header+udpHeaderBytes : header+length]
}

// checksumsMatch finds packets that a balancer rewrote without correcting the checksums.
func checksumsValid(inner []byte) bool {
	packet := gopacket.NewPacket(inner, layers.LayerTypeIPv4, gopacket.NoCopy)
	if udp, ok := packet.TransportLayer().(*layers.UDP); ok {
		_ = udp.SetNetworkLayerForChecksum(packet.NetworkLayer()) // IPv4 is supported
	}
	err, mismatches := packet.VerifyChecksums()
	return err == nil && len(mismatches) == 0
}
