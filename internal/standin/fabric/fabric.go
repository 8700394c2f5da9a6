// Package fabric is a stand-in for the packet fabric: one UDP socket that sprays
// the packets of callers and targets over the balancers and delivers the
// balancers' packets by inner destination. Attachment is its client side.
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
	// maxDatagramBytes is the largest datagram that the fabric carries.
	maxDatagramBytes = 64 << 10
	// socketBufferBytes absorbs bursts while the process is not scheduled.
	socketBufferBytes = 4 << 20
	// reorderDelay holds a packet back long enough that later ones overtake it.
	reorderDelay = 3 * time.Millisecond
)

// Options are the parameters of a fabric.
type Options struct {
	// Listen is the UDP address:port.
	ListenAddress string
	// Store has the VM list.
	Store platform.Store
	// Keepalive is the interval between checks of a balancer.
	KeepaliveInterval time.Duration
	// Misses is the number of failed checks after which a balancer receives no more packets.
	FailureThreshold int
	// Seed seeds the choice of balancers and of faulty packets.
	Seed   uint64
	Logger log.Logger
}

// party is a balancer or an attached endpoint.
type node struct {
	name  string
	place string
	addr  netip.AddrPort
}

// Fabric carries packets between endpoints and balancers.
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

// New opens the socket of a fabric. Run serves it.
func New(o Options) (*Fabric, error) {
	address, err := net.ResolveUDPAddr("udp4", o.ListenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "fabric address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "fabric socket")
	}
	_ = conn.SetReadBuffer(socketBufferBytes) // the system may allow less
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

// Addr returns the address of the socket.
func (f *Fabric) Addr() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// receive carries packets until the socket closes.
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

// deliver sends a balancer's packet to the endpoint with the inner destination.
func (f *Fabric) deliver(source node, datagram []byte, innerDestination [4]byte) {
	endpoint, ok := f.endpointsByInnerAddr[innerDestination]
	if !ok {
		f.counts.NoEndpoint++
		return
	}
	f.counts.Delivered[source.name]++
	f.sendWithFaults(source, endpoint, datagram)
}

// spray sends an endpoint's packet to a random live balancer.
func (f *Fabric) spray(source node, datagram []byte) {
	if len(f.liveBalancers) == 0 {
		f.counts.NoBalancer++
		return
	}
	destination := f.liveBalancers[f.random.IntN(len(f.liveBalancers))]
	f.counts.Sprayed[destination.name]++
	f.sendWithFaults(source, destination, datagram)
}

// carry applies the switches and sends.
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

func (f *Fabric) withProbability(permille int) bool {
	return permille > 0 && f.random.IntN(1000) < permille
}

// send ignores errors: a fabric may lose packets.
func (f *Fabric) send(to netip.AddrPort, datagram []byte) {
	_, _ = f.conn.WriteToUDPAddrPort(datagram, to)
}

// attach registers the inner addresses of an endpoint and echoes the request as acknowledgement.
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
