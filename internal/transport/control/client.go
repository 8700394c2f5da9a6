package control

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// NewOperatorClient returns a client for the operator commands of the balancer
// at addr (host:port of its control address). Pass a context with a deadline.
func NewOperatorClient(addr string, fleetKey []byte) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+addr, newPeerClient(fleetKey, newCounters()))
}

// newPeerClient returns the client for requests to other balancers. Few
// connections stay open, because the next exchange goes to another peer.
func newPeerClient(key []byte, c *counters) *authClient {
	transport := &http.Transport{
		DialContext:         c.countedDial(counterTwirpSent, counterTwirpReceived),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        16,
		IdleConnTimeout:     time.Minute,
	}
	return &authClient{key: key, http: &http.Client{Transport: transport}}
}

// newTargetClient returns the client for the health endpoints of targets.
func newTargetClient(c *counters) *http.Client {
	transport := &http.Transport{
		DialContext:         c.countedDial(counterHealthSent, counterHealthReceived),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

func (p *Plane) peer(addr netip.AddrPort) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+addr.String(), p.peers)
}
