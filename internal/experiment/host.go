package experiment

import (
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// updateRetryDelay and maxUpdateRetries limit the retransmissions of one feed update.
	updateRetryDelay = 400 * time.Millisecond
	maxUpdateRetries = 20
)

// host is one emulated target. It accepts connections, runs one request per slot and queues the others.
type host struct {
	net             *network
	endpoint        protocol.Endpoint
	service         protocol.Endpoint
	slots           int
	runningRequests int
	queuedRequests  []*session
	// sessions are the connections of the host, keyed by the tag that the host selected; see
	// protocol.Packet.
	sessions map[uint32]*session
	// sessionByConnection returns the existing session for a repeated opener.
	sessionByConnection map[*connection]*session
	requestCount        int
	// avoidableWaits counts the requests that were queued here although another host of
	// the service had a free slot.
	avoidableWaits int
}

// session is the host's side of one connection.
type session struct {
	host       *host
	connection *connection
	tag        uint32
	confirmed  bool
	started    bool
	responded  bool
	closed     bool
	lastAcked  int
	lastSent   int
}

func (n *network) addHosts(set objects.Set) {
	poolByName := map[string]objects.Pool{}
	for _, p := range set.Pools {
		poolByName[p.Name] = p
	}
	endpointByPool := map[string]protocol.Endpoint{}
	for _, s := range set.Services {
		endpointByPool[s.Pool] = n.serviceEndpoints[s.Name]
	}
	for _, t := range set.Targets {
		e := protocol.NewEndpoint(netip.AddrPortFrom(t.Address, t.Port))
		if n.hosts[e] != nil {
			continue
		}
		n.hosts[e] = &host{
			net: n, endpoint: e, service: endpointByPool[t.Pool], slots: int(poolByName[t.Pool].Slots),
			sessions: map[uint32]*session{}, sessionByConnection: map[*connection]*session{},
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
		h.handleOpener(s)
		return
	}
	se := h.sessions[s.packet.Tag]
	if se == nil || se.connection != s.connection {
		h.handleUnknownConnection(s)
		return
	}
	se.confirmed = true
	switch s.content {
	case contentRequest:
		h.handleRequest(se)
	case contentUpdateAck:
		se.lastAcked = max(se.lastAcked, s.sequence)
	case contentKeepAlive:
		se.reply(protocol.KindData, contentKeepAliveAck, s.sequence)
	case contentClose:
		h.handleClose(se)
	default:
		if se.connection.isFeed && !se.started {
			se.started = true
			se.sendNextUpdate()
		}
	}
}

// handleOpener answers an opener. A repeated opener gets the same answer.
func (h *host) handleOpener(s segment) {
	se := h.sessionByConnection[s.connection]
	if se == nil {
		se = &session{host: h, connection: s.connection, tag: h.net.random.Uint32()}
		h.sessions[se.tag] = se
		h.sessionByConnection[s.connection] = se
	}
	kind := protocol.KindOpener // a server's first QUIC datagram holds an Initial
	if s.packet.Transport == protocol.TransportTCP {
		kind = protocol.KindSYNACK
	}
	se.reply(kind, contentNone, 0)
}

// handleUnknownConnection handles a packet of a connection that the host does not have.
func (h *host) handleUnknownConnection(s segment) {
	if s.packet.Transport != protocol.TransportTCP || s.packet.Kind == protocol.KindReset {
		return // a QUIC host cannot decrypt the packet and ignores it
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

func (h *host) handleRequest(se *session) {
	if se.started {
		if se.responded {
			se.reply(protocol.KindData, contentResponse, 0)
		}
		return
	}
	se.started = true
	se.connection.runCount++
	h.requestCount++
	if h.runningRequests >= h.slots {
		if h.net.hasFreeSlot(h.service) {
			h.avoidableWaits++
		}
		h.queuedRequests = append(h.queuedRequests, se)
		return
	}
	h.runRequest(se)
}

func (n *network) hasFreeSlot(service protocol.Endpoint) bool {
	for _, h := range n.hosts {
		if h.service == service && h.runningRequests < h.slots {
			return true
		}
	}
	return false
}

func (h *host) runRequest(se *session) {
	h.runningRequests++
	h.net.after(se.connection.requestDuration, func() {
		h.runningRequests--
		se.responded = true
		se.reply(protocol.KindData, contentResponse, 0)
		if len(h.queuedRequests) > 0 {
			next := h.queuedRequests[0]
			h.queuedRequests = h.queuedRequests[1:]
			h.runRequest(next)
		}
	})
}

func (h *host) handleClose(se *session) {
	if se.closed {
		return
	}
	se.closed = true
	if se.connection.transport == protocol.TransportTCP {
		se.reply(protocol.KindFIN, contentClose, 0)
	}
	// Keeps the session for 5 s, as a TCP stack does in TIME-WAIT.
	h.net.after(5*time.Second, func() {
		delete(h.sessions, se.tag)
		delete(h.sessionByConnection, se.connection)
	})
}

func (h *host) removeHalfOpen(c *connection) {
	if se := h.sessionByConnection[c]; se != nil && !se.confirmed {
		delete(h.sessions, se.tag)
		delete(h.sessionByConnection, c)
	}
}

// reply sends a segment with the given content to the caller.
func (se *session) reply(kind protocol.Kind, content contentKind, sequence int) {
	h, c := se.host, se.connection
	payloadBytes := 60
	if content == contentResponse {
		payloadBytes = 900
	}
	p := protocol.Packet{
		Source: h.endpoint, Destination: c.endpoint, Transport: c.transport, Kind: kind,
		Tag: c.tag + 1, HasTag: true, SourceTag: se.tag, PayloadBytes: payloadBytes,
	}
	if c.transport == protocol.TransportTCP && kind == protocol.KindSYNACK {
		p.Tag, p.SourceTag = se.tag, c.tag
	}
	h.net.send(segment{packet: p, connection: c, content: content, sequence: sequence})
}

// sendNextUpdate sends the next update of an active feed and retransmits it until it is acknowledged.
func (se *session) sendNextUpdate() {
	c := se.connection
	if c.idle || se.closed {
		return
	}
	se.lastSent++
	se.sendUpdate(se.lastSent, 0)
}

func (se *session) sendUpdate(sequence, retries int) {
	n := se.host.net
	switch {
	case se.closed || se.connection.broken:
		return
	case se.lastAcked >= sequence:
		n.after(n.exponential(se.connection.interval), se.sendNextUpdate)
		return
	case retries > maxUpdateRetries:
		se.connection.markBroken()
		return
	}
	se.reply(protocol.KindData, contentUpdate, sequence)
	n.after(updateRetryDelay, func() { se.sendUpdate(sequence, retries+1) })
}
