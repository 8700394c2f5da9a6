// Package fabric simulates the packet fabric. One UDP socket sends each packet of a caller or
// target to a random balancer (packet spraying) and delivers the packets of balancers by
// their inner destination address. Attachment is the client side.
package fabric

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// maxDatagramBytes is the maximum size of a datagram that the fabric forwards.
	maxDatagramBytes = 64 << 10
	// socketBufferBytes is the size of the receive buffer. It holds bursts that arrive while
	// the process is not scheduled.
	socketBufferBytes = 4 << 20
	// reorderDelay is the delay of a reordered packet. It is long enough for later packets
	// to arrive first.
	reorderDelay = 3 * time.Millisecond
)

// Options are the parameters of a fabric.
type Options struct {
	// ListenAddress is the UDP address:port.
	ListenAddress string
	// Store provides the VM list.
	Store platform.Store
	// KeepaliveInterval is the time between two keepalives to each balancer, and between two
	// reads of the VM list.
	KeepaliveInterval time.Duration
	// FailureThreshold is the number of consecutive unanswered keepalives after which a
	// balancer receives no more packets.
	FailureThreshold int
	// Seed seeds the random selection of balancers and of the packets that faults apply to.
	Seed   uint64
	Logger log.Logger
}

// node is a balancer or an attached endpoint. addr is its UDP address in the fabric. The name
// of an endpoint is its inner address.
type node struct {
	name  string
	place string
	addr  netip.AddrPort
}

// Fabric forwards packets between endpoints and balancers.
type Fabric struct {
	options Options
	conn    *net.UDPConn

	mu                    sync.Mutex
	random                *rand.Rand
	balancers             map[netip.AddrPort]*balancer
	liveBalancers         []node
	endpointsByInnerAddr  map[[4]byte]node
	endpointsBySocketAddr map[netip.AddrPort]node
	faults                Faults
	counts                Counts
}

// New returns a fabric with an open socket. Run forwards the packets.
func New(o Options) (*Fabric, error) {
	address, err := net.ResolveUDPAddr("udp4", o.ListenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "resolve fabric listen address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "open fabric socket")
	}
	_ = conn.SetReadBuffer(socketBufferBytes) // best effort: the system may limit the size
	return &Fabric{
		options:               o,
		conn:                  conn,
		random:                rand.New(rand.NewPCG(o.Seed, 0)),
		balancers:             map[netip.AddrPort]*balancer{},
		endpointsByInnerAddr:  map[[4]byte]node{},
		endpointsBySocketAddr: map[netip.AddrPort]node{},
		counts:                newCounts(),
	}, nil
}

// Addr returns the local address of the socket.
func (f *Fabric) Addr() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// receiveLoop receives and handles datagrams until the socket is closed.
func (f *Fabric) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue
		}
		f.handleDatagram(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// handleDatagram dispatches a datagram by its content and sender: a registration, a keepalive
// or packet of a balancer, or a packet of an attached endpoint.
func (f *Fabric) handleDatagram(datagram []byte, from netip.AddrPort) {
	if datagram[0] == attachFirstByte {
		f.handleAttach(datagram, from)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancers[from]
	if b != nil && protocol.IsKeepalive(datagram) {
		f.handleKeepalive(b)
		return
	}
	inner, _, relayed, err := protocol.DecodeGRE(datagram, make([]byte, protocol.RelayKeyBytes))
	if err != nil || relayed || len(inner) < 20 {
		f.counts.Malformed++
		return
	}
	if b != nil {
		f.deliver(b.node, datagram, [4]byte(inner[16:20]))
		return
	}
	if source, ok := f.endpointsBySocketAddr[from]; ok {
		f.spray(source, datagram)
		return
	}
	f.counts.UnknownSender++
}

// deliver sends a packet of a balancer to the endpoint that registered the inner destination
// address.
func (f *Fabric) deliver(source node, datagram []byte, innerDestination [4]byte) {
	endpoint, ok := f.endpointsByInnerAddr[innerDestination]
	if !ok {
		f.counts.NoEndpoint++
		return
	}
	f.counts.Delivered[source.name]++
	f.sendWithFaults(source, endpoint, datagram)
}

// spray sends a packet of an endpoint to a random live balancer.
func (f *Fabric) spray(source node, datagram []byte) {
	if len(f.liveBalancers) == 0 {
		f.counts.NoBalancer++
		return
	}
	destination := f.liveBalancers[f.random.IntN(len(f.liveBalancers))]
	f.counts.Sprayed[destination.name]++
	f.sendWithFaults(source, destination, datagram)
}

// sendWithFaults sends a packet after applying the injected faults: it may be dropped,
// duplicated or delayed.
func (f *Fabric) sendWithFaults(source, destination node, datagram []byte) {
	if f.faults.partitioned(source, destination) {
		f.counts.Partitioned++
		return
	}
	if f.withProbability(f.faults.DropPermille) {
		f.counts.Dropped++
		return
	}
	if f.withProbability(f.faults.DuplicatePermille) {
		f.counts.Duplicated++
		f.send(destination.addr, datagram)
	}
	if f.withProbability(f.faults.ReorderPermille) {
		f.counts.Reordered++
		delayed := append([]byte(nil), datagram...)
		time.AfterFunc(reorderDelay, func() { f.send(destination.addr, delayed) })
		return
	}
	f.send(destination.addr, datagram)
}

// withProbability returns true with a probability of permille/1000.
func (f *Fabric) withProbability(permille int) bool {
	return permille > 0 && f.random.IntN(1000) < permille
}

// send sends a datagram. It ignores errors because packets may be lost in the fabric.
func (f *Fabric) send(to netip.AddrPort, datagram []byte) {
	_, _ = f.conn.WriteToUDPAddrPort(datagram, to)
}

// handleAttach registers the inner addresses of an endpoint and echoes the request as the
// acknowledgement.
func (f *Fabric) handleAttach(datagram []byte, from netip.AddrPort) {
	var request attachRequest
	if err := json.Unmarshal(datagram, &request); err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range request.Addresses {
		if !address.Is4() {
			f.counts.Malformed++
			return
		}
		endpoint := node{name: address.String(), place: request.Place, addr: from}
		f.endpointsByInnerAddr[address.As4()] = endpoint
		f.endpointsBySocketAddr[from] = endpoint
	}
	f.send(from, datagram)
}
