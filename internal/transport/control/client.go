package control

import (
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// NewOperatorClient returns a client for the operator commands of the balancer
// at addr (host:port of its control address). Pass a context with a deadline.
func NewOperatorClient(addr string, fleetKey []byte) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+addr, newPeerClient(fleetKey, newCounters()))
}

// NewLocalOperatorClient returns a client whose questions the balancer answers
// by itself, without asking the owner of a flow or target.
func NewLocalOperatorClient(addr string, fleetKey []byte) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+addr, newPeerClient(fleetKey, newCounters()), twirp.WithClientPathPrefix(localPrefix))
}

// PlainError removes the frame that the RPC library puts around an error of a
// client, because operators read it.
func PlainError(err error) error {
	var rpc twirp.Error
	if !errors.As(err, &rpc) {
		return err
	}
	if rpc.Meta("http_error_from_intermediary") != "" && rpc.Meta("status_code") == "401" {
		return errors.New("refused the fleet key")
	}
	text := strings.TrimPrefix(rpc.Msg(), "failed to do request: ")
	var call *url.Error
	if errors.As(err, &call) {
		text = call.Err.Error() // without the URL of the request
	}
	if argument := rpc.Meta("argument"); argument != "" {
		text = strings.TrimPrefix(text, argument+" ")
	}
	return errors.New(text)
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
