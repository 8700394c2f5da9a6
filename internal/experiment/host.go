package experiment

import (
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// updateRetry and updateTries bound the retransmission of one feed update.
	updateRetry = 400 * time.Millisecond
	updateTries = 20
)

// host is one emulated target: it accepts connections and runs requests in slots.
type host struct {
	net      *network
	endpoint protocol.Endpoint
	service  protocol.Endpoint
	slots    int
	running  int
	waiting  []*session
	// sessions are the connections that the host knows, by its own tag.
	sessions map[uint32]*session
	// byAttempt finds the session of a repeated opener.
	byAttempt map[*connection]*session
	requests  int
	// fullHits counts requests that met this host with all slots busy while another host had one free.
	fullHits int
}

// session is the host's side of one connection.
type session struct {
	host       *host
	connection *connection
	tag        uint32
	accepted   bool
	requested  bool
	responded  bool
	closed     bool
	ackedTo    int
	sentTo     int
}

func (n *network) addHosts(set objects.Set) {
	pools := map[string]objects.Pool{}
	for _, p := range set.Pools {
		pools[p.Name] = p
	}
	services := map[string]protocol.Endpoint{}
	for _, s := range set.Services {
		services[s.Pool] = n.service[s.Name]
	}
	for _, t := range set.Targets {
		e := protocol.NewEndpoint(netip.AddrPortFrom(t.Address, t.Port))
		if n.hosts[e] != nil {
			continue
		}
		n.hosts[e] = &host{
			net: n, endpoint: e, service: services[t.Pool], slots: int(pools[t.Pool].Slots),
			sessions: map[uint32]*session{}, byAttempt: map[*connection]*session{},
		}
	}
}

// hostsOf returns the hosts of a service in the order of their targets.
func (n *network) hostsOf(service protocol.Endpoint) []*host {
	var hosts []*host
	for _, t := range n.set.Targets {
		h := n.hosts[protocol.NewEndpoint(netip.AddrPortFrom(t.Address, t.Port))]
		if h.service == service {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (h *host) receive(s segment) {
	if s.packet.Kind == protocol.KindOpener && s.content == contentNone {
		h.open(s)
		return
	}
	se := h.sessions[s.packet.Tag]
	if se == nil || se.connection != s.connection {
		h.unknown(s)
		return
	}
	se.accepted = true
	switch s.content {
	case contentRequest:
		h.request(se)
	case contentUpdateAck:
		se.ackedTo = max(se.ackedTo, s.sequence)
	case contentKeepAlive:
		se.reply(protocol.KindData, contentKeepAliveAck, s.sequence)
	case contentClose:
		h.close(se)
	default:
		if se.connection.feed && !se.requested {
			se.requested = true
			se.nextUpdate()
		}
	}
}

// open answers an opener; a repeated opener gets the same answer.
func (h *host) open(s segment) {
	se := h.byAttempt[s.connection]
	if se == nil {
		se = &session{host: h, connection: s.connection, tag: h.net.random.Uint32()}
		h.sessions[se.tag] = se
		h.byAttempt[s.connection] = se
	}
	kind := protocol.KindOpener // a server's first QUIC datagram holds an Initial
	if s.packet.Transport == protocol.TransportTCP {
		kind = protocol.KindSYNACK
	}
	se.reply(kind, contentNone, 0)
}

// unknown handles a packet of a connection that the host does not have.
func (h *host) unknown(s segment) {
	if s.packet.Transport != protocol.TransportTCP || s.packet.Kind == protocol.KindReset {
		return // a QUIC host cannot read the packet and ignores it
	}
	h.net.send(segment{
		connection: s.connection,
		packet: protocol.Packet{
			Source: h.endpoint, Destination: s.packet.Source, Transport: protocol.TransportTCP,
			Kind: protocol.KindReset, Tag: s.packet.Tag, HasTag: true,
		},
		content: contentClose,
	})
}

func (h *host) request(se *session) {
	if se.requested {
		if se.responded {
			se.reply(protocol.KindData, contentResponse, 0)
		}
		return
	}
	se.requested = true
	se.connection.ran++
	h.requests++
	if h.running >= h.slots {
		if h.net.hasFreeSlot(h.service) {
			h.fullHits++
		}
		h.waiting = append(h.waiting, se)
		return
	}
	h.run(se)
}

func (n *network) hasFreeSlot(service protocol.Endpoint) bool {
	for _, h := range n.hosts {
		if h.service == service && h.running < h.slots {
			return true
		}
	}
	return false
}

func (h *host) run(se *session) {
	h.running++
	h.net.after(se.connection.work, func() {
		h.running--
		se.responded = true
		se.reply(protocol.KindData, contentResponse, 0)
		if len(h.waiting) > 0 {
			next := h.waiting[0]
			h.waiting = h.waiting[1:]
			h.run(next)
		}
	})
}

func (h *host) close(se *session) {
	if se.closed {
		return
	}
	se.closed = true
	if se.connection.transport == protocol.TransportTCP {
		se.reply(protocol.KindFIN, contentClose, 0)
	}
	// Keeps the session for a while, as a TCP stack does in TIME-WAIT.
	h.net.after(5*time.Second, func() {
		delete(h.sessions, se.tag)
		delete(h.byAttempt, se.connection)
	})
}

func (h *host) cancel(c *connection) {
	if se := h.byAttempt[c]; se != nil && !se.accepted {
		delete(h.sessions, se.tag)
		delete(h.byAttempt, c)
	}
}

// reply sends a segment to the caller.
func (se *session) reply(kind protocol.Kind, what content, sequence int) {
	h, c := se.host, se.connection
	bytes := 60
	if what == contentResponse {
		bytes = 900
	}
	p := protocol.Packet{
		Source: h.endpoint, Destination: c.endpoint, Transport: c.transport, Kind: kind,
		Tag: c.tag + 1, HasTag: true, SourceTag: se.tag, PayloadBytes: bytes,
	}
	if c.transport == protocol.TransportTCP && kind == protocol.KindSYNACK {
		p.Tag, p.SourceTag = se.tag, c.tag
	}
	h.net.send(segment{packet: p, connection: c, content: what, sequence: sequence})
}

// nextUpdate sends the next feed update of an active feed and repeats it until it is acknowledged.
func (se *session) nextUpdate() {
	c := se.connection
	if c.idle || se.closed {
		return
	}
	se.sentTo++
	se.sendUpdate(se.sentTo, 0)
}

func (se *session) sendUpdate(sequence, tries int) {
	n := se.host.net
	switch {
	case se.closed || se.connection.broken:
		return
	case se.ackedTo >= sequence:
		n.after(n.exponential(se.connection.interval), se.nextUpdate)
		return
	case tries > updateTries:
		se.connection.fail()
		return
	}
	se.reply(protocol.KindData, contentUpdate, sequence)
	n.after(updateRetry, func() { se.sendUpdate(sequence, tries+1) })
}
